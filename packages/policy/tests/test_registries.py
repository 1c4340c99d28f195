"""Tests of what a host believes of registered targets."""

import random
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.registries import (
    LONGEST_PAUSE,
    TargetRegistry,
    RegisteredTarget,
    ModelVersion,
    Registration,
    choose_of_two,
    keep_near,
)

NOW = timedelta(seconds=10)
NONE = timedelta()
GRACE = timedelta(seconds=2)


def make(name='t1', **fields):
    return Registration(name, 'pool', '10.0.0.1:80', 'z1', **fields)


def make_fleet(*registrations):
    fleet = TargetRegistry()
    fleet.replace_all(registrations, NOW, NONE)
    return fleet


def names(fleet, now=NOW):
    return [target.name for target in fleet.usable('pool', now)]


def test_a_leaving_target_gets_no_new_work():
    fleet = make_fleet(make())
    fleet.register(make(leaving=True))
    assert names(fleet) == []


def test_a_removed_target_is_gone_at_once():
    fleet = make_fleet(make())
    fleet.remove('t1', NOW, NONE)
    assert names(fleet) == []


def test_a_registration_that_lapsed_in_an_outage_has_a_grace():
    fleet = make_fleet(make())
    fleet.remove('t1', NOW, GRACE)
    assert names(fleet) == ['t1']
    assert names(fleet, NOW + GRACE) == []


def test_a_target_that_registers_again_within_the_grace_stays():
    fleet = make_fleet(make())
    fleet.remove('t1', NOW, GRACE)
    fleet.register(make())
    assert names(fleet, NOW + GRACE * 2) == ['t1']


def test_a_target_that_started_again_is_known_afresh():
    fleet = make_fleet(make(born=1))
    old = fleet.targets['t1']
    old.record_version('m', 9)
    fleet.register(make(born=2, versions=(ModelVersion('m', 3),)))
    assert fleet.targets['t1'] is not old
    assert fleet.targets['t1'].version_of('m') == 3


def test_pauses_grow_and_are_bounded_and_end_with_a_success():
    target = RegisteredTarget(make())
    lengths = []
    for _ in range(6):
        target.record_failure(NOW)
        lengths.append(target.paused_until - NOW)
    assert lengths == sorted(lengths)
    assert lengths[-1] == LONGEST_PAUSE
    target.record_duration(0.1, NOW)
    assert target.is_usable(NOW)


def test_old_durations_count_nothing():
    target = RegisteredTarget(make())
    target.record_duration(9, NOW)
    assert target.known_seconds(NOW) == 9
    assert target.known_seconds(NOW + timedelta(seconds=5)) is None


def test_slow_targets_near_by_are_left_for_those_further_away():
    near, far, third = (RegisteredTarget(make(name)) for name in 'abc')
    far.registration = Registration('b', 'pool', 'x:1', 'z2')
    third.registration = Registration('c', 'pool', 'x:2', 'z2')
    assert keep_near([near, far, third], 'z1', NOW) == [near]
    near.record_duration(2.0, NOW)
    far.record_duration(0.1, NOW)
    third.record_duration(0.1, NOW)
    assert near in keep_near([near, far, third], 'z1', NOW)
    assert len(keep_near([near, far, third], 'z1', NOW)) == 3


@given(st.lists(st.floats(0.01, 5), min_size=2, max_size=6), st.integers())
def test_the_slowest_of_many_is_never_chosen(durations, seed):
    targets = []
    for number, seconds in enumerate(durations):
        target = RegisteredTarget(make(f't{number}'))
        target.record_duration(seconds, NOW)
        targets.append(target)
    chosen = choose_of_two(targets, NOW, random.Random(seed))
    slowest = max(durations)
    if durations.count(slowest) == 1:
        assert chosen.seconds < slowest


def test_a_registration_that_says_the_same_is_no_news():
    fleet = TargetRegistry()
    assert fleet.register(make())
    assert not fleet.register(make())
    assert fleet.register(make(leaving=True))
    assert fleet.register(make(leaving=True, born=5))
    fleet.remove('t1', NOW, GRACE)
    assert fleet.register(make(leaving=True, born=5))
