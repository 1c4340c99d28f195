"""Tests of what is found in a configuration before it is sent."""

from datetime import timedelta

import pytest
from attrs import evolve
from sequoia_policy.accounts import Account
from sequoia_policy.configuration_changes import find_changes
from sequoia_policy.configuration_checks import (
    Severity,
    check_configuration,
)
from sequoia_policy.routing import (
    Configuration,
    Route,
    RouteKind,
    Service,
    Share,
    TrafficLimits,
)

SECOND = timedelta(seconds=1)
ROUTE = Route(
    'live', 'h', '/live/', RouteKind.IDEMPOTENT, (Share('app', 1),), SECOND
)
BATCH = evolve(ROUTE, name='batch', prefix='/train/', kind=RouteKind.ROLLOUT)
SOUND = Configuration(
    3, (ROUTE, BATCH), (Service('app'),), accounts=(Account('a', ('k',)),)
)


def describe(configuration):
    return [
        (finding.severity, finding.entry)
        for finding in check_configuration(configuration)
    ]


def test_a_sound_configuration_has_no_findings():
    assert not check_configuration(SOUND)


@pytest.mark.parametrize(
    ('changes', 'severity', 'entry'),
    [
        (
            {'routes': (ROUTE, evolve(ROUTE, name='second'), BATCH)},
            Severity.WARNING,
            'route second',
        ),
        ({'routes': (ROUTE, ROUTE)}, Severity.ERROR, 'route live'),
        (
            {'routes': (evolve(ROUTE, prefix='/live'),)},
            Severity.ERROR,
            'route live',
        ),
        (
            {'routes': (evolve(ROUTE, shares=(Share('gone', 1),)),)},
            Severity.ERROR,
            'route live',
        ),
        (
            {'routes': (evolve(ROUTE, shares=(Share('app', 0),)),)},
            Severity.ERROR,
            'route live',
        ),
        (
            {'routes': (evolve(ROUTE, objective=SECOND * 2),)},
            Severity.ERROR,
            'route live',
        ),
        (
            {'routes': (evolve(ROUTE, max_attempts=0),)},
            Severity.ERROR,
            'route live',
        ),
        (
            {'routes': (evolve(BATCH, due=SECOND * 9, max_age=SECOND),)},
            Severity.ERROR,
            'route batch',
        ),
        (
            {'services': (Service('app'), Service('idle'))},
            Severity.WARNING,
            'service idle',
        ),
        (
            {'limits': TrafficLimits(header_bytes=0)},
            Severity.ERROR,
            'limits',
        ),
        (
            {'accounts': (Account('a', ('k',)), Account('b', ('k',)))},
            Severity.ERROR,
            'account b',
        ),
        ({'accounts': (Account('a', ('',)),)}, Severity.ERROR, 'account a'),
        (
            {'accounts': (Account('a', ('k',)), Account('b'))},
            Severity.WARNING,
            'account b',
        ),
        ({'accounts': ()}, Severity.ERROR, 'accounts'),
    ],
    ids=lambda value: value if isinstance(value, str) else '',
)
def test_a_fault_is_found(changes, severity, entry):
    """Hosts would refuse requests, or ignore what the operator wrote."""
    assert (severity, entry) in describe(evolve(SOUND, **changes))


def test_a_key_is_in_no_finding_and_no_change():
    """Output of the tool may be kept in logs."""
    secret = 'a-secret-key'
    before = evolve(SOUND, accounts=(Account('a', (secret,)),))
    after = evolve(
        SOUND,
        version=4,
        accounts=(Account('a', ('x',)), Account('b', ('x', secret))),
    )
    shown = repr((check_configuration(after), find_changes(before, after)))
    assert secret not in shown
    assert '1 keys added' in shown


def test_changes_name_what_differs():
    after = evolve(
        SOUND,
        version=4,
        routes=(evolve(ROUTE, timeout=SECOND * 2), evolve(BATCH, name='new')),
        accounts=None,
    )
    found = {
        (change.entry, change.change) for change in find_changes(SOUND, after)
    }
    assert ('route live', 'timeout: 0:00:01 -> 0:00:02') in found
    assert ('route new', 'added') in found
    assert ('route batch', 'removed') in found
    assert ('accounts', 'callers need no keys') in found


def test_a_version_that_hosts_ignore_is_named():
    """Hosts never go back to an older version."""
    (change,) = find_changes(SOUND, evolve(SOUND, version=3))
    assert change.entry == 'version'
