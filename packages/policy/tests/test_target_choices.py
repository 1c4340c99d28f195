"""Tests of the choice among registered targets."""

import random
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.registries import RegisteredTarget, Registration
from sequoia_policy.target_choices import choose_of_two, prefer_local

NOW = timedelta(seconds=100)


def make_target(name):
    return RegisteredTarget(Registration(name, 'pool', 'x:1', 'z1'))


def test_a_slow_local_target_brings_in_targets_of_other_domains():
    local, remote, other = (make_target(name) for name in 'abc')
    remote.registration = Registration('b', 'pool', 'x:1', 'z2')
    other.registration = Registration('c', 'pool', 'x:2', 'z2')
    assert prefer_local([local, remote, other], 'z1', NOW) == [local]
    local.record_duration(2.0, NOW)
    remote.record_duration(0.1, NOW)
    other.record_duration(0.1, NOW)
    assert local in prefer_local([local, remote, other], 'z1', NOW)
    assert len(prefer_local([local, remote, other], 'z1', NOW)) == 3


@given(st.lists(st.floats(0.01, 5), min_size=2, max_size=6), st.integers())
def test_choose_of_two_never_returns_the_slowest_target(durations, seed):
    targets = []
    for number, seconds in enumerate(durations):
        target = make_target(f't{number}')
        target.record_duration(seconds, NOW)
        targets.append(target)
    chosen = choose_of_two(targets, NOW, random.Random(seed))
    slowest = max(durations)
    if durations.count(slowest) == 1:
        assert chosen.seconds_per_unit < slowest
