"""Tests of what a host that shuts down can still answer."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.longest_durations import HALF_LIFE, LongestDurations
from sequoia_policy.stops import NOTICE, schedule_stop

SECOND = timedelta(seconds=1)
GRACE = 8 * SECOND
NOW = 100 * SECOND
seconds = st.floats(0.1, 100).map(lambda number: timedelta(seconds=number))


@given(limit=seconds)
def test_requests_are_refused_before_the_last_response_and_the_end(limit):
    times = schedule_stop(NOW, limit)
    ends = (times.refuses_at, times.answers_by, times.ends_at, NOW + limit)
    assert list(ends) == sorted(set(ends))
    assert times.refuses_at > NOW


def test_grace_is_used_for_requests_in_flight():
    """A request in flight was cut off one second before the grace ended."""
    times = schedule_stop(NOW, GRACE)
    assert times.refuses_at == NOW + NOTICE
    assert times.answers_by == NOW + 7.5 * SECOND
    assert times.ends_at == NOW + 7.75 * SECOND


@given(sent=seconds, time_limit=seconds, duration=seconds)
def test_request_is_sent_only_if_its_response_comes_in_time(
    sent, time_limit, duration
):
    times = schedule_stop(NOW, GRACE)
    end = NOW + sent + min(time_limit, duration)
    can_answer = times.can_answer(NOW + sent, NOW + sent + time_limit, duration)
    assert can_answer == (end <= times.answers_by)


def test_longest_duration_is_forgotten_over_time():
    durations = LongestDurations()
    assert durations.find('a', NOW) == timedelta()
    durations.record('a', 8 * SECOND, NOW)
    durations.record('a', SECOND, NOW)
    durations.record('b', SECOND, NOW)
    assert durations.find('a', NOW) == 8 * SECOND
    assert durations.find('a', NOW + HALF_LIFE) == 4 * SECOND
    durations.record('a', 5 * SECOND, NOW + HALF_LIFE)
    assert durations.find('a', NOW + HALF_LIFE) == 5 * SECOND
    assert durations.find('b', NOW) == SECOND
