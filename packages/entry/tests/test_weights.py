"""Tests of the spread of weights to engines that fail or obey anybody."""

from datetime import timedelta

import curio
import pytest
from hosts import ORDER_SECRET, add_target, listen_http, make_state
from sequoia_policy.leases import LEASE_LENGTH
from sequoia_standins.engines import (
    SWAPPING,
    EngineFaults,
    EngineStandin,
    EngineTraits,
)
from sequoia_standins.platforms import WeightsStandin
from sequoia_wire.platform_messages import TargetStatus
from sequoiashed.grants import Grant
from sequoiashed.weights import WeightsDuty

TRAITS = EngineTraits(
    load_time=timedelta(milliseconds=20),
    swap_time=timedelta(milliseconds=20),
)


def make_engines(count, **faults):
    return [
        EngineStandin(
            TargetStatus(f'engine-{n}', 1),
            'bali',
            TRAITS,
            EngineFaults(**faults),
        )
        for n in range(count)
    ]


async def start(engines, newest, renewed=None):
    """Start a duty; return the state and the tasks."""
    weights = WeightsStandin({'lm-pool': newest})
    store_address, task = await listen_http(weights.handle)
    state = make_state(weight_store=str(store_address))
    tasks = [task]
    for engine in engines:
        address, served = await listen_http(engine.handle)
        add_target(state, engine.status.name, address, pool='lm-pool')
        tasks.append(served)
    since = state.clock.elapsed() if renewed is None else renewed
    duty = WeightsDuty(state, 'lm-pool')
    grant = Grant(4, state, since)
    tasks.append(await curio.spawn(duty.run, grant, daemon=True))
    return state, tasks, weights


async def stop(tasks):
    for task in tasks:
        await task.cancel()


async def spread(engines, seconds=6.0):
    """Spread version 3; return the fewest engines that served meanwhile."""
    _state, tasks, _weights = await start(engines, 3)
    fewest = len(engines)
    waited = 0.0
    while waited < seconds:
        versions = [engine.status.version for engine in engines]
        serving = sum(version != SWAPPING for version in versions)
        fewest = min(fewest, serving)
        if set(versions) == {3}:
            break
        await curio.sleep(0.01)
        waited += 0.01
    await stop(tasks)
    return fewest


def test_a_new_version_reaches_all_engines():
    engines = make_engines(6)
    curio.run(spread, engines)
    assert {engine.status.version for engine in engines} == {3}


def test_each_engine_loads_before_it_activates():
    engines = make_engines(3)
    curio.run(spread, engines)
    for engine in engines:
        kinds = [order.load is not None for order in engine.orders]
        assert kinds == sorted(kinds, reverse=True)


def test_a_swap_that_fails_partway_is_repaired():
    engines = make_engines(4, fail_swaps=1)
    curio.run(spread, engines)
    assert {engine.status.version for engine in engines} == {3}


async def wait_for_lapse():
    """A holder that wakes after its lease has lapsed gives no order."""
    engines = make_engines(3)
    long_ago = timedelta(seconds=-1) - LEASE_LENGTH
    state, tasks, _weights = await start(engines, 3, renewed=long_ago)
    await curio.sleep(0.6)
    await stop(tasks)
    return engines, state


def test_a_lapsed_holder_gives_no_order_even_to_engines_that_obey_anybody():
    engines, _state = curio.run(wait_for_lapse)
    assert not any(engine.orders for engine in engines)


@pytest.mark.parametrize('checks', [True, False])
def test_fencing_is_honoured_or_read_back(checks):
    """An order of an older lease reaches an engine after a newer one."""

    async def run():
        engines = make_engines(2)
        if checks:
            traits = EngineTraits(
                load_time=TRAITS.load_time,
                swap_time=TRAITS.swap_time,
                checks_fencing=True,
                order_secret=ORDER_SECRET,
            )
            for engine in engines:
                engine.traits = traits
                engine.fencing = 9
        _state, tasks, _weights = await start(engines, 3)
        await curio.sleep(1.0)
        await stop(tasks)
        return engines

    expected = {0} if checks else {3}
    assert {engine.status.version for engine in curio.run(run)} == expected


@pytest.mark.parametrize('secret', [ORDER_SECRET, 'another secret'])
def test_engines_that_check_orders_obey_only_genuine_ones(secret):
    traits = EngineTraits(
        load_time=TRAITS.load_time,
        swap_time=TRAITS.swap_time,
        checks_fencing=True,
        order_secret=secret,
    )
    engines = make_engines(2)
    for engine in engines:
        engine.traits = traits
    curio.run(spread, engines, 1.5)
    expected = 3 if secret == ORDER_SECRET else 0
    assert {engine.status.version for engine in engines} == {expected}


async def restart_older():
    """An engine restarts with an older version: it is brought up again."""
    engines = make_engines(2)
    state, tasks, _weights = await start(engines, 3)
    await wait_versions(engines, {3})
    engines[0].status = TargetStatus('engine-0', 2, version=1, loaded=1)
    await wait_versions(engines, {3})
    await stop(tasks)
    return engines, state


async def wait_versions(engines, wanted, seconds=5.0):
    waited = 0.0
    while waited < seconds:
        if {engine.status.version for engine in engines} == wanted:
            return
        await curio.sleep(0.02)
        waited += 0.02


def test_an_engine_that_restarts_with_an_older_version_is_brought_up():
    engines, _state = curio.run(restart_older)
    assert {engine.status.version for engine in engines} == {3}
