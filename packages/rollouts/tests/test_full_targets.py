"""Hosts whose targets are all at capacity, and silent for that reason."""

import itertools

import curio
from sites import open_site

CALLERS = 8  # at each host
SECONDS = 4.0
WORK = 0.8  # seconds; longer than a probe waits
NUMBERS = itertools.count()
PATHS = ('/live/a', '/once/a')


async def call_until(site, host, over, statuses):
    while await curio.clock() < over:
        number = next(NUMBERS)
        path = PATHS[number % len(PATHS)]
        response = await site.call(
            host, 'POST', path, b'b', attempt_id=f'{path}-{number}'
        )
        statuses.append(response.status)


async def watch(hosts, over):
    """Return how often any path was suspected, and how often cut."""
    suspected, cut = 0, 0
    while await curio.clock() < over:
        paths = [host.live.handoffs.path for host in hosts]
        suspected += any(path.is_suspected for path in paths)
        cut += any(path.is_cut for path in paths)
        await curio.sleep(0.01)
    return suspected, cut


async def run():
    async with open_site(hosts=2, engines=0, scorers=3) as site:
        for server in site.scorers:
            server.free_slots = curio.Semaphore(1)
            server.delay = WORK
            server.health_takes_slot = True
        over = await curio.clock() + SECONDS
        statuses = []
        async with curio.TaskGroup() as group:
            watcher = await group.spawn(watch, site.hosts, over)
            for host in site.hosts:
                for _ in range(CALLERS):
                    await group.spawn(call_until, site, host, over, statuses)
        runs = [run[0] for server in site.scorers for run in server.runs]
        return watcher.result, statuses, runs


def test_targets_at_capacity_are_not_taken_for_a_path_that_is_cut():
    """Health checks wait for a slot as requests do, and find nothing sooner."""
    (suspected, cut), statuses, runs = curio.run(run)
    assert suspected
    assert not cut
    assert statuses.count(200) > 1
    once = [name for name in runs if name.startswith('/once/')]
    assert len(set(once)) == len(once)
