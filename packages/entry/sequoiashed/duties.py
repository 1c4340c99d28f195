"""Holds duties by leases in the platform's table."""

from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.errors import ServiceError
from sequoia_policy.leases import (
    Lease,
    LeaseAction,
    LeaseCandidate,
    decide,
    rank_host,
    release,
    renew,
    acquire,
)
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import Row
from sequoia_wire.rows import lease_key

from sequoiashed.grants import DutyLister, DutyPlan, Grant, Holding
from sequoiashed.leases import LeaseBook
from sequoiashed.states import HostState

FOLLOWED_RANKS = 3  # hosts that watch the lease of one duty
GUARD_PERIOD = timedelta(milliseconds=200)

log = Log('duty')


@define
class DutyManager:
    """Takes, renews and releases leases, and runs the duties held."""

    state: HostState
    listers: tuple[DutyLister, ...]
    book: LeaseBook = field(init=False)
    held: dict[str, Holding] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the book of leases."""
        self.book = LeaseBook(self.state)

    def keys(self) -> tuple[str, ...]:
        """Return the leases to read."""
        return tuple(lease_key(plan.name) for plan in self._followed())

    async def accept(self, rows: dict[str, Row], asked: timedelta) -> None:
        """Take the leases as read from the table, and act on them."""
        wanted = self._followed()
        names = {plan.name for plan in wanted}
        for plan in wanted:
            row = rows.get(lease_key(plan.name))
            self.book.see(plan.name, row, asked)
        for gone in self.held.keys() - names:
            await self._release(gone)
        for chosen in wanted:
            await self._act(chosen)
        self.state.metrics.duties_held.set(len(self.held))

    async def guard(self) -> None:
        """Stop duties whose lease has lapsed, until cancelled."""
        while True:
            for name, holding in tuple(self.held.items()):
                lapsed = not holding.grant.may_act()
                if lapsed and not holding.plan.outlasts_lease:
                    log.write('lease lapsed', duty=name)
                    await self._stop(name)
            await curio.sleep(GUARD_PERIOD.total_seconds())

    async def drain(self) -> None:
        """Stop all duties and release their leases."""
        for name in tuple(self.held):
            await self._release(name)

    @property
    def _process(self) -> str:
        return self.state.members.own_member.process

    def _followed(self) -> tuple[DutyPlan, ...]:
        if self.state.draining:
            return ()
        return tuple(
            plan
            for lister in self.listers
            for plan in lister()
            if plan.name in self.held or self._follows(plan)
        )

    def _follows(self, plan: DutyPlan) -> bool:
        rank = self._rank(plan)
        return rank is not None and rank < FOLLOWED_RANKS

    def _rank(self, plan: DutyPlan) -> int | None:
        now = self.state.clock.elapsed()
        names = [
            member.name
            for domain in sorted(plan.domains)
            for member in self.state.members.live_members(domain, now)
        ]
        return rank_host(plan.name, self.state.settings.name, names)

    async def _act(self, plan: DutyPlan) -> None:
        sighting = self.book.observed[plan.name]
        holding = self.held.get(plan.name)
        renewed = holding.grant.renewed if holding else None
        standing = LeaseCandidate(self._rank(plan), renewed)
        now = self.state.clock.elapsed()
        action = decide(sighting, self._process, standing, now)
        if holding and sighting.lease.holder != self._process:
            log.write('lease was taken by another', duty=plan.name)
            await self._stop(plan.name)
        if action is LeaseAction.ACQUIRE:
            await self._take(plan, acquire(sighting.lease, self._process))
        elif action is LeaseAction.RENEW:
            await self._renew(plan, sighting.lease)
        elif action is LeaseAction.RELEASE:
            await self._release(plan.name)

    async def _take(self, plan: DutyPlan, lease: Lease) -> None:
        sent = self.state.clock.elapsed()
        if await self.book.write(lease):
            log.write('lease taken', duty=plan.name, fencing=lease.fencing)
            await self._start(plan, Grant(lease.fencing, self.state, sent))

    async def _renew(self, plan: DutyPlan, lease: Lease) -> None:
        holding = self.held.get(plan.name)
        if holding is None:
            await self._take(plan, acquire(lease, self._process))
            return
        sent = self.state.clock.elapsed()
        if await self.book.write(renew(lease)):
            holding.grant.renewed = sent
        if holding.task.terminated:
            log.write('duty ended', duty=plan.name)
            await self._start(plan, holding.grant)

    async def _release(self, name: str) -> None:
        await self._stop(name)
        sighting = self.book.observed.get(name)
        if sighting and sighting.lease.holder == self._process:
            await self.book.write(release(sighting.lease))
            log.write('lease released', duty=name)

    async def _start(self, plan: DutyPlan, grant: Grant) -> None:
        task = await curio.spawn(run_logged, plan, grant, daemon=True)
        self.held[plan.name] = Holding(plan, grant, task)

    async def _stop(self, name: str) -> None:
        holding = self.held.pop(name, None)
        if holding:
            await holding.task.cancel()


async def run_logged(plan: DutyPlan, grant: Grant) -> None:
    """Run a duty; log the error with which it ends, if any."""
    try:
        await plan.make().run(grant)
    except (ServiceError, OSError) as failure:
        log.write('duty failed', duty=plan.name, error=str(failure))
