"""Acceptance of submissions that do not fit into one transaction."""

from contextlib import asynccontextmanager

import curio
import orjson
import pytest
from sequoia_rollouts.submissions.acceptance_markers import ACCEPTANCES
from sequoia_rollouts.storage.tables import OWNERSHIP, SPECIFICATIONS
from sites import make_lot, make_manifest, open_site, wait_until

MAX_BODY_BYTES = 10_000_000
BODY_BYTES = 300_000  # of one item


@asynccontextmanager
async def open_large_site(hosts=1):
    """Run a site whose configuration allows large submissions."""
    manifest = make_manifest(4)
    manifest['limits']['maxBodyBytes'] = MAX_BODY_BYTES
    async with open_site(hosts=hosts) as site:
        site.store.put('op', 'config', manifest)
        for host in site.hosts:
            await wait_until(
                lambda front=host.front: (
                    front.limits.body_bytes == MAX_BODY_BYTES
                )
            )
        yield site


def make_large_lot(count=8):
    lot = make_lot(count)
    for number, item in enumerate(lot['requests']):
        item['body'] = f'{number:04d}' * (BODY_BYTES // 4)
    return lot


async def submit_large(site, host, lot):
    return await site.call(
        host, 'POST', '/train/x', orjson.dumps(lot), attempt_id='lot1'
    )


def stop_store_after(site, count):
    """Let a number of further transactions of acceptances pass."""
    site.store.cut_off_tables = frozenset((ACCEPTANCES, SPECIFICATIONS))
    site.store.transactions_until_down = count


def find_submissions(site):
    return [
        key
        for key in site.store.find(OWNERSHIP)
        if key.startswith('submission/')
    ]


def test_submission_over_several_transactions_is_run():
    async def main():
        async with open_large_site(hosts=2) as site:
            lot = make_large_lot()
            response = await submit_large(site, site.hosts[0], lot)
            results = await site.read_all_results(site.hosts[1])
            body = await site.call(
                site.hosts[1], 'GET', '/v1/items/lot1?id=item3'
            )
            return response, results, len(body.body), site.store

    response, results, body_bytes, store = curio.run(main)
    assert response.status == 202
    assert len(results) == 8
    assert body_bytes == BODY_BYTES * 3 // 4
    assert not store.refused
    assert not store.find(ACCEPTANCES)


@pytest.mark.parametrize('transactions', (1, 2, 4, 6))
def test_submission_cut_off_at_any_transaction_is_accepted_by_another_host(
    transactions,
):
    async def main():
        async with open_large_site(hosts=2) as site:
            lot = make_large_lot()
            stop_store_after(site, transactions)
            first = await submit_large(site, site.hosts[0], lot)
            submissions = find_submissions(site)
            site.store.transactions_until_down = None
            second = await submit_large(site, site.hosts[1], lot)
            results = await site.read_all_results(site.hosts[0])
            return first, submissions, second, results, site.store

    first, submissions, second, results, store = curio.run(main)
    assert (first.status == 202) == bool(submissions)
    assert second.status == 202
    assert len(results) == 8
    assert not store.find(ACCEPTANCES)


def test_two_hosts_accept_the_same_submission_once():
    async def main():
        async with open_large_site(hosts=2) as site:
            lot = make_large_lot()
            tasks = [
                await curio.spawn(submit_large, site, host, lot)
                for host in site.hosts
            ]
            responses = [await task.join() for task in tasks]
            results = await site.read_all_results(site.hosts[0])
            return responses, results, find_submissions(site)

    responses, results, submissions = curio.run(main)
    assert [response.status for response in responses] == [202, 202]
    assert len(results) == 8
    assert len(submissions) == 1


def test_abandoned_acceptance_is_removed():
    async def main():
        async with open_large_site() as site:
            host = site.hosts[0]
            stop_store_after(site, 3)
            response = await submit_large(site, host, make_large_lot())
            site.store.transactions_until_down = None
            left = len(site.store.find(SPECIFICATIONS))
            await host.upkeep.sweeper.abandonments.sweep()
            kept = len(site.store.find(SPECIFICATIONS))
            site.store.now_ms += 10 * 60 * 1000
            await host.heartbeats.refresh()
            await host.upkeep.sweeper.abandonments.sweep()
            return response, left, kept, site.store

    response, left, kept, store = curio.run(main)
    assert response.status == 503
    assert left
    assert kept == left
    assert not store.find(SPECIFICATIONS)
    assert not store.find(ACCEPTANCES)
