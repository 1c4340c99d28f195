"""Tests of supervised tasks, of row removal and of the rate of table reads."""

from datetime import timedelta

import curio
from attrs import evolve
from sequoia_rollouts.base.supervisors import supervise
from sites import open_site, wait_until


def test_supervised_task_is_restarted_after_unexpected_error():
    runs = []

    async def work():
        runs.append(len(runs))
        if len(runs) < 3:
            raise KeyError('unexpected')
        await curio.sleep(10)

    async def main():
        async with curio.ignore_after(2):
            await supervise(work)

    curio.run(main)
    assert runs == [0, 1, 2]


def test_ended_submission_is_removed_after_retention():
    async def main():
        async with open_site() as site:
            host = site.hosts[0]
            await site.submit(host)
            await site.read_all_results(host)
            await site.call(host, 'DELETE', '/v1/lots/lot1')
            await host.upkeep.sweeper.sweep()
            stored = len(site.store.find('results'))
            owned = host.ownership.submissions['lot1']
            earlier = owned.ownership.accepted - timedelta(seconds=200)
            host.ownership.submissions['lot1'] = evolve(
                owned,
                ownership=evolve(owned.ownership, accepted=earlier),
            )
            await host.upkeep.sweeper.sweep()
            response = await site.call(host, 'GET', '/v1/lots/lot1')
            rows = [
                key
                for table in ('results', 'specifications', 'ownership')
                for key in site.store.find(table)
                if 'lot1' in key
            ]
            return stored, response.status, rows

    stored, status, rows = curio.run(main)
    assert stored == 6
    assert status == 404
    assert rows == []


def test_constantly_changing_table_is_read_at_limited_rate():
    """Engines write their entries each second, and each change ends a read."""

    async def main():
        async with open_site(engines=1) as site:
            host = site.hosts[0]
            await curio.sleep(0.2)
            before = site.store.calls['/v1/rows-feed']
            for count in range(100):
                entry = {**site.engines[0].entry(), 'seq': count}
                site.store.put('servers', 'e0', entry)
                await curio.sleep(0.01)
            entry = site.engines[0].entry(state='draining')
            site.store.put('servers', 'e0', entry)
            target = host.directory.registry.targets['e0']
            changed_at = host.clock.elapsed()
            await wait_until(lambda: target.registration.leaving)
            return site.store.calls[
                '/v1/rows-feed'
            ] - before, host.clock.elapsed() - changed_at

    feeds, elapsed = curio.run(main)
    assert feeds < 45
    assert elapsed < timedelta(milliseconds=200)
