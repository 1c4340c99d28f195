"""Tests of admission control and its queues."""

from datetime import timedelta

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from sequoia_policy.admission_queues import Admission, AdmissionQueue
from sequoia_policy.errors import Code, ServiceError

TIMEOUT = timedelta(seconds=1)
CALLERS = ('chief', 'family', 'desk')


class AdmissionQueueMachine(RuleBasedStateMachine):
    """Offers and finishes calls in any order."""

    def __init__(self):
        super().__init__()
        self.queue = AdmissionQueue(limit=3, timeout=TIMEOUT)
        self.now = timedelta()
        self.running = []

    @rule(caller=st.sampled_from(CALLERS))
    def offer(self, caller):
        try:
            admission, call = self.queue.offer(caller, 4, self.now)
        except ServiceError as refusal:
            assert refusal.verdict.allows_resend
            return
        if admission is Admission.RUN:
            self.running.append(call)

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 10))
    def finish(self, index):
        call = self.running.pop(index % len(self.running))
        started = self.queue.finish(call, self.now)
        for next_call in started:
            assert next_call.expires_at >= self.now
        self.running.extend(started)

    @rule(seconds=st.floats(0, 2))
    def advance_time(self, seconds):
        self.now += timedelta(seconds=seconds)

    @invariant()
    def running_calls_stay_within_the_limit(self):
        assert len(self.running) <= self.queue.limit
        assert self.queue.running.total() == len(self.running)

    @invariant()
    def no_call_waits_while_a_slot_is_free(self):
        waiting = [
            call
            for calls in self.queue.queues.values()
            for call in calls
            if call.expires_at >= self.now
        ]
        assert not waiting or len(self.running) == self.queue.limit


TestAdmissionQueue = AdmissionQueueMachine.TestCase


def test_queued_calls_start_round_robin_by_caller():
    queue = AdmissionQueue(limit=1, timeout=TIMEOUT)
    now = timedelta()
    queue.service_time = timedelta(milliseconds=1)
    _admission, running = queue.offer('chief', 64, now)
    for _ in range(10):
        queue.offer('chief', 64, now)
    queue.offer('family', 64, now)
    order = []
    for _ in range(3):
        (running,) = queue.finish(running, now)
        order.append(running.caller)
    assert 'family' in order[:2]


def test_call_is_refused_if_its_expected_wait_exceeds_the_timeout():
    queue = AdmissionQueue(limit=1, timeout=TIMEOUT)
    queue.service_time = timedelta(milliseconds=400)
    now = timedelta()
    queue.offer('chief', 64, now)
    queue.offer('chief', 64, now)
    queue.offer('chief', 64, now)
    with pytest.raises(ServiceError) as refused:
        queue.offer('chief', 64, now)
    assert refused.value.code is Code.OVERLOADED
    assert refused.value.retry_after > TIMEOUT


def test_caller_over_its_limit_is_refused_while_others_are_admitted():
    queue = AdmissionQueue(limit=10, timeout=TIMEOUT)
    for _ in range(4):
        queue.offer('chief', 4, timedelta())
    with pytest.raises(ServiceError) as refused:
        queue.offer('chief', 4, timedelta())
    assert refused.value.code is Code.CALLER_LIMIT
    admission, _call = queue.offer('family', 4, timedelta())
    assert admission is Admission.RUN
