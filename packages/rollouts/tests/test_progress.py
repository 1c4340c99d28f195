"""Tests of saving generated text and of resuming it on another host."""

from datetime import timedelta

import curio
import pytest
from attrs import evolve
from engine_standin import SERVICE
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.submissions import Item, Submission
from sequoia_rollouts.storage.batches import MAX_BYTES
from sequoia_rollouts.streaming.generations import GeneratedEvent, Generation
from sequoia_rollouts.submissions.progress import (
    ProgressSaver,
    SavedEvents,
    restore_generations,
)
from sequoia_rollouts.storage.stores import ABSENT, Row, RowKey
from sequoia_rollouts.storage.tables import MAX_ROW_BYTES
from sequoia_wire.codecs import encode
from sites import open_site, wait_until

ITEM = Item('item0', '/x')
SUBMISSION = Submission('lot1', 'host', '/x', (ITEM,))


def make_events(count, version=1, size=4):
    return [
        GeneratedEvent(str(number), f'{number}'.rjust(size, '.'), version)
        for number in range(1, count + 1)
    ]


def add_events(generation, count):
    known = len(generation.events)
    generation.events.extend(make_events(known + count)[known:])


class MemoryRows:
    """Store stand-in that keeps committed rows in byte order of their keys."""

    def __init__(self):
        self.rows = {}
        self.commits = 0
        self.transaction_bytes = []

    async def commit(self, transaction):
        self.commits += 1
        self.transaction_bytes.append(
            sum(len(write.body) for write in transaction.writes)
        )
        for write in transaction.writes:
            self.rows[write.key.key] = write.body
        return self.commits

    def list(self):
        return [
            Row(RowKey('progress', '', key), 1, self.rows[key])
            for key in sorted(self.rows)
        ]


def make_saver(store, generation):
    return ProgressSaver(
        store,
        SUBMISSION,
        lambda: ABSENT,
        {'item0': generation},
    )


def restore(store):
    return restore_generations(SUBMISSION, store.list()).get('item0')


async def kill_owner(site, seconds):
    """Kill the owner of a submission after ``seconds``; return another host."""
    owner, other = await site.find_owner()
    await curio.sleep(seconds)
    await site.kill(owner)
    return other


def test_other_host_resumes_from_saved_events():
    async def main():
        async with open_site(hosts=2, engines=1, pace=0.1, words=30) as site:
            await site.submit(site.hosts[0], count=1)
            other = await kill_owner(site, 1.8)
            results = await site.read_all_results(other)
            return results, site.engines[0].runs

    results, runs = curio.run(main)
    assert results[0]['text'] == '\n'.join(
        f'item0-{number}' for number in range(1, 31)
    )
    assert [number for _item, number in runs][0] == 1
    # About 18 events are generated; those of the last half second may be
    # unsaved.
    assert runs[1][1] > 9


def test_text_is_resumed_after_all_hosts_were_killed():
    async def main():
        async with open_site(hosts=1, engines=1, pace=0.1, words=25) as site:
            host = site.hosts[0]
            await site.submit(host, count=1)
            await wait_until(lambda: site.engines[0].runs)
            await curio.sleep(1.5)
            await site.kill(host)
            restarted = await site.start_host('h2')
            return await site.read_all_results(restarted), site.engines[0].runs

    results, runs = curio.run(main)
    assert len(results[0]['text'].split('\n')) == 25
    assert runs[1][1] > 6


def test_versions_of_saved_events_are_restored():
    async def main():
        async with open_site(hosts=2, engines=1, pace=0.1, words=30) as site:
            await site.submit(site.hosts[0], count=1)
            other = await kill_owner(site, 1.5)
            site.engines[0].version = 2
            return await site.read_all_results(other)

    assert curio.run(main)[0]['versions'] == [1, 2]


def leave(site, engine):
    site.store.put('servers', engine.name, engine.entry('draining'))


async def find_first_run(site):
    """Return the engine that runs the first item, and the other one."""
    await wait_until(lambda: any(engine.runs for engine in site.engines))
    return sorted(site.engines, key=lambda engine: not engine.runs)


def set_releases(site, *releases):
    for engine, release in zip(site.engines, releases, strict=True):
        engine.release = release
    site.publish()


async def wait_for_releases(site, *releases):
    """Register engines of these releases and wait until the host knows them."""
    set_releases(site, *releases)
    registry = site.hosts[0].directory.registry
    await wait_until(
        lambda: (
            sorted(
                target.registration.release for target in registry.find(SERVICE)
            )
            == sorted(releases)
        )
    )


@pytest.mark.parametrize(
    ('releases', 'first_events'),
    [(('v1', 'v1'), [1, 3]), (('v1', 'v2'), [1, 1])],
)
def test_text_goes_on_at_its_release_or_begins_anew(releases, first_events):
    """Texts held events of engines of two releases."""

    async def main():
        async with open_site(pace=0.1, words=4) as site:
            await wait_for_releases(site, *releases)
            for engine in site.engines:
                engine.break_after = 2
            await site.submit(site.hosts[0], count=1)
            first, other = await find_first_run(site)
            other.break_after = 0
            leave(site, first)
            results = await site.read_all_results(site.hosts[0])
            return results, [*first.runs, *other.runs]

    results, runs = curio.run(main)
    assert results[0]['text'] == '\n'.join(
        f'item0-{number}' for number in range(1, 5)
    )
    assert [first for _item, first in runs] == first_events


def test_saved_rows_are_removed_with_their_submission():
    async def main():
        async with open_site(engines=1, pace=0.1, words=12) as site:
            host = site.hosts[0]
            await site.submit(host, count=1)
            await site.read_all_results(host)
            stored = len(site.store.find('progress'))
            await site.call(host, 'DELETE', '/v1/lots/lot1')
            owned = host.ownership.submissions['lot1']
            earlier = owned.ownership.accepted - timedelta(seconds=200)
            host.ownership.submissions['lot1'] = evolve(
                owned,
                ownership=evolve(owned.ownership, accepted=earlier),
            )
            await host.upkeep.sweeper.sweep()
            return stored, len(site.store.find('progress'))

    stored, remaining = curio.run(main)
    assert stored
    assert not remaining


@given(st.lists(st.integers(1, 9), max_size=12), st.integers(0, 11))
def test_any_prefix_of_the_saves_restores_a_prefix_of_the_text(steps, cut):
    generation = Generation(ITEM)
    store = MemoryRows()
    saver = make_saver(store, generation)

    async def main():
        for step in steps:
            add_events(generation, step)
            await saver.save()

    curio.run(main)
    for key in sorted(store.rows)[cut:]:
        store.rows.pop(key)
    restored = restore(store)
    events = restored.events if restored else []
    assert events == generation.events[: len(events)]
    if cut >= len(steps):
        assert events == generation.events


def test_missing_row_ends_restored_text_before_it():
    generation = Generation(ITEM)
    store = MemoryRows()
    saver = make_saver(store, generation)

    async def main():
        for count in (3, 3, 3):
            add_events(generation, count)
            await saver.save()

    curio.run(main)
    store.rows.pop(sorted(store.rows)[1])
    assert len(restore(store).events) == 3


def test_restarted_text_replaces_earlier_text():
    generation = Generation(ITEM)
    store = MemoryRows()
    saver = make_saver(store, generation)

    async def main():
        generation.events.extend(make_events(5))
        await saver.save()
        generation.restart()
        generation.events.extend(make_events(2, version=2))
        await saver.save()

    curio.run(main)
    restored = restore(store)
    assert restored.events == make_events(2, version=2)
    assert restored.versions == {2}


def test_long_text_is_split_over_rows_of_limited_size():
    generation = Generation(ITEM, make_events(30, size=5000))
    store = MemoryRows()
    saver = make_saver(store, generation)
    curio.run(saver.save)
    assert max(len(body) for body in store.rows.values()) <= MAX_ROW_BYTES
    assert restore(store).events == generation.events


@pytest.mark.parametrize('character', ['a', '"', '\n', '\x00', '字', '🌧'])
def test_rows_and_transactions_fit_whatever_the_text_is(character):
    texts = [character * 1000] * 300
    events = [
        GeneratedEvent(str(number), text, 1)
        for number, text in enumerate(texts, start=1)
    ]
    store = MemoryRows()
    curio.run(make_saver(store, Generation(ITEM, events)).save)
    assert max(len(body) for body in store.rows.values()) <= MAX_ROW_BYTES
    assert max(store.transaction_bytes) <= MAX_BYTES
    assert restore(store).events == events


def test_event_that_fits_into_no_row_keeps_no_other_item_from_being_saved():
    huge = GeneratedEvent('2', 'x' * 100_000, 1)
    first, last = make_events(3)[::2]
    generation = Generation(ITEM, [first, huge, last])
    other = Generation(Item('item1', '/x'), make_events(4))
    store = MemoryRows()
    saver = make_saver(store, generation)
    saver.generations['item1'] = other
    curio.run(saver.save)
    submission = evolve(SUBMISSION, items=(ITEM, other.item))
    restored = restore_generations(submission, store.list())
    assert restored['item0'].events == [first]
    assert restored['item1'].events == other.events


def test_save_without_new_events_writes_nothing():
    generation = Generation(ITEM, make_events(3))
    store = MemoryRows()
    saver = make_saver(store, generation)
    curio.run(saver.save)
    curio.run(saver.save)
    assert store.commits == 1


def test_release_of_saved_events_is_restored():
    store = MemoryRows()
    generation = Generation(ITEM, make_events(2), release='v1')
    curio.run(make_saver(store, generation).save)
    assert restore(store).release == 'v1'


def test_text_of_an_unknown_release_begins_anew():
    """Rows of an earlier version of the service name no release."""

    async def main():
        async with open_site() as site:
            host = site.hosts[0]
            await site.submit(host, count=1)
            await wait_until(lambda: host.submission_handler.runners)
            (runner,) = host.submission_handler.runners.values()
            item = runner.submission.items[0]
            generation = Generation(item, make_events(2))
            runner.generations[item.id] = generation
            return runner.releases.find(item), generation.events

    assert curio.run(main) == ('', [])


def test_undecodable_and_unknown_rows_are_ignored():
    store = MemoryRows()
    piece = SavedEvents('item0', 0, 0, tuple(make_events(2)))
    store.rows['lot1/item0/0000/000000'] = encode(piece)
    store.rows['lot1/item0/0000/000002'] = b'\xff'
    store.rows['lot1/other/0000/000000'] = encode(evolve(piece, item='other'))
    assert restore(store).events == make_events(2)
