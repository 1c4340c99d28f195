"""Tests of usage reports at a small site."""

from contextlib import asynccontextmanager
from datetime import timedelta

import curio
from api_standin import ApiStandin
from sequoia_platform.apis import PlatformHttpApi
from sequoia_rollouts.base.settings import DutySettings
from sites import open_site, wait_until
from test_accounts import LARGE, SMALL, configure, make_accounts

DUTIES = DutySettings(
    reports_usage=True,
    call_rate=20,
    report_window=timedelta(seconds=1),
    report_limit=timedelta(seconds=2),
)


@asynccontextmanager
async def open_usage_site(hosts=1, **options):
    """Run a site whose hosts report usage; also yield the API."""
    api = ApiStandin()
    async with open_site(hosts=0, **options) as site:
        async with curio.TaskGroup(wait=None) as group:
            api.server.open()
            await group.spawn(api.server.run)
            site.api = PlatformHttpApi(api.server.address)
            site.duties = DUTIES
            for number in range(1, hosts + 1):
                await site.start_host(f'h{number}')
            yield site, api


async def activate(site, *names):
    """Configure accounts and wait until all hosts count."""
    await configure(site, make_accounts(*names))
    await wait_until(
        lambda: all(host.duties.usage.is_active for host in site.hosts)
    )


def count_all(api):
    """Return the reported requests of all windows by account."""
    sums = {}
    for call in api.accepted:
        for account, count in call.fields['counts'].items():
            sums[account] = sums.get(account, 0) + count
    return sums


def test_live_requests_and_streams_of_all_hosts_are_reported_once():
    """Guards against requests that no hook counts, or that two count."""

    async def main():
        async with open_usage_site(hosts=2) as (site, api):
            await activate(site, 'small', 'large')
            for number, host in enumerate(site.hosts * 3):
                for key in (SMALL, LARGE, LARGE):
                    response = await site.call(
                        host,
                        'POST',
                        '/live/x',
                        attempt_id=f'r{number}',
                        x_api_key=key,
                    )
                    assert response.status == 200
            await wait_until(
                lambda: count_all(api) == {'small': 6, 'large': 12}
            )
            await curio.sleep(2)
            return count_all(api), api.reports()

    sums, reports = curio.run(main)
    assert sums == {'small': 6, 'large': 12}
    assert sorted(reports) == list(range(min(reports), max(reports) + 1))
    assert all(len(counts) == 1 for counts in reports.values())


def test_nothing_is_written_or_called_without_accounts():
    """A deployment that enables nothing is to behave as before."""

    async def main():
        async with open_usage_site() as (site, api):
            await site.call(site.hosts[0], 'POST', '/live/x', attempt_id='r')
            await curio.sleep(3)
            rows = site.store.find('usage') | site.store.find('usage_reports')
            return api.calls, rows, site.store.find('coordinators')

    calls, rows, leases = curio.run(main)
    assert not calls
    assert not rows
    assert all(b'wall_ahead' not in lease for lease in leases.values())
