"""Counts the hosts of each failure domain."""

import random
from datetime import timedelta

import curio
from attrs import define, evolve, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.storage.stores import (
    Row,
    RowRange,
    RowWrite,
    Store,
    Transaction,
    read_all,
)
from sequoia_rollouts.storage.tables import HOSTS, member_key

POLL_INTERVAL = timedelta(milliseconds=100)
ANNOUNCE_SPREAD = timedelta(milliseconds=300)  # of the first announcements
ANNOUNCE_INTERVAL = timedelta(seconds=20)
MEMBER_EXPIRY = timedelta(seconds=60)  # without an announcement
RETRY_BACKOFF = timedelta(seconds=1)
# The second count includes the hosts that started with this one.
SECOND_COUNT_AFTER = timedelta(seconds=2)
COUNT_INTERVAL = timedelta(seconds=10)
ROWS_PER_TRANSACTION = 50

log = Log('presence')
NOT_ANNOUNCED = log.event('not announced', 'detail', kind=LogKind.FAILURE)
NOT_COUNTED = log.event('not counted', 'detail', kind=LogKind.FAILURE)
MEMBER_IGNORED = log.event(
    'member ignored', 'host', 'detail', kind=LogKind.FAILURE
)
HOSTS_COUNTED = log.event('hosts counted', 'domain', 'hosts', 'removed')


@frozen
class Member:
    """The announcement of a host.

    Attributes:
        announced: Time of the announcement by the clock of the store.
    """

    host: str
    announced: timedelta


@define(eq=False)
class Census:
    """Announces this host; a coordinator also counts those of its domain.

    Attributes:
        announce_at: When to announce this host next.
        count_at: When to count next; None while this host is no coordinator.
        counts: Number of counts since this host became a coordinator.
    """

    heartbeats: HeartbeatService
    store: Store
    clock: Clock
    rng: random.Random
    announce_at: timedelta | None = None
    count_at: timedelta | None = None
    counts: int = 0

    async def run(self) -> None:
        """Announce and count until cancelled."""
        while True:
            if self.heartbeats.store_clock.now() is not None:
                await self.step()
            await curio.sleep(POLL_INTERVAL.total_seconds())

    async def step(self) -> None:
        """Announce or count if that is due."""
        now = self.clock.elapsed()
        if self.announce_at is None:
            self.announce_at = now + ANNOUNCE_SPREAD * self.rng.random()
        if now >= self.announce_at:
            await self._announce()
        if not self.heartbeats.is_coordinator:
            self.count_at = None
            self.counts = 0
        elif self.count_at is None:
            self.count_at = now + ANNOUNCE_SPREAD
        elif now >= self.count_at:
            await self._count()

    async def _announce(self) -> None:
        delay = ANNOUNCE_INTERVAL
        try:
            await self._write_member()
        except ServiceError as failure:
            NOT_ANNOUNCED.write(detail=failure.detail)
            delay = RETRY_BACKOFF
        self.announce_at = self.clock.elapsed() + delay

    async def _write_member(self) -> None:
        own = self.heartbeats.own
        member = Member(own.host, self.heartbeats.store_clock.read())
        key = member_key(own.domain, member.host)
        await self.store.commit(
            Transaction((RowWrite(key, encode(member)),)),
        )

    async def _count(self) -> None:
        delay = COUNT_INTERVAL if self.counts else SECOND_COUNT_AFTER
        try:
            await self._count_members()
        except ServiceError as failure:
            NOT_COUNTED.write(detail=failure.detail)
            delay = RETRY_BACKOFF
        else:
            self.counts += 1
        self.count_at = self.clock.elapsed() + delay

    async def _count_members(self) -> None:
        own = self.heartbeats.own
        page = await read_all(self.store, RowRange(HOSTS, own.domain))
        live = [row for row in page.rows if is_current(row, page.now)]
        expired = [row for row in page.rows if row not in live]
        own.heartbeat = evolve(own.heartbeat, hosts=len(live))
        await self._remove(expired[:ROWS_PER_TRANSACTION])
        HOSTS_COUNTED.write(
            domain=own.domain, hosts=len(live), removed=len(expired)
        )

    async def _remove(self, rows: list[Row]) -> None:
        if rows:
            writes = tuple(RowWrite(row.key) for row in rows)
            await self.store.commit(Transaction(writes))


def is_current(row: Row, now: timedelta) -> bool:
    """Return whether a row announces a host that has not expired."""
    try:
        member = decode(row.body or b'', Member)
    except ServiceError as error:
        MEMBER_IGNORED.write(host=row.key.key, detail=error.detail)
        return False
    return now - member.announced <= MEMBER_EXPIRY
