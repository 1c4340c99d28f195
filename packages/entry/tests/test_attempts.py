"""Tests of attempts: version labels, resumption, preemption and hedges."""

from datetime import timedelta

import curio
import pytest
from attrs import evolve
from engines import (
    MAX_TOKENS,
    SLOW,
    TRAINER,
    make_engine,
    make_step,
    serve,
)
from hosts import (
    change_pool,
    make_state,
    make_test_router,
)
from sequoia_policy.errors import ServiceError
from sequoia_policy.samples import InvalidAttemptError
from sequoia_standins.trainers import check_sample_tokens
from sequoia_wire.codecs import decode
from sequoia_wire.rows import (
    SampleRecord,
)
from sequoiashed.attempts import (
    AttemptProgress,
    AttemptRunner,
)


async def run_attempt(engines):
    """Run one attempt; return its stored record and its row."""
    state = make_state()
    tasks = await serve(state, engines)
    runner = AttemptRunner(state, make_test_router(state), TRAINER)
    step = make_step()
    (planned,) = step.schedule.start(1, timedelta())
    try:
        finished = await runner.run(step, planned, AttemptProgress())
    finally:
        for task in tasks:
            await task.cancel()
    return decode(finished.body, SampleRecord), finished.row


def test_sample_is_labelled_with_the_generating_version():
    record, row = curio.run(run_attempt, [make_engine(version=7)])
    assert {span.version for span in record.spans} == {7}
    assert row.spans == record.spans
    assert check_sample_tokens(record, MAX_TOKENS)


@pytest.mark.parametrize('version', [3, 1])
def test_swap_in_mid_stream_starts_a_span_even_of_an_older_version(version):
    engine = make_engine(version=2, swap_to=version)
    record, _row = curio.run(run_attempt, [engine])
    assert [span.version for span in record.spans] == [2, version]
    assert check_sample_tokens(record, MAX_TOKENS)


@pytest.mark.parametrize('fault', ['omit_versions', 'skip_tokens'])
def test_gap_or_missing_version_makes_the_attempt_invalid(fault):
    with pytest.raises(InvalidAttemptError):
        curio.run(run_attempt, [make_engine(**{fault: True})])


def test_cut_stream_resumes_at_another_engine_from_its_tokens():
    broken = make_engine('engine-0', version=1, breaks=1)
    other = make_engine('engine-1', version=2)
    record, _row = curio.run(run_attempt, [broken, other])
    assert check_sample_tokens(record, MAX_TOKENS)
    runs = broken.executed + other.executed
    assert sum(run.tokens for run in runs if run.whole) >= len(record.tokens)


async def preempt_for_live_calls(kv_break_even):
    """Preempt a rollout for live calls; return its record and the engines."""
    state = make_state()
    change_pool(state, kv_break_even=kv_break_even)
    engines = [make_engine(f'engine-{n}', traits=SLOW) for n in range(2)]
    tasks = await serve(state, engines)
    router = make_test_router(state)
    runner = AttemptRunner(state, router, TRAINER)
    step = make_step()
    (planned,) = step.schedule.start(1, timedelta())
    tasks.append(await curio.spawn(preempt_soon, state, router, daemon=True))
    finished = await runner.run(step, planned, AttemptProgress())
    for task in tasks:
        await task.cancel()
    return decode(finished.body, SampleRecord), engines


async def preempt_soon(state, router):
    """Report queued live calls once a rollout has some tokens."""
    started = []
    while not started:
        await curio.sleep(0.002)
        started = [
            name
            for name, rollouts in router.preemptor.rollouts.items()
            if rollouts and rollouts[0].last_line
        ]
    busy = evolve(
        state.targets.states[started[0]].report,
        running=1,
        waiting=5,
        origin=state.clock.elapsed(),
    )
    state.targets.accept_report(busy)


@pytest.mark.parametrize(('break_even', 'imports'), [(0, 0), (1, 1)])
def test_preempted_rollout_resumes_at_another_engine(break_even, imports):
    """A break-even of 0 disables the import of the KV cache."""
    record, engines = curio.run(preempt_for_live_calls, break_even)
    assert check_sample_tokens(record, MAX_TOKENS)
    assert all(engine.executed for engine in engines)
    assert sum(engine.caches.imported for engine in engines) == imports
    assert sum(engine.caches.computed for engine in engines) == 1 - imports


def test_hedge_resumes_from_the_tokens_of_the_hedged_attempt():
    """Both attempts give the same sample, at different engines."""

    async def run():
        state = make_state()
        engines = [make_engine(f'engine-{n}') for n in range(2)]
        tasks = await serve(state, engines)
        runner = AttemptRunner(state, make_test_router(state), TRAINER)
        step = make_step()
        (planned,) = step.schedule.start(1, timedelta())
        first = AttemptProgress()
        complete = await runner.run(step, planned, first)
        collected = first.collected
        partial = AttemptProgress(call=first.call)
        partial.collected.append_chunk(0, tuple(collected.tokens[:5]), 1)
        hedged = await runner.run(step, planned, partial.make_hedge())
        for task in tasks:
            await task.cancel()
        records = [
            decode(finished.body, SampleRecord)
            for finished in (complete, hedged)
        ]
        return records, engines

    (complete, hedged), engines = curio.run(run)
    assert complete.tokens == hedged.tokens
    assert hedged.spans == complete.spans
    assert check_sample_tokens(hedged, MAX_TOKENS)
    first_tokens = [
        run.first_token for engine in engines for run in engine.executed
    ]
    assert sorted(first_tokens) == [0, 5]
    assert all(engine.executed for engine in engines)


async def run_without_engines():
    state = make_state()
    router = make_test_router(state)
    runner = AttemptRunner(state, router, TRAINER)
    step = make_step()
    (planned,) = step.schedule.start(1, timedelta())
    with pytest.raises((ServiceError, curio.TaskTimeout)):
        async with curio.timeout_after(0.5):
            await runner.run(step, planned, AttemptProgress())
    return state.store.calls


def test_attempt_without_engines_writes_nothing_to_the_store():
    assert curio.run(run_without_engines) == 0
