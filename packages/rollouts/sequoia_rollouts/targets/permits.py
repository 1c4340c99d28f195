"""Takes permits for requests to targets that have named a limit."""

import random
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.announcements import AnnouncementTable, TargetLimit
from sequoia_policy.budgets import RateLimit
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.permits import (
    NO_WAIT,
    PermitState,
    UnsharedPermits,
    Urgency,
)
from sequoia_policy.rates import UNKNOWN_FLEET_SIZE
from sequoia_policy.registries import RegisteredTarget, Registration
from sequoia_policy.verdicts import Verdict
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.targets.permit_queues import PermitQueue
from sequoia_rollouts.targets.permit_rows import PermitRows, make_key
from sequoia_rollouts.storage.stores import RowKey, Store

STORE_BACKOFF = timedelta(seconds=1)
MAX_CONFLICTS = 4  # of one attempt to take permits
CONFLICT_PAUSE = timedelta(milliseconds=40)
BUDGET_PAUSE = timedelta(milliseconds=200)
BUDGET_BURST = 5.0  # transactions

log = Log('target')
LIMIT_NAMED = log.event('limit named', 'target', 'per_second')
LIMIT_LIFTED = log.event('limit lifted', 'target', 'found_by')
NO_PERMIT = log.event(
    'no permit', 'target', 'urgency', 'wait', kind=LogKind.FAILURE
)
PERMITS_NOT_SHARED = log.event(
    'permits not shared', 'target', 'detail', kind=LogKind.FAILURE
)


@define(eq=False)
class PermitTaker:
    """Lets requests to limited targets pass at the rate that these name.

    While the store does not respond, each host uses an equal part of a limit.

    Attributes:
        announcements: What targets announced; the limits are among it.
        rows: The stored permits.
        queues: Waiting requests by name of the target.
        store_retry_at: When to call the store again after it failed.
        budget: Limits the transactions of this host.
    """

    store: Store
    clock: Clock
    heartbeats: HeartbeatService
    rng: random.Random
    announcements: AnnouncementTable = field(factory=AnnouncementTable)
    queues: dict[str, PermitQueue] = field(factory=dict)
    store_retry_at: timedelta = timedelta()
    budget: RateLimit = field(factory=lambda: RateLimit(1, BUDGET_BURST))
    rows: PermitRows = field(init=False)
    unshared: UnsharedPermits = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the stored permits, and those without the store."""
        self.rows = PermitRows(self.store)
        self.unshared = UnsharedPermits(self.rng)

    async def acquire(self, target: RegisteredTarget, urgency: Urgency) -> None:
        """Take a permit for one request if the target has named a limit.

        Raises:
            ServiceError: With code TARGET_LIMITED if none is free.
        """
        limit = target.announced.find_limit(self.clock.elapsed())
        if limit is None:
            return
        wait = await self._take(target, limit, urgency)
        if wait <= NO_WAIT:
            return
        target.no_permit_until[urgency] = self.clock.elapsed() + wait
        NO_PERMIT.write(
            target=target.name,
            urgency=urgency.value,
            wait=wait.total_seconds(),
        )
        raise ServiceError(
            Code.TARGET_LIMITED,
            f'no permit for {target.name}',
            verdict=Verdict.NOT_RUN,
            retry_after=wait,
        )

    def record_limit(self, target: RegisteredTarget, per_second: float) -> None:
        """Record that a response named a limit."""
        now = self.clock.elapsed()
        if target.announced.record_limit(per_second, now):
            LIMIT_NAMED.write(target=target.name, per_second=per_second)

    async def record_no_limit(
        self, target: RegisteredTarget, sent_at: timedelta
    ) -> None:
        """Record that a response to a request sent at a time named none.

        The other hosts find the end of the limit in the stored state.
        """
        if target.announced.lift_limit(sent_at):
            LIMIT_LIFTED.write(target=target.name, found_by='response')
            await curio.spawn(self._store_end, target.registration, daemon=True)

    async def _take(
        self,
        target: RegisteredTarget,
        limit: TargetLimit,
        urgency: Urgency,
    ) -> timedelta:
        """Take a permit, or return the time until one may be free."""
        queue = self.queues.setdefault(target.name, PermitQueue())
        async with queue.join(urgency):
            if queue.use_granted(urgency):
                return NO_WAIT
            if self.clock.elapsed() < self.store_retry_at:
                return self._take_unshared(target.name, limit)
            try:
                return await self._take_shared(target, limit, urgency, queue)
            except ServiceError as failure:
                self._record_store_failure(target.name, failure.detail)
            except curio.TaskTimeout:
                self._record_store_failure(target.name, 'timeout')
            return self._take_unshared(target.name, limit)

    async def _take_shared(
        self,
        target: RegisteredTarget,
        limit: TargetLimit,
        urgency: Urgency,
        queue: PermitQueue,
    ) -> timedelta:
        key = make_key(target.registration)
        for _ in range(MAX_CONFLICTS):
            now = self.heartbeats.store_clock.read()
            state = self._view(key, limit, now)
            if not state.is_limited:
                self._apply_end(target)
                return NO_WAIT
            free = state.count_free(urgency, now)
            if not free:
                return state.find_wait(urgency, now)
            if not self._may_call_store():
                return BUDGET_PAUSE
            count = min(free, queue.waiting[urgency])
            if await self.rows.write(key, state.take(count, now)):
                self.unshared.next_at.clear()
                queue.granted[urgency] = count - 1
                return NO_WAIT
        return CONFLICT_PAUSE * (1 + self.rng.random())

    def _view(
        self, key: RowKey, limit: TargetLimit, now: timedelta
    ) -> PermitState:
        """Return the state that follows from the responses and the store."""
        age = self.clock.elapsed() - limit.named_at
        own = PermitState(limit.per_second, now - age)
        return own.merge(self.rows.find(key))

    async def _store_end(self, registration: Registration) -> None:
        """Store that a limit has ended, unless it was named again."""
        try:
            await self._write_end(make_key(registration))
        except (ServiceError, curio.TaskTimeout) as failure:
            self._record_store_failure(registration.name, str(failure))

    async def _write_end(self, key: RowKey) -> None:
        now = self.heartbeats.store_clock.read()
        ended = PermitState(0, now)
        for _ in range(MAX_CONFLICTS):
            known = self.rows.find(key)
            if known and known.named_at >= now:
                return
            if await self.rows.write(key, ended.merge(known)):
                return

    def _take_unshared(self, name: str, limit: TargetLimit) -> timedelta:
        hosts = self.heartbeats.count_hosts() or UNKNOWN_FLEET_SIZE
        now = self.clock.elapsed()
        return self.unshared.take(name, limit.per_second, hosts, now)

    def _may_call_store(self) -> bool:
        now = self.clock.elapsed()
        limits = self.announcements.list_limits(now).values()
        self.budget.per_second = self.heartbeats.rates.find_permit_rate(
            sum(limit.per_second for limit in limits),
            self.heartbeats.count_hosts(),
        )
        return self.budget.try_acquire(now)

    def _apply_end(self, target: RegisteredTarget) -> None:
        target.announced.lift_limit(self.clock.elapsed())
        LIMIT_LIFTED.write(target=target.name, found_by='store')

    def _record_store_failure(self, name: str, detail: str) -> None:
        self.store_retry_at = self.clock.elapsed() + STORE_BACKOFF
        PERMITS_NOT_SHARED.write(target=name, detail=detail)
