"""Saves the text of running items, so that another host can resume them.

Each save holds only the events since the previous one. Saved events may lag
behind the generated ones or lack the last rows; a run then resumes after the
last saved event.

A write without a response may be carried out seconds later, as long as the
owner is the same. So a row is never written with other events by the same
owner, and each row tells under which ownership it was written.
"""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

import curio
from attrs import define, evolve, field, frozen
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
ROW_LEFT_OUT = log.event(
    'row left out', 'request_id', 'start', 'events_before', kind=LogKind.FAILURE
)


@frozen
class SavedEvents:
    """Consecutive events of an item, as stored in one row.

    Attributes:
        restart: Number of times the text had been restarted.
        start: Position of the first event in the text.
        release: Release that began the text; empty if unknown.
        owner_version: Version of the row that named the owner that wrote this;
            0 in rows of builds that did not store it.
    """

    item: str
    restart: int
    start: int
    events: tuple[GeneratedEvent, ...] = field(repr=False)
    release: str = ''
    owner_version: int = 0

    @property
    def text_key(self) -> tuple[str, int]:
        """The item id and the number of restarts, which identify a text."""
        return self.item, self.restart


@define(eq=False)
class ProgressSaver:
    """Saves the generations of one submission.

    Writes are guarded by the row that names the owner, like those of results.

    Attributes:
        find_version: Returns the version of the row that names the owner.
        generations: Generations by item id.
        assigned: Number of events that rows were made of, by item id and number
            of restarts.
        unconfirmed: Rows that the store has not confirmed yet.
    """

    store: Store
    submission: Submission
    find_version: Callable[[], int]
    generations: dict[str, Generation]
    assigned: dict[tuple[str, int], int] = field(factory=dict)
    unconfirmed: dict[RowKey, SavedEvents] = field(factory=dict)

    async def run(self) -> None:
        """Save at regular intervals until cancelled."""
        while True:
            await curio.sleep(SAVE_INTERVAL.total_seconds())
            await self.save()

    def mark_stored(self, generation: Generation) -> None:
        """Mark all events of a generation as stored."""
        self.assigned[find_generation_key(generation)] = len(generation.events)

    async def save(self) -> None:
        """Save all events that are not stored yet.

        What the store has not confirmed is written first, and as it was. The
        later events of its text wait, so that an outage leaves no further rows.
        """
        self._forget_ended_texts()
        await self._write_rows(dict(self.unconfirmed))
        fresh = self._make_rows()
        self.unconfirmed.update(fresh)
        await self._write_rows(fresh)

    def _forget_ended_texts(self) -> None:
        """Forget rows of texts that have a result or were restarted."""
        texts = set(map(find_generation_key, self.generations.values()))
        for key, piece in tuple(self.unconfirmed.items()):
            if piece.text_key not in texts:
                self.unconfirmed.pop(key)

    def _make_rows(self) -> dict[RowKey, SavedEvents]:
        """Return rows of the events that are in none yet."""
        waiting = {piece.text_key for piece in self.unconfirmed.values()}
        return {
            self._make_key(piece): piece
            for generation in self.generations.values()
            if find_generation_key(generation) not in waiting
            for piece in self._assign_events(generation)
        }

    def _assign_events(self, generation: Generation) -> list[SavedEvents]:
        """Split the events of an item that are in no row yet to fit into rows.

        An event that fits into no row ends what is saved of the item.
        """
        text_key = find_generation_key(generation)
        end = self.assigned.get(text_key, 0)
        pieces = []
        while end < len(generation.events):
            piece = slice_events(generation, end)
            if not piece.events:
                break
            pieces.append(piece)
            end += len(piece.events)
        self.assigned[text_key] = end
        return pieces

    def _make_key(self, piece: SavedEvents) -> RowKey:
        return progress_key(
            self.submission.id, piece.item, piece.restart, piece.start
        )

    async def _write_rows(self, pieces: Mapping[RowKey, SavedEvents]) -> None:
        version = self.find_version()
        rows = [
            RowWrite(key, encode(evolve(piece, owner_version=version)))
            for key, piece in pieces.items()
        ]
        guard = Guard(submission_key(self.submission.id), version)
        for batch in split_writes(rows):
            await self._commit(Transaction(batch, (guard,)))

    async def _commit(self, transaction: Transaction) -> None:
        try:
            await self.store.commit(transaction)
        except (ConflictError, ServiceError) as failure:
            NOT_SAVED.write(
                submission=self.submission.id,
                items=len(transaction.writes),
                detail=str(failure),
            )
            return
        for write in transaction.writes:
            self.unconfirmed.pop(write.key, None)


def find_generation_key(generation: Generation) -> tuple[str, int]:
    """Return the item id and the number of restarts of a generation."""
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
        rows: Its rows in ascending order of key, so that those of one owner and
            text are in order.
    """
    generations: dict[str, Generation] = {}
    for piece in sort_by_owner(map(decode_saved_events, rows)):
        item = submission.find_item(piece.item)
        if item:
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


def sort_by_owner(pieces: Iterable[SavedEvents | None]) -> list[SavedEvents]:
    """Sort pieces by restarts and then by owner, as the texts came about.

    What an owner has stored behind a gap is so met before the events with which
    a later owner has filled the gap, and is not taken for their continuation.
    """
    return sorted(
        (piece for piece in pieces if piece),
        key=lambda piece: (piece.restart, piece.owner_version),
    )


def append_saved_events(
    generation: Generation, piece: SavedEvents
) -> Generation:
    """Append stored events if they continue the text.

    Events after a missing row are dropped; a higher restart replaces the text.
    """
    if piece.restart > generation.restarts:
        generation = Generation(generation.item, restarts=piece.restart)
    known = len(generation.events)
    if known == piece.start:
        generation.events.extend(piece.events)
        generation.release = piece.release
    else:
        ROW_LEFT_OUT.write(
            request_id=piece.item, start=piece.start, events_before=known
        )
    return generation


def decode_saved_events(row: Row) -> SavedEvents | None:
    """Decode a row of saved events; return None if it cannot be decoded.

    Where the version of the owner is unknown, that of the row tells as well
    which rows later owners have written.
    """
    if row.body is None:
        return None
    try:
        piece = decode(row.body, SavedEvents)
    except ServiceError as error:
        NOT_RESTORED.write(key=row.key.key, detail=error.detail)
        return None
    return evolve(piece, owner_version=piece.owner_version or row.version)
