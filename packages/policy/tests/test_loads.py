"""Tests of which engines load which version next."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.loads import (
    START_DELAY,
    EngineState,
    ModelNeed,
    plan_loads,
)

LONG_AGO = timedelta(seconds=9)
MANY = 1000  # items, more than the engines have slots


def make_need(newest=5, slack=1, model='m0', named_for=LONG_AGO, items=MANY):
    return ModelNeed(model, newest, slack, named_for, items)


def make_engines(*held):
    return [
        EngineState(f'e{number}', versions)
        for number, versions in enumerate(held)
    ]


def test_all_engines_load_the_newest_version_of_a_single_model():
    engines = make_engines((4,), (4,), (5,), (4,), (4,))
    planned = plan_loads(engines, [make_need()], 0)
    assert [load.engine for load in planned] == ['e0', 'e1']
    assert {load.version for load in planned} == {5}


def test_no_more_engines_load_at_a_time_than_their_share():
    engines = make_engines(*[(4,)] * 5)
    assert len(plan_loads(engines, [make_need()], 1)) == 1
    assert not plan_loads(engines, [make_need()], 2)


def test_engines_too_old_for_the_newest_step_load_first_and_at_once():
    engines = make_engines((4,), (3,), (4,))
    need = make_need(named_for=timedelta())
    planned = plan_loads(engines, [need], 0)
    assert [load.engine for load in planned] == ['e1']
    assert planned[0].behind == 2


def test_a_step_that_waits_for_a_version_starts_before_the_loads():
    engines = make_engines((4,), (4,))
    assert not plan_loads(engines, [make_need(named_for=START_DELAY / 2)], 0)
    assert plan_loads(engines, [make_need(named_for=START_DELAY)], 0)


def test_models_that_share_engines_load_on_their_share_of_them():
    engines = make_engines((5, 4), (5, 4), (4, 5), (4, 5), (4, 4))
    needs = [make_need(), make_need(model='m1')]
    assert not plan_loads(engines, needs, 0)


def test_a_step_without_slack_has_all_engines_load():
    engines = make_engines((5, 4), (5, 4), (4, 5), (4, 5), (4, 5))
    needs = [make_need(slack=0), make_need(slack=0, model='m1')]
    planned = plan_loads(engines, needs, 0)
    assert len(planned) == 2
    assert all(load.behind == 1 for load in planned)


def play_versions(count, period, versions, items):
    """Return the orders that a fleet gets, and its versions at the end.

    A version is named each ``period``, starting with all engines at 1; an
    order takes one second.
    """
    held = [1] * count
    orders = 0
    tick = timedelta(milliseconds=500)
    ticks = period // tick
    loading = []
    for newest in range(2, versions + 2):
        for number in range(ticks):
            need = make_need(newest, 1, named_for=tick * number, items=items)
            for place, version in loading.pop(0) if len(loading) > 1 else ():
                held[place] = version
            under_way = {place: v for step in loading for place, v in step}
            engines = [
                EngineState(
                    str(place),
                    (max(version, under_way.get(place, 0)),),
                    8,
                    0,
                    place not in under_way,
                )
                for place, version in enumerate(held)
            ]
            planned = plan_loads(engines, [need], len(under_way))
            loading.append([(int(one.engine), one.version) for one in planned])
            orders += len(planned)
    return orders, held


def test_of_many_engines_those_that_a_step_needs_load_at_once():
    orders, held = play_versions(300, timedelta(seconds=4), 9, 56)
    engines = 14  # 56 items, twice over, at 8 slots
    assert orders <= 10 * engines
    assert sum(version >= 9 for version in held) >= engines


def test_all_engines_follow_a_version_that_stands():
    orders, held = play_versions(600, timedelta(seconds=29), 1, 512)
    assert held == [2] * 600
    assert orders == 600


def test_engines_that_no_step_needs_are_not_loaded_at_once():
    engines = make_engines(*[(4,)] * 40)
    need = make_need(named_for=START_DELAY, items=4)
    assert len(plan_loads(engines, [need], 0)) == 8
    later = make_need(named_for=LONG_AGO, items=0)
    assert len(plan_loads(engines, [later], 0)) == 2


versions = st.tuples(st.integers(1, 6), st.integers(1, 6))


@given(st.lists(versions, min_size=1, max_size=9), st.integers(0, 2))
def test_engines_that_may_not_work_are_loaded_in_the_end(held, slack):
    """Giving the planned orders again and again leaves none too old."""
    state = {f'e{number}': list(one) for number, one in enumerate(held)}
    needs = [make_need(6, slack), make_need(6, slack, 'm1')]
    for _ in range(40):
        engines = [EngineState(name, tuple(one)) for name, one in state.items()]
        planned = plan_loads(engines, needs, 0)
        names = [load.engine for load in planned]
        assert len(names) == len(set(names))
        for load in planned:
            place = 0 if load.model == 'm0' else 1
            assert state[load.engine][place] < load.version
            state[load.engine][place] = load.version
    assert all(
        6 - version <= slack for one in state.values() for version in one
    )
    assert not planned
