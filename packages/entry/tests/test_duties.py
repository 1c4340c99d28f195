"""Tests of duties: one holder, takeover, pauses, lost answers."""

from collections import deque
from datetime import timedelta

import curio
from attrs import define
from hosts import BALI, make_state
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.clocks import ManualClock
from sequoia_policy.leases import LEASE_LENGTH
from sequoia_policy.members import Digest
from sequoia_standins.fakes import MemoryStore
from sequoia_wire.platform_messages import TableQuery
from sequoiashed.duties import DutyManager
from sequoiashed.grants import DutyPlan

TICK = timedelta(milliseconds=500)
NAME = 'weights/lm-pool/bali'


@define
class IdleDuty:
    """Does nothing until cancelled."""

    async def run(self, grant):
        await curio.sleep(1000)


@define
class FailingDuty:
    """Ends at once with an error."""

    async def run(self, grant):
        raise OSError('a broken duty')


def make_keepers(count, duty=IdleDuty, *, outlasts=False):
    """Return keepers on one store and one clock that know each other."""
    clock = ManualClock()
    store = MemoryStore()
    states = [
        make_state(f'entry-{n}', store=store, clock=clock) for n in range(count)
    ]
    plans = (DutyPlan(NAME, frozenset((BALI,)), duty, outlasts),)
    keepers = [DutyManager(state, (lambda: plans,)) for state in states]
    return clock, store, keepers


def gossip(keepers, now):
    """Let all hosts hear of each other."""
    for keeper in keepers:
        keeper.state.members.tick(now)
    rows = tuple(keeper.state.members.own_member for keeper in keepers)
    for hearing in keepers:
        hearing.state.members.receive(Digest('x', rows), now)


async def read_board(keeper, clock):
    """Do one reading of the table, as the board does."""
    asked = clock.elapsed()
    try:
        rows = await keeper.state.store.read(TableQuery(keeper.keys()))
    except Exception:  # noqa: BLE001
        return
    await keeper.accept(rows, asked)


def find_acting(keepers):
    return [
        keeper
        for keeper in keepers
        for holding in keeper.held.values()
        if holding.grant.may_act()
    ]


async def run_keepers(schedule, faults):
    """Run only the drawn keepers in each tick; the others are paused."""
    clock, store, keepers = make_keepers(3)
    most = 0
    store.faults = deque(faults)
    for running in schedule:
        clock.advance(TICK)
        gossip(keepers, clock.elapsed())
        for place in running:
            await read_board(keepers[place], clock)
            most = max(most, len(find_acting(keepers)))
    return most


@given(
    st.lists(st.lists(st.integers(0, 2), max_size=3), max_size=60),
    st.lists(st.sampled_from(['ok', 'ok', 'before', 'after']), max_size=60),
)
def test_no_two_hosts_act_whatever_pauses_and_fails(schedule, faults):
    assert curio.run(run_keepers, schedule, faults) <= 1


async def make_holder():
    """Return clock, keepers, and the one of three that holds the duty."""
    clock, _store, keepers = make_keepers(3)
    gossip(keepers, clock.elapsed())
    for keeper in keepers:
        await read_board(keeper, clock)
    (holder,) = find_acting(keepers)
    return clock, keepers, holder


async def wait_acting(clock, survivors):
    """Let time pass until one of the survivors acts."""
    while not find_acting(survivors):
        clock.advance(TICK)
        gossip(survivors, clock.elapsed())
        for survivor in survivors:
            await read_board(survivor, clock)


async def kill_holder():
    clock, keepers, holder = await make_holder()
    survivors = [keeper for keeper in keepers if keeper is not holder]
    killed_at = clock.elapsed()
    await wait_acting(clock, survivors)
    return clock.elapsed() - killed_at


def test_a_dead_holder_is_followed_within_seconds():
    assert curio.run(kill_holder) <= LEASE_LENGTH + timedelta(seconds=3)


async def drain_holder():
    clock, keepers, holder = await make_holder()
    holder.state.draining = True
    await holder.drain()
    survivors = [keeper for keeper in keepers if keeper is not holder]
    released_at = clock.elapsed()
    await wait_acting(clock, survivors)
    return clock.elapsed() - released_at, len(holder.held)


def test_a_draining_holder_releases_its_duties_by_name():
    waited, held = curio.run(drain_holder)
    assert held == 0
    assert waited <= timedelta(seconds=3)


async def lapse():
    clock, store, keepers = make_keepers(1)
    await read_board(keepers[0], clock)
    before = find_acting(keepers)
    store.faults = deque(['before'] * 50)
    clock.advance(LEASE_LENGTH)
    return len(before), len(find_acting(keepers))


def test_without_the_store_the_holder_stops_before_its_lease_ends():
    assert curio.run(lapse) == (1, 0)


async def outlast():
    """Without the store a duty of two holders goes on; the next stops it."""
    clock, store, keepers = make_keepers(2, outlasts=True)
    gossip(keepers, clock.elapsed())
    for keeper in keepers:
        await read_board(keeper, clock)
    for following in keepers:
        await read_board(following, clock)
    (holder,) = [keeper for keeper in keepers if keeper.held]
    (other,) = [keeper for keeper in keepers if not keeper.held]
    guard = await curio.spawn(holder.guard, daemon=True)
    clock.advance(LEASE_LENGTH * 2)
    await curio.sleep(0.3)
    held_while_away = len(holder.held)
    gossip(keepers, clock.elapsed())
    await read_board(other, clock)
    gossip(keepers, clock.elapsed())
    await read_board(holder, clock)
    await guard.cancel()
    return held_while_away, len(holder.held), len(other.held), store


def test_a_duty_that_outlasts_its_lease_ends_when_another_holds_it():
    held_while_away, held, taken, _store = curio.run(outlast)
    assert (held_while_away, held, taken) == (1, 0, 1)


async def restart_duty():
    clock, _store, keepers = make_keepers(1, FailingDuty)
    await read_board(keepers[0], clock)
    first = keepers[0].held[NAME].task
    await curio.sleep(0.01)
    clock.advance(timedelta(seconds=3))
    await read_board(keepers[0], clock)
    return first is not keepers[0].held[NAME].task


def test_a_duty_that_failed_is_started_again():
    assert curio.run(restart_duty)
