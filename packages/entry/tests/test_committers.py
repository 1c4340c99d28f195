"""Tests of committing samples: filled slots are never overwritten."""

from datetime import timedelta

import curio
import pytest
from attrs import evolve
from engines import (
    TRAINER,
    make_step,
)
from hosts import (
    make_state,
)
from sequoia_policy.samples import VersionSpan
from sequoia_wire.codecs import encode
from sequoia_wire.platform_messages import (
    ABSENT,
    RowWrite,
)
from sequoia_wire.rows import (
    SlotRow,
    slot_key,
)
from sequoiashed.attempts import (
    FinishedAttempt,
)
from sequoiashed.committers import SampleCommitter


async def commit_late(existing_row):
    """Commit attempts of two slots, the first of which has a row already."""
    state = make_state()
    step = make_step(slots=2)
    key = slot_key(TRAINER, 0, 0)
    await state.store.commit(
        RowWrite(key, ABSENT, encode(existing_row).decode())
    )
    existing = state.store.table.find(key)
    attempts = step.schedule.start(2, timedelta())
    step.apply_row(existing_row, existing.revision)
    committer = SampleCommitter(state, TRAINER)
    task = await curio.spawn(committer.run, daemon=True)
    for attempt in attempts:
        row = evolve(existing_row, slot=attempt.slot.index, document='late')
        await committer.add(step, FinishedAttempt(attempt, row, b'late'))
    await curio.sleep(0.2)
    await task.cancel()
    return existing, state.store.table, step, committer


def make_row(slot, document, delivery=None):
    spans = (VersionSpan(1, 0, 3),)
    now = make_state().clock.now()
    return SlotRow(slot, document, spans, now, delivery)


@pytest.mark.parametrize('delivery', [None, 4])
def test_late_attempt_does_not_overwrite_filled_slot(delivery):
    """Overwriting a delivered row would hand over the slot a second time."""
    row = make_row(0, 'first', delivery)
    existing, table, step, committer = curio.run(commit_late, row)
    assert table.find(existing.key) == existing
    assert 'late' in table.find(slot_key(TRAINER, 0, 1)).body
    assert not committer.pending
    assert step.superseded


async def commit_after_close():
    """Commit a sample that finishes after its step was closed."""
    state = make_state()
    step = make_step()
    (attempt,) = step.schedule.start(1, timedelta())
    committer = SampleCommitter(state, TRAINER)
    row = make_row(0, 'late')
    await committer.add(step, FinishedAttempt(attempt, row, b'late'))
    committer.drop_other_steps({1, 2})
    task = await curio.spawn(committer.run, daemon=True)
    await curio.sleep(0.2)
    await task.cancel()
    return state.store.table.rows


def test_sample_of_closed_step_writes_no_row():
    assert not curio.run(commit_after_close)


def test_sample_of_reopened_slot_replaces_open_row():
    existing, table, _step, committer = curio.run(commit_late, make_row(0, ''))
    assert table.find(existing.key).revision > existing.revision
    assert not committer.pending
