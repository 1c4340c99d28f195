"""The duty that brings new weights to the engines of a pool."""

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
from sequoia_wire.clients import Timeouts
from sequoia_wire.codecs import decode
from sequoia_wire.logs import Log
from sequoia_wire.messages import RequestHead
from sequoia_wire.platform_messages import (
    Order,
    PublishedWeights,
    TargetStatus,
)

from sequoiashed.grants import DutyPlan, Grant
from sequoiashed.ordering import OrderSender
from sequoiashed.engine_profiles import ProfileDuty
from sequoiashed.states import HostState
from sequoiashed.tasks import TaskSet
from sequoiashed.watchers import make_report, read_status

TICK = timedelta(milliseconds=200)
OLDEST_REPORT = timedelta(seconds=2)
STORE_PATIENCE = Timeouts(timedelta(milliseconds=500), timedelta(seconds=2))

log = Log('weights')


@define
class WeightsDuty:
    """Compares wanted and seen versions, and gives orders by waves."""

    state: HostState
    pool: str
    ordered: set[str] = field(factory=set)
    wanted: int = 0
    desk: OrderSender = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the desk that gives orders."""
        self.desk = OrderSender(self.state)

    async def run(self, grant: Grant) -> None:
        """Spread new versions until cancelled."""
        async with TaskSet() as tasks:
            while True:
                await self._read_wanted()
                if self.wanted:
                    await self._order_wave(tasks, grant)
                await curio.sleep(TICK.total_seconds())

    async def _read_wanted(self) -> None:
        address = self.state.settings.weight_store
        head = RequestHead('GET', f'/weights/{self.pool}')
        try:
            answer = await self.state.client.fetch(
                address,
                head,
                timeouts=STORE_PATIENCE,
            )
            published = decode(answer.body, PublishedWeights)
        except ServiceError as failure:
            self.state.metrics.store_errors.labels('weights').inc()
            log.write('weight store is away', detail=failure.detail)
            return
        self.wanted = max(self.wanted, published.version)

    async def _order_wave(self, tasks: TaskSet, grant: Grant) -> None:
        known = self.state.plan.pools[self.pool]
        engines = await self._look()
        limits = UpdateLimits(known.live_floor, known.parallel_loads)
        for order in plan_updates(engines, self.wanted, limits):
            self.ordered.add(order.name)
            await tasks.spawn(self._give, order, grant)

    async def _look(self) -> list[EngineView]:
        """Return the engines of the own domain as they are now."""
        domain = self.state.settings.domain
        engines = []
        for known in self.state.targets.find(self.pool, domain):
            if known.is_leaving or known.retired or known.report is None:
                continue
            name = known.target.name
            if self._is_doubtful(known.report):
                await self._read_back(known.target)
            report = known.report
            view = EngineView(
                name,
                report.version,
                report.loaded,
                name in self.ordered,
            )
            engines.append(view)
        return engines

    def _is_doubtful(self, report: Report) -> bool:
        """Tell whether an engine should be asked for its version again."""
        age = self.state.clock.elapsed() - report.origin
        return report.version != self.wanted or age > OLDEST_REPORT

    async def _read_back(self, target: Target) -> None:
        asked = self.state.clock.elapsed()
        try:
            status = await read_status(self.state, target)
        except ServiceError:
            return
        self._accept(status, asked)

    async def _give(self, order: EngineOrder, grant: Grant) -> None:
        """Give one order; the next look shows what came of it."""
        signed = Order(order.name, grant.fencing, order.load, order.activate)
        try:
            await self.desk.give(grant, signed)
        except ServiceError as failure:
            log.write(
                'order failed',
                engine=order.name,
                detail=failure.detail,
            )
        finally:
            self.ordered.discard(order.name)

    def _accept(self, status: TargetStatus, asked: timedelta) -> None:
        report = make_report(status, asked)
        if self.state.targets.accept_report(report):
            self.state.reports.add(report)


ENGINE_DUTIES = (('weights', WeightsDuty), ('outfits', ProfileDuty))


def list_engine_duties(state: HostState) -> tuple[DutyPlan, ...]:
    """Return the duties about engines, one of each kind a pool and domain."""
    plan = state.plan
    places = [
        (pool, domain)
        for pool, known in plan.pools.items()
        if known.follow_weights
        for domain in plan.domains
    ]
    return tuple(
        DutyPlan(
            f'{name}/{pool}/{domain}',
            frozenset((domain,)),
            partial(kind, state, pool),
        )
        for pool, domain in places
        for name, kind in ENGINE_DUTIES
    )
