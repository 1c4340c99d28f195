"""Decides which engines load which version of which model next.

The load it answers: several models share engines, each gets a new version
every few seconds, an engine that loads starts no runs of that model, and few
engines load at full speed at a time. Of hundreds of engines a step uses a
few: those load at once, the others follow when a version has stood a while.
"""

import math
from collections.abc import Sequence
from datetime import timedelta

from attrs import frozen

LOADING_SHARE = 0.4  # engines of a service that load at a time
START_DELAY = timedelta(milliseconds=300)  # lets a waiting step start first
SPARE_FACTOR = 2.0  # slots loaded at once, for each item of the open steps
STANDING_AFTER = timedelta(seconds=5)  # a version's age when all follow it
FOLLOW_SPAN = timedelta(seconds=24)  # in which they follow
USUAL_LOAD = timedelta(seconds=1)


@frozen
class ModelNeed:
    """What trainers want of one model.

    Attributes:
        newest: Newest version that was named.
        slack: Versions that an engine may be behind and still work on the
            newest step.
        named_for: Time since the newest version was named.
        items: Items that the engines should be ready for; None if no step of
            the model is known.
    """

    model: str
    newest: int
    slack: int
    named_for: timedelta
    items: int | None


@frozen
class EngineState:
    """An engine as the host that gives orders knows it.

    Attributes:
        held: Version of each model, in the order of the needs; the ordered
            one while an order is under way.
        slots: Requests that it runs at a time.
        running: Requests that this host runs there.
        is_free: Whether it can take an order now.
    """

    name: str
    held: tuple[int, ...]
    slots: int = 1
    running: int = 0
    is_free: bool = True


@frozen
class PlannedLoad:
    """An order that is due.

    Attributes:
        behind: Versions that the engine is behind.
    """

    engine: str
    model: str
    version: int
    behind: int


@frozen
class RankedLoad:
    """A load with what decides its turn."""

    load: PlannedLoad
    is_needed: bool
    running: int

    @property
    def rank(self) -> tuple[bool, int, int]:
        """Needed loads first, then those furthest behind, then idle ones."""
        return (not self.is_needed, -self.load.behind, self.running)


@frozen
class DueLoads:
    """Loads of one model.

    Attributes:
        now: Those that its open steps need.
        later: Those that bring the other engines up to date.
    """

    now: list[RankedLoad]
    later: list[RankedLoad]


def plan_loads(
    engines: Sequence[EngineState],
    needs: Sequence[ModelNeed],
    under_way: int,
) -> tuple[PlannedLoad, ...]:
    """Return the orders to give now, in order.

    Engines load at once until the open steps have enough of them that are
    new enough. With several models each load takes an engine's time from all
    of them, so that those that could work load only until the model's share
    of the engines holds the newest version.

    Args:
        engines: All engines of a service.
        needs: All models of the service that have a named version.
        under_way: Loads that have begun and not ended.
    """
    most = max(1, math.ceil(len(engines) * LOADING_SHARE))
    quota = max(1, len(engines) // max(1, len(needs)))
    due = [
        find_loads(engines, need, place, quota)
        for place, need in enumerate(needs)
    ]
    chosen = pick_loads([one for loads in due for one in loads.now])
    if chosen:
        return chosen[: max(0, most - under_way)]
    followers = pick_loads([one for loads in due for one in loads.later])
    pace = math.ceil(len(engines) * (USUAL_LOAD / FOLLOW_SPAN))
    return followers[: max(0, min(most, pace) - under_way)]


def pick_loads(found: list[RankedLoad]) -> tuple[PlannedLoad, ...]:
    """Return loads by rank, one for each engine."""
    chosen: dict[str, PlannedLoad] = {}
    for ranked in sorted(found, key=find_rank):
        chosen.setdefault(ranked.load.engine, ranked.load)
    return tuple(chosen.values())


def find_rank(ranked: RankedLoad) -> tuple[bool, int, int]:
    """Return what decides the turn of a load."""
    return ranked.rank


def find_loads(
    engines: Sequence[EngineState],
    need: ModelNeed,
    place: int,
    quota: int,
) -> DueLoads:
    """Return the loads of one model that are due.

    Args:
        engines: All engines of a service.
        need: What trainers want of the model.
        place: Place of the model in ``EngineState.held``.
        quota: Engines that should hold the newest version.
    """
    found = rank_loads(engines, need, place)
    old = [ranked for ranked in found if ranked.is_needed]
    usable = [ranked for ranked in found if not ranked.is_needed]
    demand = count_demand(engines, need)
    able = count_holders(engines, place, need.newest - need.slack)
    current = count_holders(engines, place, need.newest)
    now = old[: max(0, demand - able)]
    if need.named_for >= START_DELAY:
        fresh = min(quota, demand) - current - len(now)
        now = [*now, *usable[: max(0, fresh)]]
    if need.named_for < STANDING_AFTER:
        return DueLoads(now, [])
    return DueLoads(
        now,
        [*old, *usable[: max(0, quota - current - len(old))]],
    )


def rank_loads(
    engines: Sequence[EngineState],
    need: ModelNeed,
    place: int,
) -> list[RankedLoad]:
    """Return the loads of all free engines that are behind, by rank."""
    found = []
    for engine in engines:
        behind = need.newest - engine.held[place]
        if behind > 0 and engine.is_free:
            load = PlannedLoad(engine.name, need.model, need.newest, behind)
            is_needed = behind > need.slack
            found.append(RankedLoad(load, is_needed, engine.running))
    return sorted(found, key=find_rank)


def count_holders(
    engines: Sequence[EngineState],
    place: int,
    version: int,
) -> int:
    """Return how many engines hold a version or a newer one."""
    return sum(engine.held[place] >= version for engine in engines)


def count_demand(engines: Sequence[EngineState], need: ModelNeed) -> int:
    """Return how many engines the steps of a model keep busy."""
    slots = sum(engine.slots for engine in engines)
    if need.items is None or not slots:
        return len(engines)
    return math.ceil(need.items * SPARE_FACTOR * len(engines) / slots)
