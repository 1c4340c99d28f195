"""Real processes hand the duty to order engines on."""

import os
from contextlib import asynccontextmanager

import curio
from capacity_standin import OK, TOO_MANY, CapacityStandin
from engine_standin import EngineStandin
from host_processes import HostProcess
from sites import make_manifest, wait_until
from store_standin import StoreStandin

IP = '127.0.104.{number}'
FIRST_CALL = 40.0  # seconds: start, watch, and the time of a restart
NEXT_CALL = 40.0  # seconds: takeover and watch
SCALING = {
    'min': 1,
    'max': 5,
    'bootS': 4,
    'spotPrice': 0.22,
    'zonePrices': {'z1': 1, 'z2': 1.2},
}


@asynccontextmanager
async def run_hosts(folder, count):
    """Run hosts in processes of their own, and all that they talk to."""
    store, api = StoreStandin(), CapacityStandin()
    engines = [EngineStandin(f'e{number}') for number in range(4)]
    manifest = make_manifest(5)
    manifest['services'][0]['scaling'] = SCALING
    hosts = []
    async with curio.TaskGroup(wait=None) as group:
        for standin in (store, api, *engines):
            standin.server.open()
            await group.spawn(standin.server.run)
        for engine, zone in zip(engines, ('z1', 'z1', 'z2', 'z2'), strict=True):
            store.put('servers', engine.name, engine.entry(zone=zone))
        store.put('op', 'config', manifest)
        settings = {
            'cloudApi.address': str(api.server.address),
            'cloudApi.duties': 'autoscale',
            'cloudApi.dutyPerS': '2',
        }
        first = 10 + os.getpid() % 100 * 2
        for number in range(count):
            ip = IP.format(number=first + number)
            host = HostProcess(
                f'h{number + 1}',
                ip,
                folder,
                store.server.address,
                options=settings,
            )
            host.start()
            hosts.append(host)
        try:
            for started in hosts:
                await started.wait_until_ready()
            yield store, api, hosts
        finally:
            for running in hosts:
                running.kill()


def test_next_process_orders_what_a_killed_one_had_decided(tmp_path):
    """The decision is known to the killed process only, and the loss to both."""

    async def main():
        async with run_hosts(tmp_path, 2) as (store, api, hosts):
            await curio.sleep(6)  # in which both count the engines
            api.refusals = 1
            store.remove('servers', 'e0')
            await wait_until(lambda: api.calls, FIRST_CALL)
            holder = api.calls[0].holder
            for host in hosts:
                if host.name == holder:
                    host.kill()
            await wait_until(
                lambda: any(call.holder != holder for call in api.calls),
                NEXT_CALL,
            )
            return api.calls

    calls = curio.run(main)
    first, last = calls[0], calls[-1]
    assert (first.status, last.status) == (TOO_MANY, OK)
    assert (first.domain, first.count) == ('z1', 2)
    assert (last.domain, last.count) == ('z1', 2)
    assert last.fence > first.fence
    assert last.at - first.at > 10
