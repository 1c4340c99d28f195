"""Sums the counts of all hosts and reports them while it owns the duty."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.true_clocks import TrueClock
from sequoia_policy.usage_counts import sum_counts
from sequoia_policy.usage_reports import (
    ReportPlan,
    StoredReport,
    resume_reports,
)
from sequoia_policy.usage_windows import UsageTiming
from sequoia_wire.codecs import encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.fleet.duty_holders import DutyHolder
from sequoia_rollouts.fleet.ownership import OwnedDuty
from sequoia_rollouts.fleet.platform_apis import (
    DutyPermit,
    PlatformApi,
    UsageReport,
)
from sequoia_rollouts.storage.batches import split_writes
from sequoia_rollouts.storage.stores import (
    ABSENT,
    Committer,
    ConflictError,
    Guard,
    Row,
    RowWrite,
    Transaction,
    read_all,
)
from sequoia_rollouts.storage.tables import PARTITIONS, duty_key
from sequoia_rollouts.usage.usage_rows import (
    DUTY,
    decode_counts,
    decode_reports,
    list_count_ranges,
    old_counts_range,
    report_key,
    reports_range,
)

POLL_INTERVAL = timedelta(milliseconds=200)
RETRY_BACKOFF = timedelta(milliseconds=400)
CONFLICT_BACKOFF = timedelta(seconds=2)  # after the duty was overtaken
COMMIT_TIMEOUT = timedelta(milliseconds=1500)
KEPT_REPORTS = 16  # rows; the next holder reads them all

log = Log('usage')
REPORTS_RESUMED = log.event(
    'reports resumed', 'fence', 'next_window', 'waiting'
)
REPORT_STORED = log.event(
    'report stored',
    'window',
    'accounts',
    'requests',
    'hosts',
    kind=LogKind.SUCCESS,
)
REPORT_ACCEPTED = log.event(
    'report accepted', 'window', 'fence', 'late', kind=LogKind.SUCCESS
)
REPORT_NOT_STORED = log.event(
    'report not stored', 'detail', kind=LogKind.FAILURE
)
REPORT_FAILED = log.event(
    'report failed', 'window', 'fence', 'detail', kind=LogKind.FAILURE
)
WINDOWS_NOT_REPORTED = log.event(
    'windows not reported',
    'window',
    'count',
    'stored',
    kind=LogKind.FAILURE,
)
COUNTS_NOT_REMOVED = log.event(
    'counts not removed', 'window', 'detail', kind=LogKind.FAILURE
)


@define(eq=False)
class UsageReporter:
    """Reports usage while this host owns the duty.

    Attributes:
        interval: Minimum time between two calls of the API.
        first_window: The window in which this process began to count.
        swept: The newest window after whose sum counts were removed.
        summed: The counts of the window that was summed last.
        silent_since: Since when the API has not responded to this host.
        rests_until: Until when this host leaves the duty to others.
        plan: The reports under the current ownership; None before it was read.
        fence: Version of the duty's row under which ``plan`` was read.
        retry_at: When the store is asked again after it failed.
    """

    clock: Clock
    true_clock: TrueClock
    timing: UsageTiming
    duty: DutyHolder
    committer: Committer
    api: PlatformApi
    interval: timedelta
    first_window: int = field(init=False)
    plan: ReportPlan | None = None
    fence: int = ABSENT
    swept: int = 0
    summed: tuple[Row, ...] = ()
    silent_since: timedelta | None = None
    rests_until: timedelta = timedelta()
    retry_at: timedelta = timedelta()

    def __attrs_post_init__(self) -> None:
        """Begin with the current window."""
        self.restart()

    def restart(self) -> None:
        """Begin with the current window, as nothing was counted before."""
        self.first_window = self.timing.find_window(self.true_clock.now())
        self.plan = None

    async def step(self) -> None:
        """Acquire the duty if it is unowned; sum and send what is due."""
        if self.clock.elapsed() < self.rests_until:
            return
        owned = await self.duty.step()
        if owned is None or self.clock.elapsed() < self.retry_at:
            return
        try:
            plan = await self._prepare(owned)
        except (ServiceError, ConflictError) as failure:
            REPORT_NOT_STORED.write(detail=str(failure))
            self.plan = None
            self.retry_at = self.clock.elapsed() + RETRY_BACKOFF
            return
        await self._send_next(plan, owned)
        await self._remove_counts(plan.next_window - 1)

    async def _prepare(self, owned: OwnedDuty) -> ReportPlan:
        """Return the plan, with the reports stored that are due.

        Raises:
            ConflictError: If another host has changed the rows.
            ServiceError: If the store does not respond.
        """
        if self.plan is None or self.fence != owned.version:
            self.plan = await self._resume(owned)
            self.fence = owned.version
        plan = self.plan
        skipped = plan.skip_expired(self.true_clock.now())
        if skipped:
            WINDOWS_NOT_REPORTED.write(
                window=skipped[0], count=len(skipped), stored=False
            )
        window = plan.find_due_sum(self.true_clock.now())
        if window is not None:
            await self._store(plan, window, owned)
        return plan

    async def _resume(self, owned: OwnedDuty) -> ReportPlan:
        page = await read_all(self.committer.store, reports_range())
        stored = decode_reports(page.rows)
        self.silent_since = None
        first = self.first_window if stored else await self._find_first()
        plan = resume_reports(self.timing, self.interval, stored, first)
        REPORTS_RESUMED.write(
            fence=owned.version,
            next_window=plan.next_window,
            waiting=sorted(plan.waiting),
        )
        return plan

    async def _find_first(self) -> int:
        """Return the first window of which this host or another has counts."""
        now = self.true_clock.now()
        # The clock may have been corrected since.
        first = min(self.first_window, self.timing.find_window(now))
        for window in range(self.timing.find_oldest(now), first):
            if await self._read_counts(window):
                return window
        return first

    async def _store(
        self, plan: ReportPlan, window: int, owned: OwnedDuty
    ) -> None:
        """Store the report of a window, unless another host may have.

        The row of the duty is guarded: a host that lost it stores nothing.
        """
        rows = await self._read_counts(window)
        report = StoredReport(sum_counts(decode_counts(rows)), plan.accepted)
        key = report_key(window)
        writes = (
            RowWrite(key, encode(report)),
            RowWrite(report_key(window - KEPT_REPORTS)),
        )
        guards = (Guard(key, ABSENT), Guard(duty_key(DUTY), owned.version))
        await self.committer.commit(Transaction(writes, guards), COMMIT_TIMEOUT)
        self.summed = tuple(rows)
        plan.record_stored(window, report.counts)
        REPORT_STORED.write(
            window=window,
            accounts=len(report.counts),
            requests=sum(report.counts.values()),
            hosts=len(rows),
        )

    async def _read_counts(self, window: int) -> list[Row]:
        rows: list[Row] = []
        for row_range in list_count_ranges(window):
            page = await read_all(self.committer.store, row_range)
            rows.extend(page.rows)
        return rows

    async def _send_next(self, plan: ReportPlan, owned: OwnedDuty) -> None:
        """Send the report that is due, if any."""
        now = self.true_clock.now()
        expired = plan.drop_expired(now)
        if expired:
            WINDOWS_NOT_REPORTED.write(
                window=expired[0], count=len(expired), stored=True
            )
        window = plan.choose(now)
        if window is None or not self.duty.may_act(owned):
            return
        plan.record_call(now)
        permit = DutyPermit(self.duty.host, owned.version)
        try:
            await self.api.report_usage(
                UsageReport(window, plan.waiting[window]), permit
            )
        except ServiceError as failure:
            await self._apply_failure(plan, window, owned, failure)
            return
        now = self.true_clock.now()
        self.silent_since = None
        plan.record_accepted(window)
        REPORT_ACCEPTED.write(
            window=window,
            fence=owned.version,
            late=now > self.timing.due_at(window),
        )

    async def _apply_failure(
        self,
        plan: ReportPlan,
        window: int,
        owned: OwnedDuty,
        failure: ServiceError,
    ) -> None:
        """Send the report again later, or leave that to another host.

        The duty is released if the API has seen a higher token, or has not
        responded for so long that only this host may not reach it.
        """
        REPORT_FAILED.write(
            window=window, fence=owned.version, detail=failure.detail
        )
        plan.record_failure(self.true_clock.now())
        now = self.clock.elapsed()
        if failure.code is Code.STORE_CONFLICT:
            self.retry_at = now + CONFLICT_BACKOFF
            await self._release()
        elif failure.code is Code.OVERLOADED:
            self.silent_since = None
        elif self.silent_since is None:
            self.silent_since = now
        elif now - self.silent_since >= self.timing.limit:
            self.silent_since = None
            self.rests_until = now + self.timing.limit
            await self._release()

    async def _release(self) -> None:
        try:
            await self.duty.release()
        except ServiceError as error:
            REPORT_NOT_STORED.write(detail=error.detail)

    async def _remove_counts(self, window: int) -> None:
        """Remove the counts that were summed, and expired ones of a partition.

        Hosts may write counts after the sum. Each partition has its turn within
        as many windows; a failure is left to the next turn.

        Args:
            window: The window that was summed last; it chooses the partition.
        """
        if window <= self.swept or not self.duty.may_act_now():
            return
        self.swept = window
        oldest = self.timing.find_oldest(self.true_clock.now())
        part = PARTITIONS[window % len(PARTITIONS)]
        try:
            page = await read_all(
                self.committer.store, old_counts_range(oldest - 1, part)
            )
        except ServiceError as failure:
            COUNTS_NOT_REMOVED.write(window=window, detail=failure.detail)
            return
        await self._remove(window, (*self.summed, *page.rows))

    async def _remove(self, window: int, rows: Iterable[Row]) -> None:
        by_partition: dict[str, list[RowWrite]] = {}
        for row in rows:
            writes = by_partition.setdefault(row.key.part, [])
            writes.append(RowWrite(row.key))
        batches = [
            batch
            for writes in by_partition.values()
            for batch in split_writes(writes)
        ]
        try:
            for batch in batches:
                await self.committer.store.commit(Transaction(batch))
        except ServiceError as failure:
            COUNTS_NOT_REMOVED.write(window=window, detail=failure.detail)
