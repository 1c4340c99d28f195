"""Finds what is wrong with a configuration before it is sent to hosts."""

import enum
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import timedelta

from attrs import frozen

from sequoia_policy.accounts import Account, find_shared_keys, is_well_formed
from sequoia_policy.routing import (
    Configuration,
    Route,
    RouteKind,
    Service,
    TrafficLimits,
)

NO_TIME = timedelta()


class Severity(enum.Enum):
    """How bad a finding is.

    Attributes:
        ERROR: Requests are refused or go where the operator does not mean.
        WARNING: An entry has no effect.
    """

    ERROR = 'error'
    WARNING = 'warning'


@frozen
class Finding:
    """Something wrong with a configuration.

    Attributes:
        entry: The kind and the name of the entry.
        message: What is wrong, in one sentence.
    """

    severity: Severity
    entry: str
    message: str


def check_configuration(configuration: Configuration) -> list[Finding]:
    """Return all findings, errors first."""
    found = (
        *check_names(configuration),
        *check_routes(configuration),
        *check_services(configuration),
        *check_limits(configuration.limits),
        *check_accounts(configuration),
    )
    return sorted(
        found, key=lambda finding: finding.severity is Severity.WARNING
    )


def make_error(entry: str, message: str) -> Finding:
    """Return a finding that is an error."""
    return Finding(Severity.ERROR, entry, message)


def make_warning(entry: str, message: str) -> Finding:
    """Return a finding about an entry without effect."""
    return Finding(Severity.WARNING, entry, message)


def check_names(configuration: Configuration) -> Iterator[Finding]:
    """Yield a finding for each name that several entries have."""
    kinds: dict[str, Iterable[Route | Service | Account]] = {
        'route': configuration.routes,
        'service': configuration.services,
        'account': configuration.accounts or (),
    }
    for kind, entries in kinds.items():
        counts = Counter(entry.name for entry in entries)
        for name, count in counts.items():
            if count > 1:
                yield make_error(f'{kind} {name}', f'listed {count} times')


def check_routes(configuration: Configuration) -> Iterator[Finding]:
    """Yield findings about routes."""
    first_names: dict[tuple[str, str], str] = {}
    services = {service.name for service in configuration.services}
    for route in configuration.routes:
        entry = f'route {route.name}'
        first = first_names.setdefault(
            (route.host.lower(), route.prefix), route.name
        )
        if first != route.name:
            yield make_warning(
                entry, f'never matches: {first} has its host and prefix'
            )
        if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
            yield make_error(entry, 'its prefix lacks a slash at an end')
        yield from check_shares(route, services)
        yield from check_times(route)


def check_shares(route: Route, services: set[str]) -> Iterator[Finding]:
    """Yield findings about the services of a route."""
    entry = f'route {route.name}'
    for share in route.shares:
        if share.service not in services:
            yield make_error(entry, f'service {share.service} is not listed')
        if share.weight < 0:
            yield make_error(entry, f'{share.service} has a negative weight')
        if not share.weight:
            yield make_warning(entry, f'{share.service} gets no traffic')
    if sum(max(0, share.weight) for share in route.shares) <= 0:
        yield make_error(entry, 'no service gets traffic')


def check_times(route: Route) -> Iterator[Finding]:
    """Yield findings about times and attempts that contradict each other."""
    entry = f'route {route.name}'
    if route.max_attempts < 1:
        yield make_error(entry, 'allows no attempt')
    if route.timeout <= NO_TIME:
        yield make_error(entry, 'its timeout is not positive')
    is_batch = route.kind is RouteKind.ROLLOUT
    if not is_batch and route.objective > route.timeout:
        yield make_error(entry, 'its objective is longer than its timeout')
    if is_batch and route.due > route.max_age:
        yield make_error(entry, 'items are given up before they are due')


def check_services(configuration: Configuration) -> Iterator[Finding]:
    """Yield findings about services."""
    used = {
        share.service
        for route in configuration.routes
        for share in route.shares
    }
    for service in configuration.services:
        entry = f'service {service.name}'
        if service.name not in used:
            yield make_warning(entry, 'no route leads to it')
        if service.connections < 1:
            yield make_error(entry, 'its targets accept no connection')


def check_limits(limits: TrafficLimits) -> Iterator[Finding]:
    """Yield findings about the limits of requests."""
    if limits.header_bytes < 1:
        yield make_error('limits', 'no request head is small enough')
    if limits.body_bytes < 0:
        yield make_error('limits', 'no request body is small enough')
    if min(limits.header_timeout, limits.idle_timeout) <= NO_TIME:
        yield make_error('limits', 'a timeout is not positive')


def check_accounts(configuration: Configuration) -> Iterator[Finding]:
    """Yield findings about client accounts and keys; no key is shown."""
    accounts = configuration.accounts
    if accounts is None:
        return
    for account in accounts:
        entry = f'account {account.name}'
        if not account.keys:
            yield make_warning(entry, 'has no key')
        malformed = sum(not is_well_formed(key) for key in account.keys)
        if malformed:
            yield make_error(entry, f'{malformed} keys can never match')
    for shared in find_shared_keys(accounts):
        yield make_error(
            f'account {shared.second}',
            f'a key never matches: {shared.first} has it',
        )
    has_key = any(account.keys for account in accounts)
    if not has_key and not any(route.public for route in configuration.routes):
        yield make_error('accounts', 'nobody may send any request')
