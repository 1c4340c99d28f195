"""Tests of the limits that targets name in their responses."""

from datetime import timedelta

import curio
import pytest
from sequoia_platform.engines import PlatformDialect
from sequoia_wire.messages import ResponseHead, encode_headers
from sites import open_site

SECOND = timedelta(seconds=1)


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
            limits = host.live.sender.limits
            found = []
            for limit in ('2.4', '2.4', ''):
                scorer.limit = limit
                await site.call(host, 'POST', '/live/a', attempt_id='r1')
                found.append(limits.by_name.get(scorer.name))
            return found

    first, second, lifted = curio.run(main)
    assert (first.per_second, second.per_second) == (2.4, 2.4)
    assert lifted is None


def test_engine_names_limit_in_response_to_item():
    async def main():
        async with open_site(engines=1) as site:
            site.engines[0].limit = '50'
            await site.submit(site.hosts[0], count=2)
            await site.read_all_results(site.hosts[0])
            return site.hosts[0].live.sender.limits.by_name

    limits = curio.run(main)
    assert limits['e0'].per_second == 50
