"""Tests of the hand-over: exactly once under faults, races and new versions."""

from collections import Counter, deque
from datetime import timedelta

import curio
import pytest
from attrs import define, evolve, field
from hosts import listen, listen_http, make_state
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.handovers import StalenessBound, SampleRequest
from sequoia_policy.samples import VersionSpan
from sequoia_standins.deployments import demo_key
from sequoia_standins.fakes import MemoryStore
from sequoia_wire.clients import HttpClient
from sequoia_wire.codecs import encode
from sequoia_wire.messages import RequestHead, encode_headers
from sequoia_wire.platform_messages import ABSENT, RowWrite
from sequoia_wire.rows import (
    SampleRecord,
    SlotRow,
    StepRow,
    slot_key,
    step_key,
)
from sequoiashed.handovers import HandoverHandler, HandoverRequest
from sequoiashed.trainers import TrainerHandler

TRAINER = 'dispatch-trainer'
BOUND = StalenessBound(versions=1)


@pytest.fixture(autouse=True)
def _no_waiting(monkeypatch):
    monkeypatch.setattr(
        'sequoiashed.handovers.LONGEST_WAIT',
        timedelta(seconds=-1),
    )


async def fill(store, slots, version=1, generation=0, revisions=None):
    """Commit samples of slots made by a version."""
    for slot in slots:
        document = f'samples/{slot}/{generation}'
        span = VersionSpan(version, 0, 3)
        record = SampleRecord(
            TRAINER,
            0,
            slot,
            0,
            document,
            'prompt',
            (1, 2, 3),
            (span,),
        )
        store.objects[document] = encode(record)
        row = SlotRow(slot, document, (span,), make_state().clock.now())
        key = slot_key(TRAINER, 0, slot)
        known = store.table.find(key).revision
        await store.commit(RowWrite(key, known, encode(row).decode()))


async def make_store(slots=6):
    store = MemoryStore()
    row = StepRow(0, 'document', 'digest', 'shift-outcome', slots)
    key = step_key(TRAINER, 0)
    await store.commit(RowWrite(key, ABSENT, encode(row).decode()))
    return store


def make_request(state, cursor, version=1, limit=4):
    view = SampleRequest(version, limit, state.clock.now())
    return HandoverRequest(TRAINER, 0, cursor, view, BOUND)


async def ask(state, cursor, version=1, limit=4):
    """Return a batch, or None if the host failed."""
    desk = HandoverHandler(state)
    try:
        return await desk.serve(make_request(state, cursor, version, limit))
    except ServiceError as failure:
        assert failure.code in {Code.STORE_UNAVAILABLE, Code.STORE_CONFLICT}
        return None


async def read_whole_step(faults, hosts=3):
    """Read a step at changing hosts while the store fails."""
    store = await make_store()
    await fill(store, range(6))
    states = [make_state(f'entry-{n}', store=store) for n in range(hosts)]
    store.faults = deque(faults)
    seen = Counter()
    cursor = 0
    for turn in range(60):
        batch = await ask(states[turn % hosts], cursor)
        if batch is None:
            continue
        seen.update(sample.slot for sample in batch.samples)
        cursor = batch.next_cursor
        if batch.whole:
            return seen
    raise AssertionError('the step was never whole')


@given(st.lists(st.sampled_from(['ok', 'before', 'after']), max_size=24))
def test_each_sample_arrives_once_whatever_the_store_does(faults):
    seen = curio.run(read_whole_step, faults)
    assert seen == Counter(range(6))


async def ask_twice(first_faults):
    store = await make_store()
    await fill(store, range(6))
    first, second = (make_state(f'entry-{n}', store=store) for n in range(2))
    store.faults = deque(first_faults)
    one = await ask(first, 0)
    store.faults.clear()
    other = await ask(second, 0)
    again = await ask(first, 0)
    return one, other, again


@pytest.mark.parametrize('lost', range(8))
def test_the_same_cursor_gives_the_same_bytes(lost):
    faults = ['ok'] * lost + ['after']
    one, other, again = curio.run(ask_twice, faults)
    assert encode(other) == encode(again)
    if one is not None:
        assert encode(one) == encode(other)


async def race_for_a_cursor(hosts):
    store = await make_store()
    await fill(store, range(6))
    async with curio.TaskGroup() as group:
        for number in range(hosts):
            state = make_state(f'entry-{number}', store=store)
            await group.spawn(ask, state, 0)
    return [encode(batch) for batch in group.results if batch.samples]


def test_hosts_that_race_for_a_cursor_give_the_same_bytes():
    batches = curio.run(race_for_a_cursor, 4)
    assert batches
    assert len(set(batches)) == 1


async def go_on_with_newer_version():
    """The trainer moved on: what is too old is made again."""
    store = await make_store()
    await fill(store, range(3), version=1)
    state = make_state(store=store)
    empty = await ask(state, 0, version=5)
    step = store.table.find(step_key(TRAINER, 0))
    reopened = [
        slot
        for slot in range(3)
        if '"document":""' in store.table.find(slot_key(TRAINER, 0, slot)).body
    ]
    await fill(store, range(6), version=5, generation=1)
    batch = await ask(state, 0, version=5, limit=10)
    return empty, reopened, step, batch


def test_samples_that_are_too_old_are_reopened_and_never_handed_over():
    empty, reopened, step, batch = curio.run(go_on_with_newer_version)
    assert not empty.samples
    assert empty.next_cursor == 0
    assert reopened == [0, 1, 2]
    assert '"reopened":1' in step.body
    assert batch.whole
    assert [sample.slot for sample in batch.samples] == list(range(6))
    assert {span.version for s in batch.samples for span in s.spans} == {5}


async def ask_again_with_newer_version():
    store = await make_store()
    await fill(store, range(3), version=1)
    await fill(store, range(3, 6), version=3)
    state = make_state(store=store)
    first = await ask(state, 0, version=1, limit=10)
    again = await ask(state, 0, version=4, limit=10)
    await fill(store, range(3), version=4, generation=1)
    rest = await ask(state, 1, version=4, limit=10)
    return first, again, rest


def test_asking_again_with_a_newer_version_drops_what_became_too_old():
    first, again, rest = curio.run(ask_again_with_newer_version)
    assert len(first.samples) == 6
    assert [sample.slot for sample in again.samples] == [3, 4, 5]
    assert not again.whole
    assert [sample.slot for sample in rest.samples] == [0, 1, 2]
    assert rest.whole


async def skip_a_cursor():
    store = await make_store()
    await fill(store, range(3))
    desk = HandoverHandler(make_state(store=store))
    with pytest.raises(ServiceError) as refused:
        await desk.serve(make_request(desk.state, 2))
    return refused.value.code


def test_a_cursor_that_was_never_reached_is_refused():
    assert curio.run(skip_a_cursor) is Code.BAD_CURSOR


@define
class Trainer:
    """A trainer whose version grows while it reads, as the bound allows."""

    version: int = 1
    cursor: int = 0
    taken: Counter = field(factory=Counter)
    oldest: list = field(factory=list)


async def read_while_versions_grow(growth):
    """Slots are made again with the newest version when they reopen."""
    store = await make_store()
    state = make_state(store=store)
    trainer = Trainer()
    await fill(store, range(6), version=1)
    for turn in range(40):
        trainer.version += growth[turn % len(growth)]
        batch = await ask(state, trainer.cursor, trainer.version, limit=2)
        for sample in batch.samples:
            trainer.taken[sample.slot] += 1
            trainer.oldest.append(trainer.version - sample.spans[0].version)
        trainer.cursor = batch.next_cursor
        if batch.whole:
            break
        open_slots = [
            slot
            for slot in range(6)
            if '"document":""'
            in store.table.find(slot_key(TRAINER, 0, slot)).body
        ]
        await fill(store, open_slots, trainer.version, generation=turn + 1)
    return trainer


@given(st.lists(st.integers(0, 2), min_size=1, max_size=8))
def test_no_sample_is_too_old_while_versions_grow(growth):
    trainer = curio.run(read_while_versions_grow, growth)
    assert max(trainer.oldest, default=0) <= BOUND.versions
    assert max(trainer.taken.values(), default=1) == 1
    if max(growth) <= BOUND.versions:
        assert trainer.taken == Counter(range(6))


def test_age_in_seconds_is_bounded_too():
    bound = StalenessBound(versions=9, age=timedelta(seconds=5))
    spans = (VersionSpan(1, 0, 3),)
    assert bound.allows(spans, 1, timedelta(seconds=5))
    assert not bound.allows(spans, 1, timedelta(seconds=6))
    assert evolve(bound, age=None).allows(spans, 1, timedelta(days=1))


class CutRelay:
    """Relays a connection and cuts the answer after some bytes."""

    def __init__(self, address, limit):
        self.address = address
        self.limit = limit

    async def serve(self, sock, _address):
        peer = await curio.open_connection(self.address.host, self.address.port)
        async with peer:
            await peer.sendall(await sock.recv(65536))
            left = self.limit
            while left > 0:
                chunk = await peer.recv(min(left, 4096))
                if not chunk:
                    return
                await sock.sendall(chunk)
                left -= len(chunk)


async def ask_through(address):
    """Return the body of a trainer's request, None if it was cut off."""
    headers = encode_headers(
        {
            'authorization': f'Bearer {demo_key("trainer", TRAINER)}',
            'sequoia-label': 'shift-outcome',
        },
    )
    path = f'/v1/trainers/{TRAINER}/steps/0/samples?cursor=0&version=1'
    try:
        answer = await HttpClient().fetch(
            address,
            RequestHead('GET', path, headers),
        )
    except ServiceError:
        return None
    return answer.body


async def cut_answers(step):
    """Cut the answer at many bytes, then ask another host."""
    store = await make_store()
    await fill(store, range(6))
    states = [make_state(f'entry-{n}', store=store) for n in range(2)]
    desks = [TrainerHandler(state, HandoverHandler(state)) for state in states]
    served = [await listen_http(desk.handle) for desk in desks]
    whole = await ask_through(served[1][0])
    bodies = []
    for limit in range(0, len(whole) + 200, step):
        relay = CutRelay(served[0][0], limit)
        address, task = await listen(relay.serve)
        bodies.append(await ask_through(address))
        bodies.append(await ask_through(served[1][0]))
        await task.cancel()
    return whole, bodies


def test_an_answer_cut_anywhere_is_read_again_with_the_same_bytes():
    whole, bodies = curio.run(cut_answers, 29)
    assert None in bodies
    assert set(bodies) == {None, whole}
