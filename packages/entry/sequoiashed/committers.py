"""Stores and commits finished samples in batches; the first of a slot wins.

While the store is away samples wait here, and generation pauses when too
many wait.
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
STORE_PAUSE = timedelta(milliseconds=500)
LARGEST_BACKLOG = 256  # samples

log = Log('commit')


@frozen
class PendingCommit:
    """A finished sample that is not committed yet."""

    step: OpenStep
    finished: FinishedAttempt


@define
class SampleCommitter:
    """Writes slots' rows, several in one transaction."""

    state: HostState
    trainer_name: str
    pending: list[PendingCommit] = field(factory=list)
    stored: set[str] = field(factory=set)
    arrived: curio.Event = field(factory=curio.Event)

    @property
    def is_full(self) -> bool:
        """Whether generation should wait for the store."""
        return len(self.pending) >= LARGEST_BACKLOG

    async def add(self, step: OpenStep, finished: FinishedAttempt) -> None:
        """Queue a sample."""
        self.pending.append(PendingCommit(step, finished))
        await self.arrived.set()

    def drop_other_steps(self, open_steps: Collection[int]) -> None:
        """Drop samples of steps that were closed: their rows are gone."""
        self.pending = [
            pending
            for pending in self.pending
            if pending.step.number in open_steps
        ]

    async def run(self) -> None:
        """Commit queued samples until cancelled."""
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            await curio.sleep(BATCH_WINDOW.total_seconds())
            while self.pending:
                await self._commit_some()

    async def _commit_some(self) -> None:
        self._drop_closed()
        batch = self._first_of_each_slot()
        if not batch:
            return
        try:
            settled = await self._commit(batch)
        except ServiceError as failure:
            self.state.metrics.store_errors.labels('commit').inc()
            log.write('samples wait for the store', detail=failure.detail)
            spread = self.state.rng.uniform(1, 2)
            await curio.sleep(STORE_PAUSE.total_seconds() * spread)
            return
        self.pending = [
            pending for pending in self.pending if pending not in settled
        ]
        self.stored.difference_update(
            pending.finished.row.document for pending in settled
        )

    def _drop_closed(self) -> None:
        """Drop samples of slots that have one, which must not be written."""
        closed = [
            pending
            for pending in self.pending
            if pending.finished.row.slot in pending.step.closed
        ]
        self.state.metrics.samples.labels('lost_race').inc(len(closed))
        self.pending = [
            pending for pending in self.pending if pending not in closed
        ]

    def _first_of_each_slot(self) -> list[PendingCommit]:
        chosen: dict[tuple[int, int], PendingCommit] = {}
        for pending in self.pending:
            slot = pending.finished.row.slot
            chosen.setdefault((pending.step.number, slot), pending)
        return list(chosen.values())[:BATCH_ROWS]

    async def _commit(
        self,
        batch: list[PendingCommit],
    ) -> list[PendingCommit]:
        for waiting in batch:
            await self._store(waiting.finished)
        writes = [self._make_write(pending) for pending in batch]
        answer = await self.state.store.commit(*writes)
        if answer.committed:
            for committed in batch:
                self._settle(committed)
            return batch
        return [
            pending
            for pending, row in zip(batch, answer.rows, strict=True)
            if self._settle_conflict(pending, row)
        ]

    async def _store(self, finished: FinishedAttempt) -> None:
        """Store a sample's object, unless an earlier try did."""
        document = finished.row.document
        if document not in self.stored:
            await self.state.store.put_object(document, finished.body)
            self.stored.add(document)

    def _make_write(self, pending: PendingCommit) -> RowWrite:
        row = pending.finished.row
        key = slot_key(self.trainer_name, pending.step.number, row.slot)
        expected = pending.step.expected(row.slot)
        return RowWrite(key, expected, encode(row).decode())

    def _settle(self, pending: PendingCommit) -> None:
        pending.step.close(pending.finished.row.slot)
        self.state.metrics.samples.labels('committed').inc()

    def _settle_conflict(self, pending: PendingCommit, row: Row) -> bool:
        """Learn a slot's present row; tell whether the sample is done with."""
        slot = pending.finished.row.slot
        if row.revision == pending.step.expected(slot) or not row.body:
            return False
        current = decode(row.body.encode(), SlotRow)
        pending.step.see(current, row.revision)
        if current.is_open:
            return False
        if current.document == pending.finished.row.document:
            self.state.metrics.samples.labels('committed').inc()
        else:
            self.state.metrics.samples.labels('lost_race').inc()
        return True
