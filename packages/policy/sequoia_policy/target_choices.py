"""Chooses among registered targets by their measured durations."""

import random
from collections.abc import Collection
from datetime import timedelta

from sequoia_policy.registries import RegisteredTarget

SLOW_FACTOR = 3  # multiple of the median duration above which one is slow
DEFAULT_SECONDS = 0.05  # of a unit of work if no duration is known


def median_seconds(
    targets: Collection[RegisteredTarget], now: timedelta
) -> float:
    """Return the median duration of a unit of work, in seconds."""
    durations = [target.known_seconds(now) for target in targets]
    known = sorted(seconds for seconds in durations if seconds is not None)
    return known[len(known) // 2] if known else DEFAULT_SECONDS


def prefer_local(
    usable: list[RegisteredTarget],
    domain: str,
    now: timedelta,
) -> list[RegisteredTarget]:
    """Return the targets of a failure domain that are not slow, or all.

    This limits the connections of each host and keeps requests inside the
    failure domain.
    """
    max_seconds = median_seconds(usable, now) * SLOW_FACTOR
    local = [
        target
        for target in usable
        if target.registration.domain == domain
        and target.estimate(now, 0) <= max_seconds
    ]
    return local or usable


def prefer_within_limits(
    usable: list[RegisteredTarget], now: timedelta
) -> list[RegisteredTarget]:
    """Return the targets whose limits admit one more request, or all."""
    within = [
        target for target in usable if target.pace.admits(target.running, now)
    ]
    return within or usable


def choose_of_two(
    usable: list[RegisteredTarget],
    now: timedelta,
    rng: random.Random,
) -> RegisteredTarget:
    """Return the faster of two random targets.

    Each host knows only its own requests. If each chose the best of all
    targets, many hosts would choose the same one.
    """
    median = median_seconds(usable, now)
    candidates = rng.sample(usable, min(2, len(usable)))
    return min(candidates, key=lambda target: target.estimate(now, median))


def choose_fastest(
    free: Collection[RegisteredTarget], now: timedelta
) -> RegisteredTarget | None:
    """Return the target with the lowest estimate, or None if there is none."""
    if not free:
        return None
    median = median_seconds(free, now)
    return min(free, key=lambda target: target.estimate(now, median))
