"""Tests of the shares of the platform's call rates."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.coordinators import LEASES_PER_DOMAIN
from sequoia_policy.rates import (
    FEEDS_PER_HOST,
    MIN_FEED_INTERVAL,
    StoreRates,
)

LARGE_FLEET = 390  # hosts


@given(st.integers(1, 2000), st.floats(100, 20000))
def test_feeds_of_all_hosts_leave_reads_for_results(hosts, reads):
    interval = StoreRates(reads=reads).find_feed_interval(hosts)
    rate = hosts * FEEDS_PER_HOST / interval.total_seconds()
    assert rate <= 0.7 * reads + FEEDS_PER_HOST * hosts * 1e-6


@given(st.integers(1, 100), st.floats(5, 1000))
def test_heartbeats_use_at_most_half_of_the_writes_of_a_partition(
    domains, writes
):
    leases = domains * LEASES_PER_DOMAIN
    interval = StoreRates(partition_writes=writes).find_heartbeat_interval(
        leases
    )
    assert leases / interval.total_seconds() <= 0.51 * writes


def test_a_small_fleet_reads_changes_often():
    assert StoreRates().find_feed_interval(10) == MIN_FEED_INTERVAL


def test_a_large_fleet_reads_changes_within_a_second():
    interval = StoreRates().find_feed_interval(LARGE_FLEET)
    assert interval < timedelta(seconds=1)


def test_a_fleet_of_unknown_size_reads_changes_like_a_large_one():
    assert StoreRates().find_feed_interval(0) > 5 * MIN_FEED_INTERVAL
