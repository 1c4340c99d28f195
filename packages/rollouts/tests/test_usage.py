"""Tests of usage reports at a small site."""

from contextlib import asynccontextmanager
from datetime import timedelta

import curio
import orjson
import pytest
from api_standin import ApiStandin
from sequoia_platform.apis import PlatformHttpApi
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.verdicts import Verdict
from sequoia_rollouts.base.settings import DutySettings
from sequoia_rollouts.storage.stores import Committer, ConflictError
from sequoia_rollouts.usage.reporters import KEPT_REPORTS
from sequoia_rollouts.usage.usage_rows import REPORTS, counts_key, report_key
from sites import make_lot, open_site, wait_until
from test_accounts import LARGE, SMALL, configure, make_accounts
from test_handoffs import cut_first
from test_hedges import make_one_slow
from test_streams import (
    change_idle_engines,
    make_streaming_manifest,
    open_call,
    read_chunks,
    start_stream,
)

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
    manifest = make_accounts(*names)
    manifest['routes'].append(
        make_streaming_manifest(resumable=True)['routes'][-1]
    )
    await configure(site, manifest)
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


def count_here(host):
    """Return the requests that a host has counted, of all its windows."""
    counts = host.live.usage.counts
    return sum(counts.count(window) for window in counts.windows)


def list_runs(site):
    return [run for server in site.scorers for run in server.runs]


async def call_small(site, host, path='/live/x', request_id='r1', **headers):
    headers = {'x_api_key': SMALL, **headers}
    response = await site.call(
        host, 'POST', path, attempt_id=request_id, **headers
    )
    return response.status


def test_a_hedged_request_counts_once():
    """Two targets ran it, and both may have responded."""

    async def main():
        async with open_usage_site(scorers=2) as (site, _api):
            await activate(site, 'small')
            make_one_slow(site, 0.3)
            status = await call_small(site, site.hosts[0])
            await curio.sleep(0.5)
            return status, len(list_runs(site)), count_here(site.hosts[0])

    assert curio.run(main) == (200, 2, 1)


def test_a_request_that_failed_at_its_first_target_counts_once():
    async def main():
        async with open_usage_site(scorers=2) as (site, _api):
            await activate(site, 'small')
            for server in site.scorers:
                server.fail = 1
            await call_small(site, site.hosts[0])
            return len(list_runs(site)), count_here(site.hosts[0])

    assert curio.run(main) == (2, 1)


def test_a_request_that_no_target_began_does_not_count():
    async def main():
        async with open_usage_site() as (site, _api):
            await activate(site, 'small')
            site.scorers[0].refuse = 100
            status = await call_small(site, site.hosts[0])
            return status, count_here(site.hosts[0])

    assert curio.run(main) == (503, 0)


def test_a_request_without_an_account_does_not_count():
    async def main():
        async with open_usage_site() as (site, _api):
            await activate(site, 'small')
            host = site.hosts[0]
            status = await site.call(host, 'POST', '/open/x', attempt_id='r')
            return status.status, count_here(host)

    assert curio.run(main) == (200, 0)


def test_a_request_that_was_handed_on_counts_at_the_host_that_sent_it():
    """Both hosts took part; the one without targets did not run it."""

    async def main():
        async with open_usage_site(hosts=2, scorers=3) as (site, _api):
            await activate(site, 'small')
            host, other = await cut_first(site)
            status = await call_small(site, host)
            return status, count_here(host), count_here(other)

    assert curio.run(main) == (200, 0, 1)


def test_a_stream_counts_once_when_it_begins_and_not_when_it_resumes():
    async def main():
        async with open_usage_site(engines=2, pace=0.05) as (site, _api):
            await activate(site, 'small')
            for engine in site.engines:
                engine.break_after = 1
            host = site.hosts[0]
            async with open_call(site, host) as call:
                head = await start_stream(call, x_api_key=SMALL)
                begun = count_here(host)
                change_idle_engines(site)
                await read_chunks(call)
            runs = sum(len(engine.runs) for engine in site.engines)
            return head.status, begun, runs, count_here(host)

    assert curio.run(main) == (200, 1, 2, 1)


def test_items_and_reward_calls_do_not_count():
    async def main():
        async with open_usage_site() as (site, _api):
            await activate(site, 'small')
            host = site.hosts[0]
            async with curio.timeout_after(5):
                while await submit(site, host) != 202:
                    await curio.sleep(0.1)
            await wait_until(lambda: len(list_runs(site)) == 6)
            return count_here(host)

    assert curio.run(main) == 0


async def submit(site, host):
    body = orjson.dumps(make_lot())
    response = await site.call(
        host, 'POST', '/train/x', body, attempt_id='lot1', x_api_key=SMALL
    )
    return response.status


def check_reports(api):
    """Check that all windows were reported with one count each."""
    reports = api.reports()
    assert all(len(counts) == 1 for counts in reports.values()), reports
    assert sorted(reports) == list(range(min(reports), max(reports) + 1))
    return reports


@pytest.mark.parametrize(
    'fault',
    [{'down': 503}, {'to_refuse': 4}, {'to_lose': 3}, {'is_holding': True}],
)
def test_reports_are_repeated_until_the_api_accepts_them(fault):
    async def main():
        async with open_usage_site() as (site, api):
            await activate(site, 'small')
            await wait_until(lambda: api.accepted)
            for name, value in fault.items():
                setattr(api, name, value)
            await call_small(site, site.hosts[0])
            await curio.sleep(1.5)
            api.down, api.is_holding = 0, False
            await wait_until(lambda: sum_reports(api) == 1)
            newest = max(api.reports())
            await wait_until(lambda: max(api.reports()) > newest + 1)
            check_reports(api)

    curio.run(main)


def sum_reports(api):
    """Return the requests of all windows, repetitions left out."""
    return sum(sum(counts[0].values()) for counts in api.reports().values())


def test_a_conflict_makes_the_holder_take_the_duty_under_a_new_token():
    async def main():
        async with open_usage_site() as (site, api):
            api.requires_fence = True
            await activate(site, 'small')
            await wait_until(lambda: api.accepted)
            before = api.calls[-1].fence
            api.highest['/usage'] = before + 1
            await wait_until(lambda: api.calls[-1].status == 409)
            refused_at = api.calls[-1].at
            await wait_until(lambda: api.calls[-1].status == 200)
            check_reports(api)
            return before, api.calls[-1].fence, api.calls[-1].at - refused_at

    before, after, waited = curio.run(main)
    assert after > before
    assert waited >= 1


def test_a_holder_that_does_not_reach_the_api_leaves_the_duty_to_others():
    """No host reported until the holder ended."""

    async def main():
        async with open_usage_site(hosts=2) as (site, api):
            await activate(site, 'small')
            await wait_until(lambda: api.accepted)
            first = api.calls[-1].holder
            holder = next(
                host for host in site.hosts if host.settings.name == first
            )
            holder.duties.usage.reporter.api = UnreachableApi()
            await wait_until(lambda: api.calls[-1].holder != first, 8)
            return first, holder.duties.usage.reporter.duty.may_act_now()

    _first, may_act = curio.run(main)
    assert not may_act


class UnreachableApi:
    async def report_usage(self, report, permit):
        raise ServiceError(
            Code.TARGET_BROKE, 'no connection', verdict=Verdict.NOT_RUN
        )


def test_the_next_holder_reports_from_the_start_if_the_first_one_was_killed():
    """It would begin with the window in which it started itself."""

    async def main():
        async with open_usage_site() as (site, api):
            api.is_holding = True
            await activate(site, 'small')
            first = site.hosts[0]
            await call_small(site, first)
            await wait_until(lambda: site.store.find('usage'))
            window = min(first.live.usage.counts.windows)
            await site.kill(first)
            await site.start_host('h2')
            api.is_holding = False
            await wait_until(lambda: api.accepted, 10)
            return window, check_reports(api)

    window, reports = curio.run(main)
    assert min(reports) <= window
    assert reports[window] == [{'small': 1}]


def test_counts_are_kept_while_the_store_is_away():
    async def main():
        async with open_usage_site() as (site, api):
            await activate(site, 'small')
            await wait_until(lambda: api.accepted)
            site.store.down = 503
            statuses = [
                await call_small(site, site.hosts[0], request_id=f'r{number}')
                for number in range(5)
            ]
            await curio.sleep(1)
            site.store.down = 0
            await wait_until(lambda: sum_reports(api) == 5)
            return statuses

    assert curio.run(main) == [200] * 5


class LosingStore:
    """A store that loses the responses to writes of reports.

    Attributes:
        to_lose: Number of further writes without a response.
        is_executing: Whether the next write is carried out nevertheless.
        on_loss: Called after each loss.
    """

    def __init__(self, store, on_loss):
        self.store = store
        self.to_lose = 0
        self.is_executing = False
        self.on_loss = on_loss

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def commit(self, transaction):
        is_report = transaction.writes[0].key.table == REPORTS
        if not self.to_lose or not is_report:
            return await self.store.commit(transaction)
        self.to_lose -= 1
        if self.is_executing:
            self.is_executing = False
            await self.store.commit(transaction)
        self.on_loss(transaction)
        raise ServiceError(Code.STORE_UNAVAILABLE, 'response lost')


@pytest.mark.parametrize('losses', [1, 3, 8])
def test_a_lost_response_to_the_row_of_a_report_changes_no_report(losses):
    """The host would sum again and send what the row does not contain.

    With one loss the write is repeated; with 8 it is given up.
    """

    async def main():
        async with open_usage_site() as (site, api):
            await activate(site, 'small')
            await wait_until(lambda: api.accepted)

            def add_late_counts(transaction):
                window = int(transaction.writes[0].key.key)
                key = counts_key(window, f'late-{store.to_lose}')
                site.store.put_bytes(
                    key.table, key.key, b'{"small":1}', key.part
                )

            reporter = site.hosts[0].duties.usage.reporter
            store = LosingStore(reporter.committer.store, add_late_counts)
            reporter.committer = Committer(store, reporter.clock)
            store.is_executing, store.to_lose = True, losses
            await wait_until(lambda: not store.is_executing)
            newest = max(api.reports())
            await wait_until(lambda: max(api.reports()) > newest + 3, 12)
            return check_reports(api), site.store.find(REPORTS)

    reports, rows = curio.run(main)
    for key, body in rows.items():
        if int(key) in reports:
            assert reports[int(key)] == [orjson.loads(body)['counts']]


def test_a_host_that_stops_writes_its_counts_and_releases_the_duty():
    """Counts of its last half window would be lost."""

    async def main():
        async with open_usage_site(hosts=2) as (site, api):
            await activate(site, 'small')
            await wait_until(lambda: api.accepted)
            holder = next(
                host
                for host in site.hosts
                if host.settings.name == api.calls[-1].holder
            )
            other = next(host for host in site.hosts if host is not holder)
            await call_small(site, holder)
            await holder.shut_down()
            await wait_until(
                lambda: api.calls[-1].holder == other.settings.name
            )
            await wait_until(lambda: sum_reports(api) == 1)
            return check_reports(api)

    assert curio.run(main)


def test_a_write_that_is_carried_out_late_does_not_replace_a_newer_one():
    async def main():
        async with open_usage_site() as (site, _api):
            await activate(site, 'small')
            writer = site.hosts[0].duties.usage.writer
            counts = writer.counter.counts
            now = writer.counter.true_clock.now()
            window = writer.timing.find_window(now) - 1
            counts.add(window, 'small')
            assert await writer.flush()
            late = writer.store.commit
            held = []

            async def hold(transaction):
                held.append(transaction)
                raise ServiceError(Code.STORE_UNAVAILABLE, 'no response')

            counts.add(window, 'small')
            writer.store = Held(hold)
            assert not await writer.flush()
            writer.store = site.hosts[0].platform.store
            counts.add(window, 'small')
            assert await writer.flush()
            with pytest.raises(ConflictError):
                await late(held[0])
            owner = site.hosts[0].heartbeats.owner
            rows = site.store.find('usage')
            return orjson.loads(rows[counts_key(window, owner).key])

    assert curio.run(main) == {'small': 3}


class Held:
    """A store whose transactions are carried out later."""

    def __init__(self, commit):
        self.commit = commit


def test_old_counts_are_removed():
    """Rows would pile up, also those that came after the sum."""

    async def main():
        async with open_usage_site() as (site, api):
            await activate(site, 'small')
            await wait_until(lambda: api.accepted)
            window = max(api.reports())
            for number in range(window - 40, window - 8):
                key = counts_key(number, f'late-{number}')
                site.store.put_bytes(
                    key.table, key.key, b'{"small":1}', key.part
                )
            await call_small(site, site.hosts[0])
            await wait_until(lambda: not site.store.find('usage'), 25)
            reports = len(site.store.find('usage_reports'))
            return reports, check_reports(api)

    reports, _found = curio.run(main)
    assert reports <= KEPT_REPORTS + 1


def test_rows_that_cannot_be_read_stop_no_report():
    """A list in the place of counts ended each attempt to sum the window."""

    async def main():
        async with open_usage_site() as (site, api):
            await activate(site, 'small')
            await wait_until(lambda: api.accepted)
            newest = max(api.reports())
            part = report_key(newest).part
            site.store.put_bytes(REPORTS, 'no number', b'{}', part)
            site.store.put_bytes(REPORTS, str(newest - 1), b'junk', part)
            for number, body in enumerate(
                (b'junk', b'[]', b'{"small":"many"}', b'{"small":-5}', b'')
            ):
                key = counts_key(newest + 2, f'odd-{number}')
                site.store.put_bytes(key.table, key.key, body, key.part)
            site.hosts[0].duties.usage.reporter.plan = None
            await call_small(site, site.hosts[0])
            await wait_until(lambda: max(api.reports()) > newest + 3)
            check_reports(api)
            return sum_reports(api)

    assert curio.run(main) == 1
