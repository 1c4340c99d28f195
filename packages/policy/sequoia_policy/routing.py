"""Routes by host and path prefix, and the configuration with all routes."""

import enum
import random
from collections.abc import Mapping
from datetime import timedelta
from functools import cached_property

from attrs import field, frozen

from sequoia_policy.accounts import Account, digest_key, index_keys


class RouteKind(enum.Enum):
    """Kind of requests on a route, which decides whether they are repeated."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    ROLLOUT = 'rollout'


@frozen
class Share:
    """The share of a route's traffic that one service receives.

    Attributes:
        service: Service that receives the share.
        weight: Weight relative to the other shares.
    """

    service: str
    weight: float


@frozen
class Route:
    """Destination and limits of the requests of one host and path prefix.

    Attributes:
        host: Name in the request's ``Host`` header.
        prefix: Path prefix; starts and ends with a slash.
        objective: Response time objective; a later response has less value.
        timeout: Maximum time that a request waits for its response.
        max_attempts: Maximum number of targets that one request is sent to.
        due: Time after which the results of a submission are late.
        max_age: Time after which an item of a submission is abandoned.
        single_version: Whether all tokens of one result must come from one
            model version.
        public: Whether requests need no key of a client account.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout: timedelta
    objective: timedelta = timedelta(milliseconds=500)
    max_attempts: int = 1
    priority: int = 0
    due: timedelta = timedelta(seconds=60)
    max_age: timedelta = timedelta(seconds=120)
    streaming: bool = False
    resumable: bool = False
    single_version: bool = False
    public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is not RouteKind.ONCE

    def choose_service(self, rng: random.Random) -> str:
        """Select one of the route's services at random, by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@frozen
class DomainPrice:
    """Price of a regular engine in a failure domain, for a second."""

    domain: str
    price: float


@frozen
class Scaling:
    """Bounds and prices within which the engines of a service are ordered.

    Attributes:
        min_count: Fewest engines in a failure domain.
        max_count: Most engines in a failure domain, of both kinds together.
        boot: Time from an order until a new engine serves.
        reclaimable_price: Price of a reclaimable engine as a share of that of
            a regular one.
        prices: Prices of the failure domains in which engines may be ordered.
    """

    min_count: int
    max_count: int
    boot: timedelta
    reclaimable_price: float = 1
    prices: tuple[DomainPrice, ...] = ()


@frozen
class Service:
    """A group of targets that serve the same requests.

    Attributes:
        models: Names of the models; empty for a plain service.
        connections: Maximum number of connections that a target accepts from
            all hosts together.
        health_path: Path at which a target tells its health.
        scaling: How many engines may be ordered; None if none are.
    """

    name: str
    models: tuple[str, ...] = ()
    connections: int = 100
    health_path: str = '/'
    scaling: Scaling | None = None


@frozen
class TrafficLimits:
    """Size limits of requests and timeouts for receiving them."""

    header_bytes: int = 16384
    body_bytes: int = 33554432
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


def get_prefix_length(route: Route) -> int:
    """Return the length of a route's path prefix."""
    return len(route.prefix)


@frozen
class Configuration:
    """One accepted version of routes, services, limits and accounts.

    Attributes:
        accounts: The client accounts; None if callers need no key.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: TrafficLimits = TrafficLimits()
    accounts: tuple[Account, ...] | None = None
    by_host: dict[str, list[Route]] = field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        """Index the routes by host, longest prefix first."""
        index: dict[str, list[Route]] = {}
        for route in self.routes:
            index.setdefault(route.host.lower(), []).append(route)
        for routes in index.values():
            routes.sort(key=get_prefix_length, reverse=True)
        object.__setattr__(self, 'by_host', index)

    @cached_property
    def resumable_services(self) -> frozenset[str]:
        """Names of the services whose streams callers may resume."""
        return frozenset(
            share.service
            for route in self.routes
            if route.streaming and route.resumable
            for share in route.shares
        )

    @cached_property
    def accounts_by_key(self) -> Mapping[bytes, Account]:
        """The account of each key, by the digest of the key."""
        return index_keys(self.accounts or ())

    @cached_property
    def has_public_submissions(self) -> bool:
        """Whether submissions are accepted without a key."""
        return any(
            route.public and route.kind is RouteKind.ROLLOUT
            for route in self.routes
        )

    def find_account(self, key: str) -> Account | None:
        """Return the client account that a key belongs to, or None."""
        return self.accounts_by_key.get(digest_key(key))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_service(self, name: str) -> Service | None:
        """Return a service by name, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None
