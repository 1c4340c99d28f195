"""Tests of the permits for targets that named a limit."""

import random
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.permits import (
    BURSTS,
    NO_WAIT,
    PermitState,
    UnsharedPermits,
    Urgency,
)

NOW = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
WINDOW = 4 * SECOND


@given(
    st.floats(0.2, 200),
    st.lists(st.integers(0, 300), min_size=1, max_size=80),
)
def test_no_window_has_more_permits_than_limit_and_burst(limit, steps):
    """Each step waits some milliseconds, then takes all free permits."""
    state = PermitState(limit, NOW)
    now = NOW
    taken = []
    for step in steps:
        now += timedelta(milliseconds=step)
        free = state.count_free(Urgency.LIVE, now)
        state = state.take(free, now)
        taken.extend([now] * free)
        count = sum(time > now - WINDOW for time in taken)
        burst = BURSTS[Urgency.LIVE]
        assert count <= limit * (WINDOW + burst).total_seconds() + 2


@given(st.floats(0.2, 200))
def test_permit_is_free_after_the_wait(limit):
    state = PermitState(limit, NOW)
    state = state.take(state.count_free(Urgency.LIVE, NOW), NOW)
    wait = state.find_wait(Urgency.LIVE, NOW)
    assert wait > NO_WAIT
    assert state.count_free(Urgency.LIVE, NOW + wait)


@pytest.mark.parametrize('limit', [1e-300, 1e300, float('inf')])
def test_extreme_limits_can_be_used(limit):
    state = PermitState(limit, NOW)
    assert state.count_free(Urgency.LIVE, NOW) > 0
    assert state.take(1, NOW).due_at > NOW


@pytest.mark.parametrize('limit', [0, -1, float('nan')])
def test_state_without_a_positive_limit_is_not_limited(limit):
    assert not PermitState(limit, NOW).is_limited


def test_newer_state_has_the_limit_and_none_takes_permits_back():
    older = PermitState(2, NOW, NOW + SECOND)
    newer = PermitState(0, NOW + SECOND, NOW)
    for merged in (older.merge(newer), newer.merge(older)):
        assert merged == PermitState(0, NOW + SECOND, NOW + SECOND)


def test_hosts_without_a_shared_state_use_half_of_the_limit():
    hosts, limit, seconds = 50, 10, 100
    permits = [
        UnsharedPermits(random.Random(number)) for number in range(hosts)
    ]
    taken = 0
    for tenths in range(seconds * 10):
        now = NOW + SECOND * tenths / 10
        taken += sum(
            permit.take('t1', limit, hosts, now) == NO_WAIT
            for permit in permits
        )
    assert taken == pytest.approx(limit / 2 * seconds, rel=0.1)
