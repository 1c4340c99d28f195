"""Tests of hosts that do not know the clock of the store."""

from datetime import timedelta

import curio
from attrs import define
from sequoia_policy.errors import Code, ServiceError
from sequoia_rollouts.tables import COORDINATORS
from sites import open_site, wait_until

AHEAD_MS = 2 * 3600 * 1000  # of the store's clock


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


def test_submission_is_refused_until_the_clock_of_the_store_is_known():
    """Its own clock was stored, and other hosts removed the submission."""

    async def main():
        async with open_site() as site:
            site.store.now_ms += AHEAD_MS
            host = site.make_host('h2')
            hidden = StoreWithoutClock(host.platform.store)
            host.heartbeats.store = hidden
            await site.run_host(host, wait_until_ready=False)
            await wait_until(lambda: host.is_ready)
            refused = await site.submit(host)
            rows = list(site.store.find('ownership'))
            hidden.is_hidden = False
            await wait_until(lambda: host.heartbeats.store_clock_offset)
            accepted = await site.submit(host)
            results = await site.read_all_results(host)
            await site.hosts[0].sweeper.sweep()
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
            host.heartbeats.store_clock_offset = None
            await host.sweeper.sweep()
            host.heartbeats.store_clock_offset = timedelta(hours=9)
            await host.sweeper.sweep()
            return (await site.call(host, 'GET', '/v1/lots/lot1')).status

    assert curio.run(main) == 200


def is_behind(host):
    return host.heartbeats.store_now() < timedelta()
