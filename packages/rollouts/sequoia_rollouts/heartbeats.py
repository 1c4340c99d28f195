"""Writes this host's heartbeat and tracks the liveness of other hosts."""

import uuid
from datetime import timedelta

import curio
from attrs import define, evolve, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.liveness import Heartbeat, LivenessTable
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
        own_heartbeat: The heartbeat that this host writes.
        renewed_at: When the last heartbeat that the store accepted was sent.
        store_clock_offset: The store's clock minus that of this host.
        store_responded_at: When the store last responded.
    """

    store: Store
    clock: Clock
    host: str
    own_heartbeat: Heartbeat = field(init=False)
    liveness: LivenessTable = field(factory=LivenessTable)
    renewed_at: timedelta | None = None
    store_clock_offset: timedelta | None = None
    store_responded_at: timedelta | None = None

    def __attrs_post_init__(self) -> None:
        """Create the heartbeat with a random id for this process."""
        self.own_heartbeat = Heartbeat(self.host, uuid.uuid4().hex[:12], 0)

    @property
    def owner(self) -> str:
        """The name under which this process owns submissions and duties."""
        return self.own_heartbeat.owner

    def store_now(self) -> timedelta:
        """Estimate the store's clock."""
        return self.clock.elapsed() + (self.store_clock_offset or timedelta())

    def lease_age(self) -> timedelta | None:
        """Return the time since the last accepted heartbeat was sent."""
        if self.renewed_at is None:
            return None
        return self.clock.elapsed() - self.renewed_at

    def store_age(self) -> timedelta | None:
        """Return the time since the store last responded to this host."""
        if self.store_responded_at is None:
            return None
        return self.clock.elapsed() - self.store_responded_at

    def find_feed_interval(self) -> timedelta:
        """Return the minimum time between reads of a table's changes."""
        return self.liveness.timing.feed_interval

    def holds_lease(self) -> bool:
        """Return whether no other host can regard this one as dead."""
        if self.renewed_at is None:
            return False
        return (
            self.clock.elapsed() - self.renewed_at
            < self.liveness.timing.lease_length
        )

    def is_dead(self, owner: str) -> bool:
        """Return whether the process called ``owner`` is dead."""
        if owner == self.owner:
            return False
        return self.liveness.is_dead(owner, self.clock.elapsed())

    def live_owners(self) -> list[str]:
        """Return the live processes that may own work.

        This process is included unless it is draining.
        """
        others = self.liveness.live_owners(self.clock.elapsed())
        names = {*others, self.owner}
        if self.own_heartbeat.draining:
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
            ServiceError: If the store did not accept it.
        """
        self.own_heartbeat = evolve(
            self.own_heartbeat, count=self.own_heartbeat.count + 1
        )
        sent_at = self.clock.elapsed()
        write = RowWrite(heartbeat_key(self.host), encode(self.own_heartbeat))
        await self.store.commit(Transaction((write,)))
        self.renewed_at = sent_at
        self.store_responded_at = self.clock.elapsed()

    async def read(self) -> None:
        """Read all heartbeats.

        Raises:
            ServiceError: If the store does not respond.
        """
        page = await self.store.read(RowRange(HOSTS))
        heartbeats = [read_heartbeat(row.body) for row in page.rows if row.body]
        now = self.clock.elapsed()
        self.liveness.update(heartbeats, now)
        self.store_clock_offset = page.now - now
        self.store_responded_at = now

    async def _attempt(self, action: object) -> None:
        started_at = self.clock.elapsed()
        try:
            await action()  # type: ignore[operator]
        except ServiceError as failure:
            HEARTBEAT_MISSED.write(detail=failure.detail)
        remaining = self.liveness.timing.interval - (
            self.clock.elapsed() - started_at
        )
        await curio.sleep(max(0, remaining.total_seconds()))
