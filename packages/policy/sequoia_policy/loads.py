"""Plans which engine loads which model version next.

Several models share the engines of a service, and each model gets a new
version every few seconds. An engine that is loading starts no runs of that
model, and only a few engines can load at full speed at a time. A step uses a
few of hundreds of engines. Those load without delay, and the others load when
the version has been the newest one for ``CATCH_UP_DELAY``.
"""

import math
from collections.abc import Sequence
from datetime import timedelta

from attrs import frozen

# Share of a service's engines that may load at a time; more of them would not
# load at full speed.
MAX_LOADING_SHARE = 0.4
# Age of a version from which engines with a usable older version load it. The
# delay lets a step that waits for the version start first.
OPTIONAL_LOAD_DELAY = timedelta(milliseconds=300)
# Slots to bring up to date at once, per item of the open steps.
SLOTS_PER_ITEM = 2.0
# Age of a version from which the engines that no step needs load it too, and
# the time over which those loads are spread.
CATCH_UP_DELAY = timedelta(seconds=5)
CATCH_UP_DURATION = timedelta(seconds=24)
TYPICAL_LOAD_DURATION = timedelta(seconds=1)


@frozen
class ModelNeed:
    """Versions and capacity of one model that trainers require.

    Attributes:
        newest: Newest version that trainers named.
        slack: Versions that an engine may be behind and still work on the
            newest step.
        version_age: Time since the newest version was named.
        items: Items that the engines must have capacity for; None if no step
            of the model is known.
    """

    model: str
    newest: int
    slack: int
    version_age: timedelta
    items: int | None


@frozen
class EngineState:
    """State of an engine as known to the host that sends its orders.

    Attributes:
        versions: Version of each model, in the order of the needs; the
            ordered version while an order is in progress.
        slots: Number of requests that the engine runs concurrently.
        running: Requests of this host that run on the engine.
        is_free: Whether the engine can receive an order now.
        positions: Position in the ranking of each model, in the order of the
            needs; empty if the model's items prefer no engines.
    """

    name: str
    versions: tuple[int, ...]
    slots: int = 1
    running: int = 0
    is_free: bool = True
    positions: tuple[int, ...] = ()

    def is_preferred(self, index: int, count: int) -> bool:
        """Return whether it is among the first ``count`` of a model's ranking.

        Args:
            index: Index of the model in the needs.
            count: Number of engines that the model's items use.
        """
        return not self.positions or self.positions[index] < count


@frozen
class PlannedLoad:
    """An order to load a version that is due.

    Attributes:
        versions_behind: Number of versions that the engine is behind.
    """

    engine: str
    model: str
    version: int
    versions_behind: int


@frozen
class RankedLoad:
    """A load with the facts that determine its priority."""

    load: PlannedLoad
    is_needed: bool
    is_preferred: bool
    running: int

    @property
    def rank(self) -> tuple[bool, bool, int, int]:
        """Sort key.

        Needed loads come first, then those of engines that the model's items
        prefer, then the furthest behind, then those of idle engines.
        """
        return (
            not self.is_needed,
            not self.is_preferred,
            -self.load.versions_behind,
            self.running,
        )


@frozen
class DueLoads:
    """Due loads of one model.

    Attributes:
        urgent: Loads that the model's open steps need.
        background: Loads that bring the other engines up to date.
    """

    urgent: list[RankedLoad]
    background: list[RankedLoad]


def plan_loads(
    engines: Sequence[EngineState],
    needs: Sequence[ModelNeed],
    in_progress: int,
) -> tuple[PlannedLoad, ...]:
    """Return the orders to send now, by priority.

    Until the open steps have enough engines with a usable version, engines
    load without delay. A load takes engine time from all models that share
    the engine. Engines with a usable version therefore load only until the
    model's share of the engines has the newest version.

    Args:
        engines: All engines of a service.
        needs: All models of the service that have a named version.
        in_progress: Loads that have started and not ended.
    """
    max_loading = max(1, math.ceil(len(engines) * MAX_LOADING_SHARE))
    quota = max(1, len(engines) // max(1, len(needs)))
    due = [
        find_due_loads(engines, need, index, quota)
        for index, need in enumerate(needs)
    ]
    urgent = select_loads([ranked for loads in due for ranked in loads.urgent])
    if urgent:
        return urgent[: max(0, max_loading - in_progress)]
    background = select_loads(
        [ranked for loads in due for ranked in loads.background]
    )
    catch_up_limit = math.ceil(
        len(engines) * (TYPICAL_LOAD_DURATION / CATCH_UP_DURATION)
    )
    return background[: max(0, min(max_loading, catch_up_limit) - in_progress)]


def select_loads(candidates: list[RankedLoad]) -> tuple[PlannedLoad, ...]:
    """Return the first load of each engine, by rank."""
    selected: dict[str, PlannedLoad] = {}
    for ranked in sorted(candidates, key=get_rank):
        selected.setdefault(ranked.load.engine, ranked.load)
    return tuple(selected.values())


def get_rank(ranked: RankedLoad) -> tuple[bool, bool, int, int]:
    """Return the sort key of a load."""
    return ranked.rank


def find_due_loads(
    engines: Sequence[EngineState],
    need: ModelNeed,
    index: int,
    quota: int,
) -> DueLoads:
    """Return the loads of one model that are due.

    Args:
        engines: All engines of a service.
        need: What trainers require of the model.
        index: Index of the model in ``EngineState.versions``.
        quota: Number of engines that should have the newest version.
    """
    required = count_required_engines(engines, need)
    candidates = rank_loads(engines, need, index, required)
    outdated = [ranked for ranked in candidates if ranked.is_needed]
    usable = [ranked for ranked in candidates if not ranked.is_needed]
    usable_count = count_engines_at(engines, index, need.newest - need.slack)
    current_count = count_engines_at(engines, index, need.newest)
    urgent = outdated[: max(0, required - usable_count)]
    if need.version_age >= OPTIONAL_LOAD_DELAY:
        missing = min(quota, required) - current_count - len(urgent)
        urgent = [*urgent, *usable[: max(0, missing)]]
    if need.version_age < CATCH_UP_DELAY:
        return DueLoads(urgent, [])
    return DueLoads(
        urgent,
        [*outdated, *usable[: max(0, quota - current_count - len(outdated))]],
    )


def rank_loads(
    engines: Sequence[EngineState],
    need: ModelNeed,
    index: int,
    required: int,
) -> list[RankedLoad]:
    """Return a load for each free engine that is behind, by rank.

    Args:
        engines: All engines of a service.
        need: What trainers require of the model.
        index: Index of the model in ``EngineState.versions``.
        required: Number of engines that the model's open steps need.
    """
    candidates = []
    for engine in engines:
        behind = need.newest - engine.versions[index]
        if behind > 0 and engine.is_free:
            load = PlannedLoad(engine.name, need.model, need.newest, behind)
            is_needed = behind > need.slack
            is_preferred = engine.is_preferred(index, required)
            candidates.append(
                RankedLoad(load, is_needed, is_preferred, engine.running)
            )
    return sorted(candidates, key=get_rank)


def count_engines_at(
    engines: Sequence[EngineState],
    index: int,
    version: int,
) -> int:
    """Return the number of engines with a version or a newer one."""
    return sum(engine.versions[index] >= version for engine in engines)


def count_required_engines(
    engines: Sequence[EngineState], need: ModelNeed
) -> int:
    """Return the number of engines that the open steps of a model need."""
    slots = sum(engine.slots for engine in engines)
    if need.items is None or not slots:
        return len(engines)
    return math.ceil(need.items * SLOTS_PER_ITEM * len(engines) / slots)
