"""Tests of the bytes in flight to one target."""

from contextlib import ExitStack

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.bytes_in_flight import BytesInFlight
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.memory_budgets import SMALL_BYTES
from sequoia_policy.verdicts import Verdict

LIMIT = 10 * SMALL_BYTES


@given(
    st.lists(
        st.tuples(st.sampled_from('abc'), st.integers(0, 2 * LIMIT)),
        max_size=20,
    )
)
def test_a_target_holds_at_most_the_limit_and_nothing_after(requests):
    """A target crashes if the bodies that it holds exceed its memory."""
    in_flight = BytesInFlight(LIMIT)
    largest = max((size for _target, size in requests), default=0)
    with ExitStack() as stack:
        for target, size in requests:
            try:
                stack.enter_context(in_flight.hold(target, size))
            except ServiceError as refusal:
                assert refusal.verdict is Verdict.NOT_RUN
        bound = max(LIMIT, largest) + len(requests) * SMALL_BYTES
        assert max(in_flight.held.values(), default=0) <= bound
    assert not in_flight.held


def test_a_request_alone_is_not_refused():
    in_flight = BytesInFlight(LIMIT)
    with in_flight.hold('a', 100 * LIMIT):
        assert in_flight.held == {'a': 100 * LIMIT}


def test_a_small_body_is_not_refused_beside_large_ones():
    in_flight = BytesInFlight(LIMIT)
    with in_flight.hold('a', LIMIT), in_flight.hold('a', SMALL_BYTES):
        with pytest.raises(ServiceError) as refusal:
            with in_flight.hold('a', SMALL_BYTES + 1):
                raise AssertionError('not refused')
    assert refusal.value.code is Code.TARGET_LIMITED
    assert refusal.value.retry_after


def test_without_a_limit_everything_passes():
    in_flight = BytesInFlight()
    with in_flight.hold('a', 10**12), in_flight.hold('a', 10**12):
        assert in_flight.held
