"""Tests of accepting edits: races, lost answers, ownership."""

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
    """An operator's request and the answer to it."""

    head: RequestHead
    body: bytes = b''
    sink: ListSink = field(factory=ListSink)

    async def read_body(self):
        return self.body

    async def respond(self, status, body=b'', headers=()):
        await self.sink.start(status, headers)
        await self.sink.send(body)


def make_desk(store):
    state: HostState = make_state(store=store)
    return PlanEditHandler(state, PlanFollower(state))


async def submit(store, before, after, operator='chen', key=None):
    """Return the accepted plan, a conflict's status, or the error."""
    headers = encode_headers(
        {
            'sequoia-operator': operator,
            'authorization': f'Bearer {key or demo_key("operator", operator)}',
        },
    )
    body = encode(PlanSubmission(find_edits(before, after)))
    exchange = FakeExchange(RequestHead('POST', '/plan', headers), body)
    try:
        await make_desk(store).show(exchange)
    except ServiceError as failure:
        return failure
    if exchange.sink.status != 200:
        return exchange.sink.status
    return decode(exchange.sink.body, PlanText)


async def read_history(store):
    exchange = FakeExchange(RequestHead('GET', '/plan/history'))
    await make_desk(store).show_history(exchange)
    return decode(exchange.sink.body, PlanHistory).edits


async def read_text(store):
    exchange = FakeExchange(RequestHead('GET', '/plan'))
    await make_desk(store).show(exchange)
    return decode(exchange.sink.body, PlanText)


def change(text, section, note):
    """Return the text with a comment at the end of a section."""
    parts = split_sections(text)
    parts[section] = f'{parts[section]}# {note}\n'
    return ''.join(parts.values())


async def make_plan():
    store = MemoryStore()
    accepted = await submit(store, '', BASE)
    assert accepted.number == 1
    return store


async def race_of_teams():
    store = await make_plan()
    async with curio.TaskGroup() as group:
        for section, operator in OWNERS.items():
            wanted = change(BASE, section, f'by {operator}')
            await group.spawn(submit, store, BASE, wanted, operator)
    return group.results, await read_text(store), await read_history(store)


def test_teams_that_edit_different_sections_at_once_all_succeed():
    outcomes, newest, history = curio.run(race_of_teams)
    assert sorted(outcome.number for outcome in outcomes) == [2, 3, 4]
    for operator in OWNERS.values():
        assert f'# by {operator}' in newest.text
    assert [edit.number for edit in history] == [1, 2, 3, 4]


async def race_on_one_section():
    store = await make_plan()
    async with curio.TaskGroup() as group:
        for note in ('one', 'two'):
            wanted = change(BASE, 'dispatch', note)
            await group.spawn(submit, store, BASE, wanted, 'lin')
    return group.results, await read_text(store)


def test_of_two_edits_of_one_section_one_gets_a_conflict():
    outcomes, newest = curio.run(race_on_one_section)
    assert 409 in outcomes
    assert newest.number == 2
    assert ('# one' in newest.text) != ('# two' in newest.text)


async def submit_to_base(after, operator='chen', key=None):
    store = await make_plan()
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
def test_what_may_not_be_is_refused_before_it_counts(
    after, operator, key, code
):
    outcome, newest = curio.run(submit_to_base, after, operator, key)
    assert outcome.code is code
    assert newest == PlanText(1, BASE)


async def submit_with_faults(faults):
    """Each team edits once; an editor that got no answer tries again."""
    store = await make_plan()
    store.faults = deque(faults)
    for section, operator in OWNERS.items():
        current = BASE
        for _ in range(30):
            wanted = change(BASE, section, 'mine')
            outcome = await submit(store, current, wanted, operator)
            if isinstance(outcome, PlanText):
                break
            assert isinstance(outcome, ServiceError)
            assert outcome.code is Code.STORE_UNAVAILABLE
    store.faults.clear()
    return await read_text(store), await read_history(store)


@given(st.lists(st.sampled_from(['ok', 'before', 'after']), max_size=20))
def test_lost_answers_never_apply_an_edit_twice(faults):
    newest, history = curio.run(submit_with_faults, faults)
    assert newest.text.count('# mine') == 3
    assert newest.number == 4
    assert [edit.number for edit in history] == [1, 2, 3, 4]


async def follow(numbers):
    """A host reads heads in any order, some of them old."""
    store = await make_plan()
    text = BASE
    heads = [store.table.find('plan/head')]
    for note in ('a', 'b', 'c'):
        wanted = change(text, 'dispatch', note)
        await submit(store, text, wanted, 'lin')
        heads.append(store.table.find('plan/head'))
        text = wanted
    state = make_state(store=store)
    state.plan_state = type(state.plan_state)()
    follower = PlanFollower(state)
    seen = []
    for number in numbers:
        rows = {'plan/head': heads[number]}
        await follower.accept(rows, state.clock.elapsed())
        seen.append(state.plan_state.number)
    return seen


@given(st.lists(st.integers(0, 3), max_size=8))
def test_a_host_never_goes_back_to_an_older_plan(numbers):
    seen = curio.run(follow, numbers)
    assert seen == sorted(seen)
    if numbers:
        assert seen[-1] == max(numbers) + 1
