"""Writes the results of a submission, each at its own position."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.submissions import ItemResult, ItemState, Submission
from sequoia_wire.codecs import encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.submissions.archives import join_results
from sequoia_rollouts.storage.batches import MAX_BYTES, MAX_WRITES
from sequoia_rollouts.storage.stores import (
    ABSENT,
    Committer,
    ConflictError,
    Guard,
    RowWrite,
    Transaction,
    read_all,
)
from sequoia_rollouts.storage.tables import (
    results_range,
    submission_key,
    write_result,
)

COMMIT_TIMEOUT = timedelta(seconds=1)
MAX_RESULT_BYTES = 600_000  # one transaction holds 1 MB in base64
RETRY_BACKOFF = timedelta(milliseconds=100)
POLL_INTERVAL = timedelta(milliseconds=5)

log = Log('results')
RESULTS_WAIT = log.event(
    'results wait', 'submission', 'count', 'detail', kind=LogKind.FAILURE
)

RESULT_TOO_LARGE = log.event(
    'result too large', 'request_id', 'submission', kind=LogKind.FAILURE
)


@define(eq=False)
class Recorder:
    """Writes results to the store while this host owns the submission.

    Every write is guarded by the row that names the owner: once another
    host owns the submission, or the caller has ended it, nothing is written.

    Attributes:
        version: Version of the row that names this host as owner.
        on_conflict: Learns from a failed write who owns the submission.
        stored: Results in the store, by position.
        pending: Results that are not written yet.
        waiters: Events that are set when further results are stored.
    """

    committer: Committer
    submission: Submission
    version: int
    on_conflict: Callable[[str, ConflictError], Awaitable[object]]
    stored: list[ItemResult] = field(factory=list)
    pending: list[ItemResult] = field(factory=list)
    waiters: set[curio.Event] = field(factory=set)

    @property
    def is_complete(self) -> bool:
        """Whether every item has a result in the store."""
        return len(self.stored) >= len(self.submission.items)

    def add(self, item_result: ItemResult) -> None:
        """Add a result that is to be written.

        An item whose result fits into no transaction is dead. Otherwise its
        submission would never be complete.
        """
        if len(encode(item_result)) > MAX_RESULT_BYTES:
            RESULT_TOO_LARGE.write(
                request_id=item_result.id, submission=self.submission.id
            )
            item_result = ItemResult(item_result.id, ItemState.DEAD)
        self.pending.append(item_result)

    async def run(self) -> None:
        """Write results until all are stored."""
        while not self.is_complete:
            if self.pending:
                await self._write_batch()
            else:
                await curio.sleep(POLL_INTERVAL.total_seconds())

    async def wait(self, position: int, timeout: timedelta) -> None:
        """Wait until the result at a position is stored, or until a timeout."""
        if len(self.stored) > position:
            return
        event = curio.Event()
        self.waiters.add(event)
        try:
            async with curio.ignore_after(timeout.total_seconds()):
                await event.wait()
        finally:
            self.waiters.discard(event)

    async def _write_batch(self) -> None:
        batch, writes = self._collect()
        owner_guard = Guard(submission_key(self.submission.id), self.version)
        absence_guards = [Guard(write.key, ABSENT) for write in writes]
        transaction = Transaction(writes, (owner_guard, *absence_guards))
        try:
            await self._write(transaction)
        except ServiceError as failure:
            RESULTS_WAIT.write(
                submission=self.submission.id,
                count=len(self.pending),
                detail=failure.detail,
            )
            await curio.sleep(RETRY_BACKOFF.total_seconds())
        else:
            await self._record_stored(batch)

    async def _write(self, transaction: Transaction) -> None:
        try:
            await self.committer.commit(transaction, COMMIT_TIMEOUT)
        except ConflictError as conflict:
            await self.on_conflict(self.submission.id, conflict)
            await self._catch_up()
            raise ServiceError(Code.STORE_CONFLICT, str(conflict)) from conflict

    async def _catch_up(self) -> None:
        """Record results that an earlier write has stored.

        A write whose response was lost may be applied seconds later.
        """
        key_range = results_range(self.submission.id, len(self.stored))
        page = await read_all(self.committer.store, key_range)
        results = list(join_results(page.rows, more=False).results)
        await self._record_stored(results)

    async def _record_stored(self, batch: list[ItemResult]) -> None:
        stored_ids = {item_result.id for item_result in batch}
        self.stored.extend(batch)
        self.pending = [
            item_result
            for item_result in self.pending
            if item_result.id not in stored_ids
        ]
        for waiter in tuple(self.waiters):
            await waiter.set()

    def _collect(self) -> tuple[list[ItemResult], tuple[RowWrite, ...]]:
        """Return pending results for one transaction, and their writes."""
        batch: list[ItemResult] = []
        writes: list[RowWrite] = []
        size = 0
        for item_result in self.pending:
            position = len(self.stored) + len(batch)
            result_writes = write_result(
                self.submission.id, position, item_result
            )
            size += sum(len(write.body or b'') for write in result_writes)
            too_many = len(writes) + len(result_writes) > MAX_WRITES
            if batch and (too_many or size > MAX_BYTES):
                break
            batch.append(item_result)
            writes.extend(result_writes)
        return batch, tuple(writes)
