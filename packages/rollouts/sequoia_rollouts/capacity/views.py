"""Derives what the planner of a service needs from what a coordinator knows."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from attrs import define
from sequoia_policy.capacity_demands import StepView
from sequoia_policy.capacity_plans import CapacityPlanner
from sequoia_policy.capacity_pools import CapacityView, Pool
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.routing import Route, RouteKind, Service
from sequoia_policy.submissions import Ownership

from sequoia_rollouts.fleet.ownership import OwnedSubmission, OwnershipTable
from sequoia_rollouts.targets.directories import Directory

MAX_LIST_AGE = timedelta(seconds=3)


@define
class ViewReader:
    """Reads the engines and the steps of a service."""

    directory: Directory
    ownership: OwnershipTable

    def read(
        self, service: Service, planner: CapacityPlanner, now: timedelta
    ) -> CapacityView | None:
        """Return the engines and steps now; None if too little is known.

        Args:
            service: The service.
            planner: Knows which steps were open before.
            now: The present time.
        """
        store_time = self.ownership.heartbeats.store_clock.now()
        if store_time is None or not self._is_current():
            return None
        steps = self._read_steps(service, store_time, planner)
        return CapacityView(
            now,
            *count_engines(self.directory.registry.find(service.name)),
            tuple(steps),
        )

    def serves_live_requests(self, service: Service) -> bool:
        """Return whether a route for live requests or streams uses a service."""
        return any(
            route.kind is not RouteKind.ROLLOUT
            for route in self._find_routes(service)
        )

    def _is_current(self) -> bool:
        age = self.directory.targets_age()
        if age is None or age > MAX_LIST_AGE:
            return False
        return self.ownership.follower.is_current(MAX_LIST_AGE)

    def _read_steps(
        self,
        service: Service,
        store_time: timedelta,
        planner: CapacityPlanner,
    ) -> Iterable[StepView]:
        due = min(
            (
                route.due
                for route in self._find_routes(service)
                if route.kind is RouteKind.ROLLOUT
            ),
            default=timedelta(),
        )
        if not due:
            return
        running = planner.history.running
        for owned in self.ownership.submissions.values():
            # The end of a step that was not seen open tells nothing.
            if owned.ownership.ended and owned.id not in running:
                continue
            if is_of_service(owned.ownership, service):
                yield make_step(owned, store_time, due)

    def _find_routes(self, service: Service) -> list[Route]:
        return [
            route
            for route in self.directory.configuration.routes
            if any(share.service == service.name for share in route.shares)
        ]


def count_engines(
    targets: Iterable[RegisteredTarget],
) -> tuple[dict[Pool, int], dict[Pool, int]]:
    """Return how many engines serve or start, and how many leave, by pool."""
    counts: Counter[tuple[str, bool]] = Counter()
    leaving: Counter[tuple[str, bool]] = Counter()
    for target in targets:
        registration = target.registration
        key = registration.domain, registration.reclaimable
        if target.is_leaving:
            leaving[key] += 1
        elif target.expires_at is None:
            counts[key] += 1
    return (
        {Pool(*key): count for key, count in counts.items()},
        {Pool(*key): count for key, count in leaving.items()},
    )


def is_of_service(ownership: Ownership, service: Service) -> bool:
    """Return whether a service generates the items of a submission."""
    return not ownership.model or ownership.model in service.models


def make_step(
    owned: OwnedSubmission, store_time: timedelta, due: timedelta
) -> StepView:
    """Return a submission as the planner knows it."""
    ownership = owned.ownership
    age = max(timedelta(), store_time - ownership.accepted)
    return StepView(owned.id, ownership.total, age, due, ownership.ended)
