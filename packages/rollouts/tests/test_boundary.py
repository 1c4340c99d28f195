"""Tests that the platform's names occur only in the platform adapter."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
NAMES = re.compile(
    '|'.join(
        (
            'pathPrefix',
            'targetLatencyMs',
            'trafficSplit',
            'rows-tx',
            'rows-get',
            'rows-feed',
            'blob-put',
            'kv-events',
            'Attempt-Id',
            'attempt-id',
            'Server-Stamp',
            'server-stamp',
            'Server-Limit',
            'server-limit',
            'Expect-Instance',
            'expect-instance',
            'Prompt-Prefix',
            '/v1/lots',
            '/v1/items',
            '/v1/order',
            '/v1/report',
            'coldLeftMs',
            'numWaiting',
            'groupCount',
            'sequoia_platform',
        ),
    ),
)


def find_sources(folder):
    for source in folder.rglob('*.py'):
        if 'tests' not in source.parts and 'build' not in source.parts:
            yield source


def test_no_package_contains_a_name_of_the_platform():
    sources = list(find_sources(ROOT / 'packages'))
    assert sources
    for source in sources:
        found = NAMES.search(source.read_text())
        assert not found, f'{source.name}: {found and found[0]}'
