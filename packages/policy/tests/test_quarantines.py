"""Tests of the quarantine of requests under which targets crashed."""

from datetime import timedelta

import pytest
from sequoia_policy.quarantines import (
    FORGET_AFTER,
    MAX_TARGETS,
    MIN_QUARANTINE,
    CrashRecord,
)

NOW = timedelta(seconds=100)
SECOND = timedelta(seconds=1)


def make_record(*targets):
    return CrashRecord().add(targets, NOW)


def test_request_is_quarantined_after_three_targets_crashed():
    assert not make_record('a', 'b').is_quarantined(NOW)
    assert make_record('a', 'b', 'c').is_quarantined(NOW)


def test_connections_that_one_target_resets_count_once():
    record = make_record('a', 'b')
    assert record.add(('a',), NOW + SECOND) == record


@pytest.mark.parametrize(('crashes', 'factor'), [(3, 1), (4, 2), (6, 8)])
def test_quarantine_doubles_with_each_further_crash(crashes, factor):
    record = make_record(*'abcdefgh'[:crashes])
    end = NOW + MIN_QUARANTINE * factor
    assert record.is_quarantined(end - SECOND)
    assert not record.is_quarantined(end)


def test_trial_starts_the_quarantine_again():
    record = make_record('a', 'b', 'c').try_again(NOW + MIN_QUARANTINE)
    assert record.is_quarantined(NOW + MIN_QUARANTINE)


def test_single_crash_is_forgotten():
    assert make_record('a').ends_at == NOW + FORGET_AFTER


def test_record_is_bounded():
    names = [f't{number}' for number in range(MAX_TARGETS * 2)]
    assert len(make_record(*names).targets) == MAX_TARGETS
