"""Tests of admission."""

from datetime import timedelta

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.admission_queues import Admission, AdmissionQueue

PATIENCE = timedelta(seconds=1)
CALLERS = ('chief', 'family', 'desk')


class GateMachine(RuleBasedStateMachine):
    """Offers and ends calls in any order."""

    def __init__(self):
        super().__init__()
        self.gate = AdmissionQueue(limit=3, timeout=PATIENCE)
        self.now = timedelta()
        self.running = []

    @rule(caller=st.sampled_from(CALLERS))
    def offer(self, caller):
        try:
            admission, ticket = self.gate.offer(caller, 4, self.now)
        except ServiceError as refusal:
            assert refusal.verdict.allows_resend
            return
        if admission is Admission.RUN:
            self.running.append(ticket)

    @precondition(lambda self: self.running)
    @rule(place=st.integers(0, 10))
    def finish(self, place):
        ticket = self.running.pop(place % len(self.running))
        started = self.gate.finish(ticket, self.now)
        for other in started:
            assert other.expires >= self.now
        self.running.extend(started)

    @rule(seconds=st.floats(0, 2))
    def wait(self, seconds):
        self.now += timedelta(seconds=seconds)

    @invariant()
    def limit_holds(self):
        assert len(self.running) <= self.gate.limit
        assert self.gate.running.total() == len(self.running)

    @invariant()
    def no_call_waits_beside_a_free_slot(self):
        waiting = [
            ticket
            for queue in self.gate.queues.values()
            for ticket in queue
            if ticket.expires >= self.now
        ]
        assert not waiting or len(self.running) == self.gate.limit


TestGate = GateMachine.TestCase


def test_callers_take_turns():
    gate = AdmissionQueue(limit=1, timeout=PATIENCE)
    now = timedelta()
    gate.service_time = timedelta(milliseconds=1)
    _admission, running = gate.offer('chief', 64, now)
    for _ in range(10):
        gate.offer('chief', 64, now)
    gate.offer('family', 64, now)
    order = []
    for _ in range(3):
        (running,) = gate.finish(running, now)
        order.append(running.caller)
    assert 'family' in order[:2]


def test_a_queue_that_cannot_be_served_in_time_is_refused_early():
    gate = AdmissionQueue(limit=1, timeout=PATIENCE)
    gate.service_time = timedelta(milliseconds=400)
    now = timedelta()
    gate.offer('chief', 64, now)
    gate.offer('chief', 64, now)
    gate.offer('chief', 64, now)
    with pytest.raises(ServiceError) as refused:
        gate.offer('chief', 64, now)
    assert refused.value.code is Code.OVERLOADED
    assert refused.value.retry_after > PATIENCE


def test_one_caller_cannot_take_everything():
    gate = AdmissionQueue(limit=10, timeout=PATIENCE)
    for _ in range(4):
        gate.offer('chief', 4, timedelta())
    with pytest.raises(ServiceError) as refused:
        gate.offer('chief', 4, timedelta())
    assert refused.value.code is Code.CALLER_LIMIT
    admission, _ticket = gate.offer('family', 4, timedelta())
    assert admission is Admission.RUN
