"""The duty that gives engines their roles and adapters."""

from datetime import timedelta

import curio
from attrs import define
from sequoia_policy.errors import ShedError
from sequoia_policy.outfits import (
    Outfit,
    OutfitOrder,
    RoleShares,
    assign_roles,
    plan_outfit,
)
from sequoia_policy.roles import Role
from sequoia_policy.targets import Target
from sequoia_wire.logs import Log
from sequoia_wire.environment import Order, TargetStatus

from sequoiashed.grants import Grant
from sequoiashed.ordering import OrderDesk
from sequoiashed.states import HostState
from sequoiashed.watchers import read_status

TICK = timedelta(seconds=1)

log = Log('outfits')


@define
class OutfitDuty:
    """Compares engines with the plan's roles and adapters, and acts."""

    state: HostState
    pool: str

    async def run(self, grant: Grant) -> None:
        """Bring engines to their outfits until cancelled."""
        desk = OrderDesk(self.state)
        while True:
            for target, wanted in self._wanted().items():
                await self._improve(desk, grant, target, wanted)
            await curio.sleep(TICK.total_seconds())

    def _wanted(self) -> dict[Target, Outfit]:
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
            targets[name]: Outfit(role, adapters)
            for name, role in roles.items()
        }

    async def _improve(
        self,
        desk: OrderDesk,
        grant: Grant,
        target: Target,
        wanted: Outfit,
    ) -> None:
        """Give an engine the one order that it needs next, if any."""
        try:
            await self._order_next(desk, grant, target, wanted)
        except ShedError as failure:
            log.write(
                'order failed',
                engine=target.name,
                detail=failure.detail,
            )

    async def _order_next(
        self,
        desk: OrderDesk,
        grant: Grant,
        target: Target,
        wanted: Outfit,
    ) -> None:
        status = await read_status(self.state, target)
        order = plan_outfit(read_outfit(status), wanted)
        if order is not None:
            await desk.give(grant, make_order(target, grant, order))


def read_outfit(status: TargetStatus) -> Outfit:
    """Return what an engine says of its role and adapters."""
    return Outfit(Role(status.role), frozenset(status.adapters))


def make_order(target: Target, grant: Grant, order: OutfitOrder) -> Order:
    """Return the order as an engine takes it."""
    return Order(
        target.name,
        grant.fencing,
        role=order.role.value if order.role else None,
        load_adapter=order.load_adapter,
        unload_adapter=order.unload_adapter,
    )
