"""Tests of the limits that targets name."""

from datetime import timedelta

from sequoia_policy.announcements import (
    FORGET_LIMIT_AFTER,
    MIN_PER_SECOND,
    AnnouncementTable,
    TargetProcess,
)

TARGET = TargetProcess('t1', started_at=5)
RESTARTED = TargetProcess('t1', started_at=6)
NOW = timedelta(seconds=100)
SECOND = timedelta(seconds=1)


def make_table(per_second=2):
    table = AnnouncementTable()
    assert table.find(TARGET).record_limit(per_second, NOW)
    return table


def test_named_limit_is_found():
    table = make_table()
    assert table.find(TARGET).find_limit(NOW).per_second == 2
    assert table.list_limits(NOW)['t1'].per_second == 2


def test_limit_that_is_named_again_is_not_new():
    known = make_table().find(TARGET)
    assert not known.record_limit(2, NOW + SECOND)
    assert known.record_limit(3, NOW + SECOND)


def test_limit_of_zero_leaves_room_to_find_its_end():
    limit = make_table(0).find(TARGET).find_limit(NOW)
    assert limit.per_second == MIN_PER_SECOND


def test_restarted_target_has_no_limit():
    restarted = make_table().find(RESTARTED)
    assert restarted.find_limit(NOW) is None
    assert not restarted.lift_limit(NOW + SECOND)


def test_response_without_limit_ends_it():
    table = make_table()
    assert table.find(TARGET).lift_limit(NOW + SECOND)
    assert table.find(TARGET).find_limit(NOW) is None
    assert not table.list_limits(NOW)


def test_response_to_earlier_request_does_not_end_the_limit():
    known = make_table().find(TARGET)
    assert not known.lift_limit(NOW - SECOND)
    assert known.find_limit(NOW)


def test_limits_that_are_not_named_any_more_are_forgotten():
    table = make_table()
    later = NOW + FORGET_LIMIT_AFTER
    table.find(TargetProcess('t2', 0)).record_limit(1, later)
    assert list(table.list_limits(later)) == ['t2']
    assert table.find(TARGET).find_limit(later) is None
