"""Tests of pacing: no sample is generated that would be too old in turn."""

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.step_versions import (
    EngineVersions,
    find_min_version,
    list_ready_steps,
)

small = st.integers(0, 9)
steps = st.lists(small, unique=True, max_size=6).map(tuple)


@given(steps, small, small, st.integers(0, 3))
def test_paced_samples_are_fresh_when_it_is_their_turn(
    numbers,
    newest,
    in_use,
    bound,
):
    versions = EngineVersions(newest, min(newest, in_use))
    ordered = sorted(numbers)
    for step, least in list_ready_steps(numbers, versions, bound):
        turn = newest + ordered.index(step)
        assert turn - max(least, 0) <= bound or least == 0
        assert least <= versions.in_use


def test_only_as_many_steps_as_the_bound_allows():
    versions = EngineVersions(5, 5)
    paced = list_ready_steps((3, 4, 5, 6), versions, 1)
    assert paced == ((3, 4), (4, 5))


def test_the_last_allowed_step_waits_for_the_newest_version():
    versions = EngineVersions(newest=5, in_use=4)
    assert list_ready_steps((3, 4), versions, 1) == ((3, 4),)


def test_the_first_step_takes_what_the_bound_allows():
    assert find_min_version(newest=5, position=0, bound=2) == 3
    assert find_min_version(newest=0, position=0, bound=2) == 0
