"""Tests of weight updates on engines that fail or do not check orders."""

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
    """Start a duty; return the state, the tasks and the weight store."""
    weights = WeightsStandin({'lm-pool': newest})
    store_address, task = await listen_http(weights.handle)
    state = make_state(weight_store=str(store_address))
    tasks = [task]
    for engine in engines:
        address, server = await listen_http(engine.handle)
        add_target(state, engine.status.name, address, pool='lm-pool')
        tasks.append(server)
    renewed_at = state.clock.elapsed() if renewed is None else renewed
    duty = WeightsDuty(state, 'lm-pool')
    grant = Grant(4, state, renewed_at)
    tasks.append(await curio.spawn(duty.run, grant, daemon=True))
    return state, tasks, weights


async def stop(tasks):
    for task in tasks:
        await task.cancel()


async def roll_out(engines, seconds=6.0):
    """Roll out version 3; return the minimum number of serving engines."""
    _state, tasks, _weights = await start(engines, 3)
    min_serving = len(engines)
    waited = 0.0
    while waited < seconds:
        versions = [engine.status.version for engine in engines]
        serving = sum(version != SWAPPING for version in versions)
        min_serving = min(min_serving, serving)
        if set(versions) == {3}:
            break
        await curio.sleep(0.01)
        waited += 0.01
    await stop(tasks)
    return min_serving


def test_new_version_reaches_all_engines():
    engines = make_engines(6)
    curio.run(roll_out, engines)
    assert {engine.status.version for engine in engines} == {3}


def test_each_engine_loads_version_before_activating_it():
    engines = make_engines(3)
    curio.run(roll_out, engines)
    for engine in engines:
        kinds = [order.load is not None for order in engine.orders]
        assert kinds == sorted(kinds, reverse=True)


def test_swap_that_fails_partway_is_repeated():
    engines = make_engines(4, fail_swaps=1)
    curio.run(roll_out, engines)
    assert {engine.status.version for engine in engines} == {3}


async def run_with_expired_lease():
    """Run a holder that resumes after its lease has expired."""
    engines = make_engines(3)
    long_ago = timedelta(seconds=-1) - LEASE_LENGTH
    state, tasks, _weights = await start(engines, 3, renewed=long_ago)
    await curio.sleep(0.6)
    await stop(tasks)
    return engines, state


def test_holder_of_expired_lease_sends_no_order_even_if_engines_obey_all():
    engines, _state = curio.run(run_with_expired_lease)
    assert not any(engine.orders for engine in engines)


@pytest.mark.parametrize('checks', [True, False])
def test_order_of_older_lease_is_obeyed_only_without_fencing_check(checks):
    """Send orders of an older lease to engines that obeyed a newer one."""

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
def test_engines_that_check_signatures_obey_only_valid_orders(secret):
    traits = EngineTraits(
        load_time=TRAITS.load_time,
        swap_time=TRAITS.swap_time,
        checks_fencing=True,
        order_secret=secret,
    )
    engines = make_engines(2)
    for engine in engines:
        engine.traits = traits
    curio.run(roll_out, engines, 1.5)
    expected = 3 if secret == ORDER_SECRET else 0
    assert {engine.status.version for engine in engines} == {expected}


async def restart_older():
    """Restart an engine with an older version; wait for its update."""
    engines = make_engines(2)
    state, tasks, _weights = await start(engines, 3)
    await wait_versions(engines, {3})
    engines[0].status = TargetStatus('engine-0', 2, version=1, loaded=1)
    await wait_versions(engines, {3})
    await stop(tasks)
    return engines, state


async def wait_versions(engines, expected, seconds=5.0):
    waited = 0.0
    while waited < seconds:
        if {engine.status.version for engine in engines} == expected:
            return
        await curio.sleep(0.02)
        waited += 0.02


def test_engine_that_restarts_with_older_version_is_updated():
    engines, _state = curio.run(restart_older)
    assert {engine.status.version for engine in engines} == {3}
