"""Follows a table of the store: a full listing, then its changes."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.storage.stores import (
    HistoryLostError,
    Row,
    RowPage,
    RowRange,
    Store,
    read_all,
)

FEED_TIMEOUT = timedelta(seconds=1)
INACTIVE_POLL_INTERVAL = timedelta(milliseconds=50)
RETRY_BACKOFF = timedelta(milliseconds=100)

log = Log('feed')
STORE_IS_BACK = log.event('store is back', 'table')
STORE_IS_AWAY = log.event(
    'store is away', 'table', 'detail', kind=LogKind.FAILURE
)
HISTORY_LOST = log.event('history lost', 'table', kind=LogKind.FAILURE)


def is_always_active() -> bool:
    """Return True."""
    return True


@define
class TableFollower:
    """Keeps one host's view of a table up to date.

    Attributes:
        table: Table to follow.
        partitions: Partitions of the table that a listing reads.
        on_listing: Receives all rows, at the start and after lost history.
        on_change: Receives one changed or removed row.
        find_feed_interval: Returns the minimum time between two reads of
            changes.
        is_active: Returns whether this host needs the table now.
        version: Version up to which changes were applied; None before the
            first listing, and while this host does not need the table.
        last_version: Newest version up to which changes were ever applied.
        read_at: When the last call began that the store answered. What it said
            may be read much later by a host that stood still.
        store_responded_at: When the store last responded.
        store_failed_at: When the store last failed to respond.
        failed_read_at: When the read began that failed last.
    """

    store: Store
    clock: Clock
    table: str
    on_listing: Callable[[tuple[Row, ...]], Awaitable[None]]
    on_change: Callable[[Row], Awaitable[None]]
    find_feed_interval: Callable[[], timedelta]
    partitions: tuple[str, ...] = ('',)
    is_active: Callable[[], bool] = is_always_active
    version: int | None = None
    last_version: int = 0
    read_at: timedelta | None = None
    store_responded_at: timedelta | None = None
    store_failed_at: timedelta | None = None
    failed_read_at: timedelta | None = None
    listed: curio.Event = field(factory=curio.Event)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.is_active():
                await self._attempt()
            else:
                self.version = None
                await curio.sleep(INACTIVE_POLL_INTERVAL.total_seconds())

    async def step(self) -> None:
        """Read a listing, or the next changes; wait for the feed interval.

        Raises:
            HistoryLostError: If a listing is needed.
            ServiceError: If the store does not respond.
        """
        started_at = self.clock.elapsed()
        if self.version is None:
            await self._list()
            interval = timedelta()
        else:
            await self._follow(self.version)
            interval = self.find_feed_interval()
        if self._is_failing():
            STORE_IS_BACK.write(table=self.table)
        self.read_at = started_at
        self.store_responded_at = self.clock.elapsed()
        remaining = started_at + interval - self.store_responded_at
        if remaining > timedelta():
            await curio.sleep(remaining.total_seconds())

    def age(self) -> timedelta | None:
        """Return the time since the store last confirmed the table."""
        if self.store_responded_at is None:
            return None
        return self.clock.elapsed() - self.store_responded_at

    def is_current(self, max_age: timedelta) -> bool:
        """Return whether the store confirmed the table within ``max_age``.

        A host that needs the table again has an old copy until it has listed
        it.
        """
        age = self.age()
        return self.version is not None and age is not None and age < max_age

    def was_read_within(self, max_age: timedelta) -> bool:
        """Return whether this host knows all changes but those of ``max_age``."""
        if self.version is None or self.read_at is None:
            return False
        return self.clock.elapsed() - self.read_at < max_age

    def failed_within(self, span: timedelta) -> bool:
        """Return whether the store failed within the last ``span``."""
        if self.store_failed_at is None:
            return False
        return self.clock.elapsed() - self.store_failed_at < span

    async def _attempt(self) -> None:
        started_at = self.clock.elapsed()
        try:
            await self.step()
        except HistoryLostError:
            HISTORY_LOST.write(table=self.table)
            self.version = None
        except ServiceError as failure:
            self.failed_read_at = started_at
            self._record_failure(failure)
            await curio.sleep(RETRY_BACKOFF.total_seconds())

    async def _list(self) -> None:
        pages = [
            await self._read_partition(partition)
            for partition in self.partitions
        ]
        rows = [row for page in pages for row in page.rows]
        await self.on_listing(tuple(rows))
        self._advance(min(page.version for page in pages))
        await self.listed.set()

    async def _read_partition(self, partition: str) -> RowPage:
        return await read_all(self.store, RowRange(self.table, partition))

    async def _follow(self, after: int) -> None:
        changes = await self.store.follow(self.table, after, FEED_TIMEOUT)
        for row in changes.rows:
            await self.on_change(row)
        self._advance(max(after, changes.version))

    def _advance(self, version: int) -> None:
        self.version = version
        self.last_version = max(self.last_version, version)

    def _is_failing(self) -> bool:
        """Return whether the store has failed since it last responded."""
        if self.store_failed_at is None or self.store_responded_at is None:
            return False
        return self.store_failed_at > self.store_responded_at

    def _record_failure(self, failure: ServiceError) -> None:
        if not self._is_failing():
            STORE_IS_AWAY.write(table=self.table, detail=failure.detail)
        self.store_failed_at = self.clock.elapsed()
