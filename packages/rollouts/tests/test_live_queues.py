"""Tests of the queue of live requests at a small site."""

from collections import Counter
from contextlib import asynccontextmanager

import curio
from sequoia_policy.live_queues import MIN_RETRY_AFTER
from sequoia_rollouts.live.live_queues import LiveQueues
from sites import make_manifest, open_site, wait_until

SLOTS = 4
DELAY = 0.15
KEYS = {'small': 'key-of-small', 'large': 'key-of-large'}


def make_accounts():
    """Return a manifest with two accounts."""
    manifest = make_manifest(version=20)
    manifest['tenants'] = [
        {'name': name, 'apiKeys': [key]} for name, key in KEYS.items()
    ]
    return manifest


@asynccontextmanager
async def open_full_site(manifest):
    """Run a site whose only plain target refuses what exceeds its slots."""
    async with open_site() as site:
        (target,) = site.scorers
        target.refuses_when_full = True
        target.delay = DELAY
        site.store.put('op', 'config', manifest)
        host = site.hosts[0]
        await wait_until(
            lambda: host.directory.configuration.version == manifest['version']
        )
        yield site


async def call(site, account, number):
    return await site.call(
        site.hosts[0],
        'POST',
        '/live/x',
        attempt_id=f'{account}-{number}',
        x_api_key=KEYS[account],
    )


def find_queue(site):
    (queue,) = site.hosts[0].live.queues.queues.values()
    return queue


def test_a_small_account_is_served_beside_a_burst():
    """A burst of one account took all slots, and others were refused."""

    async def main():
        async with open_full_site(make_accounts()) as site:
            async with curio.TaskGroup() as group:
                burst = [
                    await group.spawn(call, site, 'large', number)
                    for number in range(16)
                ]
                await curio.sleep(DELAY / 2)
                small = [
                    await group.spawn(call, site, 'small', number)
                    for number in range(3)
                ]
            return [
                Counter(task.result.status for task in tasks)
                for tasks in (burst, small)
            ]

    burst, small = curio.run(main)
    assert small == {200: 3}
    assert burst[200] >= SLOTS
    assert set(burst) <= {200, 503}


def test_a_request_that_would_be_late_is_refused_with_a_time_to_retry():
    """Guards against requests that wait for long only to be refused."""

    async def main():
        async with open_full_site(make_accounts()) as site:
            async with curio.TaskGroup() as group:
                tasks = [
                    await group.spawn(call, site, 'large', number)
                    for number in range(24)
                ]
            return [task.result for task in tasks]

    responses = curio.run(main)
    refused = [response for response in responses if response.status == 503]
    waits = {float(response.head.header('retry-after')) for response in refused}
    assert refused
    assert min(waits) >= MIN_RETRY_AFTER.total_seconds()
    assert len(waits) > 1
    assert len([r for r in responses if r.status == 200]) >= SLOTS


def test_a_caller_that_leaves_leaves_the_queue():
    """Guards against requests that run for nobody."""

    async def main():
        async with open_full_site(make_accounts()) as site:
            site.scorers[0].delay = 1
            async with curio.TaskGroup(wait=None) as group:
                for number in range(SLOTS):
                    await group.spawn(call, site, 'large', number)
                await wait_until(lambda: not site.scorers[0].free_slots.value)
                leaver = await group.spawn(call, site, 'small', 0)
                await wait_until(lambda: site.hosts[0].live.queues.tickets)
                await leaver.cancel()
                await wait_until(lambda: not site.hosts[0].live.queues.tickets)
                counts = find_queue(site).count, find_queue(site).size
                await curio.sleep(1.2)
            runs = [request_id for request_id, _left in site.scorers[0].runs]
            return counts, runs

    counts, runs = curio.run(main)
    assert counts == (0, 0)
    assert 'small-0' not in runs


def test_without_accounts_no_request_waits_in_a_queue():
    """Deployments without accounts are served as before."""

    async def main():
        async with open_full_site(make_manifest(version=20)) as site:
            site.scorers[0].delay = 0.5
            async with curio.TaskGroup() as group:
                tasks = [
                    await group.spawn(call, site, 'large', number)
                    for number in range(SLOTS + 2)
                ]
            queues = site.hosts[0].live.queues
            return Counter(task.result.status for task in tasks), queues

    statuses, queues = curio.run(main)
    assert isinstance(queues, LiveQueues)
    assert not queues.queues
    assert statuses == {200: SLOTS, 503: 2}


def test_requests_that_wait_when_the_host_stops_are_answered():
    """Guards against requests that wait until the process ends."""

    async def main():
        async with open_full_site(make_accounts()) as site:
            site.scorers[0].delay = 0.6
            host = site.hosts[0]
            async with curio.TaskGroup() as group:
                tasks = [
                    await group.spawn(call, site, 'large', number)
                    for number in range(SLOTS + 1)
                ]
                await wait_until(lambda: host.live.queues.tickets)
                host.live.stop_guard.start(host.settings.stop_limit)
                await wait_until(lambda: not host.live.queues.tickets, 0.3)
            return Counter(task.result.status for task in tasks)

    statuses = curio.run(main)
    assert statuses.total() == SLOTS + 1
    assert set(statuses) <= {200, 503}
