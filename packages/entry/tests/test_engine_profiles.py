"""Tests of the duty that assigns roles and adapters to engines."""

import curio
from hosts import (
    POOL,
    add_target,
    change_pool,
    listen_http,
    make_call,
    make_state,
    make_test_router,
)
from sequoia_standins.engines import EngineStandin
from sequoia_wire.platform_messages import TargetStatus
from sequoiashed.calls import ROLLOUT_PRIORITY
from sequoiashed.engine_profiles import ProfileDuty
from sequoiashed.grants import Grant

EXPECTED_ORDERS = 4 * 2 + 3  # two adapters each, three roles


async def apply_profiles(changes):
    """Run the duty until all orders are sent; return state and engines."""
    state = make_state()
    change_pool(state, **changes)
    engines = [
        EngineStandin(TargetStatus(f'engine-{n}', 1), 'bali') for n in range(4)
    ]
    tasks = []
    for engine in engines:
        address, task = await listen_http(engine.handle)
        add_target(state, engine.status.name, address, pool=POOL)
        tasks.append(task)
    duty = ProfileDuty(state, POOL)
    grant = Grant(1, state, state.clock.elapsed())
    tasks.append(await curio.spawn(duty.run, grant, daemon=True))
    for _ in range(100):
        orders = sum(len(engine.orders) for engine in engines)
        if orders == EXPECTED_ORDERS:
            break
        await curio.sleep(0.1)
    await curio.sleep(0.1)
    for server in tasks:
        await server.cancel()
    return state, engines


def test_engines_get_adapters_and_roles_of_plan():
    changes = {
        'adapters': ('night', 'flood'),
        'live_share': 0.25,
        'rollout_share': 0.5,
    }
    state, engines = curio.run(apply_profiles, changes)
    for engine in engines:
        assert engine.status.adapters == ('flood', 'night')
    roles = sorted(engine.status.role for engine in engines)
    assert roles == ['both', 'live', 'rollout', 'rollout']
    router = make_test_router(state)
    live = router.usable_targets(make_call(state, engine=True))
    rollouts = router.usable_targets(
        make_call(state, engine=True, priority=ROLLOUT_PRIORITY),
    )
    assert len(live) == 2
    assert len(rollouts) == 3
