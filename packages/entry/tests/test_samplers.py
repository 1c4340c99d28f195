"""Tests of the sampling duty: every slot is filled once despite faults."""

import hashlib
import random

import curio
import pytest
from attrs import evolve
from engines import (
    MAX_TOKENS,
    TRAINER,
    make_engine,
    serve,
)
from hosts import (
    make_state,
    make_test_router,
)
from sequoia_standins.engines import (
    EngineFaults,
)
from sequoia_standins.fakes import MemoryStore
from sequoia_standins.trainers import check_sample_tokens
from sequoia_wire.codecs import decode, encode
from sequoia_wire.platform_messages import (
    ABSENT,
    RowWrite,
)
from sequoia_wire.rows import (
    SampleGroup,
    SampleRecord,
    SlotRow,
    StepRow,
    StepSpec,
    slot_key,
    step_key,
)
from sequoiashed.grants import Grant
from sequoiashed.samplers import SampleDuty


async def open_step(store, groups=2, samples=3):
    spec = StepSpec(
        0,
        'shift-outcome',
        tuple(SampleGroup(f'p{n}', samples) for n in range(groups)),
        MAX_TOKENS,
    )
    body = encode(spec)
    await store.put_object('spec', body)
    row = StepRow(
        0,
        'spec',
        hashlib.sha256(body).hexdigest(),
        spec.label,
        spec.slots,
    )
    key = step_key(TRAINER, 0)
    await store.commit(RowWrite(key, ABSENT, encode(row).decode()))


def read_slots(store):
    rows = [
        decode(row.body.encode(), SlotRow)
        for key, row in store.table.rows.items()
        if key.startswith('slot/')
    ]
    return {row.slot: row for row in rows if not row.is_open}


async def run_duties(holders, seconds=6.0, inject_faults=None):
    """Run all shards on each holder until all slots are filled."""
    store = MemoryStore()
    await open_step(store)
    states = [make_state(f'entry-{n}', store=store) for n in range(holders)]
    engines = [make_engine(f'engine-{n}') for n in range(2)]
    tasks = []
    for state in states:
        tasks.extend(await serve(state, engines))
        for shard in range(2):
            duty = SampleDuty(state, make_test_router(state), TRAINER, shard)
            grant = Grant(1, state, state.clock.elapsed())
            tasks.append(await curio.spawn(duty.run, grant, daemon=True))
    if inject_faults:
        await curio.spawn(inject_faults, store, engines, daemon=True)
    waited = 0.0
    while len(read_slots(store)) < 6 and waited < seconds:
        await curio.sleep(0.02)
        waited += 0.02
    for task in tasks:
        await task.cancel()
    return store


def check_slots(store):
    slots = read_slots(store)
    assert sorted(slots) == list(range(6))
    for slot in slots.values():
        record = decode(store.objects[slot.document], SampleRecord)
        assert record.slot == slot.slot
        assert record.spans == slot.spans
        assert check_sample_tokens(record, MAX_TOKENS)


@pytest.mark.parametrize('holders', [1, 2])
def test_every_slot_is_filled_once_by_one_or_two_holders(holders):
    check_slots(curio.run(run_duties, holders))


async def fail_store_calls(store, _engines):
    rng = random.Random(1)
    for _ in range(60):
        store.faults.append(rng.choice(['ok', 'before', 'after']))


def test_slots_are_filled_despite_store_faults():
    check_slots(curio.run(run_duties, 1, 20.0, fail_store_calls))


async def stop_store(store, _engines):
    """Fail the next 40 store calls; samples are buffered meanwhile."""
    store.faults.extend(['before'] * 40)


def test_samples_generated_during_store_outage_are_kept():
    """Buffered samples are committed, not generated a second time."""
    store = curio.run(run_duties, 1, 30.0, stop_store)
    check_slots(store)
    assert len(store.objects) == 7


async def break_streams(_store, engines):
    engines[0].faults = EngineFaults(breaks=5)


def test_slots_are_filled_despite_broken_streams():
    check_slots(curio.run(run_duties, 1, 10.0, break_streams))


async def reopen_slot():
    """Reopen a filled slot; return its first and second row."""
    store = await run_duties(1)
    first = read_slots(store)[2]
    key = slot_key(TRAINER, 0, 2)
    revision = store.table.find(key).revision
    step = store.table.find(step_key(TRAINER, 0))
    row = evolve(decode(step.body.encode(), StepRow), reopened=1)
    reopened = evolve(first, document='')
    await store.commit(
        RowWrite(key, revision, encode(reopened).decode()),
        RowWrite(step.key, step.revision, encode(row).decode()),
    )
    state = make_state(store=store)
    tasks = await serve(state, [make_engine()])
    duty = SampleDuty(state, make_test_router(state), TRAINER, 0)
    grant = Grant(2, state, state.clock.elapsed())
    tasks.append(await curio.spawn(duty.run, grant, daemon=True))
    for _ in range(300):
        if 2 in read_slots(store):
            break
        await curio.sleep(0.02)
    for task in tasks:
        await task.cancel()
    return first, read_slots(store)[2]


def test_reopened_slot_gets_new_sample():
    first, second = curio.run(reopen_slot)
    assert first.document != second.document
