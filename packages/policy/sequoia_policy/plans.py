"""The rollout plan: what should be true."""

import enum
import hashlib
import hmac
from datetime import timedelta
from typing import TypeVar

from attrs import field, frozen

from sequoia_policy.errors import Code, ServiceError


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class SlotOrder(enum.Enum):
    """In which order the slots of a step are generated."""

    LONGEST_FIRST = 'longest-first'
    AS_GIVEN = 'as-given'


class StoreAway(enum.Enum):
    """What happens to a keyed call while the table cannot be reached.

    Only services whose calls may not be repeated are concerned.
    """

    REFUSE = 'refuse'
    SEND_ONCE = 'send-once'


@frozen
class Label:
    """A label of records.

    Attributes:
        domains: Failure domains that may hold them.
        stored: Whether the platform's object store may hold them.
    """

    domains: tuple[str, ...]
    stored: bool = True


@frozen
class Pool:
    """A pool of targets.

    Attributes:
        checks_orders: Whether its engines refuse old fencing numbers.
        live_floor: Share of the engines that stays active during a swap.
        follow_weights: Whether new versions of the weight store are loaded.
        parallel_loads: Most engines of a domain that fetch weights at a time.
        kv_break_even: Tokens from which an engine that continues a stream
            imports the KV cache of the one before; 0 for never.
        adapters: Adapters that all its engines hold.
        live_share: Share of its engines that takes no rollouts.
        rollout_share: Share of its engines that takes no live calls.
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
    """A service that callers may ask for.

    Attributes:
        pool: Pool whose targets answer.
        kind: Engines stream tokens, plain services answer once.
        idempotent: Whether a call may be repeated.
        attempts: Most attempts of one call.
        deadline: Longest time for one call.
        store_away: For calls that may not be repeated.
        claims_per_second: Most claims a host writes for this service.
        claim_horizon: How long a finished key is remembered. A key that
            comes again later may run again.
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
    """A caller and what it is granted.

    Attributes:
        key_digest: SHA-256 of the caller's key, in hexadecimal.
        services: Services it may call.
        labels: Labels it may put on records.
        concurrency: Most calls under way on one host.
    """

    key_digest: str
    services: tuple[str, ...]
    labels: tuple[str, ...]
    concurrency: int = 64


@frozen
class Trainer:
    """A trainer and how its samples are made.

    Attributes:
        key_digest: SHA-256 of the trainer's key, in hexadecimal.
        pool: Pool whose engines generate.
        scorer: Pool whose targets score.
        labels: Labels it may put on steps.
        share: Weight among the trainers of the pool.
        shards: Duties that generate its steps in parallel.
        staleness_versions: Most versions a sample may be behind.
        staleness_age: Oldest sample, unless None.
        hedge_share: Share of attempts that may be doubled for the tail.
        in_flight: Most attempts under way in one shard.
        order: Which slots of a step go first.
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
    """The part of the plan that one team owns."""

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
    """All sections, and lookups across them."""

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
        """Join the sections' entries."""
        domains = [part.domains for part in self.sections.values()]
        object.__setattr__(self, 'domains', sum(domains, ()))
        for kind in ('labels', 'pools', 'services', 'callers', 'trainers'):
            object.__setattr__(self, kind, self._join(kind))
        object.__setattr__(self, 'teams', self._join('teams'))

    def service(self, name: str) -> Service:
        """Return a service.

        Raises:
            ServiceError: With code UNKNOWN_SERVICE.
        """
        if name not in self.services:
            raise ServiceError(Code.UNKNOWN_SERVICE, name)
        return self.services[name]

    def caller(self, name: str, key: str) -> Caller:
        """Return an authenticated caller.

        Raises:
            ServiceError: With code UNKNOWN_CALLER.
        """
        caller = self.callers.get(name)
        if caller is None or not key_matches(key, caller.key_digest):
            raise ServiceError(Code.UNKNOWN_CALLER, name)
        return caller

    def trainer(self, name: str, key: str) -> Trainer:
        """Return an authenticated trainer.

        Raises:
            ServiceError: With code UNKNOWN_TRAINER or UNKNOWN_CALLER.
        """
        trainer = self.trainers.get(name)
        if trainer is None:
            raise ServiceError(Code.UNKNOWN_TRAINER, name)
        if not key_matches(key, trainer.key_digest):
            raise ServiceError(Code.UNKNOWN_CALLER, name)
        return trainer

    def is_operator(self, name: str, key: str) -> bool:
        """Tell whether a key is that of an operator of any team."""
        return bool(self.teams_of(name, key))

    def teams_of(self, name: str, key: str) -> frozenset[str]:
        """Return the teams of an authenticated operator."""
        return frozenset(
            team_name
            for team_name, team in self.teams.items()
            if name in team.operators and key_matches(key, team.operators[name])
        )

    def _join(self, kind: str) -> dict[str, object]:
        joined: dict[str, object] = {}
        for section in self.sections.values():
            joined.update(getattr(section, kind))
        return joined


def digest_key(key: str) -> str:
    """Return the digest under which the plan stores a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_matches(key: str, key_digest: str) -> bool:
    """Compare a key with a digest in constant time."""
    return hmac.compare_digest(digest_key(key), key_digest)
