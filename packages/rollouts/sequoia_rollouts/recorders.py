"""Writes the results of a submission, each at a position of its own."""

from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.submissions import ItemResult, Submission
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.archives import join_results
from sequoia_rollouts.stores import (
    ABSENT,
    Committer,
    ConflictError,
    Guard,
    RowWrite,
    Transaction,
    read_all,
)
from sequoia_rollouts.tables import (
    results_range,
    submission_key,
    write_result,
)

COMMIT_PATIENCE = timedelta(seconds=1)
MOST_ROWS = 48  # of one transaction
MOST_BYTES = 400_000  # of one transaction
RETRY_PAUSE = timedelta(milliseconds=100)
LOOK_PERIOD = timedelta(milliseconds=5)

log = Log('results')
RESULTS_WAIT = log.event(
    'results wait', 'submission', 'count', 'detail', kind=LogKind.FAILURE
)


@define(eq=False)
class Recorder:
    """Lists results in the store while this host owns the submission.

    Every write is guarded by the row that names the owner: once another
    host owns the submission, or the caller ended it, nothing is written.

    Attributes:
        version: Version of the row that names this host as owner.
        listed: Results in the store, by position.
        pending: Results that wait to be written.
    """

    committer: Committer
    submission: Submission
    version: int
    listed: list[ItemResult] = field(factory=list)
    pending: list[ItemResult] = field(factory=list)
    waiters: set[curio.Event] = field(factory=set)

    @property
    def is_whole(self) -> bool:
        """Whether every item has a result in the store."""
        return len(self.listed) >= len(self.submission.items)

    def add(self, outcome: ItemResult) -> None:
        """Take a result that is to be written."""
        self.pending.append(outcome)

    async def run(self) -> None:
        """Write results until all are listed."""
        while not self.is_whole:
            if self.pending:
                await self._write_batch()
            else:
                await curio.sleep(LOOK_PERIOD.total_seconds())

    async def wait(self, position: int, patience: timedelta) -> None:
        """Wait until a position is listed, or ``patience`` is over."""
        if len(self.listed) > position:
            return
        event = curio.Event()
        self.waiters.add(event)
        try:
            async with curio.ignore_after(patience.total_seconds()):
                await event.wait()
        finally:
            self.waiters.discard(event)

    async def _write_batch(self) -> None:
        batch, writes = self._collect()
        own = Guard(submission_key(self.submission.id), self.version)
        fresh = [Guard(write.key, ABSENT) for write in writes]
        transaction = Transaction(writes, (own, *fresh))
        try:
            await self._write(transaction)
        except ServiceError as failure:
            RESULTS_WAIT.write(
                submission=self.submission.id,
                count=len(self.pending),
                detail=failure.detail,
            )
            await curio.sleep(RETRY_PAUSE.total_seconds())
        else:
            await self._note_listed(batch)

    async def _write(self, transaction: Transaction) -> None:
        try:
            await self.committer.commit(transaction, COMMIT_PATIENCE)
        except ConflictError as conflict:
            await self._catch_up()
            raise ServiceError(Code.STORE_CONFLICT, str(conflict)) from conflict

    async def _catch_up(self) -> None:
        """Take results that an earlier write listed after all.

        A write whose answer was lost may happen seconds later.
        """
        wanted = results_range(self.submission.id, len(self.listed))
        page = await read_all(self.committer.store, wanted)
        found = list(join_results(page.rows, more=False).results)
        await self._note_listed(found)

    async def _note_listed(self, batch: list[ItemResult]) -> None:
        known = {outcome.id for outcome in batch}
        self.listed.extend(batch)
        self.pending = [one for one in self.pending if one.id not in known]
        for waiter in tuple(self.waiters):
            await waiter.set()

    def _collect(self) -> tuple[list[ItemResult], tuple[RowWrite, ...]]:
        """Return as many pending results as fit, and their writes."""
        batch: list[ItemResult] = []
        writes: list[RowWrite] = []
        size = 0
        for outcome in self.pending:
            position = len(self.listed) + len(batch)
            added = write_result(self.submission.id, position, outcome)
            size += sum(len(write.body or b'') for write in added)
            too_many = len(writes) + len(added) > MOST_ROWS
            if batch and (too_many or size > MOST_BYTES):
                break
            batch.append(outcome)
            writes.extend(added)
        return batch, tuple(writes)
