"""Keeps requests away from targets if several targets crashed under them.

All hosts share what they observe in one table: a repeated request arrives at
any of them, and each sees few of its repetitions.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.budgets import RateLimit
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.quarantines import FORGET_AFTER, CrashRecord
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.verdicts import Verdict
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.targets.crash_checks import CrashCheck
from sequoia_rollouts.storage.followers import TableFollower
from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.live.live_attempts import LiveRequest
from sequoia_rollouts.storage.stores import (
    ABSENT,
    ConflictError,
    Guard,
    Row,
    RowKey,
    RowWrite,
    Store,
    Transaction,
)

TABLE = 'crashes'
PARTITIONS = ('',)  # one listing shows all
STORE_TIMEOUT = timedelta(milliseconds=150)
STORE_BACKOFF = timedelta(seconds=1)  # during which no caller waits for it
MAX_CONFLICTS = 4
WRITE_INTERVAL = timedelta(milliseconds=500)  # of what was not stored at once
WRITES_PER_SECOND = 5.0
WRITE_BURST = 20.0
MIN_RETRY_AFTER = timedelta(seconds=1)
MAX_PENDING = 1000  # requests

log = Log('live')
CRASH_SUSPECTED = log.event(
    'crash suspected', 'request_id', 'fingerprint', 'target', 'crashes'
)
REQUEST_QUARANTINED = log.event(
    'request quarantined', 'fingerprint', 'targets', 'seconds'
)
QUARANTINE_ENDED = log.event('quarantine ended', 'fingerprint')
CRASH_NOT_SHARED = log.event(
    'crash not shared', 'fingerprint', 'detail', kind=LogKind.FAILURE
)


@frozen
class StoredRecord:
    """A record and the version of its row."""

    version: int = ABSENT
    record: CrashRecord = CrashRecord()


@define(eq=False)
class Quarantine:
    """This host's view of the requests under which targets crashed.

    Attributes:
        stored: Stored records by fingerprint.
        pending: Observed crashes that are not stored yet, by fingerprint; their
            times are those of this host's clock.
        crash_check: Tells crashed targets from connections that were reset.
        writes: Limits the transactions of this host.
    """

    store: Store
    clock: Clock
    heartbeats: HeartbeatService
    crash_check: CrashCheck
    stored: dict[str, StoredRecord] = field(factory=dict)
    pending: dict[str, CrashRecord] = field(factory=dict)
    writes: RateLimit = field(
        factory=lambda: RateLimit(WRITES_PER_SECOND, WRITE_BURST)
    )
    follower: TableFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the follower of the records of all hosts."""
        self.follower = TableFollower(
            self.store,
            self.clock,
            TABLE,
            self._apply_listing,
            self._apply_row,
            self._find_read_interval,
        )

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """The loops to run while the host runs."""
        return (self.follower.run, self.run_writer)

    async def check(self, request: LiveRequest) -> None:
        """Check that a request may be sent to a target.

        After the quarantine one host may send it once.

        Raises:
            ServiceError: With code QUARANTINED if it may not.
        """
        record = self._find(request)
        if not record.is_dangerous:
            return
        now = self.heartbeats.store_clock.now()
        if now is not None and not record.is_quarantined(now):
            if await self._try_write(
                request.fingerprint, record.try_again(now)
            ):
                return
        raise ServiceError(
            Code.QUARANTINED,
            f'{len(record.targets)} targets crashed under this request',
            verdict=Verdict.NOT_RUN,
            retry_after=max(MIN_RETRY_AFTER, record.find_wait(now)),
        )

    def is_suspect(self, request: LiveRequest) -> bool:
        """Return whether a target crashed under a request."""
        return bool(self._find(request).targets)

    def is_quarantined(self, request: LiveRequest) -> bool:
        """Return whether a request must not be sent to another target."""
        now = self.heartbeats.store_clock.now()
        return self._find(request).is_quarantined(now)

    async def record_failure(
        self,
        request: LiveRequest,
        target: RegisteredTarget,
        failure: ServiceError,
    ) -> None:
        """Record a crash if a failed attempt shows one.

        A target that closes its connection without a response has crashed, or
        its connection was reset.
        """
        if failure.code is not Code.TARGET_BROKE:
            return
        if failure.verdict is not Verdict.MAY_HAVE_RUN:
            return
        if not await self.crash_check.has_ended(target):
            return
        fingerprint = request.fingerprint
        process = f'{target.name}/{target.registration.started_at}'
        pending = self.pending.pop(fingerprint, CrashRecord())
        if len(self.pending) >= MAX_PENDING:
            self.pending.pop(next(iter(self.pending)))
        self.pending[fingerprint] = pending.add(
            (process,), self.clock.elapsed()
        )
        if not self.follower.failed_within(STORE_BACKOFF):
            await self._share(fingerprint)
        CRASH_SUSPECTED.write(
            request_id=request.outgoing.id,
            fingerprint=fingerprint,
            target=target.name,
            crashes=len(self._find(request).targets),
        )

    async def record_success(self, request: LiveRequest) -> None:
        """Forget the crashes under a request that a target has served."""
        if not self.is_suspect(request):
            return
        fingerprint = request.fingerprint
        self.pending.pop(fingerprint, None)
        known = self.stored.get(fingerprint)
        if known is None or await self._try_write(fingerprint, None):
            QUARANTINE_ENDED.write(fingerprint=fingerprint)

    async def run_writer(self) -> None:
        """Store what could not be stored at once, until cancelled."""
        while True:
            await curio.sleep(WRITE_INTERVAL.total_seconds())
            for fingerprint in tuple(self.pending):
                await self._share(fingerprint)

    def _find_read_interval(self) -> timedelta:
        hosts = self.heartbeats.count_hosts()
        return self.heartbeats.rates.find_quarantine_interval(hosts)

    def _find(self, request: LiveRequest) -> CrashRecord:
        """Return what is known of a request."""
        if not self.stored and not self.pending:
            return CrashRecord()
        record = self._merge(request.fingerprint)
        if record.is_forgotten(self.heartbeats.store_clock.now()):
            return CrashRecord()
        return record

    def _merge(self, fingerprint: str) -> CrashRecord:
        """Return the record with the pending crashes.

        They leave the time of the record as it is while the clock of the store
        is not known.
        """
        record = self.stored.get(fingerprint, StoredRecord()).record
        pending = self.pending.get(fingerprint, CrashRecord())
        last_at = self.heartbeats.store_clock.convert(pending.last_at)
        if last_at is None:
            last_at = record.last_at
        return record.add(pending.targets, last_at)

    async def _share(self, fingerprint: str) -> None:
        """Add pending crashes to the stored record.

        They wait until the clock of the store is known.
        """
        for _ in range(MAX_CONFLICTS):
            if fingerprint not in self.pending:
                return
            if self.heartbeats.store_clock.now() is None:
                return
            record = self._merge(fingerprint)
            if await self._try_write(fingerprint, record):
                self.pending.pop(fingerprint, None)
                return

    async def _try_write(
        self, fingerprint: str, record: CrashRecord | None
    ) -> bool:
        """Store a record, or remove it; return whether that took effect."""
        if not self.writes.try_acquire(self.clock.elapsed()):
            return False
        key = RowKey(TABLE, '', fingerprint)
        known = self.stored.get(fingerprint, StoredRecord())
        write = RowWrite(key, None if record is None else encode(record))
        transaction = Transaction((write,), (Guard(key, known.version),))
        try:
            async with curio.timeout_after(STORE_TIMEOUT.total_seconds()):
                version = await self.store.commit(transaction)
        except ConflictError as conflict:
            row = conflict.find(key)
            await self._apply_row(row or Row(key, ABSENT))
            return False
        except (ServiceError, curio.TaskTimeout) as failure:
            CRASH_NOT_SHARED.write(fingerprint=fingerprint, detail=str(failure))
            return False
        body = write.body
        await self._apply_row(Row(key, version, body))
        return True

    async def _apply_listing(self, rows: tuple[Row, ...]) -> None:
        self.stored.clear()
        for row in rows:
            await self._apply_row(row)

    async def _apply_row(self, row: Row) -> None:
        fingerprint = row.key.key
        if row.body is None:
            self.stored.pop(fingerprint, None)
            return
        known = self.stored.get(fingerprint, StoredRecord())
        if known.version >= row.version:
            return
        try:
            record = decode(row.body, CrashRecord)
        except ServiceError as failure:
            CRASH_NOT_SHARED.write(
                fingerprint=fingerprint, detail=failure.detail
            )
            record = CrashRecord()
        self.stored[fingerprint] = StoredRecord(row.version, record)
        if record.is_dangerous and not known.record.is_dangerous:
            remaining = record.find_wait(self.heartbeats.store_clock.now())
            REQUEST_QUARANTINED.write(
                fingerprint=fingerprint,
                targets=list(record.targets),
                seconds=remaining.total_seconds(),
            )


def is_outdated(row: Row, now: timedelta) -> bool:
    """Return whether the quarantine of a row ended some time ago.

    Raises:
        ServiceError: If the row cannot be decoded.
    """
    record = decode(row.body or b'', CrashRecord)
    return now > record.ends_at + FORGET_AFTER
