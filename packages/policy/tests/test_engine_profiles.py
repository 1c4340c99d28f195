"""Tests of roles and adapters."""

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.engine_profiles import (
    EngineProfile,
    RoleShares,
    assign_roles,
    plan_profile_change,
)
from sequoia_policy.roles import Role

adapters = st.frozensets(st.sampled_from('abcd'))
outfits = st.builds(EngineProfile, st.sampled_from(Role), adapters)
names = st.lists(st.text('xyz', min_size=1), unique=True, max_size=12)


def obey(seen, order):
    """Return the outfit of an engine that carried an order out."""
    if order.load_adapter:
        added = seen.adapters | {order.load_adapter}
        return evolve(seen, adapters=added)
    if order.unload_adapter:
        return evolve(seen, adapters=seen.adapters - {order.unload_adapter})
    return evolve(seen, role=order.role)


@given(outfits, outfits)
def test_orders_lead_to_the_wanted_outfit_adapters_first(seen, wanted):
    for _ in range(12):
        order = plan_profile_change(seen, wanted)
        if order is None:
            break
        if order.role is not None:
            assert wanted.adapters <= seen.adapters
        seen = obey(seen, order)
    assert seen == wanted


@given(names, st.floats(0, 0.5), st.floats(0, 0.5))
def test_shares_are_kept(engines, live, rollout):
    roles = assign_roles('pool', engines, RoleShares(live, rollout))
    assert set(roles) == set(engines)
    counts = list(roles.values())
    assert counts.count(Role.LIVE) <= live * len(engines)
    assert counts.count(Role.ROLLOUT) <= rollout * len(engines)


def test_roles_refuse_the_other_kind_of_work():
    assert Role.BOTH.accepts(is_rollout=True)
    assert Role.BOTH.accepts(is_rollout=False)
    assert not Role.LIVE.accepts(is_rollout=True)
    assert not Role.ROLLOUT.accepts(is_rollout=False)
