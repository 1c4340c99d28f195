"""Tests of ready steps: no sample is too stale when its step is consumed."""

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
def test_samples_of_ready_steps_are_fresh_when_consumed(
    numbers,
    newest,
    in_use,
    bound,
):
    versions = EngineVersions(newest, min(newest, in_use))
    ordered = sorted(numbers)
    for step, min_version in list_ready_steps(numbers, versions, bound):
        trainer_version = newest + ordered.index(step)
        assert (
            trainer_version - max(min_version, 0) <= bound or min_version == 0
        )
        assert min_version <= versions.in_use


def test_at_most_bound_plus_one_steps_are_ready():
    versions = EngineVersions(5, 5)
    ready = list_ready_steps((3, 4, 5, 6), versions, 1)
    assert ready == ((3, 4), (4, 5))


def test_last_allowed_step_waits_for_the_newest_version():
    versions = EngineVersions(newest=5, in_use=4)
    assert list_ready_steps((3, 4), versions, 1) == ((3, 4),)


def test_first_step_may_use_the_oldest_version_within_the_bound():
    assert find_min_version(newest=5, position=0, bound=2) == 3
    assert find_min_version(newest=0, position=0, bound=2) == 0
