"""Tests of the limits that targets name in their responses."""

import curio
import pytest
from sequoia_platform.engines import PlatformDialect
from sequoia_wire.messages import ResponseHead, encode_headers
from sites import find_limits, open_site, wait_until

WINDOW = 4.0  # seconds
SLACK = 1.5  # times the limit
EXTRA = 5  # requests


@pytest.mark.parametrize(
    ('text', 'rate'),
    [('2.4', 2.4), ('0', 0), ('nan', None), ('-1', None), ('many', None)],
)
def test_limit_is_a_number_from_zero_on(text, rate):
    head = ResponseHead(200, encode_headers({'server-limit': text}))
    assert PlatformDialect().read_labels(head).max_rate == rate


def test_response_names_limit_until_a_later_one_does_not():
    async def main():
        async with open_site() as site:
            host, scorer = site.hosts[0], site.scorers[0]
            found = []
            for limit in ('2.4', '2.4', ''):
                scorer.limit = limit
                await site.call(host, 'POST', '/live/a', attempt_id='r1')
                found.append(find_limits(host).get(scorer.name))
            return found

    first, second, lifted = curio.run(main)
    assert (first.per_second, second.per_second) == (2.4, 2.4)
    assert lifted is None


def test_response_to_another_request_names_no_limit():
    async def main():
        async with open_site() as site:
            site.scorers[0].limit = '2.4'
            site.scorers[0].wrong_ids = 9
            await site.call(site.hosts[0], 'POST', '/once/a', attempt_id='r1')
            return find_limits(site.hosts[0])

    assert not curio.run(main)


def test_engine_names_limit_in_response_to_item():
    async def main():
        async with open_site(engines=1) as site:
            site.engines[0].limit = '50'
            await site.submit(site.hosts[0], count=2)
            await site.read_all_results(site.hosts[0])
            return find_limits(site.hosts[0])

    limits = curio.run(main)
    assert limits['e0'].per_second == 50


def check_limit(target):
    """Check the arrivals at a target, from 0.5 s after the first one on."""
    allowed = float(target.limit) * WINDOW * SLACK + EXTRA
    start = target.received_at[0] + 0.5
    arrivals = [time for time in target.received_at if time >= start]
    assert arrivals
    for first in arrivals:
        window = [time for time in arrivals if first <= time < first + WINDOW]
        assert len(window) <= allowed


async def call_live(site, host, request_id):
    return await site.call(
        host, 'POST', f'/live/{request_id}', attempt_id=request_id
    )


async def call_repeatedly(site, host, seconds, interval=0.1):
    """Send requests at a constant rate; return the statuses."""
    calls = curio.TaskGroup()
    for number in range(round(seconds / interval)):
        await calls.spawn(
            call_live, site, host, f'{host.settings.name}-{number}'
        )
        await curio.sleep(interval)
    await calls.join()
    return [response.status for response in calls.results]


def test_hosts_together_send_no_more_live_requests_than_target_names():
    async def main():
        async with open_site(hosts=3) as site:
            site.scorers[0].limit = '2'
            async with curio.TaskGroup() as callers:
                for host in site.hosts:
                    await callers.spawn(call_repeatedly, site, host, 5)
            return site.scorers[0], callers.results

    scorer, statuses = curio.run(main)
    check_limit(scorer)
    assert {status for found in statuses for status in found} == {200, 503}


def test_items_and_rewards_keep_limits_of_their_targets():
    async def main():
        async with open_site(engines=1, pace=0.1) as site:
            engine, scorer = site.engines[0], site.scorers[0]
            engine.limit = '4'
            scorer.limit = '2'
            await site.submit(site.hosts[0], count=60)
            await wait_until(lambda: engine.received_at)
            await curio.sleep(5)
            return engine, scorer

    engine, scorer = curio.run(main)
    check_limit(engine)
    check_limit(scorer)
