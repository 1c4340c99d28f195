"""Tests of fleets that share under which requests targets crash."""

import random
from datetime import timedelta

import curio
import pytest
from attrs import define, field
from fleet_simulation import BoundedStore, FleetView, ManualClock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget, Registration
from sequoia_rollouts.live.live_attempts import LiveRequest
from sequoia_rollouts.live.quarantines import Quarantine
from sequoia_rollouts.targets.senders import OutgoingRequest
from sequoia_rollouts.storage.stores import Row
from sequoia_wire.messages import RequestHead

SECOND = timedelta(seconds=1)
TICK = timedelta(milliseconds=50)
CONTACT = 3 * SECOND
MAX_LATER_SENDS = 3
FLEET_SIZES = (10, 195, 390)
REQUEST = LiveRequest(
    OutgoingRequest('r1', RequestHead('POST', '/live/x'), b'b'),
    'site.example',
    '/live/x',
    timedelta(),
)
CRASH = ServiceError(Code.TARGET_BROKE, 'closed')


class EveryTargetEnded:
    """Finds that each target that broke off has crashed, as here they do."""

    async def has_ended(self, target):
        return True


@define(eq=False)
class Host:
    """A host and when it next reads what the others observed."""

    quarantine: Quarantine
    read_at: timedelta


@define(eq=False)
class Fleet:
    """Hosts that receive one request again and again.

    Attributes:
        crashes: When a target crashed under the request.
    """

    size: int
    rng: random.Random
    clock: ManualClock = field(factory=ManualClock)
    hosts: list = field(factory=list)
    crashes: list = field(factory=list)
    store: BoundedStore = field(init=False)

    def __attrs_post_init__(self):
        self.store = BoundedStore(self.clock, self.rng)
        self.hosts = [self.make_host() for _ in range(self.size)]

    def make_host(self):
        heartbeats = FleetView(self.clock, self.size)
        quarantine = Quarantine(
            self.store, self.clock, heartbeats, EveryTargetEnded()
        )
        delay = quarantine.follower.find_feed_interval() * self.rng.random()
        return Host(quarantine, self.clock.now + delay)

    async def run(self, duration, rate):
        """Send the request at a mean rate to random hosts."""
        end = self.clock.now + duration
        while self.clock.now < end:
            self.clock.now += TICK
            for host in self.hosts:
                await self.read(host)
            if self.rng.random() < rate * TICK.total_seconds():
                await self.send(self.rng.choice(self.hosts).quarantine)

    async def read(self, host):
        """Apply all rows as a feed does, and store what is pending."""
        if self.clock.now < host.read_at or self.store.is_down:
            return
        follower = host.quarantine.follower
        host.read_at = self.clock.now + follower.find_feed_interval()
        rows = [Row(row.key, row.version, row.body) for row in self.list_rows()]
        await follower.on_listing(tuple(rows))

    def list_rows(self):
        return list(self.store.rows.values())

    async def send(self, quarantine):
        try:
            await quarantine.check(REQUEST)
        except ServiceError:
            return
        self.crashes.append(self.clock.now)
        name = f't{len(self.crashes)}'
        target = RegisteredTarget(Registration(name, 'app', 'a:1', 'z1'))
        await quarantine.record_failure(REQUEST, target, CRASH)


def count_later_crashes(fleet):
    """Return the crashes that come later than ``CONTACT`` after the third."""
    in_touch = fleet.crashes[2] + CONTACT
    return sum(time > in_touch for time in fleet.crashes)


@pytest.mark.parametrize('size', FLEET_SIZES)
@pytest.mark.parametrize('seed', range(3))
def test_fleet_sends_a_crashing_request_to_few_more_targets(size, seed):
    async def scenario():
        fleet = Fleet(size, random.Random(seed))
        fleet.store.lose_share = 0.2
        await fleet.run(300 * SECOND, 2)
        return fleet

    assert count_later_crashes(curio.run(scenario)) <= MAX_LATER_SENDS


@pytest.mark.parametrize('size', FLEET_SIZES)
def test_one_host_tries_the_request_again_after_its_quarantine(size):
    async def scenario():
        fleet = Fleet(size, random.Random(1))
        await fleet.run(10 * SECOND, 2)
        before = len(fleet.crashes)
        await fleet.run(240 * SECOND, 20)
        return len(fleet.crashes) - before

    assert curio.run(scenario) == 1


def test_crashes_seen_while_the_store_is_down_are_shared_later():
    async def scenario():
        fleet = Fleet(10, random.Random(1))
        quarantine = fleet.hosts[0].quarantine
        fleet.store.is_down = True
        for _ in range(3):
            await fleet.send(quarantine)
        assert quarantine.is_quarantined(REQUEST)
        assert not fleet.store.rows
        fleet.store.is_down = False
        writer = await curio.spawn(quarantine.run_writer)
        await curio.sleep(0.7)
        await writer.cancel()
        await fleet.run(2 * SECOND, 0)
        return [host.quarantine.is_quarantined(REQUEST) for host in fleet.hosts]

    assert all(curio.run(scenario))
