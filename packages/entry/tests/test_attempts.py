"""Tests of attempts: true labels, resumption, moves, hedges."""

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
    AttemptRunner,
    AttemptTrack,
)


async def run_attempt(engines):
    """Run one attempt; return its record as stored, and the engines."""
    state = make_state()
    tasks = await serve(state, engines)
    runner = AttemptRunner(state, make_test_router(state), TRAINER)
    step = make_step()
    (start,) = step.schedule.start(1, timedelta())
    try:
        finished = await runner.run(step, start, AttemptTrack())
    finally:
        for task in tasks:
            await task.cancel()
    return decode(finished.body, SampleRecord), finished.row


def test_a_sample_names_the_version_that_made_it():
    record, row = curio.run(run_attempt, [make_engine(version=7)])
    assert {span.version for span in record.spans} == {7}
    assert row.spans == record.spans
    assert check_sample_tokens(record, MAX_TOKENS)


@pytest.mark.parametrize('version', [3, 1])
def test_a_swap_in_mid_stream_is_named_also_to_an_older_version(version):
    engine = make_engine(version=2, swap_to=version)
    record, _row = curio.run(run_attempt, [engine])
    assert [span.version for span in record.spans] == [2, version]
    assert check_sample_tokens(record, MAX_TOKENS)


@pytest.mark.parametrize('fault', ['omit_versions', 'skip_tokens'])
def test_a_gap_or_a_missing_version_voids_the_attempt(fault):
    with pytest.raises(InvalidAttemptError):
        curio.run(run_attempt, [make_engine(**{fault: True})])


def test_a_broken_stream_goes_on_elsewhere_with_the_tokens_kept():
    broken = make_engine('engine-0', version=1, breaks=1)
    other = make_engine('engine-1', version=2)
    record, _row = curio.run(run_attempt, [broken, other])
    assert check_sample_tokens(record, MAX_TOKENS)
    made = broken.executed + other.executed
    assert sum(run.tokens for run in made if run.whole) >= len(record.tokens)


async def stop_for_live_calls(kv_break_even):
    """Live calls wait at the engine of a rollout; it goes on elsewhere."""
    state = make_state()
    change_pool(state, kv_break_even=kv_break_even)
    engines = [make_engine(f'engine-{n}', traits=SLOW) for n in range(2)]
    tasks = await serve(state, engines)
    router = make_test_router(state)
    runner = AttemptRunner(state, router, TRAINER)
    step = make_step()
    (start,) = step.schedule.start(1, timedelta())
    tasks.append(await curio.spawn(preempt_soon, state, router, daemon=True))
    finished = await runner.run(step, start, AttemptTrack())
    for task in tasks:
        await task.cancel()
    return decode(finished.body, SampleRecord), engines


async def preempt_soon(state, router):
    """Report waiting calls once a rollout has some tokens."""
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
def test_a_rollout_that_stops_for_live_calls_goes_on(break_even, imports):
    """The next engine imports the KV cache if the plan says so."""
    record, engines = curio.run(stop_for_live_calls, break_even)
    assert check_sample_tokens(record, MAX_TOKENS)
    assert all(engine.executed for engine in engines)
    assert sum(engine.caches.imported for engine in engines) == imports
    assert sum(engine.caches.computed for engine in engines) == 1 - imports


def test_a_hedge_goes_on_from_the_tokens_of_the_other_attempt():
    """Both give the same sample, at another engine."""

    async def run():
        state = make_state()
        engines = [make_engine(f'engine-{n}') for n in range(2)]
        tasks = await serve(state, engines)
        runner = AttemptRunner(state, make_test_router(state), TRAINER)
        step = make_step()
        (start,) = step.schedule.start(1, timedelta())
        first = AttemptTrack()
        whole = await runner.run(step, start, first)
        made = first.collected
        half = AttemptTrack(call=first.call)
        half.collected.append_chunk(0, tuple(made.tokens[:5]), 1)
        hedged = await runner.run(step, start, half.make_hedge())
        for task in tasks:
            await task.cancel()
        records = [decode(one.body, SampleRecord) for one in (whole, hedged)]
        return records, engines

    (whole, hedged), engines = curio.run(run)
    assert whole.tokens == hedged.tokens
    assert hedged.spans == whole.spans
    assert check_sample_tokens(hedged, MAX_TOKENS)
    first_tokens = [run.first_token for one in engines for run in one.executed]
    assert sorted(first_tokens) == [0, 5]
    assert all(engine.executed for engine in engines)


async def run_without_engines():
    state = make_state()
    router = make_test_router(state)
    runner = AttemptRunner(state, router, TRAINER)
    step = make_step()
    (start,) = step.schedule.start(1, timedelta())
    with pytest.raises((ServiceError, curio.TaskTimeout)):
        async with curio.timeout_after(0.5):
            await runner.run(step, start, AttemptTrack())
    return state.store.calls


def test_without_engines_nothing_is_stored():
    assert curio.run(run_without_engines) == 0
