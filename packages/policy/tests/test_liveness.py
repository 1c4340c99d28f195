"""Tests of which hosts count as dead."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.liveness import (
    FEEDS,
    HEARTBEATS_PER_SECOND,
    SHORTEST_FEED_PERIOD,
    Heartbeat,
    LivenessTable,
    HeartbeatTiming,
)

DEAD_AFTER = HeartbeatTiming().dead_after
LONGEST_GAP = HeartbeatTiming().longest_gap

STEP = timedelta(milliseconds=400)
START = timedelta(seconds=50)


def beat(count, host='h1', boot='b1', **fields):
    return Heartbeat(host, boot, count, **fields)


def read_for(table, heartbeat, since, span):
    """Read the same heartbeat again and again; return the last time."""
    now = since
    while now - since < span:
        now += STEP
        table.update([heartbeat], now)
    return now


def test_a_silent_host_is_dead_after_its_time():
    table = LivenessTable()
    table.update([beat(1)], START)
    assert not table.is_dead('h1/b1', START)
    now = read_for(table, beat(1), START, DEAD_AFTER)
    assert table.is_dead('h1/b1', now + timedelta(milliseconds=1))


@given(st.integers(1, 2000))
def test_the_lease_ends_before_others_think_that_the_host_is_dead(hosts):
    timing = HeartbeatTiming(hosts)
    assert timing.period < timing.lease < timing.dead_after


@given(st.integers(100, 2000))
def test_many_hosts_leave_the_store_its_writes(hosts):
    beats = hosts / HeartbeatTiming(hosts).period.total_seconds()
    assert round(beats) <= HEARTBEATS_PER_SECOND


def test_a_site_of_today_finds_a_dead_host_in_less_than_two_seconds():
    assert HeartbeatTiming(11).dead_after < timedelta(seconds=2)


def test_an_earlier_boot_is_dead_at_once():
    table = LivenessTable()
    table.update([beat(7)], START)
    table.update([beat(1, boot='b2')], START + STEP)
    assert table.is_dead('h1/b1', START + STEP)
    assert not table.is_dead('h1/b2', START + STEP)


def test_a_heartbeat_that_arrives_late_revives_nobody():
    table = LivenessTable()
    table.update([beat(5)], START)
    now = read_for(table, beat(4), START, DEAD_AFTER)
    assert table.is_dead('h1/b1', now + timedelta(milliseconds=1))


def test_time_counts_only_while_the_table_is_read():
    table = LivenessTable()
    table.update([beat(1)], START)
    later = START + LONGEST_GAP + DEAD_AFTER
    table.update([beat(1)], later)
    assert not table.is_dead('h1/b1', later)


def test_a_host_that_was_dead_before_a_gap_stays_dead():
    """Else work is given to it again after each outage of the store."""
    table = LivenessTable()
    table.update([beat(1)], START)
    now = read_for(table, beat(1), START, DEAD_AFTER + STEP)
    assert table.is_dead('h1/b1', now)
    later = now + 2 * LONGEST_GAP
    table.update([beat(1)], later)
    assert table.is_dead('h1/b1', later)
    assert table.live_owners(later) == []
    table.update([beat(2)], later + STEP)
    assert not table.is_dead('h1/b1', later + STEP)


def test_an_unknown_owner_is_dead_only_once_the_table_was_read():
    table = LivenessTable()
    assert not table.is_dead('h9/b9', START)
    table.update([], START)
    assert table.is_dead('h9/b9', START)


def test_draining_hosts_take_up_nothing():
    table = LivenessTable()
    table.update([beat(1), beat(1, host='h2', draining=True)], START)
    assert table.live_owners(START) == ['h1/b1']


@given(st.lists(st.integers(0, 50), min_size=1))
def test_only_a_growing_count_shows_life(counts):
    table = LivenessTable()
    now = START
    best = None
    shown = now
    for count in counts:
        now += STEP
        table.update([beat(count)], now)
        if best is None or count > best:
            best, shown = count, now
        assert table.is_dead('h1/b1', now) == (now - shown > DEAD_AFTER)


def test_reads_of_all_hosts_keep_to_their_share_of_the_store():
    assert HeartbeatTiming(10).feed_period == SHORTEST_FEED_PERIOD
    for hosts in (30, 100, 390):
        timing = HeartbeatTiming(hosts)
        feeds = FEEDS / timing.feed_period.total_seconds()
        heartbeats = 1 / timing.period.total_seconds()
        assert hosts * (feeds + heartbeats) <= 2000
