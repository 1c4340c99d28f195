"""Tests of permits in fleets that share a limited target."""

import random
from bisect import bisect_left
from datetime import timedelta

import curio
import pytest
from attrs import define, field
from fleet_simulation import BoundedStore, FleetView, ManualClock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.permits import Urgency
from sequoia_policy.registries import RegisteredTarget, Registration
from sequoia_rollouts.targets.permits import PermitTaker

SECOND = timedelta(seconds=1)
TICK = timedelta(milliseconds=10)
WINDOW = 4 * SECOND
SLACK = 1.5  # times the limit
EXTRA = 5  # requests
TOLD_AFTER = SECOND / 2
FLEET_SIZES = (10, 195, 390)
REGISTRATION = Registration('t1', 'app', '127.0.0.1:1', 'z1')


@define(eq=False)
class ReachableStore:
    """A store that serves one host or turns it away.

    Attributes:
        delay: Seconds that each call takes.
    """

    store: BoundedStore
    is_reachable: bool = True
    delay: float = 0

    async def commit(self, transaction):
        if not self.is_reachable:
            raise ServiceError(Code.STORE_UNAVAILABLE, 'turned away')
        if self.delay:
            await curio.sleep(self.delay)
        return await self.store.commit(transaction)


@define(eq=False)
class Host:
    """A host that sends requests to the target.

    Attributes:
        told_at: When a response first named the limit to it.
    """

    store: ReachableStore
    permits: PermitTaker
    target: RegisteredTarget = field(
        factory=lambda: RegisteredTarget(REGISTRATION)
    )
    told_at: timedelta | None = None

    def __attrs_post_init__(self):
        process = self.target.registration.process
        self.target.announced = self.permits.announcements.find(process)


@define(eq=False)
class Fleet:
    """Hosts that send random requests to a target with a limit.

    Attributes:
        limit: Requests per second; 0 if the target names none.
        arrivals: Times of the requests of hosts that had been told.
        sent: Number of requests that reached the target.
    """

    size: int
    limit: float
    rng: random.Random
    clock: ManualClock = field(factory=ManualClock)
    hosts: list = field(factory=list)
    arrivals: list = field(factory=list)
    sent: int = 0
    store: BoundedStore = field(init=False)

    def __attrs_post_init__(self):
        self.store = BoundedStore(self.clock, self.rng)
        self.hosts = [self.make_host() for _ in range(self.size)]

    def make_host(self):
        store = ReachableStore(self.store)
        heartbeats = FleetView(self.clock, self.size)
        permits = PermitTaker(store, self.clock, heartbeats, self.rng)
        return Host(store, permits)

    async def run(self, seconds, rate, urgency=Urgency.LIVE):
        """Send requests at a mean rate from random hosts."""
        for _ in range(round(seconds * SECOND / TICK)):
            self.clock.now += TICK
            await curio.sleep(0)  # lets spawned tasks run
            count, part = divmod(rate * TICK.total_seconds(), 1)
            for _ in range(round(count) + (self.rng.random() < part)):
                await self.send(self.rng.choice(self.hosts), urgency)

    async def send(self, host, urgency):
        now = self.clock.now
        if not host.target.is_open(urgency, now):
            return
        try:
            await host.permits.acquire(host.target, urgency)
        except ServiceError:
            return
        self.sent += 1
        if host.told_at is not None and now >= host.told_at + TOLD_AFTER:
            self.arrivals.append(now)
        if self.limit:
            host.permits.record_limit(host.target, self.limit)
            host.told_at = host.told_at or now
        else:
            await host.permits.record_no_limit(host.target, now)
            host.told_at = None

    def check_limit(self):
        allowed = self.limit * WINDOW.total_seconds() * SLACK + EXTRA
        for number, first in enumerate(self.arrivals):
            end = bisect_left(self.arrivals, first + WINDOW)
            assert end - number <= allowed


def simulate(scenario, size, limit, seed):
    fleet = Fleet(size, limit, random.Random(seed))
    curio.run(scenario, fleet)
    return fleet


@pytest.mark.parametrize('size', FLEET_SIZES)
@pytest.mark.parametrize('limit', [1, 3, 20])
@pytest.mark.parametrize('seed', range(3))
def test_hosts_that_were_told_keep_the_limit_and_use_it(size, limit, seed):
    async def scenario(fleet):
        await fleet.run(30, limit * 4)
        before = fleet.sent
        await fleet.run(20, limit * 4)
        assert fleet.sent - before >= limit * 20 * 0.9

    simulate(scenario, size, limit, seed).check_limit()


@pytest.mark.parametrize('size', FLEET_SIZES)
def test_one_host_that_sends_most_requests_may_use_the_limit(size):
    async def scenario(fleet):
        fleet.hosts = fleet.hosts[:1]
        await fleet.run(5, 80, Urgency.ROLLOUT)
        before = fleet.sent
        await fleet.run(20, 80, Urgency.ROLLOUT)
        assert fleet.sent - before >= 30 * 20 * 0.9

    simulate(scenario, size, 30, 1).check_limit()


@pytest.mark.parametrize('size', FLEET_SIZES)
@pytest.mark.parametrize('seed', range(3))
def test_limit_holds_while_store_is_down_for_all_or_some(size, seed):
    async def scenario(fleet):
        await fleet.run(20, 40)
        fleet.store.is_down = True
        await fleet.run(10, 40)
        fleet.store.is_down = False
        for host in fleet.hosts[: size // 3]:
            host.store.is_reachable = False
        await fleet.run(10, 40)
        for host in fleet.hosts:
            host.store.is_reachable = True
        await fleet.run(10, 40)

    simulate(scenario, size, 4, seed).check_limit()


@pytest.mark.parametrize('size', FLEET_SIZES)
def test_limit_holds_while_hosts_restart(size):
    async def scenario(fleet):
        for number in range(size):
            await fleet.run(40 / size, 40)
            fleet.hosts[number] = fleet.make_host()

    simulate(scenario, size, 3, 1).check_limit()


def test_rollouts_leave_permits_for_live_requests():
    async def scenario(fleet):
        await fleet.run(10, 100, Urgency.ROLLOUT)
        before = fleet.sent
        await fleet.run(0.1, 100, Urgency.LIVE)
        assert fleet.sent > before

    simulate(scenario, 10, 10, 1)


@pytest.mark.parametrize('size', FLEET_SIZES)
def test_all_hosts_learn_from_one_that_the_limit_has_ended(size):
    async def scenario(fleet):
        await fleet.run(60, 20)
        fleet.limit = 0
        await fleet.run(10, 50)

    fleet = simulate(scenario, size, 2, 1)
    limited = [host for host in fleet.hosts if host.target.announced.limit]
    assert len(limited) < size / 4


def test_requests_of_a_host_that_wait_together_share_one_transaction():
    async def main():
        fleet = Fleet(1, 20, random.Random(1))
        host = fleet.hosts[0]
        host.store.delay = 0.01
        host.permits.record_limit(host.target, 20)
        async with curio.TaskGroup() as group:
            for _ in range(8):
                await group.spawn(
                    host.permits.acquire, host.target, Urgency.LIVE
                )
        return fleet.store.transactions

    assert curio.run(main) <= 2
