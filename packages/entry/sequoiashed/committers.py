"""Commits finished samples in batches; the first sample of a slot wins.

While the store is unavailable, samples are buffered here; generation stops
when the buffer is full.
"""

from collections.abc import Collection
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.errors import ServiceError
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import Row, RowWrite
from sequoia_wire.rows import SlotRow, slot_key

from sequoiashed.attempts import FinishedAttempt
from sequoiashed.states import HostState
from sequoiashed.steps import OpenStep

BATCH_ROWS = 32
BATCH_WINDOW = timedelta(milliseconds=50)
STORE_BACKOFF = timedelta(milliseconds=500)
MAX_PENDING_SAMPLES = 256

log = Log('commit')


@frozen
class PendingCommit:
    """A finished sample that is not committed yet."""

    step: OpenStep
    finished: FinishedAttempt


@define
class SampleCommitter:
    """Writes slot rows, several in one transaction.

    Attributes:
        stored: Documents of pending samples whose object was stored, so that
            a retry stores only the others.
        added: Set when a sample is queued.
    """

    state: HostState
    trainer_name: str
    pending: list[PendingCommit] = field(factory=list)
    stored: set[str] = field(factory=set)
    added: curio.Event = field(factory=curio.Event)

    @property
    def is_full(self) -> bool:
        """Whether generation should stop until samples are committed."""
        return len(self.pending) >= MAX_PENDING_SAMPLES

    async def add(self, step: OpenStep, finished: FinishedAttempt) -> None:
        """Queue a sample to be committed."""
        self.pending.append(PendingCommit(step, finished))
        await self.added.set()

    def drop_other_steps(self, open_steps: Collection[int]) -> None:
        """Drop samples of closed steps, whose rows were deleted."""
        self.pending = [
            pending
            for pending in self.pending
            if pending.step.number in open_steps
        ]

    async def run(self) -> None:
        """Commit queued samples until cancelled."""
        while True:
            await self.added.wait()
            self.added.clear()
            await curio.sleep(BATCH_WINDOW.total_seconds())
            while self.pending:
                await self._commit_batch()

    async def _commit_batch(self) -> None:
        self._drop_filled()
        batch = self._select_batch()
        if not batch:
            return
        try:
            resolved = await self._commit(batch)
        except ServiceError as error:
            self.state.metrics.store_errors.labels('commit').inc()
            log.write('failed to commit samples; retrying', detail=error.detail)
            jitter = self.state.rng.uniform(1, 2)
            await curio.sleep(STORE_BACKOFF.total_seconds() * jitter)
            return
        self.pending = [
            pending for pending in self.pending if pending not in resolved
        ]
        self.stored.difference_update(
            pending.finished.row.document for pending in resolved
        )

    def _drop_filled(self) -> None:
        """Drop samples of slots that were filled meanwhile."""
        lost = [
            pending
            for pending in self.pending
            if pending.finished.row.slot in pending.step.filled_slots
        ]
        self.state.metrics.samples.labels('lost_race').inc(len(lost))
        self.pending = [
            pending for pending in self.pending if pending not in lost
        ]

    def _select_batch(self) -> list[PendingCommit]:
        """Return the first sample of each slot, up to the batch limit."""
        chosen: dict[tuple[int, int], PendingCommit] = {}
        for pending in self.pending:
            slot = pending.finished.row.slot
            chosen.setdefault((pending.step.number, slot), pending)
        return list(chosen.values())[:BATCH_ROWS]

    async def _commit(
        self,
        batch: list[PendingCommit],
    ) -> list[PendingCommit]:
        """Commit a batch; return the samples that need no retry."""
        for unstored in batch:
            await self._store(unstored.finished)
        writes = [self._make_write(pending) for pending in batch]
        response = await self.state.store.commit(*writes)
        if response.committed:
            for committed in batch:
                self._record_committed(committed)
            return batch
        return [
            pending
            for pending, row in zip(batch, response.rows, strict=True)
            if self._resolve_conflict(pending, row)
        ]

    async def _store(self, finished: FinishedAttempt) -> None:
        """Store a sample's object unless an earlier attempt stored it."""
        document = finished.row.document
        if document not in self.stored:
            await self.state.store.put_object(document, finished.body)
            self.stored.add(document)

    def _make_write(self, pending: PendingCommit) -> RowWrite:
        row = pending.finished.row
        key = slot_key(self.trainer_name, pending.step.number, row.slot)
        expected = pending.step.expected_revision(row.slot)
        return RowWrite(key, expected, encode(row).decode())

    def _record_committed(self, pending: PendingCommit) -> None:
        pending.step.mark_filled(pending.finished.row.slot)
        self.state.metrics.samples.labels('committed').inc()

    def _resolve_conflict(self, pending: PendingCommit, row: Row) -> bool:
        """Apply a slot's current row; return whether its sample is resolved.

        A resolved sample needs no retry: it was committed, or another sample
        fills the slot.
        """
        slot = pending.finished.row.slot
        if row.revision == pending.step.expected_revision(slot) or not row.body:
            return False
        current = decode(row.body.encode(), SlotRow)
        pending.step.apply_row(current, row.revision)
        if current.is_open:
            return False
        if current.document == pending.finished.row.document:
            self.state.metrics.samples.labels('committed').inc()
        else:
            self.state.metrics.samples.labels('lost_race').inc()
        return True
