"""Tests of failure detection by heartbeats."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.liveness import (
    FEEDS_PER_HOST,
    HEARTBEATS_PER_SECOND,
    MIN_FEED_INTERVAL,
    Heartbeat,
    HeartbeatTiming,
    LivenessTable,
)

DEAD_AFTER = HeartbeatTiming().dead_after
MAX_GAP = HeartbeatTiming().max_gap

STEP = timedelta(milliseconds=400)
START = timedelta(seconds=50)


def make_heartbeat(count, host='h1', boot='b1', **fields):
    return Heartbeat(host, boot, count, **fields)


def read_for(table, heartbeat, start, duration):
    """Read the same heartbeat repeatedly; return the time of the last read."""
    now = start
    while now - start < duration:
        now += STEP
        table.update([heartbeat], now)
    return now


def test_a_silent_host_is_dead_after_the_timeout():
    table = LivenessTable()
    table.update([make_heartbeat(1)], START)
    assert not table.is_dead('h1/b1', START)
    now = read_for(table, make_heartbeat(1), START, DEAD_AFTER)
    assert table.is_dead('h1/b1', now + timedelta(milliseconds=1))


@given(st.integers(1, 2000))
def test_the_lease_expires_before_the_host_counts_as_dead(hosts):
    timing = HeartbeatTiming(hosts)
    assert timing.interval < timing.lease_length < timing.dead_after


@given(st.integers(100, 2000))
def test_heartbeats_of_many_hosts_stay_within_the_write_rate(hosts):
    rate = hosts / HeartbeatTiming(hosts).interval.total_seconds()
    assert round(rate) <= HEARTBEATS_PER_SECOND


def test_a_dead_host_among_11_is_detected_in_less_than_two_seconds():
    """Current sites have 11 hosts."""
    assert HeartbeatTiming(11).dead_after < timedelta(seconds=2)


def test_a_previous_boot_is_dead_at_once():
    table = LivenessTable()
    table.update([make_heartbeat(7)], START)
    table.update([make_heartbeat(1, boot='b2')], START + STEP)
    assert table.is_dead('h1/b1', START + STEP)
    assert not table.is_dead('h1/b2', START + STEP)


def test_a_delayed_heartbeat_does_not_revive_a_host():
    table = LivenessTable()
    table.update([make_heartbeat(5)], START)
    now = read_for(table, make_heartbeat(4), START, DEAD_AFTER)
    assert table.is_dead('h1/b1', now + timedelta(milliseconds=1))


def test_silence_during_a_gap_in_reads_does_not_count():
    table = LivenessTable()
    table.update([make_heartbeat(1)], START)
    later = START + MAX_GAP + DEAD_AFTER
    table.update([make_heartbeat(1)], later)
    assert not table.is_dead('h1/b1', later)


def test_a_host_that_was_dead_before_a_gap_stays_dead():
    """Otherwise it would get work again after each store outage."""
    table = LivenessTable()
    table.update([make_heartbeat(1)], START)
    now = read_for(table, make_heartbeat(1), START, DEAD_AFTER + STEP)
    assert table.is_dead('h1/b1', now)
    later = now + 2 * MAX_GAP
    table.update([make_heartbeat(1)], later)
    assert table.is_dead('h1/b1', later)
    assert table.live_owners(later) == []
    table.update([make_heartbeat(2)], later + STEP)
    assert not table.is_dead('h1/b1', later + STEP)


def test_an_unknown_owner_is_dead_only_once_the_table_was_read():
    table = LivenessTable()
    assert not table.is_dead('h9/b9', START)
    table.update([], START)
    assert table.is_dead('h9/b9', START)


def test_draining_hosts_are_not_among_the_live_owners():
    table = LivenessTable()
    table.update(
        [make_heartbeat(1), make_heartbeat(1, host='h2', draining=True)], START
    )
    assert table.live_owners(START) == ['h1/b1']


@given(st.lists(st.integers(0, 50), min_size=1))
def test_only_an_increased_count_resets_the_timeout(counts):
    table = LivenessTable()
    now = START
    max_count = None
    advanced_at = now
    for count in counts:
        now += STEP
        table.update([make_heartbeat(count)], now)
        if max_count is None or count > max_count:
            max_count, advanced_at = count, now
        assert table.is_dead('h1/b1', now) == (now - advanced_at > DEAD_AFTER)


def test_reads_and_heartbeats_of_all_hosts_stay_within_2000_per_second():
    assert HeartbeatTiming(10).feed_interval == MIN_FEED_INTERVAL
    for hosts in (30, 100, 390):
        timing = HeartbeatTiming(hosts)
        feeds = FEEDS_PER_HOST / timing.feed_interval.total_seconds()
        heartbeats = 1 / timing.interval.total_seconds()
        assert hosts * (feeds + heartbeats) <= 2000
