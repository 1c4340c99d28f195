"""Real processes do not accept a key after it was taken away."""

import os
import signal
import uuid
from contextlib import asynccontextmanager

import curio
from engine_standin import PlainStandin
from host_processes import FRONT_PORT, HostProcess
from sequoia_wire.clients import HttpClient
from sequoia_wire.messages import Address, RequestHead, encode_headers
from sites import AUTHORITY, CALL_TIMEOUTS, make_manifest
from store_standin import StoreStandin

TAKEN, KEPT = 'key-that-is-taken', 'key-that-is-kept'
PAUSE = 6.0  # seconds; longer than a read of the store takes that fails
BOUND = 3.0  # seconds from the new version until it must be in force
READY_TIMEOUT = 20.0  # seconds
IP = '127.0.91.{number}'


def make_accounts(version, *keys):
    manifest = make_manifest(version)
    manifest['tenants'] = [{'name': 'small', 'apiKeys': list(keys)}]
    return manifest


@asynccontextmanager
async def run_host(folder):
    """Run one host in a process of its own, and all that it talks to."""
    store, server = StoreStandin(), PlainStandin('p0')
    async with curio.TaskGroup(wait=None) as group:
        for standin in (store, server):
            standin.server.open()
            await group.spawn(standin.server.run)
        store.put('servers', server.name, server.entry())
        store.put('op', 'config', make_accounts(5, TAKEN, KEPT))
        number = os.getpid() % 200 + 1
        host = HostProcess(
            'h1', IP.format(number=number), folder, store.server.address
        )
        host.start()
        try:
            await host.wait_until_ready()
            yield store, server, host
        finally:
            host.kill()


async def call(host, key, client=None):
    """Return the status of one request; None if no host answered."""
    headers = {
        'host': AUTHORITY,
        'attempt-id': uuid.uuid4().hex,
        'deadline-ms': '2000',
        'x-api-key': key,
    }
    head = RequestHead('POST', '/live/x', encode_headers(headers))
    try:
        response = await (client or HttpClient()).fetch(
            Address(host.ip, FRONT_PORT), head, b'', CALL_TIMEOUTS
        )
    except Exception:  # noqa: BLE001
        return None
    return response.status


async def collect_until_served(host):
    """Return what the taken key got until the kept one was served."""
    seen = set()
    async with curio.timeout_after(READY_TIMEOUT):
        while await call(host, KEPT) != 200:
            seen.add(await call(host, TAKEN))
            await curio.sleep(0.02)
    seen.add(await call(host, TAKEN))
    return seen


def test_a_host_that_starts_again_accepts_no_key_that_was_taken_away(tmp_path):
    """A key that was taken away opened the host after its restart."""

    async def main():
        async with run_host(tmp_path) as (store, _server, host):
            before = await call(host, TAKEN)
            host.kill()
            store.put('op', 'config', make_accounts(8, KEPT))
            host.start()
            return before, await collect_until_served(host)

    before, seen = curio.run(main)
    assert before == 200
    assert seen <= {None, 401, 503}
    assert 401 in seen


def test_a_host_that_was_paused_accepts_no_key_that_was_taken_away(tmp_path):
    """It answered what had arrived before it read the store again."""

    async def main():
        async with run_host(tmp_path) as (store, _server, host):
            client = HttpClient()
            before = await call(host, TAKEN, client)
            host.signal(signal.SIGSTOP)
            store.put('op', 'config', make_accounts(8, KEPT))
            async with curio.TaskGroup() as group:
                sent = [
                    await group.spawn(call, host, TAKEN, client),
                    await group.spawn(call, host, TAKEN),
                ]
                await curio.sleep(PAUSE)
                host.signal(signal.SIGCONT)
            seen = {task.result for task in sent}
            return before, seen | await collect_until_served(host)

    before, seen = curio.run(main)
    assert before == 200
    assert 200 not in seen
    assert 401 in seen


def test_a_host_that_was_cut_from_the_store_learns_of_the_key(tmp_path):
    """A key that was taken away meanwhile went on to open the host."""

    async def main():
        async with run_host(tmp_path) as (store, _server, host):
            store.down = 503
            await curio.sleep(PAUSE)
            during = await call(host, TAKEN)
            store.put('op', 'config', make_accounts(8, KEPT))
            store.down = 0
            await curio.sleep(BOUND)
            return during, await call(host, TAKEN), await call(host, KEPT)

    assert curio.run(main) == (200, 401, 200)
