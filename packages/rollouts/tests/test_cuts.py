"""Tests of hosts without access to the store and of unreachable targets."""

import curio
from sequoia_wire.messages import Address
from sites import open_site, wait_until

CLOSED_ADDRESS = Address('127.0.0.1', 1)


def test_only_a_host_that_cannot_reach_the_store_is_not_ready():
    async def main():
        async with open_site(hosts=2) as site:
            first, second = site.hosts
            client = first.platform.store.client
            address = first.platform.store.address
            await wait_until(first.coordination.peers.choose_peers)
            first.platform.store.address = CLOSED_ADDRESS
            await client.close()
            await wait_until(lambda: not first.is_ready, 4)
            assert second.is_ready
            first.platform.store.address = address
            await wait_until(lambda: first.is_ready, 4)

    curio.run(main)


def test_all_hosts_stay_ready_if_the_store_fails_for_all_of_them():
    async def main():
        async with open_site(hosts=2) as site:
            site.store.down = 503
            await curio.sleep(3)
            return [host.is_ready for host in site.hosts]

    assert curio.run(main) == [True, True]


def test_requests_for_unreachable_targets_are_refused_within_a_second():
    async def main():
        async with open_site(scorers=2) as site:
            host = site.hosts[0]
            for scorer in site.scorers:
                await scorer.server.accepting.cancel()
                await scorer.server.listener.close()
            responses = []
            started_at = host.clock.elapsed()
            for number in range(6):
                responses.append(
                    await site.call(
                        host, 'POST', '/live/a', attempt_id=f'r{number}'
                    )
                )
            return responses, host.clock.elapsed() - started_at

    responses, duration = curio.run(main)
    assert {response.status for response in responses} == {503}
    assert all(response.head.header('retry-after') for response in responses)
    assert duration.total_seconds() < 1
