"""Tests that a call with an idempotency key runs at most once."""

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
    MAX_STORED_RESPONSE,
    ClaimFilter,
    RecordingSink,
    ReplayFilter,
)
from sequoiashed.live import LiveCall
from sequoiashed.sweepers import ClaimSweeper

KEY = 'key-1'


@define
class FakeExchange:
    """A request with an idempotency key, and the response to it."""

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
class FakeRouter:
    """Replaces router and target: counts runs with scripted outcomes."""

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


async def call_once(state, router, live=None):
    """Return the response body, or the error."""
    live = live or make_live(state)
    claims = ClaimFilter(state, ClaimSweeper(state))

    async def claim(passed):
        await claims.handle(passed, router.proceed)

    try:
        await ReplayFilter().handle(live, claim)
    except ServiceError as error:
        return error
    return live.exchange.sink.body


def make_hosts(count, store):
    return [make_state(f'entry-{n}', store=store) for n in range(count)]


async def retry_elsewhere():
    first, second = make_hosts(2, MemoryStore())
    router = FakeRouter()
    return (
        await call_once(first, router),
        await call_once(second, router),
        router,
    )


def test_retry_at_another_host_gets_the_stored_response():
    first, second, router = curio.run(retry_elsewhere)
    assert first == second == b'booked'
    assert router.runs == 1


async def call_concurrently(count):
    router = FakeRouter()
    async with curio.TaskGroup() as group:
        for state in make_hosts(count, MemoryStore()):
            await group.spawn(call_once, state, router)
    return group.results, router


def test_concurrent_calls_at_several_hosts_run_once():
    outcomes, router = curio.run(call_concurrently, 5)
    assert router.runs == 1
    for outcome in outcomes:
        if outcome != b'booked':
            assert outcome.code is Code.CLAIM_HELD
            assert outcome.verdict is Verdict.MAY_HAVE_RUN


async def run_script(faults, ends):
    """Retry one key at three hosts with faults of store and target."""
    store = MemoryStore(faults=deque(faults))
    router = FakeRouter(deque(ends))
    outcomes = []
    for state in make_hosts(3, store):
        before = router.runs
        outcome = await call_once(state, router)
        outcomes.append((outcome, router.runs - before))
    return outcomes, router


@given(
    st.lists(st.sampled_from(['ok', 'ok', 'before', 'after']), max_size=8),
    st.lists(st.sampled_from(['answered', 'lost', 'not-run']), max_size=3),
)
def test_call_runs_at_most_once_under_any_faults(faults, ends):
    outcomes, router = curio.run(run_script, faults, ends)
    assert router.runs <= 1
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
    router = FakeRouter()
    return await call_once(state, router, live), router, live


def test_keyed_call_is_refused_while_the_store_is_unavailable():
    outcome, router, _live = curio.run(call_with_setting, StoreAway.REFUSE)
    assert outcome.code is Code.CLAIM_UNAVAILABLE
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.retry_after
    assert not router.runs


def test_send_once_service_sends_once_while_the_store_is_unavailable():
    outcome, router, live = curio.run(call_with_setting, StoreAway.SEND_ONCE)
    assert outcome == b'booked'
    assert router.runs == 1
    assert live.call.max_attempts == 1


async def disconnect_and_retry():
    """Disconnect before the response, then retry at another host."""
    first, second = make_hosts(2, MemoryStore())
    router = FakeRouter()
    disconnected = make_live(first)
    disconnected.exchange.sink.fails = True
    with pytest.raises(CallerDisconnectedError):
        await call_once(first, router, disconnected)
    return await call_once(second, router), router


def test_retry_after_a_disconnect_gets_the_stored_response():
    outcome, router = curio.run(disconnect_and_retry)
    assert outcome == b'booked'
    assert router.runs == 1


async def reuse_key():
    state = make_state()
    router = FakeRouter()
    await call_once(state, router)
    other = make_live(state, body=b'other')
    return await call_once(state, router, other), router


def test_key_reused_with_another_body_is_refused():
    outcome, router = curio.run(reuse_key)
    assert outcome.code is Code.KEY_REUSED
    assert router.runs == 1


async def count_refused_claims(count):
    state = make_state()
    claims = ClaimFilter(state, ClaimSweeper(state))
    refused = 0
    for number in range(count):
        live = make_live(state, key=f'key-{number}')
        try:
            await claims.handle(live, FakeRouter().proceed)
        except ServiceError as error:
            assert error.code is Code.CLAIM_BUDGET
            assert error.verdict is Verdict.NOT_RUN
            refused += 1
    return refused


def test_claims_above_the_rate_limit_are_refused():
    assert curio.run(count_refused_claims, 60) >= 30


@pytest.mark.parametrize('end', ['lost', 'answered'])
def test_call_that_may_have_run_is_not_claimed_again(end):
    outcomes, router = curio.run(run_script, [], [end, 'answered', 'answered'])
    assert router.runs == 1
    assert len(outcomes) == 3


async def sweep(count, faults, changed):
    """Finish calls and sweep after their horizon; return the rows left.

    Rows of the keys in ``changed`` are written again before the sweep.
    """
    clock = ManualClock()
    store = MemoryStore()
    state = make_state(store=store, clock=clock)
    sweeper = ClaimSweeper(state)
    claims = ClaimFilter(state, sweeper)
    for number in range(count):
        live = make_live(state, key=f'key-{number}')
        await claims.handle(live, FakeRouter().proceed)
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


def test_claim_that_was_written_again_is_not_removed():
    assert curio.run(sweep, 5, [], ['key-3']) == (1, 0)


def record_response(*chunks):
    """Return what is recorded of a response that arrives in chunks."""
    recorder = RecordingSink(ListSink())

    async def main():
        await recorder.start(200)
        for chunk in chunks:
            await recorder.send(chunk)
        await recorder.finish()

    curio.run(main)
    return recorder.text


def test_response_is_recorded_completely_or_not_at_all():
    assert record_response(b'book', b'ed') == 'booked'
    large = b'x' * MAX_STORED_RESPONSE
    assert record_response(b'a', large, b'z') is None


def test_response_that_is_not_utf8_is_not_recorded():
    """Decoding it with replacements would replay other bytes."""
    assert record_response(b'\xff\xfe') is None
