"""Tests of when a host that reaches no target gives up its work."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.work_releases import (
    RELEASE_AFTER,
    RESUME_AFTER,
    WorkRelease,
)

START = timedelta(seconds=10)
STEP = timedelta(milliseconds=100)
CLEAR, SUSPECTED, CUT = (False, False), (True, False), (True, True)


def update(release, state, now):
    is_suspected, is_cut = state
    return release.update(is_suspected=is_suspected, is_cut=is_cut, now=now)


def test_work_is_released_after_a_cut_that_lasts_and_resumed_after_it():
    release = WorkRelease()
    assert not update(release, CUT, START)
    assert not update(release, CUT, START + RELEASE_AFTER - STEP)
    assert update(release, CUT, START + RELEASE_AFTER)
    cleared_at = START + RELEASE_AFTER + STEP
    assert update(release, CLEAR, cleared_at)
    assert update(release, CLEAR, cleared_at + RESUME_AFTER - STEP)
    assert not update(release, CLEAR, cleared_at + RESUME_AFTER)


def test_cut_that_is_interrupted_releases_nothing():
    """Submissions went back and forth between hosts."""
    release = WorkRelease()
    update(release, CUT, START)
    update(release, CLEAR, START + STEP)
    assert not update(release, CUT, START + RELEASE_AFTER)


@given(st.lists(st.sampled_from((CLEAR, SUSPECTED))))
def test_suspicion_alone_releases_nothing(states):
    """Targets at capacity are no reason to move work."""
    release = WorkRelease()
    for number, state in enumerate(states):
        assert not update(release, state, START + number * RELEASE_AFTER)


@given(st.lists(st.sampled_from((SUSPECTED, CUT))))
def test_work_is_not_resumed_while_the_path_is_in_doubt(states):
    release = WorkRelease(is_released=True)
    for number, state in enumerate(states):
        assert update(release, state, START + number * RESUME_AFTER)
