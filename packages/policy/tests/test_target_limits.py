"""Tests of the limits that targets name."""

from datetime import timedelta

from sequoia_policy.registries import Registration
from sequoia_policy.target_limits import MIN_PER_SECOND, TargetLimits

TARGET = Registration('t1', 'app', '127.0.0.1:1', 'z1', started_at=5)
RESTARTED = Registration('t1', 'app', '127.0.0.1:1', 'z1', started_at=6)
NOW = timedelta(seconds=100)
SECOND = timedelta(seconds=1)


def make_limits(per_second=2):
    limits = TargetLimits()
    assert limits.record(TARGET, per_second, NOW)
    return limits


def test_named_limit_is_found():
    assert make_limits().find(TARGET).per_second == 2


def test_limit_that_is_named_again_is_not_new():
    limits = make_limits()
    assert not limits.record(TARGET, 2, NOW + SECOND)
    assert limits.record(TARGET, 3, NOW + SECOND)


def test_limit_of_zero_leaves_room_to_find_its_end():
    assert make_limits(0).find(TARGET).per_second == MIN_PER_SECOND


def test_restarted_target_has_no_limit():
    limits = make_limits()
    assert limits.find(RESTARTED) is None
    assert not limits.lift(RESTARTED, NOW + SECOND)


def test_response_without_limit_ends_it():
    limits = make_limits()
    assert limits.lift(TARGET, NOW + SECOND)
    assert limits.find(TARGET) is None


def test_response_to_earlier_request_does_not_end_the_limit():
    limits = make_limits()
    assert not limits.lift(TARGET, NOW - SECOND)
    assert limits.find(TARGET)


def test_limits_that_are_not_named_any_more_are_forgotten():
    limits = make_limits()
    other = Registration('t2', 'app', '127.0.0.1:2', 'z1')
    limits.record(other, 1, NOW + timedelta(minutes=11))
    assert list(limits.by_name) == ['t2']
