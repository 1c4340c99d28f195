"""Saves the text of running items, so that another host can resume them.

Each save holds only the events since the previous one. Saved events may lag
behind the generated ones or lack the last rows; a run then resumes after the
last saved event.
"""

from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.errors import ServiceError
from sequoia_policy.submissions import Submission
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.storage.batches import split_writes
from sequoia_rollouts.streaming.generations import GeneratedEvent, Generation
from sequoia_rollouts.storage.stores import (
    ConflictError,
    Guard,
    Row,
    RowKey,
    RowWrite,
    Store,
    Transaction,
)
from sequoia_rollouts.storage.tables import progress_key, submission_key

SAVE_INTERVAL = timedelta(milliseconds=500)
MAX_EVENTS_BYTES = 40_000  # of the encoded events of one row

log = Log('progress')
NOT_SAVED = log.event(
    'not saved', 'submission', 'items', 'detail', kind=LogKind.FAILURE
)
NOT_RESTORED = log.event('not restored', 'key', 'detail', kind=LogKind.FAILURE)
ITEMS_RESTORED = log.event('items restored', 'submission', 'items', 'events')


@frozen
class SavedEvents:
    """Consecutive events of an item, as stored in one row.

    Attributes:
        restart: Number of times the text had been restarted.
        start: Position of the first event in the text.
        release: Release that began the text; empty if unknown.
    """

    item: str
    restart: int
    start: int
    events: tuple[GeneratedEvent, ...] = field(repr=False)
    release: str = ''


@define(eq=False)
class ProgressSaver:
    """Saves the generations of one submission.

    Writes are guarded by the row that names the owner, like those of results.

    Attributes:
        find_version: Returns the version of the row that names the owner.
        generations: Generations by item id.
        saved: Number of stored events, by item id and number of restarts.
    """

    store: Store
    submission: Submission
    find_version: Callable[[], int]
    generations: dict[str, Generation]
    saved: dict[tuple[str, int], int] = field(factory=dict)

    async def run(self) -> None:
        """Save at regular intervals until cancelled."""
        while True:
            await curio.sleep(SAVE_INTERVAL.total_seconds())
            await self.save()

    def mark_stored(self, generation: Generation) -> None:
        """Mark all events of a generation as stored."""
        self.saved[find_generation_key(generation)] = len(generation.events)

    async def save(self) -> None:
        """Save all events that are not stored yet."""
        unsaved = [
            piece
            for generation in self.generations.values()
            for piece in self._collect(generation)
        ]
        writes = {self._make_key(piece): piece for piece in unsaved}
        rows = [RowWrite(key, encode(piece)) for key, piece in writes.items()]
        for batch in split_writes(rows):
            await self._write(batch, [writes[row.key] for row in batch])

    def _collect(self, generation: Generation) -> list[SavedEvents]:
        """Return the unsaved events of an item, split to fit into rows.

        An event that fits into no row ends what is saved of the item.
        """
        saved_count = self.saved.get(find_generation_key(generation), 0)
        pieces = []
        while saved_count < len(generation.events):
            piece = slice_events(generation, saved_count)
            if not piece.events:
                break
            pieces.append(piece)
            saved_count += len(piece.events)
        return pieces

    def _make_key(self, piece: SavedEvents) -> RowKey:
        return progress_key(
            self.submission.id, piece.item, piece.restart, piece.start
        )

    async def _write(
        self,
        writes: tuple[RowWrite, ...],
        batch: Sequence[SavedEvents],
    ) -> None:
        owner_guard = Guard(
            submission_key(self.submission.id), self.find_version()
        )
        try:
            await self.store.commit(Transaction(writes, (owner_guard,)))
        except (ConflictError, ServiceError) as failure:
            NOT_SAVED.write(
                submission=self.submission.id,
                items=len(batch),
                detail=str(failure),
            )
        else:
            for piece in batch:
                end = piece.start + len(piece.events)
                self.saved[piece.item, piece.restart] = end


def find_generation_key(generation: Generation) -> tuple[str, int]:
    """Return the item id and the number of restarts, which identify a text."""
    return generation.item.id, generation.restarts


def slice_events(generation: Generation, start: int) -> SavedEvents:
    """Return as many events from a position on as fit into one row."""
    size = 0
    end = start
    while end < len(generation.events):
        size += len(encode(generation.events[end]))
        if size > MAX_EVENTS_BYTES:
            break
        end += 1
    return SavedEvents(
        generation.item.id,
        generation.restarts,
        start,
        tuple(generation.events[start:end]),
        generation.release,
    )


def restore_generations(
    submission: Submission,
    rows: Iterable[Row],
) -> dict[str, Generation]:
    """Rebuild the generations of a submission from stored rows, by item id.

    Args:
        submission: The submission.
        rows: Its rows in ascending order of key, so that the latest text of an
            item comes last.
    """
    generations: dict[str, Generation] = {}
    for row in rows:
        piece = decode_saved_events(row)
        item = submission.find_item(piece.item) if piece else None
        if piece and item:
            generation = generations.get(item.id) or Generation(item)
            generations[item.id] = append_saved_events(generation, piece)
    if generations:
        ITEMS_RESTORED.write(
            submission=submission.id,
            items=len(generations),
            events=sum(
                len(generation.events) for generation in generations.values()
            ),
        )
    return generations


def append_saved_events(
    generation: Generation, piece: SavedEvents
) -> Generation:
    """Append stored events if they continue the text.

    Events after a missing row are dropped; a higher restart replaces the text.
    """
    if piece.restart > generation.restarts:
        generation = Generation(generation.item, restarts=piece.restart)
    if len(generation.events) == piece.start:
        generation.events.extend(piece.events)
        generation.release = piece.release
    return generation


def decode_saved_events(row: Row) -> SavedEvents | None:
    """Decode a row of saved events; return None if it cannot be decoded."""
    if row.body is None:
        return None
    try:
        return decode(row.body, SavedEvents)
    except ServiceError as error:
        NOT_RESTORED.write(key=row.key.key, detail=error.detail)
        return None
