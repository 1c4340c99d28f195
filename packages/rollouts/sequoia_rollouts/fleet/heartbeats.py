"""Reads the leases of all coordinators and tracks their liveness."""

from collections.abc import Iterable
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.coordinators import (
    CoordinatorLease,
    count_hosts,
    find_claimable_leases,
)
from sequoia_policy.errors import ServiceError
from sequoia_policy.liveness import (
    NO_HEARTBEAT,
    LivenessTable,
    LivenessTiming,
)
from sequoia_policy.rates import MAX_FLEET_SIZE, StoreRates
from sequoia_policy.store_clocks import StoreClock
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import parse_address

from sequoia_rollouts.fleet.own_leases import OwnLease
from sequoia_rollouts.storage.stores import Row, RowRange, Store
from sequoia_rollouts.storage.tables import COORDINATORS, read_heartbeat

FRESH_READ = timedelta(milliseconds=500)  # age up to which a read is reused

log = Log('presence')
LEASES_NOT_READ = log.event('leases not read', 'detail', kind=LogKind.FAILURE)
LEASE_IGNORED = log.event(
    'lease ignored', 'lease', 'detail', kind=LogKind.FAILURE
)


@define
class HeartbeatService:
    """This host's view of the coordinator leases.

    Attributes:
        own: The lease and the heartbeat of this process.
        leases: All leases by name, as last read.
        store_clock: The clock of the store, known from the first read on.
        store_responded_at: When the store last responded.
    """

    store: Store
    clock: Clock
    own: OwnLease
    rates: StoreRates = field(factory=StoreRates)
    leases: dict[str, CoordinatorLease] = field(factory=dict)
    liveness: LivenessTable = field(factory=LivenessTable)
    store_responded_at: timedelta | None = None
    store_clock: StoreClock = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the clock of the store, which is not known yet."""
        self.store_clock = StoreClock(self.clock)

    @property
    def owner(self) -> str:
        """The name under which this process owns submissions and duties."""
        return self.own.heartbeat.owner

    @property
    def is_coordinator(self) -> bool:
        """Whether this process holds a lease."""
        return self.own.lease is not None

    @property
    def is_draining(self) -> bool:
        """Whether this host is shutting down."""
        return self.own.heartbeat.draining

    def find_feed_interval(self) -> timedelta:
        """Return the minimum time between reads of a table's changes."""
        return self.rates.find_feed_interval(self.count_hosts())

    def count_hosts(self) -> int:
        """Return the number of hosts of all failure domains, 0 if unknown."""
        return count_hosts(self.leases.values())

    def holds_lease(self) -> bool:
        """Return whether no other host can regard this one as dead."""
        age = self.own.age()
        return age is not None and age < self.liveness.timing.lease_length

    def is_dead(self, owner: str) -> bool:
        """Return whether the process called ``owner`` is dead."""
        if owner == self.owner:
            return False
        return self.liveness.is_dead(owner, self.clock.elapsed())

    def live_owners(self) -> list[str]:
        """Return the live coordinators that may own work.

        This process is among them if it is one, unless it is draining.
        """
        names = set(self.liveness.live_owners(self.clock.elapsed()))
        names.discard(self.owner)
        if self.is_coordinator and not self.is_draining:
            names.add(self.owner)
        return sorted(names)

    def find_claimable(self) -> list[str]:
        """Return the names of the leases that this host may claim."""
        return find_claimable_leases(
            self.leases.values(), self.own.heartbeat, self.is_dead
        )

    async def run_reader(self) -> None:
        """Read the leases until cancelled."""
        while True:
            started_at = self.clock.elapsed()
            try:
                await self.read()
            except ServiceError as failure:
                LEASES_NOT_READ.write(detail=failure.detail)
            remaining = self.find_read_interval() - (
                self.clock.elapsed() - started_at
            )
            await curio.sleep(max(0, remaining.total_seconds()))

    async def read(self) -> None:
        """Read all leases.

        Raises:
            ServiceError: If the store does not respond.
        """
        page = await self.store.read(RowRange(COORDINATORS))
        now = self.clock.elapsed()
        self.store_clock.record(page.now, now)
        self.store_responded_at = now
        self._apply(list(decode_leases(page.rows)), now)

    async def refresh(self) -> None:
        """Read all leases unless they were read a moment ago."""
        last_read = self.liveness.last_read
        if last_read and self.clock.elapsed() - last_read < FRESH_READ:
            return
        try:
            await self.read()
        except ServiceError as failure:
            LEASES_NOT_READ.write(detail=failure.detail)

    def find_read_interval(self) -> timedelta:
        """Return the time to the next read.

        Until the first read and until all leases of the failure domain are
        held, this host reads as often as a coordinator.
        """
        timing = self._find_timing()
        if self.liveness.last_read is None or self.find_claimable():
            return timing.interval
        return timing.read_interval

    def apply_role(self) -> None:
        """Use the timeouts of a coordinator or of an observer."""
        self.liveness.set_role(self._find_timing(), self.clock.elapsed())

    def _apply(self, leases: list[CoordinatorLease], now: timedelta) -> None:
        self.leases = {lease.name: lease for lease in leases}
        self.own.compare(leases)
        self.apply_role()
        self.liveness.update((lease.heartbeat for lease in leases), now)

    def _find_timing(self) -> LivenessTiming:
        interval = self.rates.find_heartbeat_interval(len(self.leases))
        return LivenessTiming(interval, observes_only=not self.is_coordinator)


def decode_leases(rows: Iterable[Row]) -> Iterable[CoordinatorLease]:
    """Decode leases; a row that cannot be used is a lease that nobody renews."""
    for row in rows:
        if row.body is None:
            continue
        try:
            yield decode_lease(row)
        except (ServiceError, ValueError) as error:
            LEASE_IGNORED.write(lease=row.key.key, detail=str(error))
            yield CoordinatorLease(row.key.key, row.version, NO_HEARTBEAT)


def decode_lease(row: Row) -> CoordinatorLease:
    """Decode a lease.

    Raises:
        ServiceError: If the row holds no heartbeat.
        ValueError: If it names no usable host or address.
    """
    heartbeat = read_heartbeat(row.body or b'')
    if not heartbeat.host or not heartbeat.boot:
        raise ValueError('the heartbeat names no process')
    if heartbeat.hosts > MAX_FLEET_SIZE:
        raise ValueError(f'the heartbeat counts {heartbeat.hosts} hosts')
    if heartbeat.address:
        parse_address(heartbeat.address)
    return CoordinatorLease(row.key.key, row.version, heartbeat)
