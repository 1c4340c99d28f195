"""Tests of the scheduling of attempts and hedges."""

from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from sequoia_policy.plans import SlotOrder
from sequoia_policy.schedules import SlotPlan, StepSchedule

NOW = timedelta()


def make_schedule(groups=2, size=3, hedge_share=0.5):
    slots = {
        index: SlotPlan(index, index // size, 100)
        for index in range(groups * size)
    }
    return StepSchedule(slots, hedge_share)


class ScheduleMachine(RuleBasedStateMachine):
    """Starts, finishes, fails and reopens attempts in any order."""

    def __init__(self):
        super().__init__()
        self.schedule = make_schedule()
        self.in_flight = {}
        self.done = set()
        self.now = NOW

    @rule(free=st.integers(0, 4))
    def start(self, free):
        self.now += timedelta(seconds=1)
        attempts = self.schedule.start(free, self.now)
        assert len(attempts) <= free
        for attempt in attempts:
            assert attempt.slot.index not in self.done
            self.in_flight[attempt.number] = attempt

    @precondition(lambda self: self.in_flight)
    @rule(choice=st.integers(0, 20))
    def finish(self, choice):
        finished = self._pick(choice)
        cancelled = self.schedule.finish(finished, 10, self.now)
        self.done.add(finished.slot.index)
        for number in cancelled:
            assert self.in_flight.pop(number).slot == finished.slot

    @precondition(lambda self: self.in_flight)
    @rule(choice=st.integers(0, 20))
    def fail(self, choice):
        self.schedule.fail(self._pick(choice))

    @precondition(lambda self: self.done)
    @rule(choice=st.integers(0, 20))
    def reopen(self, choice):
        index = sorted(self.done)[choice % len(self.done)]
        self.schedule.reopen(index)
        self.done.discard(index)

    @invariant()
    def every_slot_is_open_in_flight_or_done(self):
        running = {attempt.slot.index for attempt in self.in_flight.values()}
        expected = set(self.schedule.slots)
        assert self.schedule.open_slots | running | self.done == expected
        assert not self.schedule.open_slots & running
        assert self.schedule.in_flight == len(self.in_flight)

    @invariant()
    def at_most_two_attempts_per_slot(self):
        for attempts in self.schedule.running.values():
            assert len(attempts) <= 2

    def _pick(self, choice):
        numbers = sorted(self.in_flight)
        return self.in_flight.pop(numbers[choice % len(numbers)])


TestSchedule = ScheduleMachine.TestCase


def run_for(schedule, attempts, tokens, seconds):
    """Set the progress of attempts; return the time after ``seconds``."""
    for attempt, progress in zip(attempts, tokens, strict=True):
        schedule.record_progress(attempt, progress)
    return NOW + timedelta(seconds=seconds)


def test_slot_with_longest_estimate_starts_first():
    schedule = make_schedule(groups=2, size=3)
    first = schedule.start(1, NOW)[0]
    assert first.slot.group == 0
    schedule.finish(first, 5, NOW)
    following = schedule.start(1, NOW)[0]
    assert following.slot.group == 1


def test_order_as_given_starts_slots_by_index():
    schedule = make_schedule(groups=2, size=3)
    schedule.order = SlotOrder.AS_GIVEN
    first = schedule.start(1, NOW)[0]
    schedule.finish(first, 5, NOW)
    assert schedule.start(1, NOW)[0].slot.index == 1


def test_slowest_attempt_is_hedged_up_to_the_hedge_share():
    schedule = make_schedule(groups=1, size=4, hedge_share=0.25)
    attempts = schedule.start(4, NOW)
    now = run_for(schedule, attempts, (60, 5, 60, 60), seconds=2)
    hedges = schedule.start(4, now)
    assert [hedge.hedged_attempt for hedge in hedges] == [attempts[1].number]
    assert hedges[0].slot == attempts[1].slot


def test_attempts_near_the_median_rate_are_not_hedged():
    schedule = make_schedule(groups=1, size=4, hedge_share=1)
    attempts = schedule.start(4, NOW)
    now = run_for(schedule, attempts, (60, 58, 61, 60), seconds=2)
    assert not schedule.start(4, now)


def test_stalled_attempt_is_hedged():
    schedule = make_schedule(groups=1, size=2, hedge_share=1)
    attempts = schedule.start(2, NOW)
    now = run_for(schedule, attempts, (80, 30), seconds=2)
    schedule.finish(attempts[0], 80, now)
    later = now + timedelta(seconds=20)
    (hedge,) = schedule.start(1, later)
    assert hedge.hedged_attempt == attempts[1].number


def test_no_hedges_with_hedge_share_zero():
    schedule = make_schedule(groups=1, size=2, hedge_share=0)
    attempts = schedule.start(2, NOW)
    now = run_for(schedule, attempts, (90, 1), seconds=9)
    assert not schedule.start(2, now)


def test_first_complete_sample_cancels_the_other_attempt():
    schedule = make_schedule(groups=1, size=2, hedge_share=1)
    attempts = schedule.start(2, NOW)
    now = run_for(schedule, attempts, (90, 1), seconds=2)
    (hedge,) = schedule.start(1, now)
    assert schedule.finish(hedge, 30, now) == (attempts[1].number,)
