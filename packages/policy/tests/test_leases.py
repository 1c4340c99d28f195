"""Tests of leases: never two hosts that may act at the same time."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.leases import (
    LEASE_LENGTH,
    Lease,
    LeaseAction,
    ObservedLease,
    Standing,
    decide,
    may_act,
    rank_host,
    release,
    renew,
    take,
)

TICK = timedelta(milliseconds=500)
HOSTS = ('entry-1', 'entry-2', 'entry-3')


class LeaseTable:
    """One row with a revision."""

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
    """A host that follows one lease; it may be paused or lose answers."""

    def __init__(self, name, rank):
        self.name = name
        self.rank = rank
        self.sighting = None
        self.renewed = None

    def step(self, table, now, *, answer_lost):
        if self.sighting is None or self.sighting.revision != table.revision:
            self.sighting = ObservedLease(table.lease, table.revision, now)
        standing = Standing(self.rank, self.renewed)
        action = decide(self.sighting, self.name, standing, now)
        wanted = self.find_wanted(action)
        if wanted is None:
            return
        written = table.write(self.sighting.revision, wanted)
        if written and not answer_lost:
            self.sighting = ObservedLease(wanted, table.revision, now)
            self.renewed = now

    def find_wanted(self, action):
        if action is LeaseAction.TAKE:
            return take(self.sighting.lease, self.name)
        if action is LeaseAction.RENEW:
            return renew(self.sighting.lease)
        return None


@given(
    st.lists(
        st.tuples(st.sampled_from(range(3)), st.integers(0, 9)),
        max_size=400,
    ),
)
def test_no_two_hosts_may_act_at_the_same_time(schedule):
    """Only the drawn host runs in a tick; the others are paused."""
    table = LeaseTable()
    hosts = [LeaseHost(name, rank) for rank, name in enumerate(HOSTS)]
    now = timedelta()
    for place, chance in schedule:
        now += TICK
        hosts[place].step(table, now, answer_lost=chance == 0)
        acting = [host.name for host in hosts if may_act(host.renewed, now)]
        assert len(acting) <= 1


def test_a_dead_holder_is_followed_within_seconds():
    table = LeaseTable()
    hosts = [LeaseHost(name, rank) for rank, name in enumerate(HOSTS)]
    now = timedelta()
    hosts[0].step(table, now, answer_lost=False)
    for host in hosts[1:]:
        host.step(table, now, answer_lost=False)
    while table.lease.holder == HOSTS[0]:
        now += TICK
        for survivor in hosts[1:]:
            survivor.step(table, now, answer_lost=False)
    assert now <= LEASE_LENGTH + timedelta(seconds=3)
    assert table.lease.fencing == 2


def test_fencing_grows_with_each_holder():
    first = take(Lease('duty'), 'entry-1')
    second = take(release(renew(first)), 'entry-2')
    assert first.fencing < second.fencing


def test_a_released_lease_is_taken_at_once_by_the_first_in_rank():
    sighting = ObservedLease(Lease('duty', ''), 3, timedelta())
    first = decide(sighting, 'entry-1', Standing(0), timedelta())
    assert first is LeaseAction.TAKE
    later = decide(sighting, 'entry-2', Standing(1), timedelta())
    assert later is LeaseAction.WAIT


def test_a_host_that_may_not_hold_a_duty_releases_it():
    sighting = ObservedLease(Lease('duty', 'entry-1'), 3, timedelta())
    action = decide(sighting, 'entry-1', Standing(None), timedelta())
    assert action is LeaseAction.RELEASE


@given(st.lists(st.text('abcdef', min_size=1), unique=True, max_size=30))
def test_ranks_are_an_order_of_all_hosts(names):
    ranks = [rank_host('duty', name, names) for name in names]
    assert sorted(ranks) == list(range(len(names)))
    assert rank_host('duty', 'absent!', names) is None
