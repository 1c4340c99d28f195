"""Acquires duties through leases in the platform table and runs them."""

from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.errors import ServiceError
from sequoia_policy.leases import (
    Lease,
    LeaseAction,
    LeaseCandidate,
    acquire,
    decide,
    rank_host,
    release,
    renew,
)
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import Row
from sequoia_wire.rows import lease_key

from sequoiashed.grants import DutyLister, DutyPlan, Grant, HeldDuty
from sequoiashed.leases import LeaseStore
from sequoiashed.states import HostState

FOLLOWERS_PER_DUTY = 3  # hosts that read the lease of one duty
LEASE_CHECK_INTERVAL = timedelta(milliseconds=200)

log = Log('duty')


@define
class DutyManager:
    """Acquires, renews and releases leases, and runs the held duties."""

    state: HostState
    listers: tuple[DutyLister, ...]
    lease_store: LeaseStore = field(init=False)
    held_duties: dict[str, HeldDuty] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the lease store."""
        self.lease_store = LeaseStore(self.state)

    def keys(self) -> tuple[str, ...]:
        """Return the row keys of the followed leases."""
        return tuple(lease_key(plan.name) for plan in self._list_followed())

    async def accept(
        self, rows: dict[str, Row], requested_at: timedelta
    ) -> None:
        """Record the leases read from the table, and act on each."""
        followed = self._list_followed()
        names = {plan.name for plan in followed}
        for plan in followed:
            row = rows.get(lease_key(plan.name))
            self.lease_store.record_row(plan.name, row, requested_at)
        for unfollowed in self.held_duties.keys() - names:
            await self._release(unfollowed)
        for followed_plan in followed:
            await self._act(followed_plan)
        self.state.metrics.duties_held.set(len(self.held_duties))

    async def enforce_leases(self) -> None:
        """Stop duties that may not outlast their expired lease.

        Runs until cancelled.
        """
        while True:
            for name, held_duty in tuple(self.held_duties.items()):
                expired = not held_duty.grant.may_act()
                if expired and not held_duty.plan.outlasts_lease:
                    log.write('lease expired; stopping the duty', duty=name)
                    await self._stop(name)
            await curio.sleep(LEASE_CHECK_INTERVAL.total_seconds())

    async def drain(self) -> None:
        """Stop all duties and release their leases."""
        for name in tuple(self.held_duties):
            await self._release(name)

    @property
    def _process(self) -> str:
        return self.state.members.own_member.process

    def _list_followed(self) -> tuple[DutyPlan, ...]:
        if self.state.draining:
            return ()
        return tuple(
            plan
            for lister in self.listers
            for plan in lister()
            if plan.name in self.held_duties or self._is_follower(plan)
        )

    def _is_follower(self, plan: DutyPlan) -> bool:
        rank = self._rank(plan)
        return rank is not None and rank < FOLLOWERS_PER_DUTY

    def _rank(self, plan: DutyPlan) -> int | None:
        now = self.state.clock.elapsed()
        names = [
            member.name
            for domain in sorted(plan.domains)
            for member in self.state.members.live_members(domain, now)
        ]
        return rank_host(plan.name, self.state.settings.name, names)

    async def _act(self, plan: DutyPlan) -> None:
        observed = self.lease_store.observed[plan.name]
        held_duty = self.held_duties.get(plan.name)
        renewed_at = held_duty.grant.renewed_at if held_duty else None
        candidate = LeaseCandidate(self._rank(plan), renewed_at)
        now = self.state.clock.elapsed()
        action = decide(observed, self._process, candidate, now)
        if held_duty and observed.lease.holder != self._process:
            log.write('lease was acquired by another host', duty=plan.name)
            await self._stop(plan.name)
        if action is LeaseAction.ACQUIRE:
            await self._acquire(plan, acquire(observed.lease, self._process))
        elif action is LeaseAction.RENEW:
            await self._renew(plan, observed.lease)
        elif action is LeaseAction.RELEASE:
            await self._release(plan.name)

    async def _acquire(self, plan: DutyPlan, lease: Lease) -> None:
        sent_at = self.state.clock.elapsed()
        if await self.lease_store.write(lease):
            log.write('lease acquired', duty=plan.name, fencing=lease.fencing)
            await self._start(plan, Grant(lease.fencing, self.state, sent_at))

    async def _renew(self, plan: DutyPlan, lease: Lease) -> None:
        held_duty = self.held_duties.get(plan.name)
        if held_duty is None:
            await self._acquire(plan, acquire(lease, self._process))
            return
        sent_at = self.state.clock.elapsed()
        if await self.lease_store.write(renew(lease)):
            held_duty.grant.renewed_at = sent_at
        if held_duty.task.terminated:
            log.write('duty ended; restarting it', duty=plan.name)
            await self._start(plan, held_duty.grant)

    async def _release(self, name: str) -> None:
        await self._stop(name)
        observed = self.lease_store.observed.get(name)
        if observed and observed.lease.holder == self._process:
            await self.lease_store.write(release(observed.lease))
            log.write('lease released', duty=name)

    async def _start(self, plan: DutyPlan, grant: Grant) -> None:
        task = await curio.spawn(run_duty, plan, grant, daemon=True)
        self.held_duties[plan.name] = HeldDuty(plan, grant, task)

    async def _stop(self, name: str) -> None:
        held_duty = self.held_duties.pop(name, None)
        if held_duty:
            await held_duty.task.cancel()


async def run_duty(plan: DutyPlan, grant: Grant) -> None:
    """Run a duty; log an error instead of raising it."""
    try:
        await plan.make().run(grant)
    except (ServiceError, OSError) as error:
        log.write('duty failed', duty=plan.name, error=str(error))
