"""Orders engines to load the versions that trainers name."""

from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.preconditions import is_read_since
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.routing import Service
from sequoia_wire.codecs import encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.weights.load_planners import LoadPlanner
from sequoia_rollouts.weights.orders import (
    DesiredVersion,
    OrderPermit,
    OrderSender,
)
from sequoia_rollouts.fleet.ownership import OwnedDuty, OwnershipTable
from sequoia_rollouts.targets.senders import Sender
from sequoia_rollouts.storage.stores import (
    ABSENT,
    Committer,
    ConflictError,
    Guard,
    RowWrite,
    Transaction,
)
from sequoia_rollouts.storage.tables import Duty, duty_key

POLL_INTERVAL = timedelta(milliseconds=50)
COMMIT_TIMEOUT = timedelta(milliseconds=600)
RETRY_BACKOFF = timedelta(milliseconds=300)
HANDOVER_MARGIN = timedelta(milliseconds=300)  # added to the order lease
# While this host holds its lease no other one takes the duty; this bounds how long
# it relies on that without a word of the store.
MAX_OWNERSHIP_AGE = timedelta(milliseconds=2500)

log = Log('weights')
DUTY_TAKEN = log.event('duty taken', 'duty', 'before')
DUTY_NOT_TAKEN = log.event(
    'duty not taken', 'duty', 'detail', kind=LogKind.FAILURE
)
ORDER_FAILED = log.event(
    'order failed', 'target', 'model', 'version', 'detail', kind=LogKind.FAILURE
)


@define(eq=False)
class WeightManager:
    """Orders the engines of one service while this host owns the duty.

    Attributes:
        order_lease: Minimum time between orders of two hosts.
        earliest_order_at: When this host may send its first order.
        planner: Plans the loads of the service.
    """

    clock: Clock
    directory: Directory
    ownership: OwnershipTable
    committer: Committer
    order_sender: OrderSender
    planner: LoadPlanner
    order_lease: timedelta
    earliest_order_at: timedelta = timedelta()

    @property
    def service(self) -> Service:
        """The service as configured now."""
        return self.planner.service

    @property
    def duty(self) -> str:
        """The name of the duty."""
        return f'weights/{self.service.name}'

    async def step(self) -> None:
        """Acquire the duty if it is unowned; send the orders that are due."""
        owned = self.ownership.duties.get(self.duty)
        if owned is None or owned.owner != self.ownership.heartbeats.owner:
            await self._acquire_if_unowned(owned)
            return
        if not self.may_order(owned):
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

    def may_order(self, owned: OwnedDuty) -> bool:
        """Return whether no other host can be sending orders."""
        if self.ownership.duties.get(self.duty) != owned:
            return False
        heartbeats = self.ownership.heartbeats
        if not heartbeats.holds_lease() or heartbeats.is_draining:
            return False
        follower = self.ownership.follower
        if not follower.is_current(MAX_OWNERSHIP_AGE):
            return False
        lapsed_at = heartbeats.own.lapsed_at
        if not is_read_since(lapsed_at, follower.store_responded_at):
            return False
        return self.clock.elapsed() >= self.earliest_order_at

    async def release(self) -> None:
        """Release the duty for another host.

        Raises:
            ServiceError: If the store does not respond.
        """
        owned = self.ownership.duties.get(self.duty)
        if owned and owned.owner == self.ownership.heartbeats.owner:
            await self._write(owned.version, '')

    async def _acquire_if_unowned(self, owned: OwnedDuty | None) -> None:
        if self.ownership.follower.version is None:
            return
        turns = self.ownership.turns
        if owned and not turns.is_unowned(owned.owner):
            turns.record_owned(self.duty)
            return
        if not turns.has_come(self.duty):
            return
        try:
            await self._acquire(owned)
        except ServiceError as failure:
            DUTY_NOT_TAKEN.write(duty=self.duty, detail=failure.detail)

    async def _acquire(self, owned: OwnedDuty | None) -> None:
        owner = self.ownership.heartbeats.owner
        version = owned.version if owned else ABSENT
        self.earliest_order_at = self._find_earliest_order(owned)
        if await self._write(version, owner):
            DUTY_TAKEN.write(duty=self.duty, before=owned and owned.owner)

    def _find_earliest_order(self, owned: OwnedDuty | None) -> timedelta:
        """Return when to order at the earliest if this host takes the duty now.

        It is set before the write, whose response may be lost. The time also
        passes after an earlier process of this host, which may have taken the
        duty from another host a moment ago.
        """
        now = self.clock.elapsed()
        return now + self.order_lease + HANDOVER_MARGIN if owned else now

    async def _write(self, version: int, owner: str) -> bool:
        """Write the duty's owner and return whether that took effect."""
        key = duty_key(self.duty)
        transaction = Transaction(
            (RowWrite(key, encode(Duty(owner))),),
            (Guard(key, version),),
        )
        try:
            written = await self.committer.commit(transaction, COMMIT_TIMEOUT)
        except ConflictError as conflict:
            for row in conflict.rows:
                await self.ownership.follower.on_change(row)
            return False
        self.ownership.record_duty(OwnedDuty(self.duty, owner, written))
        return True

    async def _run_order(
        self,
        target: RegisteredTarget,
        desired: DesiredVersion,
        owned: OwnedDuty,
    ) -> None:
        permit = OrderPermit(
            self.ownership.heartbeats.own.host,
            owned.version,
            self._allows_mixed_versions(),
            lambda: self.may_order(owned),
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
    committer: Committer
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
            manager.order_lease = order_lease

    async def release(self) -> None:
        """Release all duties for other hosts.

        Raises:
            ServiceError: If the store does not respond.
        """
        for manager in self.managers.values():
            await manager.release()

    def _find_manager(self, service: Service) -> WeightManager:
        manager = self.managers.get(service.name)
        if manager is None:
            manager = WeightManager(
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
                LoadPlanner(
                    self.clock, self.directory, self.ownership, service
                ),
                self.order_lease,
            )
            self.managers[service.name] = manager
        manager.planner.service = service
        return manager
