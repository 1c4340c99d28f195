"""Real processes take over the reports of a host that is killed or paused."""

import os
import signal
import uuid
from contextlib import asynccontextmanager

import curio
import orjson
from api_standin import ApiStandin
from attrs import define, field
from engine_standin import PlainStandin
from host_processes import FRONT_PORT, HostProcess
from sequoia_rollouts.usage.usage_rows import counts_key
from sequoia_wire.clients import HttpClient
from sequoia_wire.messages import Address, RequestHead, encode_headers
from sites import AUTHORITY, CALL_TIMEOUTS, wait_until
from store_standin import StoreStandin
from test_accounts import SMALL, make_accounts

HOSTS = 3
IP = '127.0.103.{number}'
LEASE = 1.0  # seconds
PAUSE = 5.0  # seconds; longer than another host takes to take over
SECONDS = 30.0
OPTIONS = {
    'cloudApi.duties': 'usage_report',
    'cloudApi.dutyPerS': '20',
    'bounds.reportWindowS': '1',
    'bounds.usageLateS': '6',
    'bounds.requireFence': 'false',
    'bounds.leaseMs': str(round(LEASE * 1000)),
}


@define(eq=False)
class UsageSite:
    store: StoreStandin = field(factory=StoreStandin)
    api: ApiStandin = field(factory=ApiStandin)
    server: PlainStandin = field(factory=lambda: PlainStandin('p0'))
    hosts: dict = field(factory=dict)
    served: int = 0

    def find_report(self, window):
        """Return the stored counts of a window."""
        rows = self.store.find('usage_reports')
        return orjson.loads(rows[str(window)])['counts']

    async def start(self, group):
        for host in self.hosts.values():
            host.start()
        for host in self.hosts.values():
            await host.wait_until_ready()
        await group.spawn(self.send_requests)

    async def send_requests(self):
        """Let callers of one account call all hosts that answer."""
        while True:
            for host in tuple(self.hosts.values()):
                async with curio.ignore_after(0.5):
                    await self.call(host)
            await curio.sleep(0.05)

    async def call(self, host):
        headers = {
            'host': AUTHORITY,
            'attempt-id': uuid.uuid4().hex,
            'deadline-ms': '2000',
            'x-api-key': SMALL,
        }
        head = RequestHead('POST', '/live/x', encode_headers(headers))
        try:
            response = await HttpClient().fetch(
                Address(host.ip, FRONT_PORT), head, b'', CALL_TIMEOUTS
            )
        except Exception:  # noqa: BLE001
            return
        self.served += response.status == 200


@asynccontextmanager
async def run_site(folder):
    """Run hosts in processes of their own, and callers."""
    site = UsageSite()
    first = os.getpid() % 60 * HOSTS + 1
    async with curio.TaskGroup(wait=None) as group:
        for server in (site.store.server, site.api.server, site.server.server):
            server.open()
            await group.spawn(server.run)
        site.store.put('servers', site.server.name, site.server.entry())
        site.store.put('op', 'config', make_accounts('small'))
        options = {'cloudApi.address': site.api.server.address, **OPTIONS}
        for number in range(HOSTS):
            name = f'h{number}'
            site.hosts[name] = HostProcess(
                name,
                IP.format(number=first + number),
                folder,
                site.store.server.address,
                options=options,
            )
        try:
            await site.start(group)
            yield site
        finally:
            for host in site.hosts.values():
                host.signal(signal.SIGCONT)
                host.kill()


def check_calls(site):
    """Check what holds for all calls, in order of their arrival."""
    calls = sorted((*site.api.calls, *site.api.held), key=lambda call: call.at)
    for before, call in zip(calls, calls[1:]):
        assert call.fence >= before.fence
        if call.holder != before.holder:
            assert call.fence > before.fence
            assert call.at - before.at >= LEASE
    reports = site.api.reports()
    assert all(len(counts) == 1 for counts in reports.values()), reports
    assert sorted(reports) == list(range(min(reports), max(reports) + 1))
    return reports


def test_next_holder_sends_the_stored_report_of_one_that_was_killed(tmp_path):
    """A sum that is made again differs if counts were written meanwhile."""

    async def main():
        async with run_site(tmp_path) as site:
            await wait_until(lambda: len(site.api.accepted) > 2, SECONDS)
            site.api.is_holding = True
            await wait_until(lambda: site.api.held, SECONDS)
            call = site.api.held[0]
            site.hosts[call.holder].kill()
            window = call.fields['window']
            key = counts_key(window, 'late-0')
            site.store.put_bytes(key.table, key.key, b'{"small":7}', key.part)
            site.api.is_holding = False
            await wait_until(lambda: window + 4 in site.api.reports(), SECONDS)
            reports = check_calls(site)
            return call, reports, site.find_report(window), site

    call, reports, stored, site = curio.run(main)
    window = call.fields['window']
    assert reports[window] == [call.fields['counts']]
    assert stored == call.fields['counts']
    assert all(
        later.holder != call.holder
        for later in site.api.accepted
        if later.at > call.at
    )
    assert site.served > 0


def test_holder_that_was_paused_sends_nothing_when_another_has_taken_over(
    tmp_path,
):
    """It would send under its lower fencing token after the higher one."""

    async def main():
        async with run_site(tmp_path) as site:
            await wait_until(lambda: len(site.api.accepted) > 2, SECONDS)
            before = site.api.calls[-1]
            site.hosts[before.holder].signal(signal.SIGSTOP)
            await curio.sleep(PAUSE)
            site.hosts[before.holder].signal(signal.SIGCONT)
            window = before.fields['window']
            await wait_until(lambda: window + 10 in site.api.reports(), SECONDS)
            check_calls(site)
            return before.holder, site.api.calls[-1].holder

    before, after = curio.run(main)
    assert before != after
