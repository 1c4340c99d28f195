"""Load balancing algorithms that choose one of the usable targets."""

import random
from collections.abc import Sequence
from typing import Protocol

import mmh3
from attrs import define, field

from sequoia_policy.targets import TargetState

TWO_CHOICES = 'two-choices'
ROUND_ROBIN = 'round-robin'
LEAST_IN_FLIGHT = 'least-in-flight'
CHOOSERS = (TWO_CHOICES, ROUND_ROBIN, LEAST_IN_FLIGHT)
MAX_SLOWDOWN = 10  # limit of a service time, as a multiple of the mean
AFFINITY_LOAD_FACTOR = 1.25  # multiple of the mean load
AFFINITY_MIN_LOAD = 0.5  # requests per slot that never count as overload


class Chooser(Protocol):
    """Chooses one of several usable targets."""

    def choose(
        self,
        usable: Sequence[TargetState],
        affinity: str = '',
    ) -> TargetState:
        """Return one of ``usable``, which is not empty.

        Args:
            usable: Targets that may get the request.
            affinity: Requests with the same key benefit from the same target.
        """


@define
class RoundRobin:
    """Cycles through the targets regardless of their load."""

    turn: int = 0

    def choose(
        self,
        usable: Sequence[TargetState],
        affinity: str = '',
    ) -> TargetState:
        """Return the next target."""
        self.turn += 1
        return usable[self.turn % len(usable)]


@define
class LeastInFlight:
    """Chooses the target with the fewest requests of this host in flight."""

    def choose(
        self,
        usable: Sequence[TargetState],
        affinity: str = '',
    ) -> TargetState:
        """Return the first target with the fewest requests in flight."""
        return min(usable, key=lambda state: state.in_flight)


@define
class TwoChoices:
    """Chooses the one of two random targets with the lower estimated wait.

    Two random candidates keep many hosts with the same outdated reports from
    choosing the same target. Requests with an affinity key go to the first
    target of its rendezvous order while the load there is near the mean.
    """

    rng: random.Random = field(factory=random.Random)

    def choose(
        self,
        usable: Sequence[TargetState],
        affinity: str = '',
    ) -> TargetState:
        """Return the target of the affinity key, or the better of two."""
        if affinity:
            preferred = rank_targets(affinity, usable)[0]
            if preferred.load() <= max_affinity_load(usable):
                return preferred
        if len(usable) == 1:
            return usable[0]
        first, second = self.rng.sample(list(usable), 2)
        mean = mean_service_time(usable)
        return min(
            (first, second),
            key=lambda state: estimate_wait(state, mean),
        )


def make_chooser(name: str, rng: random.Random) -> Chooser:
    """Return the chooser for a name in ``CHOOSERS``."""
    if name == ROUND_ROBIN:
        return RoundRobin()
    if name == LEAST_IN_FLIGHT:
        return LeastInFlight()
    return TwoChoices(rng)


def mean_service_time(usable: Sequence[TargetState]) -> float:
    """Return the mean of the known service times, 1 if none is known."""
    known = [
        state.service_seconds
        for state in usable
        if state.service_seconds is not None
    ]
    return sum(known) / len(known) if known else 1


def estimate_wait(state: TargetState, default_seconds: float) -> float:
    """Estimate the seconds per unit of work of one more request.

    Args:
        state: The target.
        default_seconds: Service time to assume for a target without
            measurements.
    """
    seconds = (
        default_seconds
        if state.service_seconds is None
        else state.service_seconds
    )
    return state.wait_factor() * min(seconds, default_seconds * MAX_SLOWDOWN)


def max_affinity_load(usable: Sequence[TargetState]) -> float:
    """Return the load above which the affinity key is ignored."""
    mean = sum(state.load() for state in usable) / len(usable)
    return max(AFFINITY_MIN_LOAD, mean * AFFINITY_LOAD_FACTOR)


def rank_targets(key: str, usable: Sequence[TargetState]) -> list[TargetState]:
    """Return the targets sorted by rendezvous weight, highest first."""
    return sorted(
        usable,
        key=lambda state: rendezvous_weight(key, state.target.name),
        reverse=True,
    )


def rendezvous_weight(key: str, name: str) -> int:
    """Return the weight of a name for a key in rendezvous hashing."""
    return mmh3.hash64(f'{key}|{name}', signed=False)[0]


def rank_names(key: str, names: Sequence[str]) -> list[str]:
    """Return the names sorted by rendezvous weight, highest first."""
    return sorted(
        names, key=lambda name: rendezvous_weight(key, name), reverse=True
    )
