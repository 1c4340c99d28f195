"""Tests of leases: at most one host may act under a lease at a time."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.leases import (
    LEASE_LENGTH,
    Lease,
    LeaseAction,
    LeaseCandidate,
    ObservedLease,
    acquire,
    decide,
    may_act,
    rank_host,
    release,
    renew,
)

TICK = timedelta(milliseconds=500)
HOSTS = ('entry-1', 'entry-2', 'entry-3')


class LeaseTable:
    """A table with one lease row, written by compare-and-set."""

    def __init__(self):
        self.lease = Lease('duty')
        self.revision = 0

    def write(self, expected, lease):
        if expected != self.revision:
            return False
        self.revision += 1
        self.lease = lease
        return True


class LeaseHost:
    """A host that competes for one lease; its write responses may be lost."""

    def __init__(self, name, rank):
        self.name = name
        self.rank = rank
        self.observed = None
        self.renewed_at = None

    def step(self, table, now, *, response_lost):
        if self.observed is None or self.observed.revision != table.revision:
            self.observed = ObservedLease(table.lease, table.revision, now)
        candidate = LeaseCandidate(self.rank, self.renewed_at)
        action = decide(self.observed, self.name, candidate, now)
        planned = self.plan_write(action)
        if planned is None:
            return
        written = table.write(self.observed.revision, planned)
        if written and not response_lost:
            self.observed = ObservedLease(planned, table.revision, now)
            self.renewed_at = now

    def plan_write(self, action):
        if action is LeaseAction.ACQUIRE:
            return acquire(self.observed.lease, self.name)
        if action is LeaseAction.RENEW:
            return renew(self.observed.lease)
        return None


@given(
    st.lists(
        st.tuples(st.sampled_from(range(3)), st.integers(0, 9)),
        max_size=400,
    ),
)
def test_no_two_hosts_may_act_at_the_same_time(schedule):
    """Only the drawn host runs in a tick; the others are suspended."""
    table = LeaseTable()
    hosts = [LeaseHost(name, rank) for rank, name in enumerate(HOSTS)]
    now = timedelta()
    for index, draw in schedule:
        now += TICK
        hosts[index].step(table, now, response_lost=draw == 0)
        acting = [host.name for host in hosts if may_act(host.renewed_at, now)]
        assert len(acting) <= 1


def test_lease_of_a_dead_holder_is_acquired_by_a_survivor():
    table = LeaseTable()
    hosts = [LeaseHost(name, rank) for rank, name in enumerate(HOSTS)]
    now = timedelta()
    hosts[0].step(table, now, response_lost=False)
    for host in hosts[1:]:
        host.step(table, now, response_lost=False)
    while table.lease.holder == HOSTS[0]:
        now += TICK
        for survivor in hosts[1:]:
            survivor.step(table, now, response_lost=False)
    assert now <= LEASE_LENGTH + timedelta(seconds=3)
    assert table.lease.fencing == 2


def test_fencing_token_increases_with_each_acquisition():
    first = acquire(Lease('duty'), 'entry-1')
    second = acquire(release(renew(first)), 'entry-2')
    assert first.fencing < second.fencing


def test_first_ranked_host_acquires_a_released_lease_at_once():
    observed = ObservedLease(Lease('duty', ''), 3, timedelta())
    first = decide(observed, 'entry-1', LeaseCandidate(0), timedelta())
    assert first is LeaseAction.ACQUIRE
    later = decide(observed, 'entry-2', LeaseCandidate(1), timedelta())
    assert later is LeaseAction.WAIT


def test_holder_without_a_rank_releases_the_lease():
    observed = ObservedLease(Lease('duty', 'entry-1'), 3, timedelta())
    action = decide(observed, 'entry-1', LeaseCandidate(None), timedelta())
    assert action is LeaseAction.RELEASE


@given(st.lists(st.text('abcdef', min_size=1), unique=True, max_size=30))
def test_ranks_are_a_total_order_of_all_hosts(names):
    ranks = [rank_host('duty', name, names) for name in names]
    assert sorted(ranks) == list(range(len(names)))
    assert rank_host('duty', 'absent!', names) is None
