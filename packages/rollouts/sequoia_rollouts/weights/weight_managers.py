"""Orders engines to load the versions that trainers name."""

from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.routing import Service
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.weights.load_planners import LoadPlanner
from sequoia_rollouts.weights.orders import (
    DesiredVersion,
    OrderPermit,
    OrderSender,
)
from sequoia_rollouts.fleet.duty_holders import DutyHolder
from sequoia_rollouts.fleet.ownership import OwnedDuty, OwnershipTable
from sequoia_rollouts.targets.senders import Sender
from sequoia_rollouts.storage.stores import Committer, Store

POLL_INTERVAL = timedelta(milliseconds=50)
RETRY_BACKOFF = timedelta(milliseconds=300)

log = Log('weights')
ORDER_FAILED = log.event(
    'order failed', 'target', 'model', 'version', 'detail', kind=LogKind.FAILURE
)


@define(eq=False)
class WeightManager:
    """Orders the engines of one service while this host owns the duty.

    Attributes:
        duty: The duty to order the engines of the service.
        planner: Plans the loads of the service.
    """

    clock: Clock
    directory: Directory
    duty: DutyHolder
    order_sender: OrderSender
    planner: LoadPlanner

    @property
    def service(self) -> Service:
        """The service as configured now."""
        return self.planner.service

    async def step(self) -> None:
        """Acquire the duty if it is unowned; send the orders that are due."""
        owned = await self.duty.step()
        if owned is None:
            return
        for load in self.planner.plan():
            target = self.directory.registry.targets[load.engine]
            desired = DesiredVersion(load.model, load.version)
            self.planner.record_start(target.name, desired)
            await curio.spawn(
                self._run_order,
                target,
                desired,
                owned,
                daemon=True,
            )

    async def _run_order(
        self,
        target: RegisteredTarget,
        desired: DesiredVersion,
        owned: OwnedDuty,
    ) -> None:
        permit = OrderPermit(
            self.duty.host,
            owned.version,
            self._allows_mixed_versions(),
            lambda: self.duty.may_act(owned),
        )
        try:
            await self.order_sender.update_engine(target, desired, permit)
        except ServiceError as failure:
            ORDER_FAILED.write(
                target=target.name,
                model=desired.model,
                version=desired.version,
                detail=failure.detail,
            )
            target.back_off(self.clock.elapsed(), RETRY_BACKOFF)
            await curio.sleep(RETRY_BACKOFF.total_seconds())
        finally:
            self.planner.record_end(target.name)

    def _allows_mixed_versions(self) -> bool:
        """Return whether one text may come from several versions."""
        return not any(
            route.single_version
            for route in self.directory.configuration.routes
            if any(share.service == self.service.name for share in route.shares)
        )


@define
class WeightManagers:
    """The weight managers of all services that have engines."""

    clock: Clock
    directory: Directory
    sender: Sender
    ownership: OwnershipTable
    store: Store
    order_lease: timedelta
    managers: dict[str, WeightManager] = field(factory=dict)

    async def run(self) -> None:
        """Keep all engines at the named versions until cancelled."""
        while True:
            for service in self.directory.configuration.services:
                if service.models:
                    await self._find_manager(service).step()
            await curio.sleep(POLL_INTERVAL.total_seconds())

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

    def _find_manager(self, service: Service) -> WeightManager:
        manager = self.managers.get(service.name)
        if manager is None:
            manager = WeightManager(
                self.clock,
                self.directory,
                DutyHolder(
                    self.clock,
                    self.ownership,
                    Committer(self.store, self.clock),
                    f'weights/{service.name}',
                    self.order_lease,
                ),
                OrderSender(
                    self.clock,
                    self.directory,
                    self.sender,
                    self.store,
                ),
                LoadPlanner(
                    self.clock, self.directory, self.ownership, service
                ),
            )
            self.managers[service.name] = manager
        manager.planner.service = service
        return manager
