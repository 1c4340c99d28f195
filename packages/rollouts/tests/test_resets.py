"""Connections are reset in each phase of a message."""

import socket
from contextlib import asynccontextmanager

import curio
import pytest
from relays import Relay
from sequoia_policy.errors import ServiceError
from sites import find_peer_address, open_site, wait_until

WORDS = 6
# Bytes of responses before a reset: before the head, in it, in the body of a
# short response, between and within the events of a stream.
CUTS = (0, 1, 40, 90, 150, 175, 230, 300)
SHORT_CUTS = (0, 1, 20, 40, 60)


@asynccontextmanager
async def open_relayed_site(server_name, **options):
    """Run a site whose named target is reached through a relay."""
    async with open_site(**options) as site:
        servers = {
            server.name: server for server in (*site.engines, *site.scorers)
        }
        server = servers[server_name]
        relay = Relay(server.server.address)
        relay.open()
        await curio.spawn(relay.run, daemon=True)
        entry = {**server.entry(), 'address': str(relay.address)}
        site.store.put('servers', server_name, entry)
        registry = site.hosts[0].directory.registry
        await wait_until(
            lambda: (
                registry.targets[server_name].registration.address
                == str(relay.address)
            )
        )
        yield site, relay


def check_texts(results, count):
    assert sorted(result['id'] for result in results) == [
        f'item{number}' for number in range(count)
    ]
    for result in results:
        words = [f'{result["id"]}-{number}' for number in range(1, WORDS + 1)]
        assert result['state'] == 'completed'
        assert result['text'] == '\n'.join(words)


@pytest.mark.parametrize('cut', CUTS)
def test_text_is_whole_after_resets_by_its_engine(cut):
    async def main():
        async with open_relayed_site('e0', engines=1, words=WORDS) as opened:
            site, relay = opened
            relay.cuts = [cut] * 3
            await site.submit(site.hosts[0], count=4)
            return await site.read_all_results(site.hosts[0], seconds=12)

    check_texts(curio.run(main), 4)


@pytest.mark.parametrize('cut', SHORT_CUTS)
def test_request_that_may_run_twice_is_served_after_resets(cut):
    async def main():
        async with open_relayed_site('p0', scorers=1) as (site, relay):
            relay.cuts = [cut]
            response = await site.call(
                site.hosts[0], 'POST', '/live/a', attempt_id='r1'
            )
            return response, relay.resets

    response, resets = curio.run(main)
    assert response.status == 200
    assert response.body == b'done'
    assert resets == 1


@pytest.mark.parametrize('cut', SHORT_CUTS)
def test_request_that_may_run_once_runs_once_and_is_not_denied(cut):
    async def main():
        async with open_relayed_site('p0', scorers=1) as (site, relay):
            relay.cuts = [cut]
            response = await site.call(
                site.hosts[0], 'POST', '/once/a', attempt_id='r1'
            )
            return response, site.scorers[0].runs

    response, runs = curio.run(main)
    assert response.status == 502
    assert [name for name, _ in runs] == ['r1']


@pytest.mark.parametrize(
    ('path', 'is_repeated', 'expected_status'),
    [('/live/a', True, 200), ('/once/a', False, 502)],
)
def test_reset_of_a_reused_connection_as_the_request_is_sent(
    path, is_repeated, expected_status
):
    async def main():
        async with open_relayed_site('p0', scorers=1) as (site, relay):
            first = await site.call(
                site.hosts[0], 'POST', path, attempt_id='r1'
            )
            relay.refuse_requests = 1
            second = await site.call(
                site.hosts[0], 'POST', path, attempt_id='r2'
            )
            third = await site.call(
                site.hosts[0], 'POST', path, attempt_id='r3'
            )
            return first, second, third, site.scorers[0].runs

    first, second, third, runs = curio.run(main)
    assert first.status == third.status == 200
    expected_runs = ['r1', 'r2', 'r3'] if is_repeated else ['r1', 'r3']
    assert [name for name, _ in runs] == expected_runs
    assert second.status == expected_status


@pytest.mark.parametrize('cut', [0, 1, 60, 200, 2000])
def test_submission_survives_resets_by_the_store(cut):
    async def main():
        async with open_site(engines=2, words=WORDS) as site:
            relay = Relay(site.store.server.address)
            relay.open()
            await curio.spawn(relay.run, daemon=True)
            host = site.hosts[0]
            host.platform.store.address = relay.address
            relay.cuts = [cut, None] * 20
            accepted = 0
            while accepted != 202:
                try:
                    response = await site.submit(host, count=4)
                    accepted = response.status
                except ServiceError:
                    await curio.sleep(0.1)
            return await site.read_all_results(host, seconds=15)

    check_texts(curio.run(main), 4)


@pytest.mark.parametrize('size', [0, 10, 60, 200])
def test_caller_that_resets_in_its_request_leaves_the_host_serving(size):
    request = (
        b'POST /live/a HTTP/1.1\r\nhost: site.example\r\nattempt-id: r1\r\n'
        b'deadline-ms: 2000\r\ncontent-length: 200\r\n\r\n' + b'x' * 200
    )

    async def main():
        async with open_site() as site:
            address = site.hosts[0].front.address
            for _ in range(20):
                sock = await curio.open_connection(address.host, address.port)
                await sock.sendall(request[:size])
                Relay(address).reset(sock)
                await sock.close()
            response = await site.call(
                site.hosts[0], 'POST', '/live/a', attempt_id='r2'
            )
            return response, site.scorers[0].runs

    response, runs = curio.run(main)
    assert response.status == 200
    assert [name for name, _ in runs] == ['r2']


def test_host_of_a_site_starts_though_its_next_port_is_taken_over_udp():
    """Its port was free over TCP only: "Address already in use"."""
    taken = find_peer_address()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((taken.host, taken.port + 1))

        async def main():
            async with open_site() as site:
                return site.hosts[0].coordination.peers.address.port

        assert curio.run(main) != taken.port + 1
