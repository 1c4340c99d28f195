"""Spread of weights: which engines load and which activate next."""

import math
from collections.abc import Sequence

from attrs import frozen

from sequoia_policy.targets import SWAPPING


@frozen
class EngineView:
    """An engine as its newest report describes it.

    Attributes:
        version: Version in use, ``SWAPPING`` during a swap.
        loaded: Newest version held ready.
        ordered: Whether an order to it is under way.
    """

    name: str
    version: int
    loaded: int
    ordered: bool = False


@frozen
class EngineOrder:
    """What one engine is to do next."""

    name: str
    load: int | None = None
    activate: int | None = None


@frozen
class UpdateLimits:
    """Bounds of a spread.

    Attributes:
        live_floor: Share of the engines that keeps serving.
        parallel_loads: Most engines that fetch from the weight store.
    """

    live_floor: float
    parallel_loads: int


def plan_updates(
    engines: Sequence[EngineView],
    wanted: int,
    limits: UpdateLimits,
) -> tuple[EngineOrder, ...]:
    """Return the orders that bring engines nearer to ``wanted``.

    All engines fetch before and while others activate; an engine that is
    under an order gets no second one.
    """
    loads = plan_loads(engines, wanted, limits.parallel_loads)
    swaps = plan_swaps(engines, wanted, limits.live_floor)
    return (*loads, *swaps)


def plan_loads(
    engines: Sequence[EngineView],
    wanted: int,
    parallel: int,
) -> tuple[EngineOrder, ...]:
    """Return the loads that fit under the weight store's rate."""
    behind = [engine for engine in engines if engine.loaded < wanted]
    busy = sum(engine.ordered for engine in behind)
    ready = [engine for engine in behind if not engine.ordered]
    free = max(0, parallel - busy)
    return tuple(
        EngineOrder(engine.name, load=wanted) for engine in ready[:free]
    )


def plan_swaps(
    engines: Sequence[EngineView],
    wanted: int,
    live_floor: float,
) -> tuple[EngineOrder, ...]:
    """Return the activations that leave enough engines serving."""
    loaded = [
        engine
        for engine in engines
        if engine.loaded >= wanted and engine.version != wanted
    ]
    away = sum(
        engine.ordered or engine.version == SWAPPING for engine in loaded
    )
    most = max(1, len(engines) - math.ceil(live_floor * len(engines)))
    ready = [engine for engine in loaded if not engine.ordered]
    ready.sort(key=lambda engine: engine.version != SWAPPING)
    free = max(0, most - away)
    stuck = [engine for engine in ready if engine.version == SWAPPING]
    chosen = [*stuck, *ready[len(stuck) : len(stuck) + free]]
    return tuple(EngineOrder(engine.name, activate=wanted) for engine in chosen)
