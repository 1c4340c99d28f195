"""Tests of duties: one acting host despite faults, takeover, restarts."""

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
        raise OSError('duty failed')


def make_managers(count, duty=IdleDuty, *, outlasts=False):
    """Return managers that share one store and one clock."""
    clock = ManualClock()
    store = MemoryStore()
    states = [
        make_state(f'entry-{n}', store=store, clock=clock) for n in range(count)
    ]
    plans = (DutyPlan(NAME, frozenset((BALI,)), duty, outlasts),)
    managers = [DutyManager(state, (lambda: plans,)) for state in states]
    return clock, store, managers


def gossip(managers, now):
    """Exchange the member rows of all hosts."""
    for manager in managers:
        manager.state.members.tick(now)
    rows = tuple(manager.state.members.own_member for manager in managers)
    for receiving in managers:
        receiving.state.members.receive(Digest('x', rows), now)


async def poll_leases(manager, clock):
    """Poll the table once, as the row poller does."""
    requested_at = clock.elapsed()
    try:
        rows = await manager.state.store.read(TableQuery(manager.keys()))
    except Exception:  # noqa: BLE001
        return
    await manager.accept(rows, requested_at)


def find_acting(managers):
    return [
        manager
        for manager in managers
        for held_duty in manager.held_duties.values()
        if held_duty.grant.may_act()
    ]


async def run_managers(schedule, faults):
    """Run only the scheduled managers in each tick; the others are paused.

    Returns the maximum number of managers that could act at once.
    """
    clock, store, managers = make_managers(3)
    max_acting = 0
    store.faults = deque(faults)
    for running in schedule:
        clock.advance(TICK)
        gossip(managers, clock.elapsed())
        for index in running:
            await poll_leases(managers[index], clock)
            max_acting = max(max_acting, len(find_acting(managers)))
    return max_acting


@given(
    st.lists(st.lists(st.integers(0, 2), max_size=3), max_size=60),
    st.lists(st.sampled_from(['ok', 'ok', 'before', 'after']), max_size=60),
)
def test_at_most_one_host_acts_despite_pauses_and_store_faults(
    schedule, faults
):
    assert curio.run(run_managers, schedule, faults) <= 1


async def make_holder():
    """Return the clock, three managers, and the one that holds the duty."""
    clock, _store, managers = make_managers(3)
    gossip(managers, clock.elapsed())
    for manager in managers:
        await poll_leases(manager, clock)
    (holder,) = find_acting(managers)
    return clock, managers, holder


async def wait_until_acting(clock, survivors):
    """Advance the clock until one of the survivors acts."""
    while not find_acting(survivors):
        clock.advance(TICK)
        gossip(survivors, clock.elapsed())
        for survivor in survivors:
            await poll_leases(survivor, clock)


async def kill_holder():
    clock, managers, holder = await make_holder()
    survivors = [manager for manager in managers if manager is not holder]
    killed_at = clock.elapsed()
    await wait_until_acting(clock, survivors)
    return clock.elapsed() - killed_at


def test_dead_holder_is_replaced_soon_after_its_lease_expires():
    assert curio.run(kill_holder) <= LEASE_LENGTH + timedelta(seconds=3)


async def drain_holder():
    clock, managers, holder = await make_holder()
    holder.state.draining = True
    await holder.drain()
    survivors = [manager for manager in managers if manager is not holder]
    released_at = clock.elapsed()
    await wait_until_acting(clock, survivors)
    return clock.elapsed() - released_at, len(holder.held_duties)


def test_draining_holder_releases_its_leases_for_prompt_takeover():
    takeover_time, held_count = curio.run(drain_holder)
    assert held_count == 0
    assert takeover_time <= timedelta(seconds=3)


async def expire_lease():
    clock, store, managers = make_managers(1)
    await poll_leases(managers[0], clock)
    before = find_acting(managers)
    store.faults = deque(['before'] * 50)
    clock.advance(LEASE_LENGTH)
    return len(before), len(find_acting(managers))


def test_holder_without_store_may_not_act_at_the_end_of_its_lease():
    assert curio.run(expire_lease) == (1, 0)


async def outlast_lease():
    """Run a duty past its unrenewed lease until another host acquires it."""
    clock, store, managers = make_managers(2, outlasts=True)
    gossip(managers, clock.elapsed())
    for manager in managers:
        await poll_leases(manager, clock)
    for polling in managers:
        await poll_leases(polling, clock)
    (holder,) = [manager for manager in managers if manager.held_duties]
    (other,) = [manager for manager in managers if not manager.held_duties]
    enforcer = await curio.spawn(holder.enforce_leases, daemon=True)
    clock.advance(LEASE_LENGTH * 2)
    await curio.sleep(0.3)
    held_during_outage = len(holder.held_duties)
    gossip(managers, clock.elapsed())
    await poll_leases(other, clock)
    gossip(managers, clock.elapsed())
    await poll_leases(holder, clock)
    await enforcer.cancel()
    return (
        held_during_outage,
        len(holder.held_duties),
        len(other.held_duties),
        store,
    )


def test_duty_that_outlasts_its_lease_stops_once_another_host_holds_it():
    held_during_outage, held_after, acquired, _store = curio.run(outlast_lease)
    assert (held_during_outage, held_after, acquired) == (1, 0, 1)


async def restart_duty():
    clock, _store, managers = make_managers(1, FailingDuty)
    await poll_leases(managers[0], clock)
    first = managers[0].held_duties[NAME].task
    await curio.sleep(0.01)
    clock.advance(timedelta(seconds=3))
    await poll_leases(managers[0], clock)
    return first is not managers[0].held_duties[NAME].task


def test_failed_duty_is_restarted():
    assert curio.run(restart_duty)
