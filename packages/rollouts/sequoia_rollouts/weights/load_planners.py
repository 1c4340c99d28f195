"""Plans which engines of a service load which versions, as a host sees them."""

from collections.abc import Sequence
from datetime import timedelta

from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.loads import (
    EngineState,
    ModelNeed,
    PlannedLoad,
    plan_loads,
)
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.routing import Service
from sequoia_policy.submissions import (
    count_expected_items,
    find_allowed_staleness,
)

from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.weights.orders import EXPECTED_LOAD_TIME, DesiredVersion
from sequoia_rollouts.fleet.ownership import OwnershipTable

# A plan visits all engines of a service; this leaves time for the orders.
PLAN_PAUSE_PER_ENGINE = timedelta(microseconds=100)


@frozen
class ObservedVersion:
    """A named version and when this host first observed it."""

    version: int
    observed_at: timedelta


@define(eq=False)
class LoadPlanner:
    """Plans the loads of one service from what this host knows.

    Attributes:
        pending_orders: The ordered version of each engine whose order has not
            ended.
        observed_versions: When each version of a model was first observed.
        loading_until: When the newest load of each engine should end. The
            engine's report confirms the end only later.
        plan_at: When the loads are planned again.
    """

    clock: Clock
    directory: Directory
    ownership: OwnershipTable
    service: Service
    pending_orders: dict[str, DesiredVersion] = field(factory=dict)
    observed_versions: dict[str, ObservedVersion] = field(factory=dict)
    loading_until: dict[str, timedelta] = field(factory=dict)
    plan_at: timedelta = timedelta()

    def plan(self) -> tuple[PlannedLoad, ...]:
        """Return the orders that are due now."""
        now = self.clock.elapsed()
        if now < self.plan_at:
            return ()
        needs = [
            self._find_need(model, now)
            for model in self.service.models
            if model in self.directory.versions
        ]
        engines = self._describe_engines(needs, now)
        self.plan_at = now + len(engines) * PLAN_PAUSE_PER_ENGINE
        in_flight = sum(until > now for until in self.loading_until.values())
        return plan_loads(engines, needs, in_flight)

    def record_start(self, engine: str, desired: DesiredVersion) -> None:
        """Record that an order is being sent to an engine."""
        self.pending_orders[engine] = desired
        self.loading_until[engine] = self.clock.elapsed() + EXPECTED_LOAD_TIME

    def record_end(self, engine: str) -> None:
        """Record that the order of an engine has ended."""
        self.pending_orders.pop(engine, None)

    def _describe_engines(
        self, needs: Sequence[ModelNeed], now: timedelta
    ) -> list[EngineState]:
        registry = self.directory.registry
        rankings = [
            registry.rank(self.service.name, need.model) for need in needs
        ]
        positions = [
            {target.name: position for position, target in enumerate(ranking)}
            for ranking in rankings
        ]
        return [
            EngineState(
                target.name,
                tuple(self._find_version(target, need.model) for need in needs),
                target.slots,
                target.running,
                target.name not in self.pending_orders
                and target.is_usable(now),
                tuple(by_name[target.name] for by_name in positions),
            )
            for target in registry.find(self.service.name)
        ]

    def _find_version(self, target: RegisteredTarget, model: str) -> int:
        """Return the version that an engine has, or was ordered to load."""
        version = target.version_of(model)
        desired = self.pending_orders.get(target.name)
        if desired and desired.model == model:
            return max(version, desired.version)
        return version

    def _find_need(self, model: str, now: timedelta) -> ModelNeed:
        version = self.directory.versions[model]
        observed = self.observed_versions.get(model)
        if observed is None or observed.version != version:
            observed = ObservedVersion(version, now)
            self.observed_versions[model] = observed
        ownerships = self.ownership.list_ownerships()
        return ModelNeed(
            model,
            version,
            find_allowed_staleness(ownerships, model),
            now - observed.observed_at,
            count_expected_items(ownerships, model),
        )
