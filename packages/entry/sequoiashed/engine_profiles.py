"""The duty that gives engines their roles and adapters."""

from datetime import timedelta

import curio
from attrs import define
from sequoia_policy.errors import ServiceError
from sequoia_policy.engine_profiles import (
    EngineProfile,
    ProfileChange,
    RoleShares,
    assign_roles,
    plan_profile_change,
)
from sequoia_policy.roles import Role
from sequoia_policy.targets import Target
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import Order, TargetStatus

from sequoiashed.grants import Grant
from sequoiashed.ordering import OrderSender
from sequoiashed.states import HostState
from sequoiashed.watchers import read_status

TICK = timedelta(seconds=1)

log = Log('outfits')


@define
class ProfileDuty:
    """Compares engines with the plan's roles and adapters, and acts."""

    state: HostState
    pool: str

    async def run(self, grant: Grant) -> None:
        """Bring engines to their outfits until cancelled."""
        desk = OrderSender(self.state)
        while True:
            for target, wanted in self._wanted().items():
                await self._improve(desk, grant, target, wanted)
            await curio.sleep(TICK.total_seconds())

    def _wanted(self) -> dict[Target, EngineProfile]:
        domain = self.state.settings.domain
        plan = self.state.plan.pools[self.pool]
        targets = {
            known.target.name: known.target
            for known in self.state.targets.find(self.pool, domain)
            if not (known.is_leaving or known.retired)
        }
        shares = RoleShares(plan.live_share, plan.rollout_share)
        roles = assign_roles(self.pool, list(targets), shares)
        adapters = frozenset(plan.adapters)
        return {
            targets[name]: EngineProfile(role, adapters)
            for name, role in roles.items()
        }

    async def _improve(
        self,
        desk: OrderSender,
        grant: Grant,
        target: Target,
        wanted: EngineProfile,
    ) -> None:
        """Give an engine the one order that it needs next, if any."""
        try:
            await self._order_next(desk, grant, target, wanted)
        except ServiceError as failure:
            log.write(
                'order failed',
                engine=target.name,
                detail=failure.detail,
            )

    async def _order_next(
        self,
        desk: OrderSender,
        grant: Grant,
        target: Target,
        wanted: EngineProfile,
    ) -> None:
        status = await read_status(self.state, target)
        order = plan_profile_change(read_profile(status), wanted)
        if order is not None:
            await desk.give(grant, make_order(target, grant, order))


def read_profile(status: TargetStatus) -> EngineProfile:
    """Return what an engine says of its role and adapters."""
    return EngineProfile(Role(status.role), frozenset(status.adapters))


def make_order(target: Target, grant: Grant, order: ProfileChange) -> Order:
    """Return the order as an engine takes it."""
    return Order(
        target.name,
        grant.fencing,
        role=order.role.value if order.role else None,
        load_adapter=order.load_adapter,
        unload_adapter=order.unload_adapter,
    )
