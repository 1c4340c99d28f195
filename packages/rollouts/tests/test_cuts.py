"""Tests of hosts and targets that are cut off."""

import curio
from sequoia_wire.messages import Address
from sites import open_site, wait_until

NOBODY = Address('127.0.0.1', 1)


def test_a_host_that_the_store_turns_away_sends_callers_to_others():
    async def main():
        async with open_site(hosts=2) as site:
            first, second = site.hosts
            client = first.platform.store.client
            address = first.platform.store.address
            await wait_until(lambda: first.peers.reachability.observed)
            first.platform.store.address = NOBODY
            await client.close()
            await wait_until(lambda: not first.is_ready, 4)
            assert second.is_ready
            first.platform.store.address = address
            await wait_until(lambda: first.is_ready, 4)

    curio.run(main)


def test_a_store_that_is_down_for_all_leaves_all_hosts_ready():
    async def main():
        async with open_site(hosts=2) as site:
            site.store.down = 503
            await curio.sleep(3)
            return [host.is_ready for host in site.hosts]

    assert curio.run(main) == [True, True]


def test_a_request_for_targets_out_of_reach_is_refused_at_once():
    async def main():
        async with open_site(scorers=2) as site:
            host = site.hosts[0]
            for scorer in site.scorers:
                await scorer.server.accepting.cancel()
                await scorer.server.listener.close()
            answers = []
            started = host.clock.elapsed()
            for number in range(6):
                answers.append(
                    await site.call(
                        host, 'POST', '/live/a', attempt_id=f'r{number}'
                    )
                )
            return answers, host.clock.elapsed() - started

    answers, took = curio.run(main)
    assert {answer.status for answer in answers} == {503}
    assert all(answer.head.header('retry-after') for answer in answers)
    assert took.total_seconds() < 1
