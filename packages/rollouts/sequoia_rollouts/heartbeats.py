"""Shows that this host lives, and learns which others do."""

import uuid
from datetime import timedelta

import curio
from attrs import define, evolve, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.liveness import (
    Heartbeat,
    LivenessTable,
)
from sequoia_wire.codecs import encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.stores import RowRange, RowWrite, Store, Transaction
from sequoia_rollouts.tables import HOSTS, heartbeat_key, read_heartbeat

log = Log('presence')
HEARTBEAT_MISSED = log.event('heartbeat missed', 'detail', kind=LogKind.FAILURE)


@define
class HeartbeatService:
    """Writes this host's heartbeat and reads those of all hosts.

    Attributes:
        renewed: When the last heartbeat that the store took was sent.
        store_ahead: The store's clock less that of this host.
        answered: When the store last answered.
    """

    store: Store
    clock: Clock
    host: str
    own: Heartbeat = field(init=False)
    liveness: LivenessTable = field(factory=LivenessTable)
    renewed: timedelta | None = None
    store_ahead: timedelta | None = None
    answered: timedelta | None = None

    def __attrs_post_init__(self) -> None:
        """Draw the name of this process."""
        self.own = Heartbeat(self.host, uuid.uuid4().hex[:12], 0)

    @property
    def owner(self) -> str:
        """The name under which this process owns things."""
        return self.own.owner

    def store_now(self) -> timedelta:
        """Estimate the store's clock."""
        return self.clock.elapsed() + (self.store_ahead or timedelta())

    def lease_age(self) -> timedelta | None:
        """Return the time since this host last showed that it lives."""
        if self.renewed is None:
            return None
        return self.clock.elapsed() - self.renewed

    def store_age(self) -> timedelta | None:
        """Return the time since the store last answered this host."""
        if self.answered is None:
            return None
        return self.clock.elapsed() - self.answered

    def find_feed_period(self) -> timedelta:
        """Return the shortest time between reads of a table's changes."""
        return self.liveness.timing.feed_interval

    def holds_lease(self) -> bool:
        """Tell whether no other host can think that this one is dead."""
        if self.renewed is None:
            return False
        return self.clock.elapsed() - self.renewed < self.liveness.timing.lease

    def is_dead(self, owner: str) -> bool:
        """Tell whether the process called ``owner`` lives no more."""
        if owner == self.owner:
            return False
        return self.liveness.is_dead(owner, self.clock.elapsed())

    def live_owners(self) -> list[str]:
        """Return the processes that may take up work, with this one."""
        others = self.liveness.live_owners(self.clock.elapsed())
        names = {*others, self.owner}
        if self.own.draining:
            names.discard(self.owner)
        return sorted(names)

    async def run_writer(self) -> None:
        """Write heartbeats until cancelled."""
        while True:
            await self._attempt(self.write)

    async def run_reader(self) -> None:
        """Read heartbeats until cancelled."""
        while True:
            await self._attempt(self.read)

    async def write(self) -> None:
        """Write one heartbeat.

        Raises:
            ServiceError: If the store did not take it.
        """
        self.own = evolve(self.own, count=self.own.count + 1)
        sent = self.clock.elapsed()
        write = RowWrite(heartbeat_key(self.host), encode(self.own))
        await self.store.commit(Transaction((write,)))
        self.renewed = sent
        self.answered = self.clock.elapsed()

    async def read(self) -> None:
        """Read all heartbeats.

        Raises:
            ServiceError: If the store does not answer.
        """
        page = await self.store.read(RowRange(HOSTS))
        beats = [read_heartbeat(row.body) for row in page.rows if row.body]
        now = self.clock.elapsed()
        self.liveness.update(beats, now)
        self.store_ahead = page.now - now
        self.answered = now

    async def _attempt(self, action: object) -> None:
        started = self.clock.elapsed()
        try:
            await action()  # type: ignore[operator]
        except ServiceError as failure:
            HEARTBEAT_MISSED.write(detail=failure.detail)
        left = self.liveness.timing.interval - (self.clock.elapsed() - started)
        await curio.sleep(max(0, left.total_seconds()))
