"""Tests of the registry of targets."""

from datetime import timedelta

from sequoia_policy.permits import Urgency
from sequoia_policy.registries import (
    MAX_BACKOFF,
    ModelVersion,
    RegisteredTarget,
    Registration,
    TargetRegistry,
)

NOW = timedelta(seconds=10)
NO_GRACE = timedelta()
GRACE = timedelta(seconds=2)


def make_registration(name='t1', **fields):
    return Registration(name, 'pool', '10.0.0.1:80', 'z1', **fields)


def make_registry(*registrations):
    registry = TargetRegistry()
    registry.replace_all(registrations, NOW, NO_GRACE)
    return registry


def usable_names(registry, now=NOW):
    found = registry.find_open('pool', Urgency.LIVE, now)
    return [target.name for target in found]


def test_a_leaving_target_gets_no_new_work():
    registry = make_registry(make_registration())
    registry.register(make_registration(leaving=True))
    assert usable_names(registry) == []


def test_a_target_removed_without_grace_is_unusable_at_once():
    registry = make_registry(make_registration())
    registry.remove('t1', NOW, NO_GRACE)
    assert usable_names(registry) == []


def test_a_target_removed_with_grace_stays_usable_until_it_ends():
    """Registrations also expire because of an outage of the store."""
    registry = make_registry(make_registration())
    registry.remove('t1', NOW, GRACE)
    assert usable_names(registry) == ['t1']
    assert usable_names(registry, NOW + GRACE) == []


def test_a_target_registered_again_within_the_grace_is_kept():
    registry = make_registry(make_registration())
    registry.remove('t1', NOW, GRACE)
    registry.register(make_registration())
    assert usable_names(registry, NOW + GRACE * 2) == ['t1']


def test_a_restarted_target_loses_its_recorded_versions():
    registry = make_registry(make_registration(started_at=1))
    old = registry.targets['t1']
    old.record_version('m', 9)
    registry.register(
        make_registration(started_at=2, versions=(ModelVersion('m', 3),))
    )
    assert registry.targets['t1'] is not old
    assert registry.targets['t1'].version_of('m') == 3


def test_backoff_grows_to_its_maximum_and_ends_with_a_success():
    target = RegisteredTarget(make_registration())
    backoffs = []
    for _ in range(6):
        target.record_failure(NOW)
        backoffs.append(target.backoff_until - NOW)
    assert backoffs == sorted(backoffs)
    assert backoffs[-1] == MAX_BACKOFF
    target.record_duration(0.1, NOW)
    assert target.is_usable(NOW)


def test_an_outdated_duration_is_unknown():
    target = RegisteredTarget(make_registration())
    target.record_duration(9, NOW)
    assert target.known_seconds(NOW) == 9
    assert target.known_seconds(NOW + timedelta(seconds=5)) is None


def test_registering_reports_a_change_only_if_something_differs():
    registry = TargetRegistry()
    assert registry.register(make_registration())
    assert not registry.register(make_registration())
    assert registry.register(make_registration(leaving=True))
    assert registry.register(make_registration(leaving=True, started_at=5))
    registry.remove('t1', NOW, GRACE)
    assert registry.register(make_registration(leaving=True, started_at=5))
