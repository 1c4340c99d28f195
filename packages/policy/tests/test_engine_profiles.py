"""Tests of engine roles and adapters."""

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
profiles = st.builds(EngineProfile, st.sampled_from(Role), adapters)
names = st.lists(st.text('xyz', min_size=1), unique=True, max_size=12)


def apply_change(profile, change):
    """Return the profile of an engine after a change."""
    if change.load_adapter:
        added = profile.adapters | {change.load_adapter}
        return evolve(profile, adapters=added)
    if change.unload_adapter:
        return evolve(
            profile, adapters=profile.adapters - {change.unload_adapter}
        )
    return evolve(profile, role=change.role)


@given(profiles, profiles)
def test_changes_reach_the_desired_profile_and_load_adapters_before_the_role(
    current, desired
):
    for _ in range(12):
        change = plan_profile_change(current, desired)
        if change is None:
            break
        if change.role is not None:
            assert desired.adapters <= current.adapters
        current = apply_change(current, change)
    assert current == desired


@given(names, st.floats(0, 0.5), st.floats(0, 0.5))
def test_assigned_roles_do_not_exceed_their_shares(engines, live, rollout):
    roles = assign_roles('pool', engines, RoleShares(live, rollout))
    assert set(roles) == set(engines)
    counts = list(roles.values())
    assert counts.count(Role.LIVE) <= live * len(engines)
    assert counts.count(Role.ROLLOUT) <= rollout * len(engines)


def test_each_role_accepts_only_its_kind_of_work():
    assert Role.BOTH.accepts(is_rollout=True)
    assert Role.BOTH.accepts(is_rollout=False)
    assert not Role.LIVE.accepts(is_rollout=True)
    assert not Role.ROLLOUT.accepts(is_rollout=False)
