"""The duty that rolls out new weights to the engines of a pool."""

from datetime import timedelta
from functools import partial

import curio
from attrs import define, field
from sequoia_policy.errors import ServiceError
from sequoia_policy.targets import Report, Target
from sequoia_policy.weight_updates import (
    EngineOrder,
    EngineView,
    UpdateLimits,
    plan_updates,
)
from sequoia_wire.calls import Timeouts
from sequoia_wire.codecs import decode
from sequoia_wire.logs import Log
from sequoia_wire.messages import RequestHead
from sequoia_wire.platform_messages import (
    Order,
    PublishedWeights,
    TargetStatus,
)

from sequoiashed.engine_profiles import ProfileDuty
from sequoiashed.grants import DutyPlan, Grant
from sequoiashed.orders import OrderSender
from sequoiashed.states import HostState
from sequoiashed.tasks import TaskSet
from sequoiashed.watchers import make_report, read_status

UPDATE_INTERVAL = timedelta(milliseconds=200)
MAX_REPORT_AGE = timedelta(seconds=2)
STORE_TIMEOUTS = Timeouts(timedelta(milliseconds=500), timedelta(seconds=2))

log = Log('weights')


@define
class WeightsDuty:
    """Orders engines to load and activate the newest published version.

    Attributes:
        ordered: Engines with an order in flight.
        version: Newest published version; 0 if none is known.
    """

    state: HostState
    pool: str
    ordered: set[str] = field(factory=set)
    version: int = 0
    order_sender: OrderSender = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the order sender."""
        self.order_sender = OrderSender(self.state)

    async def run(self, grant: Grant) -> None:
        """Roll out new versions until cancelled."""
        async with TaskSet() as tasks:
            while True:
                await self._read_published()
                if self.version:
                    await self._send_updates(tasks, grant)
                await curio.sleep(UPDATE_INTERVAL.total_seconds())

    async def _read_published(self) -> None:
        address = self.state.settings.weight_store
        head = RequestHead('GET', f'/weights/{self.pool}')
        try:
            response = await self.state.client.fetch(
                address,
                head,
                timeouts=STORE_TIMEOUTS,
            )
            published = decode(response.body, PublishedWeights)
        except ServiceError as error:
            self.state.metrics.store_errors.labels('weights').inc()
            log.write('failed to read the weight store', detail=error.detail)
            return
        self.version = max(self.version, published.version)

    async def _send_updates(self, tasks: TaskSet, grant: Grant) -> None:
        pool = self.state.plan.pools[self.pool]
        engines = await self._list_engines()
        limits = UpdateLimits(pool.live_floor, pool.parallel_loads)
        for order in plan_updates(engines, self.version, limits):
            self.ordered.add(order.name)
            await tasks.spawn(self._send_order, order, grant)

    async def _list_engines(self) -> list[EngineView]:
        """Return the current state of the engines of this domain."""
        domain = self.state.settings.domain
        engines = []
        for target_state in self.state.targets.find(self.pool, domain):
            if (
                target_state.is_leaving
                or target_state.retired
                or target_state.report is None
            ):
                continue
            name = target_state.target.name
            if self._needs_status(target_state.report):
                await self._read_status(target_state.target)
            report = target_state.report
            view = EngineView(
                name,
                report.version,
                report.loaded,
                name in self.ordered,
            )
            engines.append(view)
        return engines

    def _needs_status(self, report: Report) -> bool:
        """Return whether an engine's status should be queried before use."""
        age = self.state.clock.elapsed() - report.origin
        return report.version != self.version or age > MAX_REPORT_AGE

    async def _read_status(self, target: Target) -> None:
        requested_at = self.state.clock.elapsed()
        try:
            status = await read_status(self.state, target)
        except ServiceError:
            return
        self._apply_status(status, requested_at)

    async def _send_order(self, order: EngineOrder, grant: Grant) -> None:
        """Send one order, and log a failure instead of raising it.

        Whether the order took effect shows in the next status of the engine.
        """
        message = Order(order.name, grant.fencing, order.load, order.activate)
        try:
            await self.order_sender.send(grant, message)
        except ServiceError as error:
            log.write(
                'order failed',
                engine=order.name,
                detail=error.detail,
            )
        finally:
            self.ordered.discard(order.name)

    def _apply_status(
        self, status: TargetStatus, requested_at: timedelta
    ) -> None:
        report = make_report(status, requested_at)
        if self.state.targets.accept_report(report):
            self.state.reports.add(report)


ENGINE_DUTIES = (('weights', WeightsDuty), ('outfits', ProfileDuty))


def list_engine_duties(state: HostState) -> tuple[DutyPlan, ...]:
    """Return the engine duties, one of each kind per pool and domain."""
    plan = state.plan
    pool_domains = [
        (pool, domain)
        for pool, pool_plan in plan.pools.items()
        if pool_plan.follow_weights
        for domain in plan.domains
    ]
    return tuple(
        DutyPlan(
            f'{name}/{pool}/{domain}',
            frozenset((domain,)),
            partial(duty_class, state, pool),
        )
        for pool, domain in pool_domains
        for name, duty_class in ENGINE_DUTIES
    )
