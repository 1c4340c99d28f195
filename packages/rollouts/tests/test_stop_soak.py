"""Stops of real processes lose no request; SEEDS=50 plays as many by hand."""

import os

import curio
import pytest
from stop_soak import GRACE, StopSoak

SEEDS = int(os.environ.get('SEEDS', '2'))
FIRST_SEED = int(os.environ.get('FIRST_SEED', '1'))


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_stops_in_turn_lose_no_request(seed, tmp_path):
    """Requests were taken late in the grace and cut at its end."""
    soak = StopSoak(seed, tmp_path)
    curio.run(soak.run)
    broken = soak.find_broken()
    assert not broken, '\n'.join(broken)
    for host in soak.hosts:
        (lasted,) = host.read_stops()
        assert lasted < GRACE
    assert set(soak.read_statuses.values()) <= {200}
    assert {request.status for request in soak.seen} >= {200}
