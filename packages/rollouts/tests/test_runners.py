"""Tests of hosts that run submissions with an older configuration."""

import curio
import orjson
import pytest
from engine_standin import MODEL
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.preconditions import MAX_CONFIGURATION_AGE
from sites import make_lot, make_manifest, open_site, wait_until

NEW_VERSION = 5


class UnresponsiveStore:
    """A store whose responses to one follower are all lost."""

    async def read(self, row_range):
        raise ServiceError(Code.STORE_UNAVAILABLE, row_range.table)

    async def follow(self, table, after, timeout):
        raise ServiceError(Code.STORE_UNAVAILABLE, table)


def add_routes(**changes):
    """Return a newer manifest that adds a route for steps and for rewards."""
    manifest = make_manifest(NEW_VERSION)
    rollout, live = manifest['routes'][:2]
    manifest['routes'] += [
        {**rollout, 'name': 'new', 'pathPrefix': '/new/', **changes},
        {**live, 'name': 'newscore', 'pathPrefix': '/newscore/'},
    ]
    return manifest


def make_new_lot(reward_prefix):
    lot = make_lot()
    for number, request in enumerate(lot['requests']):
        request['scorer']['path'] = f'{reward_prefix}{number}'
    return lot


async def split_by_owner(site):
    """Return the host that will own steps of the model, and the other one."""
    first, second = site.hosts
    for host in site.hosts:
        await wait_until(lambda: len(host.heartbeats.live_owners()) == 2)
    name = first.ownership.choose_owner(MODEL)
    if name == first.heartbeats.owner:
        return first, second
    return second, first


@pytest.mark.parametrize(
    ('path', 'reward_prefix'),
    [('/new/x', '/score/'), ('/train/x', '/newscore/')],
)
def test_no_item_is_dead_while_owner_has_older_configuration(
    path, reward_prefix
):
    """Items of a new route were dead at an owner with an old manifest."""

    async def main():
        async with open_site(hosts=2) as site:
            owner, other = await split_by_owner(site)
            follower = owner.directory.operator_follower
            store, follower.store = follower.store, UnresponsiveStore()
            await wait_until(lambda: follower.store_failed_at)
            site.store.put('op', 'config', add_routes())
            directory = other.directory
            await wait_until(
                lambda: directory.configuration.version == NEW_VERSION
            )
            body = orjson.dumps(make_new_lot(reward_prefix))
            accepted = await site.call(
                other, 'POST', path, body, attempt_id='lot1'
            )
            await wait_until(lambda: owner.submission_handler.runners)
            await curio.sleep(0.4)
            early = len(site.store.find('results'))
            before = owner.directory.configuration.version
            follower.store = store
            results = await site.read_all_results(other)
            return accepted.status, before, early, results

    status, before, early, results = curio.run(main)
    assert status == 202
    assert before < NEW_VERSION
    assert early == 0
    assert {item['state'] for item in results} == {'completed'}


def test_no_item_is_dead_at_host_that_has_read_no_configuration():
    """A restarted host listed what it adopted as dead before any manifest."""

    async def main():
        async with open_site(pace=0.5) as site:
            first = site.hosts[0]
            await site.submit(first)
            await wait_until(lambda: first.submission_handler.runners)
            second = site.make_host('h2')
            follower = second.directory.operator_follower
            store, follower.store = follower.store, UnresponsiveStore()
            await site.run_host(second, wait_until_ready=False)
            await wait_until(second.heartbeats.holds_lease)
            await site.kill(first)
            await wait_until(lambda: second.submission_handler.runners)
            await curio.sleep(0.3)
            early = len(site.store.find('results'))
            follower.store = store
            return early, await site.read_all_results(second)

    early, results = curio.run(main)
    assert early == 0
    assert {item['state'] for item in results} == {'completed'}


def test_path_without_a_route_is_denied_only_if_the_configuration_is_new():
    """A trainer takes 404 for final, though a newer manifest has its route."""

    async def main():
        async with open_site() as site:
            host = site.hosts[0]
            follower = host.directory.operator_follower
            store, follower.store = follower.store, UnresponsiveStore()
            early = await site.call(host, 'POST', '/new/x', attempt_id='r1')
            limit = MAX_CONFIGURATION_AGE
            await wait_until(lambda: follower.age() > limit)
            late = await site.call(host, 'POST', '/new/x', attempt_id='r2')
            follower.store = store
            await wait_until(lambda: follower.age() < limit)
            sure = await site.call(host, 'POST', '/new/x', attempt_id='r3')
            return [response.status for response in (early, late, sure)]

    assert curio.run(main) == [404, 503, 404]


def test_items_are_dead_once_their_route_is_removed():
    """The guard must not keep items of a removed route waiting for ever."""

    async def main():
        async with open_site(engines=0) as site:
            host = site.hosts[0]
            await site.submit(host)
            await wait_until(lambda: host.submission_handler.runners)
            manifest = make_manifest(NEW_VERSION)
            manifest['routes'] = manifest['routes'][1:]
            site.store.put('op', 'config', manifest)
            return await site.read_all_results(host)

    results = curio.run(main)
    assert {item['state'] for item in results} == {'dead'}
