"""Tests that the choice of live targets respects their concurrency limits."""

import random
from datetime import timedelta
from types import SimpleNamespace

from sequoia_policy.registries import Registration, TargetRegistry
from sequoia_rollouts.live.live_attempts import LiveAttempts
from sequoia_rollouts.live.live_targets import LiveTargets
from sequoia_rollouts.live.stop_guards import StopGuard

NOW = timedelta(seconds=100)
CLOCK = SimpleNamespace(elapsed=lambda: NOW)


def make_targets(new_domain='z1'):
    registry = TargetRegistry()
    registry.register(Registration('old', 'pool', 'x:1', 'z2', slots=4))
    registry.register(
        Registration('new', 'pool', 'x:2', new_domain, slots=4), NOW
    )
    directory = SimpleNamespace(registry=registry)
    return LiveTargets(
        CLOCK, directory, random.Random(1), 'z1', StopGuard(CLOCK)
    )


def choose(targets, refusals=0):
    attempts = LiveAttempts(None, None, 'pool', NOW, refusals=refusals)
    return targets.choose(attempts).name


def choose_many(targets, refusals=0):
    return {choose(targets, refusals) for _ in range(20)}


def test_a_target_at_its_limit_is_not_preferred_for_being_local():
    """Guards against a new local target that all requests are sent to."""
    targets = make_targets()
    new = targets.directory.registry.targets['new']
    assert choose_many(targets) == {'new'}
    new.running = 1
    assert choose_many(targets) == {'old'}


def test_a_target_at_its_limit_is_used_if_there_is_no_other():
    """Guards against a limit that refuses a request."""
    targets = make_targets()
    registry = targets.directory.registry
    registry.targets['new'].running = 1
    registry.remove('old', NOW, timedelta())
    assert choose(targets) == 'new'


def test_a_request_that_was_refused_ignores_limits():
    """Guards against asking full targets again while a new one is free."""
    targets = make_targets('z2')
    for target in targets.directory.registry.targets.values():
        target.running = 1
    assert choose_many(targets) == {'old'}
    assert choose_many(targets, refusals=1) == {'old', 'new'}
