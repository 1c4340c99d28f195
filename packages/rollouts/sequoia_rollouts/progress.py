"""Saves the text of items under way, so that another host can go on.

A save holds only the events since the last one. What is saved may lag or lack
its end; the run then goes on after the last event that is there.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.errors import ServiceError
from sequoia_policy.submissions import Submission
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.generations import Generation, MadeEvent
from sequoia_rollouts.stores import (
    ConflictError,
    Guard,
    Row,
    RowWrite,
    Store,
    Transaction,
)
from sequoia_rollouts.tables import progress_key, submission_key

SAVE_PERIOD = timedelta(milliseconds=500)
MOST_ROWS = 48  # of one transaction
MOST_BYTES = 400_000  # of one transaction
MOST_ROW_BYTES = 30_000  # of the texts of one row

log = Log('progress')
NOT_SAVED = log.event(
    'not saved', 'submission', 'items', 'detail', kind=LogKind.FAILURE
)
NOT_RESTORED = log.event('not restored', 'key', 'detail', kind=LogKind.FAILURE)
ITEMS_RESTORED = log.event('items restored', 'submission', 'items', 'events')


@frozen
class SavedEvents:
    """Consecutive events of an item, as they are stored.

    Attributes:
        restart: How often the text had been begun anew.
        start: Position of the first event in the text.
    """

    item: str
    restart: int
    start: int
    events: tuple[MadeEvent, ...] = field(repr=False)

    @property
    def size(self) -> int:
        """Length of their texts in characters."""
        return sum(len(event.text) for event in self.events)


@define(eq=False)
class ProgressSaver:
    """Saves what the items of one submission have generated.

    Writes are guarded by the row that names the owner, as results are.

    Attributes:
        find_version: Returns the version of that row.
        generations: What was generated, by item.
        saved: Number of events that are stored, by item and restart.
    """

    store: Store
    submission: Submission
    find_version: Callable[[], int]
    generations: dict[str, Generation]
    saved: dict[tuple[str, int], int] = field(factory=dict)

    async def run(self) -> None:
        """Save each period until cancelled."""
        while True:
            await curio.sleep(SAVE_PERIOD.total_seconds())
            await self.save()

    def note_stored(self, generation: Generation) -> None:
        """Remember that all events of a generation are stored."""
        self.saved[identify(generation)] = len(generation.events)

    async def save(self) -> None:
        """Save all events that are not stored yet."""
        news = [
            events
            for generation in self.generations.values()
            for events in self._collect(generation)
        ]
        for batch in cut_batches(news):
            await self._write(batch)

    def _collect(self, generation: Generation) -> list[SavedEvents]:
        """Return the new events of an item, cut to the size of rows."""
        known = self.saved.get(identify(generation), 0)
        found = []
        while known < len(generation.events):
            piece = cut_events(generation, known)
            found.append(piece)
            known += len(piece.events)
        return found

    async def _write(self, batch: list[SavedEvents]) -> None:
        writes = tuple(
            RowWrite(
                progress_key(
                    self.submission.id,
                    piece.item,
                    piece.restart,
                    piece.start,
                ),
                encode(piece),
            )
            for piece in batch
        )
        own = Guard(submission_key(self.submission.id), self.find_version())
        try:
            await self.store.commit(Transaction(writes, (own,)))
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


def identify(generation: Generation) -> tuple[str, int]:
    """Return what tells one text of an item from one begun anew."""
    return generation.item.id, generation.restarts


def cut_events(generation: Generation, start: int) -> SavedEvents:
    """Return the events from a position on that fit into one row."""
    size = 0
    end = start
    while end < len(generation.events):
        size += len(generation.events[end].text)
        if size > MOST_ROW_BYTES and end > start:
            break
        end += 1
    return SavedEvents(
        generation.item.id,
        generation.restarts,
        start,
        tuple(generation.events[start:end]),
    )


def cut_batches(news: list[SavedEvents]) -> list[list[SavedEvents]]:
    """Return pieces in batches that fit into one transaction each."""
    batches: list[list[SavedEvents]] = []
    size = 0
    for piece in news:
        size += piece.size
        if not batches or len(batches[-1]) >= MOST_ROWS or size > MOST_BYTES:
            batches.append([])
            size = piece.size
        batches[-1].append(piece)
    return batches


def restore_generations(
    submission: Submission,
    rows: Iterable[Row],
) -> dict[str, Generation]:
    """Return what was generated of a submission's items, from stored rows.

    Args:
        submission: The submission.
        rows: Its rows in ascending order; an item's newest text comes last.
    """
    found: dict[str, Generation] = {}
    for row in rows:
        piece = read_piece(row)
        item = submission.find_item(piece.item) if piece else None
        if piece and item:
            known = found.get(item.id) or Generation(item)
            found[item.id] = join_piece(known, piece)
    if found:
        ITEMS_RESTORED.write(
            submission=submission.id,
            items=len(found),
            events=sum(len(one.events) for one in found.values()),
        )
    return found


def join_piece(known: Generation, piece: SavedEvents) -> Generation:
    """Return a text with the next stored events, if they follow."""
    if piece.restart > known.restarts:
        known = Generation(known.item, restarts=piece.restart)
    if len(known.events) == piece.start:
        known.events.extend(piece.events)
    return known


def read_piece(row: Row) -> SavedEvents | None:
    """Decode stored events; None if there are none that can be read."""
    if row.body is None:
        return None
    try:
        return decode(row.body, SavedEvents)
    except ServiceError as bad:
        NOT_RESTORED.write(key=row.key.key, detail=bad.detail)
        return None
