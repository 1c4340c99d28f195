"""Tests of planning weight updates."""

import math

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.weight_updates import (
    SWAPPING,
    EngineView,
    UpdateLimits,
    plan_updates,
)

engines = st.lists(
    st.builds(
        EngineView,
        name=st.just(''),
        version=st.sampled_from([SWAPPING, 0, 1, 2, 3]),
        loaded=st.integers(0, 3),
        has_pending_order=st.booleans(),
    ),
    min_size=1,
    max_size=12,
).map(
    lambda drawn: [
        evolve(engine, name=f'engine-{index}')
        for index, engine in enumerate(drawn)
    ],
)
limits = st.builds(
    UpdateLimits,
    live_floor=st.floats(0, 1),
    parallel_loads=st.integers(1, 5),
)


@given(engines, limits)
def test_orders_stay_within_the_update_limits(views, update_limits):
    orders = plan_updates(views, 3, update_limits)
    by_name = {view.name: view for view in views}
    assert len({order.name for order in orders}) == len(orders)
    assert not any(by_name[order.name].has_pending_order for order in orders)
    loads = [order for order in orders if order.load is not None]
    loading = sum(view.has_pending_order and view.loaded < 3 for view in views)
    assert len(loads) <= max(0, update_limits.parallel_loads - loading)
    newly_swapping = [
        order
        for order in orders
        if order.activate is not None
        and by_name[order.name].version != SWAPPING
    ]
    floor = math.ceil(update_limits.live_floor * len(views))
    swapping = sum(
        view.loaded >= 3
        and view.version != 3
        and (view.has_pending_order or view.version == SWAPPING)
        for view in views
    )
    max_swapping = max(1, len(views) - floor)
    assert len(newly_swapping) + swapping <= max(max_swapping, swapping)


@given(engines, limits)
def test_only_loaded_versions_are_activated(views, update_limits):
    by_name = {view.name: view for view in views}
    for order in plan_updates(views, 3, update_limits):
        if order.activate is not None:
            assert by_name[order.name].loaded >= order.activate


@given(engines, limits, st.data())
def test_all_engines_converge_although_orders_fail(views, update_limits, data):
    state = {view.name: evolve(view, has_pending_order=False) for view in views}
    failures = data.draw(st.lists(st.booleans(), max_size=20))
    for _ in range(200):
        orders = plan_updates(list(state.values()), 3, update_limits)
        if not orders:
            break
        for order in orders:
            fails = bool(failures) and failures.pop()
            state[order.name] = apply_order(
                state[order.name], order, fails=fails
            )
    assert all(view.version == 3 for view in state.values())


def apply_order(view, order, *, fails):
    """Return the engine after an order.

    A failed swap leaves the engine between two versions.
    """
    if order.load is not None:
        return view if fails else evolve(view, loaded=order.load)
    return evolve(view, version=SWAPPING if fails else order.activate)
