"""A simulated fleet: the shipped coordination code on a clock of its own.

The store is in memory, applies each call at once and refuses the transactions
that exceed the rate of a partition.
"""

import random
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.coordinators import list_lease_names
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.rates import StoreRates
from sequoia_policy.store_clocks import StoreClock
from sequoia_policy.verdicts import Verdict
from sequoia_rollouts.fleet.censuses import Census
from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.fleet.lease_keepers import LeaseKeeper
from sequoia_rollouts.fleet.own_leases import OwnLease
from sequoia_rollouts.storage.stores import ConflictError, Row, RowPage
from sequoia_rollouts.storage.tables import COORDINATORS

TICK = timedelta(milliseconds=100)
PARTITION_RATE = 150  # transactions per second
MAX_BACKLOG = 1.0  # seconds of waiting transactions


@define
class ManualClock:
    now: timedelta = timedelta(seconds=100)

    def elapsed(self):
        return self.now


@define(eq=False)
class BoundedStore:
    """Implements ``Store`` with a limited rate per partition.

    Attributes:
        free_at: When each partition has executed its transactions.
        refused: Number of transactions that were refused.
        lose_share: Share of the transactions whose response is lost.
        is_down: Whether every call fails.
        read_rows: Number of rows in the responses to all reads.
    """

    clock: ManualClock
    rng: random.Random
    rows: dict = field(factory=dict)
    version: int = 1
    free_at: dict = field(factory=dict)
    refused: int = 0
    reads: int = 0
    read_rows: int = 0
    transactions: int = 0
    lose_share: float = 0
    is_down: bool = False

    async def commit(self, transaction):
        self.check_up()
        part = transaction.writes[0].key.part
        now = self.clock.now.total_seconds()
        free_at = max(now, self.free_at.get(part, 0))
        if free_at - now > MAX_BACKLOG:
            self.refused += 1
            raise ServiceError(
                Code.STORE_UNAVAILABLE, '429', verdict=Verdict.NOT_RUN
            )
        self.free_at[part] = free_at + 1 / PARTITION_RATE
        self.transactions += 1
        for guard in transaction.guards:
            current = [self.rows[guard.key]] if guard.key in self.rows else []
            if sum(row.version for row in current) != guard.version:
                raise ConflictError(tuple(current))
        self.version += 1
        for write in transaction.writes:
            if write.body is None:
                self.rows.pop(write.key, None)
            else:
                row = Row(write.key, self.version, write.body)
                self.rows[write.key] = row
        if self.rng.random() < self.lose_share:
            raise ServiceError(Code.STORE_UNAVAILABLE, 'lost')
        return self.version

    async def read(self, row_range):
        self.check_up()
        self.reads += 1
        found = [
            row
            for key, row in self.rows.items()
            if (key.table, key.part) == (row_range.table, row_range.part)
        ]
        found.sort(key=lambda row: row.key.key)
        self.read_rows += len(found)
        return RowPage(tuple(found), self.version, self.clock.now)

    def check_up(self):
        if self.is_down:
            raise ServiceError(
                Code.STORE_UNAVAILABLE, 'down', verdict=Verdict.NOT_RUN
            )


@define(eq=False)
class FleetView:
    """What a host knows of its fleet, without coordination."""

    clock: ManualClock
    hosts: int
    rates: StoreRates = StoreRates()
    store_clock: StoreClock = field(init=False)

    def __attrs_post_init__(self):
        self.store_clock = StoreClock(self.clock, timedelta())

    def count_hosts(self):
        return self.hosts


@define(eq=False)
class SimulatedHost:
    """A host's coordination components and when each is due.

    Attributes:
        paused_until: Until when the host does not run.
        reaches_store: Whether its calls reach the store.
    """

    name: str
    heartbeats: HeartbeatService
    keeper: LeaseKeeper
    census: Census
    read_at: timedelta
    write_at: timedelta
    census_at: timedelta
    paused_until: timedelta = timedelta()
    reaches_store: bool = True

    @property
    def owner(self):
        return self.heartbeats.own.heartbeat.owner

    async def run_due(self, now, rng):
        """Do what is due, in random order."""
        if now < self.paused_until:
            return
        actions = [self.read, self.write, self.count]
        rng.shuffle(actions)
        for action in actions:
            await action(now)

    async def read(self, now):
        if now >= self.read_at:
            await self.attempt(self.heartbeats.read)
            self.read_at = now + self.heartbeats.find_read_interval()

    async def write(self, now):
        if now >= self.write_at:
            await self.attempt(self.keeper.step)
            self.write_at = now + self.keeper.find_interval()

    async def count(self, now):
        if now >= self.census_at and self.heartbeats.liveness.last_read:
            await self.attempt(self.census.step)
            self.census_at = now + TICK

    async def attempt(self, action):
        if not self.reaches_store:
            return
        try:
            await action()
        except ServiceError:
            return


@define(eq=False)
class Fleet:
    """Hosts that run against one store.

    Attributes:
        losses: Number of times that a host lost its lease.
    """

    rng: random.Random
    clock: ManualClock = field(factory=ManualClock)
    hosts: dict = field(factory=dict)
    store: BoundedStore = field(init=False)
    losses: int = 0

    def __attrs_post_init__(self):
        self.store = BoundedStore(self.clock, self.rng)

    def start(self, name, domain, capacity=1.0):
        own = OwnLease(self.clock, name, domain)
        heartbeats = HeartbeatService(self.store, self.clock, own)
        keeper = LeaseKeeper(
            heartbeats, self.store, self.clock, self.rng, capacity
        )
        census = Census(heartbeats, self.store, self.clock, self.rng)
        at = self.clock.now + timedelta(seconds=0.3 * self.rng.random())
        self.hosts[name] = SimulatedHost(
            name, heartbeats, keeper, census, at, at, at
        )
        return self.hosts[name]

    def start_domains(self, domains, hosts_per_domain):
        for number in range(domains):
            for index in range(hosts_per_domain):
                self.start(f'z{number}h{index}', f'z{number}')

    def restart(self, name):
        domain = self.hosts[name].heartbeats.own.domain
        return self.start(name, domain)

    async def run(self, duration, check=None):
        """Run all hosts for a simulated time, in random order each tick."""
        end = self.clock.now + duration
        while self.clock.now < end:
            self.clock.now += TICK
            hosts = list(self.hosts.values())
            self.rng.shuffle(hosts)
            for host in hosts:
                before = host.heartbeats.is_coordinator
                await host.run_due(self.clock.now, self.rng)
                if before and not host.heartbeats.is_coordinator:
                    self.losses += 1
            if check:
                check()

    def coordinators(self):
        return [
            host
            for host in self.hosts.values()
            if host.heartbeats.is_coordinator
        ]

    def stored_holders(self):
        """Return the names of the hosts that hold a lease, by lease name."""
        return {
            key.key: row.body
            for key, row in self.store.rows.items()
            if key.table == COORDINATORS
        }

    def lease_names(self, domains):
        return {
            name
            for number in range(domains)
            for name in list_lease_names(f'z{number}')
        }


def simulate(scenario, seed=1):
    """Run a scenario, an async function of a fleet."""
    fleet = Fleet(random.Random(seed))
    return curio.run(scenario, fleet)
