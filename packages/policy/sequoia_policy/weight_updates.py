"""Plans weight updates: which engines load or activate a version next."""

import math
from collections.abc import Sequence

from attrs import frozen

from sequoia_policy.targets import SWAPPING


@frozen
class EngineView:
    """State of an engine according to its newest report.

    Attributes:
        version: Active version; ``SWAPPING`` during a swap.
        loaded: Newest version that is loaded and ready to activate.
        has_pending_order: Whether an order to the engine is in progress.
    """

    name: str
    version: int
    loaded: int
    has_pending_order: bool = False


@frozen
class EngineOrder:
    """An order to load or to activate a version."""

    name: str
    load: int | None = None
    activate: int | None = None


@frozen
class UpdateLimits:
    """Limits of a weight update.

    Attributes:
        live_floor: Minimum share of the engines that keeps serving.
        parallel_loads: Maximum number of engines that fetch from the weight
            store concurrently.
    """

    live_floor: float
    parallel_loads: int


def plan_updates(
    engines: Sequence[EngineView],
    version: int,
    limits: UpdateLimits,
) -> tuple[EngineOrder, ...]:
    """Return the next orders that bring the engines to ``version``.

    Loads do not wait for activations: an engine may fetch the version before
    or while others activate it. An engine with a pending order gets no second
    one.
    """
    loads = plan_loads(engines, version, limits.parallel_loads)
    activations = plan_activations(engines, version, limits.live_floor)
    return (*loads, *activations)


def plan_loads(
    engines: Sequence[EngineView],
    version: int,
    max_parallel: int,
) -> tuple[EngineOrder, ...]:
    """Return the loads that the weight store's concurrency limit allows."""
    behind = [engine for engine in engines if engine.loaded < version]
    loading = sum(engine.has_pending_order for engine in behind)
    ready = [engine for engine in behind if not engine.has_pending_order]
    free = max(0, max_parallel - loading)
    return tuple(
        EngineOrder(engine.name, load=version) for engine in ready[:free]
    )


def plan_activations(
    engines: Sequence[EngineView],
    version: int,
    live_floor: float,
) -> tuple[EngineOrder, ...]:
    """Return the activations that keep enough engines serving.

    An engine that a failed swap left without an active version is included
    even at the limit, because it serves no requests in any case.
    """
    loaded = [
        engine
        for engine in engines
        if engine.loaded >= version and engine.version != version
    ]
    swapping = sum(
        engine.has_pending_order or engine.version == SWAPPING
        for engine in loaded
    )
    max_swapping = max(1, len(engines) - math.ceil(live_floor * len(engines)))
    ready = [engine for engine in loaded if not engine.has_pending_order]
    ready.sort(key=lambda engine: engine.version != SWAPPING)
    free = max(0, max_swapping - swapping)
    interrupted = [engine for engine in ready if engine.version == SWAPPING]
    selected = [
        *interrupted,
        *ready[len(interrupted) : len(interrupted) + free],
    ]
    return tuple(
        EngineOrder(engine.name, activate=version) for engine in selected
    )
