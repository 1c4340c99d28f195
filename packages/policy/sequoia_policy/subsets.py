"""Limits the targets that one host considers for its work.

Load: a few hosts that place hundreds of items a second at thousands of targets.
A choice that visits every target costs more than the work itself, and a host
that spreads its work over all targets opens a connection to each of them.
"""

import math
import random
from collections.abc import Callable, Sequence
from datetime import timedelta

from sequoia_policy.registries import RegisteredTarget

MIN_SUBSET = 64  # targets; smaller fleets are considered whole
MAX_COMPARED = 64  # targets that are compared for one choice
SLOTS_PER_RUN = 2  # slots of a subset for each request in flight
# Pause after a search through all targets has found no free one, so that
# repeated searches of large fleets leave time for the work in progress.
PAUSE_PER_TARGET = timedelta(microseconds=50)


def find_subset_size(running: int, slots: int) -> int:
    """Return the number of targets that a host should use.

    Args:
        running: Requests of this host in flight.
        slots: Slots of a typical target.
    """
    return max(MIN_SUBSET, math.ceil(running * SLOTS_PER_RUN / slots))


def find_free(
    ranked: Sequence[RegisteredTarget],
    is_free: Callable[[RegisteredTarget], bool],
    size: int,
    rng: random.Random,
) -> list[RegisteredTarget]:
    """Return free targets among the first ones of a ranking.

    Further targets are visited only if none of the first ``size`` is free.

    Returns:
        Some of the free targets; empty if no target is free.
    """
    start = 0
    while start < len(ranked):
        part = ranked[start : start + size]
        free = list(filter(is_free, sample(part, rng)))
        if not free:
            free = list(filter(is_free, part))
        if free:
            return free
        start += size
        size *= 2
    return []


def sample(
    targets: Sequence[RegisteredTarget], rng: random.Random
) -> Sequence[RegisteredTarget]:
    """Return at most MAX_COMPARED of the targets, chosen at random."""
    if len(targets) <= MAX_COMPARED:
        return targets
    return rng.sample(targets, MAX_COMPARED)


def find_search_pause(targets: int) -> timedelta:
    """Return the pause after a search through ``targets`` without a result."""
    if targets <= MIN_SUBSET:
        return timedelta()
    return targets * PAUSE_PER_TARGET
