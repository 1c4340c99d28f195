"""Tests of the store client against the stand-in, with lost responses."""

import random

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.verdicts import Verdict
from sequoia_standins.ports import find_free_address
from sequoia_standins.stores import StoreFaults, StoreStandin
from sequoia_wire.messages import Address
from sequoia_wire.platform_messages import (
    ABSENT,
    RowWrite,
    TableQuery,
)
from sequoia_wire.servers import HttpServer
from sequoia_wire.stores import HttpStore


async def with_store(work, standin):
    """Run ``work(store)`` with a client of the stand-in."""
    server = HttpServer(Address('127.0.0.1', 0), standin.handle)
    server.open()
    task = await curio.spawn(server.run, daemon=True)
    outcome = await work(HttpStore(server.address))
    await task.cancel()
    return outcome


async def insert_once(store):
    first = await store.commit(RowWrite('key', ABSENT, 'one'))
    second = await store.commit(RowWrite('key', ABSENT, 'two'))
    rows = await store.read(TableQuery(('key',)))
    return first.committed, second.committed, rows['key'].body


def test_second_insert_of_a_row_is_not_committed():
    outcome = curio.run(with_store, insert_once, StoreStandin())
    assert outcome == (True, False, 'one')


@pytest.mark.parametrize('seed', range(6))
def test_commit_with_lost_responses_is_committed_or_may_have_run(seed):
    faults = StoreFaults(lose_answers=0.5)
    standin = StoreStandin(rng=random.Random(seed), faults=faults)

    async def count(store):
        committed = 0
        for number in range(8):
            try:
                write = RowWrite(f'key-{number}', ABSENT, 'one')
                result = await store.commit(write)
            except ServiceError as failure:
                assert failure.verdict is Verdict.MAY_HAVE_RUN
                continue
            committed += result.committed
            assert result.committed
        return committed

    assert curio.run(with_store, count, standin) >= 4


async def remove_changed(store):
    """Remove a row at an old revision, at its current one, and once more."""
    first = await store.commit(RowWrite('key', ABSENT, 'one'))
    old = first.rows[0].revision
    await store.commit(RowWrite('key', old, 'two'))
    changed = await store.commit(RowWrite('key', old, None))
    rows = await store.read(TableQuery(('key',)))
    current = rows['key'].revision
    removed = await store.commit(RowWrite('key', current, None))
    again = await store.commit(RowWrite('key', current, None))
    return changed.committed, removed.committed, again.committed


def test_row_is_removed_only_at_the_expected_revision():
    outcome = curio.run(with_store, remove_changed, StoreStandin())
    assert outcome == (False, True, True)


async def commit_to_unreachable_store(store):
    with pytest.raises(ServiceError) as failure:
        await store.commit(RowWrite('key', ABSENT, 'one'))
    return failure.value


def test_commit_to_an_unreachable_store_gives_not_run():
    store = HttpStore(find_free_address())
    failure = curio.run(commit_to_unreachable_store, store)
    assert failure.code is Code.STORE_UNAVAILABLE
    assert failure.verdict is Verdict.NOT_RUN


@given(
    st.lists(
        st.tuples(st.sampled_from('abc'), st.integers(0, 3), st.booleans()),
        max_size=20,
    ),
)
def test_transaction_is_atomic(writes):
    """Both rows of each pair are always written together, so they stay equal."""
    standin = StoreStandin()

    async def write_pairs(store):
        for key, revisions_behind, removes in writes:
            rows = await store.read(TableQuery((f'{key}/1', f'{key}/2')))
            expected = [
                max(0, rows[name].revision - revisions_behind)
                if name in rows
                else ABSENT
                for name in (f'{key}/1', f'{key}/2')
            ]
            body = None if removes else f'{revisions_behind}'
            await store.commit(
                RowWrite(f'{key}/1', expected[0], body),
                RowWrite(f'{key}/2', expected[1], body),
            )
            rows = await store.read(TableQuery((f'{key}/1', f'{key}/2')))
            bodies = {row.body for row in rows.values()}
            assert len(rows) in {0, 2}
            assert len(bodies) <= 1

    curio.run(with_store, write_pairs, standin)
