"""Tests of keys and client accounts at a small site."""

import curio
import orjson
import pytest
from sequoia_rollouts.storage.tables import find_partition
from sequoia_wire.messages import RequestHead, encode_headers
from sites import (
    AUTHORITY,
    CALL_TIMEOUTS,
    make_lot,
    make_manifest,
    open_site,
    wait_until,
)

SMALL, LARGE = 'key-of-small', 'key-of-large'


def make_accounts(*names):
    """Return a manifest with accounts that have one key each."""
    manifest = make_manifest(version=len(names) + 10)
    known = {'small': SMALL, 'large': LARGE}
    manifest['tenants'] = [
        {'name': name, 'apiKeys': [known[name]]} for name in names
    ]
    public = {**manifest['routes'][1], 'name': 'open', 'pathPrefix': '/open/'}
    manifest['routes'].append({**public, 'public': True})
    score = manifest['routes'][2]
    score['public'] = True
    return manifest


async def configure(site, manifest):
    site.store.put('op', 'config', manifest)
    await wait_until(
        lambda: all(
            host.directory.configuration.version == manifest['version']
            for host in site.hosts
        )
    )


def find_headers(standin, request_id):
    """Return the headers with which a request reached a server, as a list."""
    for request in standin.requests:
        if request.id == request_id:
            return [(name, text) for name, text in request.headers]
    return None


def test_only_known_keys_open_a_route_that_is_not_public():
    """Unknown and missing keys were answered 200."""

    async def main():
        async with open_site() as site:
            host = site.hosts[0]
            await configure(site, make_accounts('small'))
            statuses = []
            for number, key in enumerate((SMALL, 'unknown', '', 'k' * 300)):
                response = await site.call(
                    host,
                    'POST',
                    '/live/x',
                    attempt_id=f'r{number}',
                    x_api_key=key,
                )
                statuses.append(response.status)
            missing = await site.call(
                host, 'POST', '/live/x', attempt_id='missing'
            )
            public = await site.call(
                host, 'POST', '/open/x', attempt_id='public'
            )
            ran = [request.id for request in site.scorers[0].requests]
            return statuses, missing.status, public.status, ran

    statuses, missing, public, ran = curio.run(main)
    assert statuses == [200, 401, 401, 401]
    assert missing == 401
    assert public == 200
    assert ran == ['r0', 'public']


def test_a_header_with_two_keys_is_no_key():
    """A proxy on the way may believe the other one."""

    async def main():
        async with open_site() as site:
            await configure(site, make_accounts('small'))
            headers = (
                *encode_headers({'host': AUTHORITY, 'attempt-id': 'twice'}),
                *encode_headers({'x-api-key': SMALL}),
                *encode_headers({'x-api-key': SMALL}),
            )
            response = await site.client.fetch(
                site.hosts[0].front.address,
                RequestHead('POST', '/live/x', headers),
                b'',
                CALL_TIMEOUTS,
            )
            return response.status

    assert curio.run(main) == 401


@pytest.mark.parametrize('path', ['/live/x', '/open/x'])
def test_the_target_gets_the_account_and_never_the_key(path):
    """The key itself went to the target, and a caller could name an account."""

    async def main():
        async with open_site() as site:
            await configure(site, make_accounts('small', 'large'))
            await site.call(
                site.hosts[0],
                'POST',
                path,
                attempt_id='r1',
                x_api_key=SMALL,
                tenant='large',
            )
            await site.call(
                site.hosts[0],
                'POST',
                '/open/x',
                attempt_id='r2',
                tenant='large',
            )
            scorer = site.scorers[0]
            return find_headers(scorer, 'r1'), find_headers(scorer, 'r2')

    with_key, without_key = curio.run(main)
    names = [name for name, _text in with_key]
    assert (b'tenant', b'small') in with_key
    assert names.count(b'tenant') == 1
    assert b'x-api-key' not in names
    assert b'tenant' not in dict(without_key)


def test_a_service_without_accounts_forwards_these_headers():
    """Deployments without accounts are served as before."""

    async def main():
        async with open_site() as site:
            await site.call(
                site.hosts[0],
                'POST',
                '/live/x',
                attempt_id='r1',
                x_api_key='any',
                tenant='any',
            )
            return find_headers(site.scorers[0], 'r1')

    headers = curio.run(main)
    assert (b'x-api-key', b'any') in headers
    assert (b'tenant', b'any') in headers


def test_a_key_that_was_taken_away_opens_no_kept_connection():
    """A key that was taken away 5 s ago opened kept connections."""

    async def main():
        async with open_site() as site:
            host = site.hosts[0]
            await configure(site, make_accounts('small'))
            await site.call(
                host, 'POST', '/live/x', attempt_id='r1', x_api_key=SMALL
            )
            (kept,) = host.front.connections
            taken = make_accounts('small')
            taken['version'] += 1
            taken['tenants'][0]['apiKeys'] = []
            await configure(site, taken)
            response = await site.call(
                host, 'POST', '/live/x', attempt_id='r2', x_api_key=SMALL
            )
            return kept.requests, response.status

    assert curio.run(main) == (2, 401)


def test_an_unknown_key_is_not_denied_while_the_store_is_silent():
    """A newer version may have the key; callers take 401 for final."""

    async def main():
        async with open_site() as site:
            host = site.hosts[0]
            await configure(site, make_accounts('small'))
            site.store.down = 503
            await wait_until(
                lambda: not host.directory.configuration_age().is_confirmed
            )
            answers = {}
            for key in (SMALL, LARGE):
                response = await site.call(
                    host, 'POST', '/live/x', attempt_id=key, x_api_key=key
                )
                answers[key] = response
            return answers

    answers = curio.run(main)
    assert answers[SMALL].status == 200
    assert answers[LARGE].status == 503
    assert answers[LARGE].head.header('retry-after')


def test_items_name_the_account_and_hold_no_key():
    """A submitter could name any account in the headers of its items."""

    async def main():
        async with open_site(engines=1) as site:
            host = site.hosts[0]
            await configure(site, make_accounts('small', 'large'))
            response = await submit(
                site,
                host,
                SMALL,
                {'Tenant': 'large', 'X-Api-Key': LARGE},
            )
            results = await read_results(site, host, SMALL)
            sent = [
                find_headers(site.engines[0], request.id)
                for request in site.engines[0].requests
                if request.id.startswith('item')
            ]
            rewards = [
                request.headers
                for request in site.scorers[0].requests
                if request.id.startswith('score')
            ]
            return response.status, len(results), sent, rewards

    status, count, sent, rewards = curio.run(main)
    assert status == 202
    assert count == len(sent)
    for headers in sent:
        names = [name for name, _text in headers]
        assert (b'tenant', b'small') in headers
        assert names.count(b'tenant') == 1
        assert b'x-api-key' not in names
    for headers in rewards:
        assert not {b'tenant', b'x-api-key'} & {name for name, _ in headers}


async def submit(site, host, key, item_headers=None, lot='lot1'):
    fields = make_lot()
    for item in fields['requests']:
        item['headers'].update(item_headers or {})
    return await site.call(
        host,
        'POST',
        '/train/x',
        orjson.dumps(fields),
        attempt_id=lot,
        x_api_key=key,
    )


async def read_results(site, host, key):
    found = []
    async with curio.timeout_after(6):
        while len(found) < 6:
            response = await site.call(
                host,
                'GET',
                f'/v1/lots/lot1?after={len(found)}',
                wait_ms='1000',
                x_api_key=key,
            )
            assert response.status == 200
            found.extend(orjson.loads(response.body)['results'])
    return found


CALLS = [
    ('GET', '/v1/lots/lot1?after=0'),
    ('GET', '/v1/items/lot1?id=item1'),
    ('DELETE', '/v1/lots/lot1'),
]


def test_other_accounts_learn_nothing_of_a_submission():
    """Any caller could read and end the submissions of all others."""

    async def main():
        async with open_site(hosts=2, words=60, pace=0.05) as site:
            await configure(site, make_accounts('small', 'large'))
            first, second = site.hosts
            assert (await submit(site, first, SMALL)).status == 202
            seen = {}
            for host in (first, second):
                for method, path in CALLS:
                    other = await site.call(host, method, path, x_api_key=LARGE)
                    unknown = await site.call(
                        host,
                        method,
                        path.replace('lot1', 'lot9'),
                        x_api_key=LARGE,
                    )
                    missing = await site.call(host, method, path)
                    seen[host.settings.name, method, path] = (
                        describe(other),
                        describe(unknown),
                        missing.status,
                    )
            again = await submit(site, second, LARGE)
            own = [
                (await site.call(second, *call, x_api_key=SMALL)).status
                for call in CALLS
            ]
            return seen, again.status, own

    seen, again, own = curio.run(main)
    for other, unknown, missing in seen.values():
        assert other == unknown
        assert other[0] == 404
        assert missing == 401
    assert again == 503
    assert own == [200, 200, 200]


def describe(response):
    """Return what a caller can tell from a response."""
    names = sorted(name for name, _text in response.head.headers)
    return response.status, response.body, names


def test_another_host_goes_on_for_the_account_after_the_owner_died():
    """The account must be known where nobody submitted."""

    async def main():
        async with open_site(hosts=2, words=20, pace=0.02) as site:
            await configure(site, make_accounts('small', 'large'))
            await submit(site, site.hosts[0], SMALL)
            owner, other = await site.find_owner()
            await site.kill(owner)
            denied = await site.call(
                other, 'GET', '/v1/lots/lot1?after=0', x_api_key=LARGE
            )
            return denied.status, len(await read_results(site, other, SMALL))

    assert curio.run(main) == (404, 6)


def test_a_build_without_accounts_may_rewrite_the_ownership():
    """It drops the account, which the specification still has."""

    async def main():
        async with open_site(hosts=1, words=60, pace=0.05) as site:
            host = site.hosts[0]
            await configure(site, make_accounts('small', 'large'))
            await submit(site, host, SMALL)
            fields = orjson.loads(
                site.store.find('ownership')['submission/lot1']
            )
            fields.pop('account')
            partition = find_partition('lot1')
            site.store.put('ownership', 'submission/lot1', fields, partition)
            await wait_until(
                lambda: not host.ownership.submissions['lot1'].ownership.account
            )
            statuses = [
                (
                    await site.call(
                        host, 'GET', '/v1/lots/lot1?after=0', x_api_key=key
                    )
                ).status
                for key in (LARGE, SMALL)
            ]
            return statuses

    assert curio.run(main) == [404, 200]


def test_a_submission_outlives_its_key_and_its_account():
    """Taking away a key does not end what runs."""

    async def main():
        async with open_site(hosts=1, words=10, pace=0.02) as site:
            host = site.hosts[0]
            await configure(site, make_accounts('small'))
            await submit(site, host, SMALL)
            gone = make_accounts('large')
            gone['version'] += 5
            await configure(site, gone)
            await wait_until(
                lambda: len(site.scorers[0].requests) >= 6, seconds=6
            )
            back = make_accounts('large', 'small')
            back['version'] += 9
            await configure(site, back)
            return len(await read_results(site, host, SMALL))

    assert curio.run(main) == 6
