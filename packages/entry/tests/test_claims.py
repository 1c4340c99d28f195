"""Tests of idempotency keys: at most one run across hosts and faults."""

from collections import deque
from datetime import timedelta

import curio
import pytest
from attrs import define, evolve, field
from hosts import BALI, ListSink, make_call, make_state
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.clocks import ManualClock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.placements import Placement
from sequoia_policy.plans import StoreAway
from sequoia_policy.verdicts import Verdict
from sequoia_standins.fakes import MemoryStore
from sequoia_wire.messages import RequestHead, encode_headers
from sequoia_wire.platform_messages import RowWrite
from sequoiashed.calls import CallerDisconnectedError
from sequoiashed.claims import (
    LARGEST_KEPT_ANSWER,
    ClaimFilter,
    KeepingSink,
    KnownAnswerFilter,
)
from sequoiashed.live import LiveCall
from sequoiashed.sweepers import ClaimSweeper

KEY = 'key-1'


@define
class FakeExchange:
    """A request with a key, and the answer to it."""

    head: RequestHead
    sink: ListSink = field(factory=ListSink)

    async def respond(self, status, body=b'', headers=()):
        await self.sink.start(status, headers)
        await self.sink.send(body)


def make_live(state, body=b'body', key=KEY):
    service = state.plan.services['dispatch-app']
    head = RequestHead(
        'POST',
        '/v1/services/dispatch-app',
        encode_headers({'idempotency-key': key}),
    )
    exchange = FakeExchange(head)
    live = LiveCall(
        exchange,
        'request',
        'chief-app',
        state.plan.callers['chief-app'],
        'dispatch-app',
        service,
        timedelta(seconds=9),
        exchange.sink,
        Placement('village-report', frozenset((BALI,))),
        body,
    )
    live.routed = make_call(state, body=body)
    return live


@define
class Runs:
    """Stands for router and target: counts runs, ends as told."""

    ends: deque = field(factory=deque)
    runs: int = 0

    async def proceed(self, live):
        end = self.ends.popleft() if self.ends else 'answered'
        if end == 'not-run':
            raise ServiceError(Code.NO_TARGET)
        self.runs += 1
        await curio.sleep(0)
        if end == 'lost':
            raise ServiceError(Code.TARGET_BROKE)
        await live.sink.start(200)
        await live.sink.send(b'booked')
        await live.sink.finish()


async def call_once(state, runs, live=None):
    """Return the answer's body, or the error."""
    live = live or make_live(state)
    claims = ClaimFilter(state, ClaimSweeper(state))

    async def claim(passed):
        await claims.handle(passed, runs.proceed)

    try:
        await KnownAnswerFilter().handle(live, claim)
    except ServiceError as failure:
        return failure
    return live.exchange.sink.body


def make_hosts(count, store):
    return [make_state(f'entry-{n}', store=store) for n in range(count)]


async def retry_elsewhere():
    first, second = make_hosts(2, MemoryStore())
    runs = Runs()
    return await call_once(first, runs), await call_once(second, runs), runs


def test_a_retry_at_another_host_gets_the_known_answer():
    first, second, runs = curio.run(retry_elsewhere)
    assert first == second == b'booked'
    assert runs.runs == 1


async def race(count):
    runs = Runs()
    async with curio.TaskGroup() as group:
        for state in make_hosts(count, MemoryStore()):
            await group.spawn(call_once, state, runs)
    return group.results, runs


def test_of_hosts_at_once_one_runs_the_call():
    outcomes, runs = curio.run(race, 5)
    assert runs.runs == 1
    for outcome in outcomes:
        if outcome != b'booked':
            assert outcome.code is Code.CLAIM_HELD
            assert outcome.verdict is Verdict.MAY_HAVE_RUN


async def run_script(faults, ends):
    """Retry one key at three hosts while store and target fail."""
    store = MemoryStore(faults=deque(faults))
    runs = Runs(deque(ends))
    outcomes = []
    for state in make_hosts(3, store):
        before = runs.runs
        outcome = await call_once(state, runs)
        outcomes.append((outcome, runs.runs - before))
    return outcomes, runs


@given(
    st.lists(st.sampled_from(['ok', 'ok', 'before', 'after']), max_size=8),
    st.lists(st.sampled_from(['answered', 'lost', 'not-run']), max_size=3),
)
def test_at_most_one_run_whatever_fails(faults, ends):
    outcomes, runs = curio.run(run_script, faults, ends)
    assert runs.runs <= 1
    ran_before = 0
    for outcome, ran in outcomes:
        ran_before += ran
        if isinstance(outcome, ServiceError):
            if outcome.verdict is Verdict.NOT_RUN:
                assert not ran
        else:
            assert ran_before == 1


async def call_with_setting(store_away):
    store = MemoryStore(faults=deque(['before'] * 9))
    state = make_state(store=store)
    live = make_live(state)
    live.service = evolve(live.service, store_away=store_away)
    runs = Runs()
    return await call_once(state, runs, live), runs, live


def test_without_the_store_a_keyed_call_is_refused_by_default():
    outcome, runs, _live = curio.run(call_with_setting, StoreAway.REFUSE)
    assert outcome.code is Code.CLAIM_UNAVAILABLE
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.retry_after
    assert not runs.runs


def test_without_the_store_a_service_may_choose_to_send_once():
    outcome, runs, live = curio.run(call_with_setting, StoreAway.SEND_ONCE)
    assert outcome == b'booked'
    assert runs.runs == 1
    assert live.call.max_attempts == 1


async def leave_and_ask_again():
    """The caller leaves before the answer and asks another host."""
    first, second = make_hosts(2, MemoryStore())
    runs = Runs()
    left = make_live(first)
    left.exchange.sink.fails = True
    with pytest.raises(CallerDisconnectedError):
        await call_once(first, runs, left)
    return await call_once(second, runs), runs


def test_a_caller_that_left_gets_the_answer_when_it_asks_again():
    outcome, runs = curio.run(leave_and_ask_again)
    assert outcome == b'booked'
    assert runs.runs == 1


async def reuse_key():
    state = make_state()
    runs = Runs()
    await call_once(state, runs)
    other = make_live(state, body=b'other')
    return await call_once(state, runs, other), runs


def test_a_key_with_another_body_is_refused():
    outcome, runs = curio.run(reuse_key)
    assert outcome.code is Code.KEY_REUSED
    assert runs.runs == 1


async def flood(count):
    state = make_state()
    claims = ClaimFilter(state, ClaimSweeper(state))
    refused = 0
    for number in range(count):
        live = make_live(state, key=f'key-{number}')
        try:
            await claims.handle(live, Runs().proceed)
        except ServiceError as failure:
            assert failure.code is Code.CLAIM_BUDGET
            assert failure.verdict is Verdict.NOT_RUN
            refused += 1
    return refused


def test_claims_keep_to_the_budget_of_writes():
    assert curio.run(flood, 60) >= 30


@pytest.mark.parametrize('end', ['lost', 'answered'])
def test_what_may_have_run_is_never_claimed_again(end):
    outcomes, runs = curio.run(run_script, [], [end, 'answered', 'answered'])
    assert runs.runs == 1
    assert len(outcomes) == 3


async def sweep(count, faults, changed):
    """Finish calls, let their horizon pass, sweep; return the rows left."""
    clock = ManualClock()
    store = MemoryStore()
    state = make_state(store=store, clock=clock)
    sweeper = ClaimSweeper(state)
    claims = ClaimFilter(state, sweeper)
    for number in range(count):
        live = make_live(state, key=f'key-{number}')
        await claims.handle(live, Runs().proceed)
        clock.advance(timedelta(seconds=1))
    for key in changed:
        row = store.table.find(f'claim/dispatch-app/chief-app/{key}')
        await store.commit(RowWrite(row.key, row.revision, row.body))
    await sweeper.sweep()
    assert len(store.table.rows) == count
    clock.advance(timedelta(hours=1))
    store.faults = deque(faults)
    await sweeper.sweep()
    store.faults.clear()
    await sweeper.sweep()
    return len(store.table.rows), len(sweeper.rows)


@pytest.mark.parametrize('faults', [[], ['before'], ['after'] * 3])
def test_finished_claims_are_removed_after_their_horizon(faults):
    assert curio.run(sweep, 70, faults, []) == (0, 0)


def test_a_claim_that_was_written_again_is_not_removed():
    assert curio.run(sweep, 5, [], ['key-3']) == (1, 0)


def keep_answer(*chunks):
    """Return what a claim keeps of an answer that comes in chunks."""
    keeping = KeepingSink(ListSink())

    async def main():
        await keeping.start(200)
        for chunk in chunks:
            await keeping.send(chunk)
        await keeping.finish()

    curio.run(main)
    return keeping.kept


def test_an_answer_is_kept_whole_or_not_at_all():
    assert keep_answer(b'book', b'ed') == 'booked'
    large = b'x' * LARGEST_KEPT_ANSWER
    assert keep_answer(b'a', large, b'z') is None


def test_an_answer_that_is_no_text_is_not_kept_as_other_bytes():
    assert keep_answer(b'\xff\xfe') is None
