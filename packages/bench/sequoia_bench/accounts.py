"""Benchmark of the cost of a key on the path of a live request."""

import time
from datetime import timedelta

from attrs import define, field
from sequoia_policy.accounts import Account, ConfigurationAge
from sequoia_policy.routing import Configuration, Route, RouteKind, Share
from sequoia_rollouts.accounts.authenticators import Authenticator

from sequoia_bench.figures import Figure

BENCH = 'accounts'
CALLS = 100_000
ACCOUNT_COUNTS = (0, 80, 800)
KEYS_PER_ACCOUNT = 2
MICROSECONDS = 1_000_000
ROUTE = Route(
    'live',
    'site.example',
    '/live/',
    RouteKind.IDEMPOTENT,
    (Share('app', 1),),
    timedelta(seconds=2),
)


@define
class FixedDirectory:
    """A directory whose configuration was confirmed a moment ago."""

    configuration: Configuration
    age: ConfigurationAge = field(
        factory=lambda: ConfigurationAge(timedelta(milliseconds=100))
    )

    def configuration_age(self) -> ConfigurationAge:
        """Return how current the configuration is."""
        return self.age


def measure_accounts(_seed: int) -> list[Figure]:
    """Measure the time to find the account of a request by its key."""
    return [measure_calls(count) for count in ACCOUNT_COUNTS]


def measure_calls(count: int) -> Figure:
    """Measure with a number of client accounts; none needs no key."""
    accounts = tuple(
        Account(
            f'account{number}',
            tuple(f'key-{number}-{key}' for key in range(KEYS_PER_ACCOUNT)),
        )
        for number in range(count)
    )
    configuration = Configuration(1, (ROUTE,), accounts=accounts or None)
    authenticator = Authenticator(FixedDirectory(configuration))
    started = time.perf_counter()
    for number in range(CALLS):
        key = f'key-{number % max(1, count)}-1'
        authenticator.authenticate(ROUTE, key, 'request')
    seconds = time.perf_counter() - started
    return Figure(
        BENCH,
        f'{count} accounts' if count else 'no accounts',
        'time of a request',
        seconds / CALLS * MICROSECONDS,
        'us',
    )
