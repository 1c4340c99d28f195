"""Tests of the leases of coordinators."""

import random

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.coordinators import (
    LEASES_PER_DOMAIN,
    CoordinatorLease,
    count_hosts,
    find_claim_delay,
    find_claimable_leases,
    list_lease_names,
)
from sequoia_policy.liveness import Heartbeat

OWN = Heartbeat('h1', 'b1', 0, domain='z1')


def make_lease(number, host, domain='z1', hosts=0):
    heartbeat = Heartbeat(host, 'b1', 1, domain=domain, hosts=hosts)
    return CoordinatorLease(f'{domain}/{number}', number + 1, heartbeat)


def is_alive(_owner):
    return False


def test_all_leases_are_claimable_in_an_empty_table():
    claimable = find_claimable_leases([], OWN, is_alive)
    assert claimable == list(list_lease_names('z1'))
    assert len(claimable) == LEASES_PER_DOMAIN


def test_leases_of_live_hosts_and_of_other_domains_are_not_claimable():
    leases = [
        make_lease(0, 'h2'),
        make_lease(1, 'h3'),
        make_lease(2, 'h4'),
        make_lease(0, 'h5', domain='z2'),
    ]
    assert find_claimable_leases(leases, OWN, is_alive) == []


def test_the_lease_of_a_dead_host_is_claimable():
    leases = [make_lease(number, f'h{number + 2}') for number in range(3)]
    claimable = find_claimable_leases(
        leases, OWN, lambda owner: owner == 'h4/b1'
    )
    assert claimable == ['z1/2']


@given(st.integers(), st.floats(1.5, 8), st.floats(0.2, 0.6))
def test_large_hosts_claim_before_small_ones(seed, large, small):
    rng = random.Random(seed)
    assert find_claim_delay(large, rng) < find_claim_delay(small, rng)


def test_the_hosts_of_a_domain_are_counted_once():
    leases = [
        make_lease(0, 'h2', hosts=39),
        make_lease(1, 'h3', hosts=38),
        make_lease(0, 'h5', domain='z2', hosts=40),
        make_lease(1, 'h6', domain='z2'),
    ]
    assert count_hosts(leases) == 79
    assert count_hosts([]) == 0
