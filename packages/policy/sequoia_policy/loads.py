"""Decides which engines load which version of which model next.

The load it answers: several models share engines, each gets a new version
every few seconds, an engine that loads starts no runs of that model, and few
engines load at full speed at a time.
"""

import math
from collections.abc import Sequence
from datetime import timedelta

from attrs import frozen

LOADING_SHARE = 0.4  # engines of a service that load at a time
START_DELAY = timedelta(milliseconds=300)  # lets a waiting step start first


@frozen
class ModelNeed:
    """What trainers want of one model.

    Attributes:
        newest: Newest version that was named.
        slack: Versions that an engine may be behind and still work on the
            newest step.
        named_for: Time since the newest version was named.
    """

    model: str
    newest: int
    slack: int
    named_for: timedelta


@frozen
class EngineState:
    """An engine as the host that gives orders knows it.

    Attributes:
        held: Version of each model, in the order of the needs.
        running: Requests that this host runs there.
        is_free: Whether it can take an order now.
    """

    name: str
    held: tuple[int, ...]
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


def plan_loads(
    engines: Sequence[EngineState],
    needs: Sequence[ModelNeed],
    under_way: int,
) -> tuple[PlannedLoad, ...]:
    """Return the orders to give now, in order.

    An engine too far behind for the newest step always loads. Others load
    only until the model's share of the engines holds the newest version:
    with several models each load takes an engine's time from all of them.

    Args:
        engines: All engines of a service.
        needs: All models of the service that have a named version.
        under_way: Loads that have begun and not ended.
    """
    most = max(1, math.ceil(len(engines) * LOADING_SHARE))
    quota = max(1, len(engines) // max(1, len(needs)))
    found: list[RankedLoad] = []
    for place, need in enumerate(needs):
        found.extend(find_loads(engines, need, place, quota))
    found.sort(key=lambda ranked: ranked.rank)
    chosen: dict[str, PlannedLoad] = {}
    for ranked in found:
        chosen.setdefault(ranked.load.engine, ranked.load)
    return tuple(chosen.values())[: max(0, most - under_way)]


def find_loads(
    engines: Sequence[EngineState],
    need: ModelNeed,
    place: int,
    quota: int,
) -> list[RankedLoad]:
    """Return the loads of one model that are due.

    Args:
        engines: All engines of a service.
        need: What trainers want of the model.
        place: Place of the model in ``EngineState.held``.
        quota: Engines that should hold the newest version.
    """
    current = sum(engine.held[place] >= need.newest for engine in engines)
    needed: list[RankedLoad] = []
    optional: list[RankedLoad] = []
    for engine in engines:
        behind = need.newest - engine.held[place]
        if behind <= 0 or not engine.is_free:
            continue
        load = PlannedLoad(engine.name, need.model, need.newest, behind)
        is_needed = behind > need.slack
        ranked = RankedLoad(load, is_needed, engine.running)
        (needed if is_needed else optional).append(ranked)
    if need.named_for < START_DELAY:
        return needed
    optional.sort(key=lambda ranked: ranked.rank)
    left = quota - current - len(needed)
    return [*needed, *optional[: max(0, left)]]
