"""Tests of the memory budget: nothing stays reserved, nobody is refused alone."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from sequoia_policy.memory_budgets import (
    LARGE_SHARE,
    SMALL_BYTES,
    MemoryBudget,
    Reservation,
    Use,
)

SIZE = 10 * SMALL_BYTES
START = timedelta(seconds=100)
LATER = START + timedelta(seconds=5)


def add(budget, size, use=Use.BODY, created_at=START):
    holder = Reservation(created_at, use=use)
    budget.resize(holder, size)
    return holder


@given(st.integers(0, 100 * SIZE))
def test_a_request_alone_is_never_refused(size):
    budget = MemoryBudget(SIZE)
    add(budget, SMALL_BYTES, Use.WORK)
    holder = Reservation(START)
    assert budget.fits(holder, max(size, SMALL_BYTES + 1))


def test_large_bodies_leave_memory_for_small_ones():
    """Ordinary requests were refused when large bodies held all memory."""
    budget = MemoryBudget(SIZE)
    while budget.fits(Reservation(START), 2 * SMALL_BYTES):
        add(budget, 2 * SMALL_BYTES)
    assert budget.reserved <= SIZE * LARGE_SHARE
    assert budget.fits(Reservation(START), SMALL_BYTES)


def test_without_a_size_everything_fits():
    budget = MemoryBudget()
    add(budget, 10**12)
    assert budget.fits(Reservation(START), 10**12)


def test_the_largest_slow_body_is_closed_first():
    budget = MemoryBudget(SIZE)
    add(budget, 2 * SMALL_BYTES)
    largest = add(budget, 3 * SMALL_BYTES)
    fast = add(budget, 2 * SMALL_BYTES)
    fast.record_transfer(10 * SMALL_BYTES, LATER)
    asker = Reservation(LATER, use=Use.BODY)
    assert budget.choose_victims(asker, 2 * SMALL_BYTES, LATER) == [largest]


def test_slow_bodies_are_closed_before_slow_responses():
    budget = MemoryBudget(SIZE)
    add(budget, 5 * SMALL_BYTES, Use.RESPONSE)
    body = add(budget, 2 * SMALL_BYTES)
    asker = Reservation(LATER, use=Use.BODY)
    assert budget.choose_victims(asker, 2 * SMALL_BYTES, LATER) == [body]


def test_the_newest_body_gives_way_to_an_older_one():
    """Bodies that all grew at once were all refused, and none completed."""
    budget = MemoryBudget(SIZE)
    first = add(budget, 3 * SMALL_BYTES, created_at=START)
    newer = add(budget, 3 * SMALL_BYTES, created_at=LATER)
    for holder in (first, newer):
        holder.record_transfer(10 * SMALL_BYTES, LATER)
    assert budget.choose_victims(first, 5 * SMALL_BYTES, LATER) == [newer]
    assert budget.choose_victims(newer, 5 * SMALL_BYTES, LATER) is None


def test_work_on_a_request_is_never_closed():
    """A request that a target may run must not be taken for one that stalls."""
    budget = MemoryBudget(SIZE)
    add(budget, 7 * SMALL_BYTES, Use.WORK)
    asker = Reservation(LATER, use=Use.BODY)
    assert budget.choose_victims(asker, 2 * SMALL_BYTES, LATER) is None


class BudgetMachine(RuleBasedStateMachine):
    """Requests that ask for memory, make progress, stall and end."""

    def __init__(self):
        super().__init__()
        self.budget = MemoryBudget(SIZE)
        self.now = START
        self.holders = []

    @rule(
        size=st.integers(1, SIZE),
        use=st.sampled_from(Use),
        waits=st.booleans(),
    )
    def ask(self, size, use, waits):
        holder = Reservation(self.now, use=use)
        if not self.budget.fits(holder, size) and waits:
            victims = self.budget.choose_victims(holder, size, self.now)
            for victim in victims or ():
                assert victim.use is not Use.WORK
                assert not victim.is_closing
                victim.is_closing = True
                self.budget.resize(victim, 0)
                self.holders.remove(victim)
            assert victims is None or self.budget.fits(holder, size)
        if self.budget.fits(holder, size):
            self.budget.resize(holder, size)
            self.holders.append(holder)

    @rule(data=st.data(), size=st.integers(1, SIZE))
    def move(self, data, size):
        if self.holders:
            holder = data.draw(st.sampled_from(self.holders))
            holder.record_transfer(size, self.now)

    @rule(data=st.data())
    def end(self, data):
        if self.holders:
            holder = data.draw(st.sampled_from(self.holders))
            self.holders.remove(holder)
            self.budget.resize(holder, 0)

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds):
        self.now += timedelta(seconds=seconds)

    @invariant()
    def sums_are_those_of_the_reservations(self):
        sizes = [holder.size for holder in self.holders]
        assert self.budget.reserved == sum(sizes)
        large = [size for size in sizes if size > SMALL_BYTES]
        assert self.budget.reserved_large == sum(large)
        assert len(large) <= 1 or sum(large) <= SIZE * LARGE_SHARE

    def teardown(self):
        for holder in self.holders:
            self.budget.resize(holder, 0)
        assert self.budget.reserved == 0
        assert not self.budget.reservations


TestBudget = BudgetMachine.TestCase
