"""Tests of planning which engine loads which version next."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.loads import (
    OPTIONAL_LOAD_DELAY,
    EngineState,
    ModelNeed,
    plan_loads,
)

LONG_AGO = timedelta(seconds=9)
MANY = 1000  # items, more than the engines have slots


def make_need(newest=5, slack=1, model='m0', version_age=LONG_AGO, items=MANY):
    return ModelNeed(model, newest, slack, version_age, items)


def make_engines(*engine_versions):
    return [
        EngineState(f'e{number}', versions)
        for number, versions in enumerate(engine_versions)
    ]


def test_outdated_engines_load_the_newest_version_of_a_single_model():
    engines = make_engines((4,), (4,), (5,), (4,), (4,))
    planned = plan_loads(engines, [make_need()], 0)
    assert [load.engine for load in planned] == ['e0', 'e1']
    assert {load.version for load in planned} == {5}


def test_concurrent_loads_do_not_exceed_the_loading_share():
    engines = make_engines(*[(4,)] * 5)
    assert len(plan_loads(engines, [make_need()], 1)) == 1
    assert not plan_loads(engines, [make_need()], 2)


def test_engines_too_old_for_the_newest_step_load_without_delay():
    engines = make_engines((4,), (3,), (4,))
    need = make_need(version_age=timedelta())
    planned = plan_loads(engines, [need], 0)
    assert [load.engine for load in planned] == ['e1']
    assert planned[0].versions_behind == 2


def test_usable_engines_load_only_after_the_optional_load_delay():
    engines = make_engines((4,), (4,))
    assert not plan_loads(
        engines, [make_need(version_age=OPTIONAL_LOAD_DELAY / 2)], 0
    )
    assert plan_loads(engines, [make_need(version_age=OPTIONAL_LOAD_DELAY)], 0)


def test_models_load_only_on_their_share_of_common_engines():
    engines = make_engines((5, 4), (5, 4), (4, 5), (4, 5), (4, 4))
    needs = [make_need(), make_need(model='m1')]
    assert not plan_loads(engines, needs, 0)


def test_engines_of_all_models_load_if_steps_have_no_slack():
    engines = make_engines((5, 4), (5, 4), (4, 5), (4, 5), (4, 5))
    needs = [make_need(slack=0), make_need(slack=0, model='m1')]
    planned = plan_loads(engines, needs, 0)
    assert len(planned) == 2
    assert all(load.versions_behind == 1 for load in planned)


def simulate_versions(count, interval, version_count, items):
    """Return the number of orders and the final version of each engine.

    All engines start at version 1, and a new version is named every
    ``interval``. An order takes one second.
    """
    versions = [1] * count
    orders = 0
    tick = timedelta(milliseconds=500)
    ticks = interval // tick
    loading = []
    for newest in range(2, version_count + 2):
        for number in range(ticks):
            need = make_need(newest, 1, version_age=tick * number, items=items)
            for index, version in loading.pop(0) if len(loading) > 1 else ():
                versions[index] = version
            in_progress = {index: v for step in loading for index, v in step}
            engines = [
                EngineState(
                    str(index),
                    (max(version, in_progress.get(index, 0)),),
                    8,
                    0,
                    index not in in_progress,
                )
                for index, version in enumerate(versions)
            ]
            planned = plan_loads(engines, [need], len(in_progress))
            loading.append(
                [(int(load.engine), load.version) for load in planned]
            )
            orders += len(planned)
    return orders, versions


def test_only_engines_that_a_step_needs_load_every_version():
    orders, versions = simulate_versions(300, timedelta(seconds=4), 9, 56)
    engines = 14  # 56 items at 2 slots per item and 8 slots per engine
    assert orders <= 10 * engines
    assert sum(version >= 9 for version in versions) >= engines


def test_all_engines_load_a_version_that_stays_the_newest():
    orders, versions = simulate_versions(600, timedelta(seconds=29), 1, 512)
    assert versions == [2] * 600
    assert orders == 600


def test_engines_that_no_step_needs_load_gradually():
    engines = make_engines(*[(4,)] * 40)
    need = make_need(version_age=OPTIONAL_LOAD_DELAY, items=4)
    assert len(plan_loads(engines, [need], 0)) == 8
    later = make_need(version_age=LONG_AGO, items=0)
    assert len(plan_loads(engines, [later], 0)) == 2


version_pairs = st.tuples(st.integers(1, 6), st.integers(1, 6))


@given(st.lists(version_pairs, min_size=1, max_size=9), st.integers(0, 2))
def test_repeated_planning_updates_all_outdated_engines(drawn, slack):
    """Executing the planned orders repeatedly leaves no engine too old."""
    state = {f'e{number}': list(pair) for number, pair in enumerate(drawn)}
    needs = [make_need(6, slack), make_need(6, slack, 'm1')]
    for _ in range(40):
        engines = [
            EngineState(name, tuple(pair)) for name, pair in state.items()
        ]
        planned = plan_loads(engines, needs, 0)
        names = [load.engine for load in planned]
        assert len(names) == len(set(names))
        for load in planned:
            index = 0 if load.model == 'm0' else 1
            assert state[load.engine][index] < load.version
            state[load.engine][index] = load.version
    assert all(
        6 - version <= slack for pair in state.values() for version in pair
    )
    assert not planned
