"""Moves engines to the versions that trainers name, by orders."""

from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.loads import (
    EngineState,
    ModelNeed,
    PlannedLoad,
    plan_loads,
)
from sequoia_policy.routing import Service
from sequoia_policy.submissions import (
    count_expected_items,
    find_allowed_staleness,
)
from sequoia_wire.codecs import encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.directories import Directory
from sequoia_rollouts.orders import (
    LOAD_TIME,
    OrderSender,
    OrderPermit,
    Wanted,
)
from sequoia_rollouts.ownership import OwnedDuty, OwnershipTable
from sequoia_rollouts.senders import Sender
from sequoia_rollouts.stores import (
    ABSENT,
    Committer,
    ConflictError,
    Guard,
    RowWrite,
    Transaction,
)
from sequoia_rollouts.tables import Duty, duty_key

LOOK_PERIOD = timedelta(milliseconds=50)
COMMIT_PATIENCE = timedelta(milliseconds=600)
RETRY_PAUSE = timedelta(milliseconds=300)
HANDOVER_MARGIN = timedelta(milliseconds=300)  # beyond the lease of orders

log = Log('weights')
DUTY_TAKEN = log.event('duty taken', 'duty', 'before')
DUTY_NOT_TAKEN = log.event(
    'duty not taken', 'duty', 'detail', kind=LogKind.FAILURE
)
ORDER_FAILED = log.event(
    'order failed', 'target', 'model', 'version', 'detail', kind=LogKind.FAILURE
)


@frozen
class ObservedVersion:
    """A named version and when this host first saw it."""

    version: int
    since: timedelta


@define(eq=False)
class WeightManager:
    """Orders the engines of one service while this host has the duty.

    Attributes:
        order_lease: Shortest time between orders of two hosts.
        may_order_from: When this host may give its first order.
        named: When each version of a model was first seen.
        ordering: What engines with an order under way are to hold.
        loading_until: When the newest load of each engine should end; its
            report says so only later.
    """

    clock: Clock
    directory: Directory
    ownership: OwnershipTable
    committer: Committer
    order_sender: OrderSender
    service: Service
    order_lease: timedelta
    may_order_from: timedelta = timedelta()
    ordering: dict[str, Wanted] = field(factory=dict)
    named: dict[str, ObservedVersion] = field(factory=dict)
    loading_until: dict[str, timedelta] = field(factory=dict)

    @property
    def duty(self) -> str:
        """The name of the duty."""
        return f'weights/{self.service.name}'

    async def step(self) -> None:
        """Take the duty if it is free; give the orders that are due."""
        held = self.ownership.duties.get(self.duty)
        if held is None or held.owner != self.ownership.heartbeats.owner:
            await self._take_if_free(held)
            return
        if not self.may_order(held):
            return
        for load in self._plan():
            target = self.directory.registry.targets[load.engine]
            wanted = Wanted(load.model, load.version)
            self.ordering[target.name] = wanted
            self.loading_until[target.name] = self.clock.elapsed() + LOAD_TIME
            await curio.spawn(
                self._run_order,
                target,
                wanted,
                held,
                daemon=True,
            )

    def may_order(self, held: OwnedDuty) -> bool:
        """Tell whether no other host can be giving orders."""
        if self.ownership.duties.get(self.duty) != held:
            return False
        if not self.ownership.heartbeats.holds_lease():
            return False
        if self.ownership.heartbeats.own_heartbeat.draining:
            return False
        return self.clock.elapsed() >= self.may_order_from

    async def release(self) -> None:
        """Let another host take the duty.

        Raises:
            ServiceError: If the store does not answer.
        """
        held = self.ownership.duties.get(self.duty)
        if held and held.owner == self.ownership.heartbeats.owner:
            await self._write(held.version, '')

    async def _take_if_free(self, held: OwnedDuty | None) -> None:
        if self.ownership.follower.version is None:
            return
        if held and not self.ownership.is_unowned(held.owner):
            self.ownership.unowned_since.pop(self.duty, None)
            return
        if not self.ownership.has_takeover_turn(self.duty):
            return
        try:
            await self._take(held)
        except ServiceError as failure:
            DUTY_NOT_TAKEN.write(duty=self.duty, detail=failure.detail)

    async def _take(self, held: OwnedDuty | None) -> None:
        owner = self.ownership.heartbeats.owner
        version = held.version if held else ABSENT
        if not await self._write(version, owner):
            return
        self.may_order_from = self.clock.elapsed()
        if held and not self._was_this_host(held.owner):
            self.may_order_from += self.order_lease + HANDOVER_MARGIN
        DUTY_TAKEN.write(duty=self.duty, before=held and held.owner)

    def _was_this_host(self, owner: str) -> bool:
        host = self.ownership.heartbeats.host
        return owner.rpartition('/')[0] == host

    async def _write(self, version: int, owner: str) -> bool:
        """Write the duty's owner; tell whether that took effect."""
        key = duty_key(self.duty)
        transaction = Transaction(
            (RowWrite(key, encode(Duty(owner))),),
            (Guard(key, version),),
        )
        try:
            written = await self.committer.commit(transaction, COMMIT_PATIENCE)
        except ConflictError as conflict:
            for row in conflict.rows:
                await self.ownership.follower.on_change(row)
            return False
        self.ownership.record_duty(OwnedDuty(self.duty, owner, written))
        return True

    def _plan(self) -> tuple[PlannedLoad, ...]:
        """Return the orders that are due now."""
        now = self.clock.elapsed()
        needs = [
            self._find_need(model, now)
            for model in self.service.models
            if model in self.directory.versions
        ]
        engines = [
            EngineState(
                target.name,
                tuple(self._find_held(target, need.model) for need in needs),
                target.slots,
                target.running,
                target.name not in self.ordering and target.is_usable(now),
            )
            for target in self.directory.registry.find(self.service.name)
        ]
        under_way = sum(until > now for until in self.loading_until.values())
        return plan_loads(engines, needs, under_way)

    def _find_held(self, target: RegisteredTarget, model: str) -> int:
        """Return the version that an engine holds, or was ordered to."""
        held = target.version_of(model)
        wanted = self.ordering.get(target.name)
        if wanted and wanted.model == model:
            return max(held, wanted.version)
        return held

    def _find_need(self, model: str, now: timedelta) -> ModelNeed:
        version = self.directory.versions[model]
        seen = self.named.get(model)
        if seen is None or seen.version != version:
            seen = ObservedVersion(version, now)
            self.named[model] = seen
        steps = self.ownership.list_ownerships()
        return ModelNeed(
            model,
            version,
            find_allowed_staleness(steps, model),
            now - seen.since,
            count_expected_items(steps, model),
        )

    async def _run_order(
        self,
        target: RegisteredTarget,
        wanted: Wanted,
        held: OwnedDuty,
    ) -> None:
        permit = OrderPermit(
            self.ownership.heartbeats.host,
            held.version,
            self._may_mix(),
            lambda: self.may_order(held),
        )
        try:
            await self.order_sender.move(target, wanted, permit)
        except ServiceError as failure:
            ORDER_FAILED.write(
                target=target.name,
                model=wanted.model,
                version=wanted.version,
                detail=failure.detail,
            )
            target.back_off(self.clock.elapsed(), RETRY_PAUSE)
            await curio.sleep(RETRY_PAUSE.total_seconds())
        finally:
            self.ordering.pop(target.name, None)

    def _may_mix(self) -> bool:
        """Tell whether a text may come from several versions."""
        return not any(
            route.single_version
            for route in self.directory.configuration.routes
            if any(share.service == self.service.name for share in route.shares)
        )


@define
class WeightManagers:
    """One keeper for each service of engines."""

    clock: Clock
    directory: Directory
    sender: Sender
    ownership: OwnershipTable
    committer: Committer
    order_lease: timedelta
    managers: dict[str, WeightManager] = field(factory=dict)

    async def run(self) -> None:
        """Keep all engines at the named versions until cancelled."""
        while True:
            for service in self.directory.configuration.services:
                if service.models:
                    await self._find_keeper(service).step()
            await curio.sleep(LOOK_PERIOD.total_seconds())

    def set_lease(self, order_lease: timedelta) -> None:
        """Change the shortest time between orders of two hosts."""
        self.order_lease = order_lease
        for keeper in self.managers.values():
            keeper.order_lease = order_lease

    async def release(self) -> None:
        """Let other hosts take all duties.

        Raises:
            ServiceError: If the store does not answer.
        """
        for keeper in self.managers.values():
            await keeper.release()

    def _find_keeper(self, service: Service) -> WeightManager:
        keeper = self.managers.get(service.name)
        if keeper is None:
            keeper = WeightManager(
                self.clock,
                self.directory,
                self.ownership,
                self.committer,
                OrderSender(
                    self.clock,
                    self.directory,
                    self.sender,
                    self.committer.store,
                ),
                service,
                self.order_lease,
            )
            self.managers[service.name] = keeper
        keeper.service = service
        return keeper
