"""The duty that assigns roles and adapters to engines."""

from datetime import timedelta

import curio
from attrs import define
from sequoia_policy.engine_profiles import (
    EngineProfile,
    ProfileChange,
    RoleShares,
    assign_roles,
    plan_profile_change,
)
from sequoia_policy.errors import ServiceError
from sequoia_policy.roles import Role
from sequoia_policy.targets import Target
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import Order, TargetStatus

from sequoiashed.grants import Grant
from sequoiashed.orders import OrderSender
from sequoiashed.states import HostState
from sequoiashed.watchers import read_status

UPDATE_INTERVAL = timedelta(seconds=1)

log = Log('outfits')


@define
class ProfileDuty:
    """Orders engines to match the roles and adapters of the plan."""

    state: HostState
    pool: str

    async def run(self, grant: Grant) -> None:
        """Bring engines to their profiles until cancelled."""
        order_sender = OrderSender(self.state)
        while True:
            for target, desired in self._list_desired_profiles().items():
                await self._try_update(order_sender, grant, target, desired)
            await curio.sleep(UPDATE_INTERVAL.total_seconds())

    def _list_desired_profiles(self) -> dict[Target, EngineProfile]:
        domain = self.state.settings.domain
        pool = self.state.plan.pools[self.pool]
        targets = {
            target_state.target.name: target_state.target
            for target_state in self.state.targets.find(self.pool, domain)
            if not (target_state.is_leaving or target_state.retired)
        }
        shares = RoleShares(pool.live_share, pool.rollout_share)
        roles = assign_roles(self.pool, list(targets), shares)
        adapters = frozenset(pool.adapters)
        return {
            targets[name]: EngineProfile(role, adapters)
            for name, role in roles.items()
        }

    async def _try_update(
        self,
        order_sender: OrderSender,
        grant: Grant,
        target: Target,
        desired: EngineProfile,
    ) -> None:
        """Send an engine the next order that it needs, if any."""
        try:
            await self._send_next_order(order_sender, grant, target, desired)
        except ServiceError as error:
            log.write(
                'order failed',
                engine=target.name,
                detail=error.detail,
            )

    async def _send_next_order(
        self,
        order_sender: OrderSender,
        grant: Grant,
        target: Target,
        desired: EngineProfile,
    ) -> None:
        status = await read_status(self.state, target)
        change = plan_profile_change(read_profile(status), desired)
        if change is not None:
            await order_sender.send(grant, make_order(target, grant, change))


def read_profile(status: TargetStatus) -> EngineProfile:
    """Return the role and adapters that an engine reports."""
    return EngineProfile(Role(status.role), frozenset(status.adapters))


def make_order(target: Target, grant: Grant, change: ProfileChange) -> Order:
    """Return the order message for a profile change."""
    return Order(
        target.name,
        grant.fencing,
        role=change.role.value if change.role else None,
        load_adapter=change.load_adapter,
        unload_adapter=change.unload_adapter,
    )
