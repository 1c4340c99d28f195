"""Tests of the selection of samples for a trainer."""

from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.handovers import (
    CommittedSample,
    SampleRequest,
    StalenessBound,
    decide_handover,
)
from sequoia_policy.samples import VersionSpan

NOW = datetime(2026, 1, 1, tzinfo=UTC)

samples = st.lists(
    st.tuples(st.integers(0, 10), st.integers(0, 10), st.integers(0, 100)),
    max_size=20,
).map(
    lambda drawn: tuple(
        CommittedSample(
            slot,
            (VersionSpan(first, 0, 5), VersionSpan(second, 5, 9)),
            NOW - timedelta(seconds=age),
        )
        for slot, (first, second, age) in enumerate(drawn)
    ),
)
bounds = st.builds(
    StalenessBound,
    versions=st.integers(0, 4),
    age=st.none() | st.integers(1, 100).map(lambda age: timedelta(seconds=age)),
)


@given(samples, bounds, st.integers(0, 10), st.integers(1, 8))
def test_no_chosen_sample_exceeds_the_staleness_bound(
    committed, bound, version, limit
):
    request = SampleRequest(version, limit, NOW)
    decision = decide_handover(committed, bound, request)
    by_slot = {sample.slot: sample for sample in committed}
    for slot in decision.chosen:
        sample = by_slot[slot]
        oldest_version = min(span.version for span in sample.spans)
        assert version - oldest_version <= bound.versions
        if bound.age is not None:
            assert NOW - sample.committed_at <= bound.age


@given(samples, bounds, st.integers(0, 10), st.integers(1, 8))
def test_every_sample_is_chosen_too_old_or_left(
    committed,
    bound,
    version,
    limit,
):
    request = SampleRequest(version, limit, NOW)
    decision = decide_handover(committed, bound, request)
    assert len(decision.chosen) <= limit
    assert not set(decision.chosen) & set(decision.too_old)
    unlimited = decide_handover(
        committed,
        bound,
        SampleRequest(version, len(committed) + 1, NOW),
    )
    decided = {*unlimited.chosen, *unlimited.too_old}
    assert decided == {sample.slot for sample in committed}
