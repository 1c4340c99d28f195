"""Tests of failure detection by heartbeats."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.liveness import (
    OBSERVER_READ_INTERVAL,
    Heartbeat,
    LivenessTable,
    LivenessTiming,
)

TIMING = LivenessTiming()
OBSERVER_TIMING = LivenessTiming(observes_only=True)
DEAD_AFTER = TIMING.dead_after
MAX_GAP = TIMING.max_gap

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
    table = LivenessTable(TIMING)
    table.update([make_heartbeat(1)], START)
    assert not table.is_dead('h1/b1', START)
    now = read_for(table, make_heartbeat(1), START, DEAD_AFTER)
    assert table.is_dead('h1/b1', now + timedelta(milliseconds=1))


@given(st.integers(400, 10000), st.booleans())
def test_the_lease_expires_before_the_host_counts_as_dead(
    milliseconds, observes_only
):
    interval = timedelta(milliseconds=milliseconds)
    timing = LivenessTiming(interval, observes_only)
    assert timing.interval < timing.lease_length < timing.dead_after


def test_a_dead_host_is_detected_in_less_than_two_seconds():
    assert DEAD_AFTER < timedelta(seconds=2)


def test_a_previous_boot_is_dead_at_once():
    table = LivenessTable(TIMING)
    table.update([make_heartbeat(7)], START)
    table.update([make_heartbeat(1, boot='b2')], START + STEP)
    assert table.is_dead('h1/b1', START + STEP)
    assert not table.is_dead('h1/b2', START + STEP)


def test_a_delayed_heartbeat_does_not_revive_a_host():
    table = LivenessTable(TIMING)
    table.update([make_heartbeat(5)], START)
    now = read_for(table, make_heartbeat(4), START, DEAD_AFTER)
    assert table.is_dead('h1/b1', now + timedelta(milliseconds=1))


def test_silence_during_a_gap_in_reads_does_not_count():
    table = LivenessTable(TIMING)
    table.update([make_heartbeat(1)], START)
    later = START + MAX_GAP + DEAD_AFTER
    table.update([make_heartbeat(1)], later)
    assert not table.is_dead('h1/b1', later)


def test_silence_since_the_last_read_does_not_count():
    """A host that renews its lease after a cut has not read the others' yet."""
    table = LivenessTable(TIMING)
    table.update([make_heartbeat(1)], START)
    later = START + 10 * DEAD_AFTER
    assert not table.is_dead('h1/b1', later)
    assert not table.is_dead('h9/b9', later)
    assert not table.is_dead('h9/b9', later + 10 * DEAD_AFTER)
    assert table.live_owners(later) == ['h1/b1']


def test_a_host_that_was_dead_before_a_gap_stays_dead():
    """Otherwise it would get work again after each store outage."""
    table = LivenessTable(TIMING)
    table.update([make_heartbeat(1)], START)
    now = read_for(table, make_heartbeat(1), START, DEAD_AFTER + STEP)
    assert table.is_dead('h1/b1', now)
    later = now + 2 * MAX_GAP
    table.update([make_heartbeat(1)], later)
    assert table.is_dead('h1/b1', later)
    assert table.live_owners(later) == []
    table.update([make_heartbeat(2)], later + STEP)
    assert not table.is_dead('h1/b1', later + STEP)


def test_a_process_that_the_last_read_did_not_list_is_not_dead_yet():
    """It may have started after the read; only silence proves its death."""
    table = LivenessTable(TIMING)
    assert not table.is_dead('h9/b9', START)
    table.update([], START)
    assert not table.is_dead('h9/b9', START)
    now = START
    while now - START <= DEAD_AFTER:
        assert not table.is_dead('h9/b9', now)
        now += STEP
        table.update([], now)
    assert table.is_dead('h9/b9', now)


def test_a_boot_that_was_never_listed_is_not_dead_because_of_another_one():
    """A host that has just started owns work before its lease is read."""
    table = LivenessTable(TIMING)
    table.update([make_heartbeat(7)], START)
    assert not table.is_dead('h1/b2', START)
    table.update([make_heartbeat(1, boot='b2')], START + STEP)
    assert not table.is_dead('h1/b2', START + STEP)
    table.update([make_heartbeat(8)], START + 2 * STEP)
    assert not table.is_dead('h1/b2', START + 2 * STEP)


def test_a_boot_that_the_host_itself_replaced_is_dead_at_once():
    table = LivenessTable(TIMING)
    table.update([make_heartbeat(1, boot='b2', previous='b1')], START)
    assert table.is_dead('h1/b1', START)


def test_the_wait_for_a_missing_process_restarts_after_a_gap_in_reads():
    table = LivenessTable(TIMING)
    table.update([], START)
    assert not table.is_dead('h9/b9', START)
    later = START + MAX_GAP + DEAD_AFTER
    table.update([], later)
    assert not table.is_dead('h9/b9', later)


def test_an_observer_needs_two_reads_without_a_heartbeat():
    table = LivenessTable(OBSERVER_TIMING)
    table.update([make_heartbeat(1)], START)
    table.update([make_heartbeat(1)], START + OBSERVER_READ_INTERVAL)
    assert not table.is_dead('h1/b1', START + OBSERVER_READ_INTERVAL)
    table.update([make_heartbeat(1)], START + 2 * OBSERVER_READ_INTERVAL)
    assert table.is_dead('h1/b1', START + 2 * OBSERVER_READ_INTERVAL)


def test_a_new_coordinator_regards_no_host_as_dead_because_it_read_seldom():
    table = LivenessTable(OBSERVER_TIMING)
    table.update([make_heartbeat(1)], START)
    later = START + OBSERVER_READ_INTERVAL
    table.set_role(TIMING, later)
    assert not table.is_dead('h1/b1', later)


def test_draining_hosts_are_not_among_the_live_owners():
    table = LivenessTable(TIMING)
    table.update(
        [make_heartbeat(1), make_heartbeat(1, host='h2', draining=True)], START
    )
    assert table.live_owners(START) == ['h1/b1']


@given(st.lists(st.integers(0, 50), min_size=1))
def test_only_an_increased_count_resets_the_timeout(counts):
    table = LivenessTable(TIMING)
    now = START
    max_count = None
    advanced_at = now
    for count in counts:
        now += STEP
        table.update([make_heartbeat(count)], now)
        if max_count is None or count > max_count:
            max_count, advanced_at = count, now
        assert table.is_dead('h1/b1', now) == (now - advanced_at > DEAD_AFTER)
