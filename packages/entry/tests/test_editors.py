"""Tests of plan edits: concurrent edits, lost responses, ownership."""

from collections import deque

import curio
import pytest
from attrs import define, field
from hosts import ListSink, make_state
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.plan_texts import (
    find_edits,
    split_sections,
)
from sequoia_standins.deployments import EXAMPLES, demo_key
from sequoia_standins.fakes import MemoryStore
from sequoia_wire.codecs import decode, encode
from sequoia_wire.messages import RequestHead, encode_headers
from sequoia_wire.operations import PlanHistory, PlanSubmission, PlanText
from sequoiashed.editors import PlanEditHandler
from sequoiashed.plans import PlanFollower
from sequoiashed.states import HostState

BASE = (EXAMPLES / 'tamsui.yaml').read_text()
OWNERS = {'platform': 'chen', 'dispatch': 'lin', 'training': 'wang'}


@define
class FakeExchange:
    """A request of an operator that keeps its response."""

    head: RequestHead
    body: bytes = b''
    sink: ListSink = field(factory=ListSink)

    async def read_body(self):
        return self.body

    async def respond(self, status, body=b'', headers=()):
        await self.sink.start(status, headers)
        await self.sink.send(body)


def make_handler(store):
    state: HostState = make_state(store=store)
    return PlanEditHandler(state, PlanFollower(state))


async def submit(store, before, after, operator='chen', key=None):
    """Return the accepted plan, the status of a conflict, or the error."""
    headers = encode_headers(
        {
            'sequoia-operator': operator,
            'authorization': f'Bearer {key or demo_key("operator", operator)}',
        },
    )
    body = encode(PlanSubmission(find_edits(before, after)))
    exchange = FakeExchange(RequestHead('POST', '/plan', headers), body)
    try:
        await make_handler(store).handle_plan(exchange)
    except ServiceError as error:
        return error
    if exchange.sink.status != 200:
        return exchange.sink.status
    return decode(exchange.sink.body, PlanText)


async def read_history(store):
    exchange = FakeExchange(RequestHead('GET', '/plan/history'))
    await make_handler(store).handle_history(exchange)
    return decode(exchange.sink.body, PlanHistory).edits


async def read_text(store):
    exchange = FakeExchange(RequestHead('GET', '/plan'))
    await make_handler(store).handle_plan(exchange)
    return decode(exchange.sink.body, PlanText)


def change(text, section, comment):
    """Return the text with a comment at the end of a section."""
    sections = split_sections(text)
    sections[section] = f'{sections[section]}# {comment}\n'
    return ''.join(sections.values())


async def make_store_with_plan():
    store = MemoryStore()
    accepted = await submit(store, '', BASE)
    assert accepted.number == 1
    return store


async def edit_sections_concurrently():
    store = await make_store_with_plan()
    async with curio.TaskGroup() as group:
        for section, operator in OWNERS.items():
            changed = change(BASE, section, f'by {operator}')
            await group.spawn(submit, store, BASE, changed, operator)
    return group.results, await read_text(store), await read_history(store)


def test_concurrent_edits_of_different_sections_all_succeed():
    outcomes, newest, history = curio.run(edit_sections_concurrently)
    assert sorted(outcome.number for outcome in outcomes) == [2, 3, 4]
    for operator in OWNERS.values():
        assert f'# by {operator}' in newest.text
    assert [edit.number for edit in history] == [1, 2, 3, 4]


async def edit_one_section_concurrently():
    store = await make_store_with_plan()
    async with curio.TaskGroup() as group:
        for comment in ('one', 'two'):
            changed = change(BASE, 'dispatch', comment)
            await group.spawn(submit, store, BASE, changed, 'lin')
    return group.results, await read_text(store)


def test_concurrent_edits_of_one_section_give_one_conflict():
    outcomes, newest = curio.run(edit_one_section_concurrently)
    assert 409 in outcomes
    assert newest.number == 2
    assert ('# one' in newest.text) != ('# two' in newest.text)


async def submit_to_base(after, operator='chen', key=None):
    store = await make_store_with_plan()
    outcome = await submit(store, BASE, after, operator, key)
    return outcome, await read_text(store)


@pytest.mark.parametrize(
    ('after', 'operator', 'key', 'code'),
    [
        (
            BASE.replace('pool: lm-pool', 'pool: gone'),
            'wang',
            None,
            Code.PLAN_INVALID,
        ),
        (change(BASE, 'platform', 'x'), 'lin', None, Code.CALLER_NOT_ALLOWED),
        (change(BASE, 'dispatch', 'x'), 'lin', 'wrong', Code.UNKNOWN_CALLER),
        (change(BASE, 'dispatch', 'x'), 'nobody', None, Code.UNKNOWN_CALLER),
    ],
)
def test_invalid_or_forbidden_edit_leaves_the_plan_unchanged(
    after, operator, key, code
):
    outcome, newest = curio.run(submit_to_base, after, operator, key)
    assert outcome.code is code
    assert newest == PlanText(1, BASE)


async def submit_with_faults(faults):
    """Each team edits once and repeats the edit after a store error."""
    store = await make_store_with_plan()
    store.faults = deque(faults)
    for section, operator in OWNERS.items():
        current = BASE
        for _ in range(30):
            changed = change(BASE, section, 'mine')
            outcome = await submit(store, current, changed, operator)
            if isinstance(outcome, PlanText):
                break
            assert isinstance(outcome, ServiceError)
            assert outcome.code is Code.STORE_UNAVAILABLE
    store.faults.clear()
    return await read_text(store), await read_history(store)


@given(st.lists(st.sampled_from(['ok', 'before', 'after']), max_size=20))
def test_lost_store_responses_never_apply_an_edit_twice(faults):
    newest, history = curio.run(submit_with_faults, faults)
    assert newest.text.count('# mine') == 3
    assert newest.number == 4
    assert [edit.number for edit in history] == [1, 2, 3, 4]


async def follow(numbers):
    """Read plan heads in the given order; return the number after each."""
    store = await make_store_with_plan()
    text = BASE
    heads = [store.table.find('plan/head')]
    for comment in ('a', 'b', 'c'):
        changed = change(text, 'dispatch', comment)
        await submit(store, text, changed, 'lin')
        heads.append(store.table.find('plan/head'))
        text = changed
    state = make_state(store=store)
    state.plan_state = type(state.plan_state)()
    follower = PlanFollower(state)
    in_force = []
    for number in numbers:
        rows = {'plan/head': heads[number]}
        await follower.accept(rows, state.clock.elapsed())
        in_force.append(state.plan_state.number)
    return in_force


@given(st.lists(st.integers(0, 3), max_size=8))
def test_plan_number_never_decreases_when_older_heads_are_read(numbers):
    in_force = curio.run(follow, numbers)
    assert in_force == sorted(in_force)
    if numbers:
        assert in_force[-1] == max(numbers) + 1
