"""Data model of the plan, and lookups across its sections."""

import enum
import hashlib
import hmac
from datetime import timedelta
from typing import TypeVar

from attrs import field, frozen

from sequoia_policy.errors import Code, ServiceError


class ServiceKind(enum.Enum):
    """Kind of back end that serves a service."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class SlotOrder(enum.Enum):
    """Order in which the slots of a step are generated."""

    LONGEST_FIRST = 'longest-first'
    AS_GIVEN = 'as-given'


class StoreAway(enum.Enum):
    """Handling of a call with an idempotency key during a store outage.

    Applies only to services whose calls may not be repeated.
    """

    REFUSE = 'refuse'
    SEND_ONCE = 'send-once'


@frozen
class Label:
    """A data label, which restricts where records with it are kept.

    Attributes:
        domains: Failure domains that may hold the records.
        stored: Whether the platform's object store may hold the records.
    """

    domains: tuple[str, ...]
    stored: bool = True


@frozen
class Pool:
    """A pool of targets.

    Attributes:
        checks_orders: Whether its engines reject orders with an outdated
            fencing token.
        live_floor: Minimum share of the engines that stay active during a
            weight swap.
        follow_weights: Whether engines load new versions from the weight
            store.
        parallel_loads: Maximum number of engines of a failure domain that
            fetch weights at the same time.
        kv_break_even: Minimum number of tokens at which an engine that
            resumes a stream imports the KV cache of the previous engine;
            0 disables the import.
        adapters: Adapters that every engine of the pool loads.
        live_share: Share of the engines reserved for live calls.
        rollout_share: Share of the engines reserved for rollouts.
    """

    checks_orders: bool = False
    live_floor: float = 0.5
    follow_weights: bool = False
    parallel_loads: int = 4
    kv_break_even: int = 0
    adapters: tuple[str, ...] = ()
    live_share: float = 0
    rollout_share: float = 0


@frozen
class Service:
    """A service that callers may call.

    Attributes:
        pool: Pool whose targets serve the calls.
        kind: Engines stream tokens; plain services send one response.
        idempotent: Whether a call may be repeated.
        attempts: Maximum number of attempts per call.
        deadline: Maximum duration of a call.
        store_away: Handling of calls that may not be repeated while the
            store is unreachable.
        claims_per_second: Maximum rate at which a host writes claims for
            this service.
        claim_horizon: How long the idempotency key of a finished call is
            kept. A call that reuses the key later may run again.
    """

    pool: str
    kind: ServiceKind = ServiceKind.PLAIN
    idempotent: bool = False
    attempts: int = 3
    deadline: timedelta = timedelta(seconds=10)
    store_away: StoreAway = StoreAway.REFUSE
    claims_per_second: float = 20
    claim_horizon: timedelta = timedelta(hours=1)


@frozen
class Caller:
    """A caller and its permissions.

    Attributes:
        key_digest: SHA-256 of the caller's key, in hexadecimal.
        services: Services it may call.
        labels: Labels it may put on records.
        concurrency: Maximum number of concurrent calls per host.
    """

    key_digest: str
    services: tuple[str, ...]
    labels: tuple[str, ...]
    concurrency: int = 64


@frozen
class Trainer:
    """A trainer and the generation settings of its samples.

    Attributes:
        key_digest: SHA-256 of the trainer's key, in hexadecimal.
        pool: Pool whose engines generate.
        scorer: Pool whose targets score the samples.
        labels: Labels it may put on steps.
        share: Scheduling weight among the trainers of the pool.
        shards: Number of duties that generate its steps in parallel.
        staleness_versions: Maximum number of versions that a sample may be
            behind the trainer.
        staleness_age: Maximum age of a sample; None for no limit.
        hedge_share: Share of a step's slots that may get a hedged attempt,
            to shorten the latency tail.
        in_flight: Maximum number of concurrent attempts per shard.
        order: Order in which the slots of a step are generated.
    """

    key_digest: str
    pool: str
    scorer: str
    labels: tuple[str, ...]
    share: float = 1
    shards: int = 1
    staleness_versions: int = 1
    staleness_age: timedelta | None = None
    hedge_share: float = 0.1
    in_flight: int = 16
    order: SlotOrder = SlotOrder.LONGEST_FIRST


@frozen
class Team:
    """A team and the key digests of its operators, by name."""

    operators: dict[str, str]


@frozen
class Section:
    """The section of the plan that one team owns."""

    owner: str
    domains: tuple[str, ...] = ()
    teams: dict[str, Team] = field(factory=dict)
    labels: dict[str, Label] = field(factory=dict)
    pools: dict[str, Pool] = field(factory=dict)
    services: dict[str, Service] = field(factory=dict)
    callers: dict[str, Caller] = field(factory=dict)
    trainers: dict[str, Trainer] = field(factory=dict)


Entry = TypeVar('Entry')


@frozen
class Plan:
    """All sections of the plan, and lookups across them."""

    sections: dict[str, Section] = field(factory=dict)
    number: int = 0
    domains: tuple[str, ...] = field(init=False)
    labels: dict[str, Label] = field(init=False)
    pools: dict[str, Pool] = field(init=False)
    services: dict[str, Service] = field(init=False)
    callers: dict[str, Caller] = field(init=False)
    trainers: dict[str, Trainer] = field(init=False)
    teams: dict[str, Team] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Merge the entries of all sections."""
        domains = [section.domains for section in self.sections.values()]
        object.__setattr__(self, 'domains', sum(domains, ()))
        for kind in ('labels', 'pools', 'services', 'callers', 'trainers'):
            object.__setattr__(self, kind, self._merge(kind))
        object.__setattr__(self, 'teams', self._merge('teams'))

    def service(self, name: str) -> Service:
        """Return a service by name.

        Raises:
            ServiceError: With code UNKNOWN_SERVICE if there is none.
        """
        if name not in self.services:
            raise ServiceError(Code.UNKNOWN_SERVICE, name)
        return self.services[name]

    def authenticate_caller(self, name: str, key: str) -> Caller:
        """Return the caller that the name and key authenticate.

        Raises:
            ServiceError: With code UNKNOWN_CALLER if the name is unknown or
                the key does not match.
        """
        caller = self.callers.get(name)
        if caller is None or not key_matches(key, caller.key_digest):
            raise ServiceError(Code.UNKNOWN_CALLER, name)
        return caller

    def authenticate_trainer(self, name: str, key: str) -> Trainer:
        """Return the trainer that the name and key authenticate.

        Raises:
            ServiceError: With code UNKNOWN_TRAINER if the name is unknown,
                UNKNOWN_CALLER if the key does not match.
        """
        trainer = self.trainers.get(name)
        if trainer is None:
            raise ServiceError(Code.UNKNOWN_TRAINER, name)
        if not key_matches(key, trainer.key_digest):
            raise ServiceError(Code.UNKNOWN_CALLER, name)
        return trainer

    def is_operator(self, name: str, key: str) -> bool:
        """Return whether the name and key authenticate an operator."""
        return bool(self.teams_of(name, key))

    def teams_of(self, name: str, key: str) -> frozenset[str]:
        """Return the teams in which the name and key authenticate an operator."""
        return frozenset(
            team_name
            for team_name, team in self.teams.items()
            if name in team.operators and key_matches(key, team.operators[name])
        )

    def _merge(self, kind: str) -> dict[str, object]:
        merged: dict[str, object] = {}
        for section in self.sections.values():
            merged.update(getattr(section, kind))
        return merged


def digest_key(key: str) -> str:
    """Return the digest of a key, as the plan stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_matches(key: str, key_digest: str) -> bool:
    """Compare a key with a digest in constant time."""
    return hmac.compare_digest(digest_key(key), key_digest)
