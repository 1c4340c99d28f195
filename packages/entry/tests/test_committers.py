"""Tests of committing samples: filled and closed slots stay as they are."""

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


async def commit_late(row_after):
    """A late attempt of a slot whose row is no longer open."""
    state = make_state()
    step = make_step(slots=2)
    key = slot_key(TRAINER, 0, 0)
    await state.store.commit(RowWrite(key, ABSENT, encode(row_after).decode()))
    known = state.store.table.find(key)
    starts = step.schedule.start(2, timedelta())
    step.see(row_after, known.revision)
    committer = SampleCommitter(state, TRAINER)
    task = await curio.spawn(committer.run, daemon=True)
    for start in starts:
        row = evolve(row_after, slot=start.slot.index, document='late')
        await committer.add(step, FinishedAttempt(start, row, b'late'))
    await curio.sleep(0.2)
    await task.cancel()
    return known, state.store.table, step, committer


def make_row(slot, document, delivery=None):
    spans = (VersionSpan(1, 0, 3),)
    now = make_state().clock.now()
    return SlotRow(slot, document, spans, now, delivery)


@pytest.mark.parametrize('delivery', [None, 4])
def test_a_late_attempt_never_overwrites_a_filled_slot(delivery):
    """Its row may have been handed over: it would be handed over again."""
    row = make_row(0, 'first', delivery)
    known, table, step, committer = curio.run(commit_late, row)
    assert table.find(known.key) == known
    assert 'late' in table.find(slot_key(TRAINER, 0, 1)).body
    assert not committer.pending
    assert step.superseded


async def commit_after_close():
    """A sample that is finished after its step was closed."""
    state = make_state()
    step = make_step()
    (start,) = step.schedule.start(1, timedelta())
    committer = SampleCommitter(state, TRAINER)
    row = make_row(0, 'late')
    await committer.add(step, FinishedAttempt(start, row, b'late'))
    committer.drop_other_steps({1, 2})
    task = await curio.spawn(committer.run, daemon=True)
    await curio.sleep(0.2)
    await task.cancel()
    return state.store.table.rows


def test_a_sample_of_a_closed_step_leaves_no_row():
    assert not curio.run(commit_after_close)


def test_a_reopened_slot_is_written_on_the_open_row():
    known, table, _step, committer = curio.run(commit_late, make_row(0, ''))
    assert table.find(known.key).revision > known.revision
    assert not committer.pending
