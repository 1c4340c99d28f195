"""Tests of hosts that do not know the clock of the store."""

from datetime import timedelta

import curio
import orjson
from attrs import define
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.quarantines import CrashRecord
from sequoia_rollouts.live.live_attempts import LiveRequest
from sequoia_rollouts.fleet.peer_keys import PeerKeys
from sequoia_rollouts.targets.senders import OutgoingRequest
from sequoia_rollouts.storage.tables import COORDINATORS
from sequoia_wire.codecs import encode
from sequoia_wire.messages import RequestHead
from sites import AUTHORITY, find_limits, open_site, wait_until

AHEAD_MS = 2 * 3600 * 1000  # of the store's clock
HIGH_LIMIT = '5000'  # requests per second
MAX_CLOCK_ERROR = 10.0  # seconds


@define
class StoreWithoutClock:
    """A store whose responses to reads of the leases are lost."""

    store: object
    is_hidden: bool = True

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def read(self, row_range):
        if self.is_hidden and row_range.table == COORDINATORS:
            raise ServiceError(Code.STORE_UNAVAILABLE, 'response lost')
        return await self.store.read(row_range)


async def start_host_without_clock(site):
    """Start a host that never learns the store's clock; return it and why."""
    host = site.make_host('h2')
    hidden = StoreWithoutClock(host.platform.store)
    host.heartbeats.store = hidden
    await site.run_host(host, wait_until_ready=False)
    await wait_until(lambda: host.is_ready)
    return host, hidden


def test_submission_is_refused_until_the_clock_of_the_store_is_known():
    """Its own clock was stored, and other hosts removed the submission."""

    async def main():
        async with open_site() as site:
            site.store.now_ms += AHEAD_MS
            host, hidden = await start_host_without_clock(site)
            refused = await site.submit(host)
            rows = list(site.store.find('ownership'))
            hidden.is_hidden = False
            await wait_until(lambda: host.heartbeats.store_clock.now())
            accepted = await site.submit(host)
            results = await site.read_all_results(host)
            await site.hosts[0].upkeep.sweeper.sweep()
            read = await site.call(host, 'GET', '/v1/lots/lot1')
            return refused, rows, accepted, results, read

    refused, rows, accepted, results, read = curio.run(main)
    assert refused.status == 503
    assert refused.head.header('retry-after')
    assert not any('lot1' in row for row in rows)
    assert accepted.status == 202
    assert {item['state'] for item in results} == {'completed'}
    assert read.status == 200


def test_host_that_does_not_know_the_clock_removes_nothing():
    """By its own clock every submission may be hours old."""

    async def main():
        async with open_site() as site:
            site.store.now_ms -= AHEAD_MS
            host = site.hosts[0]
            await wait_until(lambda: is_behind(host))
            await site.submit(host)
            await site.read_all_results(host)
            host.heartbeats.store_clock.offset = None
            await host.upkeep.sweeper.sweep()
            host.heartbeats.store_clock.offset = timedelta(hours=9)
            await host.upkeep.sweeper.sweep()
            return (await site.call(host, 'GET', '/v1/lots/lot1')).status

    assert curio.run(main) == 200


def is_behind(host):
    return host.heartbeats.store_clock.read() < timedelta()


def test_quarantine_holds_where_the_clock_of_the_store_is_not_known():
    """By its own clock the quarantine had ended, and one more server crashed."""

    async def main():
        async with open_site() as site:
            site.store.now_ms -= AHEAD_MS
            now = timedelta(milliseconds=site.store.read_clock())
            host, _hidden = await start_host_without_clock(site)
            fingerprint = find_fingerprint('/live/crash')
            crashes = CrashRecord(('p1', 'p2', 'p3'), now)
            site.store.put_bytes('crashes', fingerprint, encode(crashes))
            stored = host.live.quarantine.stored
            await wait_until(lambda: fingerprint in stored)
            runs = len(site.scorers[0].runs)
            response = await site.call(
                host, 'POST', '/live/crash', attempt_id='r2'
            )
            return response, len(site.scorers[0].runs) - runs

    response, runs = curio.run(main)
    assert (response.status, runs) == (503, 0)
    assert response.head.header('retry-after')


def find_fingerprint(path):
    outgoing = OutgoingRequest('', RequestHead('POST', path))
    return LiveRequest(outgoing, AUTHORITY, path, timedelta()).fingerprint


def test_crash_is_stored_with_the_time_of_the_store():
    """Stored with the host's own time, a record began or ended hours off."""

    async def main():
        async with open_site() as site:
            site.store.now_ms += AHEAD_MS
            host, hidden = await start_host_without_clock(site)
            site.scorers[0].crash_path = '/once/crash'
            await site.call(host, 'POST', '/once/crash', attempt_id='r1')
            await curio.sleep(1)
            early = dict(site.store.find('crashes'))
            hidden.is_hidden = False
            await wait_until(lambda: site.store.find('crashes'))
            (body,) = site.store.find('crashes').values()
            return early, orjson.loads(body)['last_at'], read_seconds(site)

    early, last_at, now = curio.run(main)
    assert not early
    assert abs(now - last_at) < MAX_CLOCK_ERROR


def read_seconds(site):
    return site.store.read_clock() / 1000


async def call_until(site, host, table, calls=60):
    """Send requests until the store has rows of a table; return its permits.

    The pauses are longer than the time between two permits of a host.
    """
    for number in range(calls):
        await site.call(host, 'POST', '/live/a', attempt_id=f'r{number}')
        await curio.sleep(0.1)
        if site.store.find(table):
            break
    return site.store.find('permits')


def test_permits_are_taken_alone_until_the_clock_of_the_store_is_known():
    """Times of the host's own clock in the shared row hold up all hosts."""

    async def main():
        async with open_site() as site:
            site.store.now_ms += AHEAD_MS
            host, hidden = await start_host_without_clock(site)
            site.scorers[0].limit = HIGH_LIMIT
            early = await call_until(site, host, '', calls=5)
            hidden.is_hidden = False
            await call_until(site, host, 'permits')
            (body,) = site.store.find('permits').values()
            return early, orjson.loads(body)['due_at'], read_seconds(site)

    early, due_at, now = curio.run(main)
    assert not early
    assert abs(now - due_at) < MAX_CLOCK_ERROR


def test_end_of_a_limit_is_not_stored_without_the_clock_of_the_store():
    """A time ahead of the store's would hide limits that are named later."""

    async def main():
        async with open_site() as site:
            site.store.now_ms -= AHEAD_MS
            host, _hidden = await start_host_without_clock(site)
            for limit in (HIGH_LIMIT, ''):
                site.scorers[0].limit = limit
                await call_until(site, host, '', calls=5)
            assert not find_limits(host)
            await curio.sleep(0.3)
            return site.store.find('permits')

    assert not curio.run(main)


def test_new_key_signs_nothing_until_the_clock_of_the_store_is_known():
    """Other hosts that had not read the key yet ignored the datagrams."""

    async def main():
        async with open_site() as site:
            site.store.now_ms -= AHEAD_MS
            host, _hidden = await start_host_without_clock(site)
            ring = host.coordination.key_ring
            other = site.hosts[0].coordination.key_ring
            await wait_until(lambda: ring.keys and other.keys)
            sealed = seal_after_replacement(ring, read_seconds(site))
            return other.open(sealed)

    assert curio.run(main) == b'payload'


def seal_after_replacement(ring, now):
    """Sign as a host that has just read a new key."""
    ring.keys = PeerKeys('new', ring.keys.current, timedelta(seconds=now))
    return ring.seal(b'payload')
