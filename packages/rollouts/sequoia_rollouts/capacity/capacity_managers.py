"""Orders targets for the services that may be scaled."""

from collections.abc import Callable
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.capacity_plans import CapacityPlanner
from sequoia_policy.capacity_pools import CapacityView, PlannedOrder
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.routing import Scaling, Service
from sequoia_policy.verdicts import Verdict
from sequoia_wire.durations import seconds_of
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.base.settings import DutySettings
from sequoia_rollouts.capacity.views import ViewReader
from sequoia_rollouts.fleet.duty_holders import DutyHolder
from sequoia_rollouts.fleet.ownership import OwnedDuty, OwnershipTable
from sequoia_rollouts.fleet.platform_apis import (
    CapacityOrder,
    DutyPermit,
    PlatformApi,
)
from sequoia_rollouts.storage.stores import Committer
from sequoia_rollouts.targets.directories import Directory

POLL_INTERVAL = timedelta(milliseconds=500)
MIN_BACKOFF = timedelta(seconds=1)
MAX_BACKOFF = timedelta(seconds=8)
MAX_DOUBLINGS = 3

log = Log('capacity')
CAPACITY_WATCHED = log.event(
    'capacity watched', 'service', 'running', 'wanted', 'fence'
)
TARGETS_ORDERED = log.event(
    'targets ordered',
    'service',
    'domain',
    'reclaimable',
    'count',
    'reason',
    'running',
    'wanted',
    'need',
    'price',
    'list_age',
    'fence',
)
TARGETS_NOT_ORDERED = log.event(
    'targets not ordered',
    'service',
    'domain',
    'reclaimable',
    'count',
    'reason',
    'code',
    'detail',
    kind=LogKind.FAILURE,
)


@define
class CallPace:
    """Keeps the rate of calls, and pauses longer after failures.

    Attributes:
        next_at: When the next call may be made.
        failures: Number of calls in a row that failed.
    """

    next_at: timedelta = timedelta()
    failures: int = 0

    def record_call(self, now: timedelta, interval: timedelta) -> None:
        """Record that a call is made."""
        self.next_at = now + interval

    def record_success(self) -> None:
        """Record that the API responded."""
        self.failures = 0

    def record_failure(self, now: timedelta) -> None:
        """Pause twice as long as after the failure before."""
        pause = MIN_BACKOFF * (1 << min(self.failures, MAX_DOUBLINGS))
        self.failures += 1
        self.next_at = max(self.next_at, now + min(pause, MAX_BACKOFF))


@define(eq=False)
class CapacityManager:
    """Orders the targets of one service while this host owns the duty.

    Attributes:
        find_interval: Returns the minimum time between two calls.
        calling: Whether a call is in flight.
        fence: Version of the duty under which this host planned last.
    """

    clock: Clock
    service: Service
    duty: DutyHolder
    planner: CapacityPlanner
    reader: ViewReader
    api: PlatformApi
    find_interval: Callable[[], timedelta]
    pace: CallPace = field(factory=CallPace)
    calling: bool = False
    fence: int | None = None

    def apply(self, service: Service, scaling: Scaling) -> None:
        """Use the bounds and the routes in force."""
        self.service = service
        self.planner.scaling = scaling
        self.planner.may_reduce = not self.reader.serves_live_requests(service)

    async def step(self) -> None:
        """Acquire the duty if it is unowned; make the order that is due."""
        owned = await self.duty.step()
        if owned and owned.version != self.fence:
            # Another host may have ordered since this one planned last.
            self.planner.release()
            self.fence = owned.version
        now = self.clock.elapsed()
        view = self.reader.read(self.service, self.planner, now)
        if view is None:
            return
        self.planner.observe(view)
        if owned and not self.calling:
            await self._plan(view, owned)

    async def _plan(self, view: CapacityView, owned: OwnedDuty) -> None:
        was_planning = self.planner.planning
        order = self.planner.plan(view)
        if self.planner.planning and not was_planning:
            CAPACITY_WATCHED.write(
                service=self.service.name,
                running=sum(view.counts.values()),
                wanted=self.planner.wanted,
                fence=owned.version,
            )
        if order is None or view.now < self.pace.next_at:
            return
        self.calling = True
        await curio.spawn(self._run_order, order, owned, daemon=True)

    async def _run_order(self, order: PlannedOrder, owned: OwnedDuty) -> None:
        try:
            await self._order(order, owned)
        finally:
            self.calling = False

    async def _order(self, order: PlannedOrder, owned: OwnedDuty) -> None:
        """Make one call; record what is known of its effect."""
        now = self.clock.elapsed()
        if not self.duty.may_act(owned):
            return
        self.pace.record_call(now, self.find_interval())
        plan = self.planner.pools[order.pool]
        try:
            await self.api.order_targets(
                CapacityOrder(
                    self.service.name,
                    order.pool.domain,
                    order.count,
                    order.pool.reclaimable,
                ),
                DutyPermit(self.duty.host, owned.version),
            )
        except ServiceError as failure:
            self._record_failure(order, failure)
        else:
            self.pace.record_success()
            plan.record_order(order, now, self.planner.scaling.boot)
            self._log_order(order, owned)

    def _record_failure(
        self, order: PlannedOrder, failure: ServiceError
    ) -> None:
        now = self.clock.elapsed()
        if failure.code is Code.STORE_CONFLICT:
            self.pace.record_success()
            self.planner.record_unavailable(order, now)
        else:
            self.pace.record_failure(now)
        if failure.verdict is not Verdict.NOT_RUN:
            self.planner.pools[order.pool].record_unknown(now)
        TARGETS_NOT_ORDERED.write(
            service=self.service.name,
            domain=order.pool.domain,
            reclaimable=order.pool.reclaimable,
            count=order.count,
            reason=order.reason.value,
            code=failure.code.value.label,
            detail=failure.detail,
        )

    def _log_order(self, order: PlannedOrder, owned: OwnedDuty) -> None:
        planner = self.planner
        TARGETS_ORDERED.write(
            service=self.service.name,
            domain=order.pool.domain,
            reclaimable=order.pool.reclaimable,
            count=order.count,
            reason=order.reason.value,
            running=planner.pools[order.pool].count.newest,
            wanted=planner.wanted,
            need=planner.need,
            price=planner.bounds.find_price(order.pool),
            list_age=seconds_of(self.reader.directory.targets_age()),
            fence=owned.version,
        )


@define
class CapacityManagers:
    """The managers of all services that may be scaled."""

    clock: Clock
    directory: Directory
    ownership: OwnershipTable
    committer: Committer
    api: PlatformApi
    settings: DutySettings
    order_lease: timedelta
    managers: dict[str, CapacityManager] = field(factory=dict)

    async def run(self) -> None:
        """Order what is missing until cancelled."""
        while True:
            await self.step()
            await curio.sleep(POLL_INTERVAL.total_seconds())

    async def step(self) -> None:
        """Let the manager of each service act; forget the others."""
        scaled = self._list_scaled()
        for name in self.managers.keys() - {service.name for service in scaled}:
            self.managers.pop(name)
        if self.ownership.heartbeats.is_coordinator:
            for service in scaled:
                await self._find_manager(service).step()

    def set_lease(self, order_lease: timedelta) -> None:
        """Change the minimum time between orders of two hosts."""
        self.order_lease = order_lease
        for manager in self.managers.values():
            manager.duty.lease = order_lease

    async def release(self) -> None:
        """Release all duties for other hosts.

        Raises:
            ServiceError: If the store does not respond.
        """
        for manager in self.managers.values():
            await manager.duty.release()

    def find_interval(self) -> timedelta:
        """Return the minimum time between two orders for a service.

        Each service has an equal part of the API's rate, of which the duty to
        report usage has half if it is enabled.
        """
        parts = max(1, len(self._list_scaled()))
        if self.settings.reports_usage:
            parts *= 2
        return timedelta(seconds=parts / self.settings.call_rate)

    def _list_scaled(self) -> list[Service]:
        services = self.directory.configuration.services
        return [service for service in services if service.scaling]

    def _find_manager(self, service: Service) -> CapacityManager:
        scaling = service.scaling
        assert scaling is not None
        manager = self.managers.get(service.name)
        if manager is None:
            duty = DutyHolder(
                self.clock,
                self.ownership,
                self.committer,
                f'capacity/{service.name}',
                self.order_lease,
            )
            manager = CapacityManager(
                self.clock,
                service,
                duty,
                CapacityPlanner(scaling),
                ViewReader(self.directory, self.ownership),
                self.api,
                self.find_interval,
            )
            self.managers[service.name] = manager
        manager.apply(service, scaling)
        return manager
