"""Tests of the version labels of sample tokens."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.samples import (
    AttemptTokens,
    InvalidAttemptError,
    oldest_version,
    staleness,
)

chunks = st.lists(
    st.tuples(st.integers(1, 9), st.integers(0, 4)),
    min_size=1,
    max_size=20,
)


@given(chunks)
def test_each_token_is_labelled_with_the_version_that_generated_it(chunk_specs):
    collected = AttemptTokens()
    expected = []
    for size, version in chunk_specs:
        collected.append_chunk(len(expected), tuple(range(size)), version)
        expected.extend([version] * size)
    collected.finish(len(expected))
    labelled = [
        span.version
        for span in collected.spans
        for _ in range(span.start, span.stop)
    ]
    assert labelled == expected
    assert oldest_version(tuple(collected.spans)) == min(expected)
    assert staleness(tuple(collected.spans), 9) == 9 - min(expected)


@given(chunks, st.data())
def test_gap_or_overlap_makes_the_attempt_invalid(chunk_specs, data):
    collected = AttemptTokens()
    total = 0
    for size, version in chunk_specs:
        collected.append_chunk(total, tuple(range(size)), version)
        total += size
    mismatch = data.draw(
        st.integers(0, 200).filter(lambda index: index != total)
    )
    with pytest.raises(InvalidAttemptError):
        collected.append_chunk(mismatch, (1,), 1)
    with pytest.raises(InvalidAttemptError):
        collected.finish(mismatch)


@pytest.mark.parametrize('version', [None, -1])
def test_tokens_without_a_version_make_the_attempt_invalid(version):
    with pytest.raises(InvalidAttemptError):
        AttemptTokens().append_chunk(0, (1, 2), version)


def test_chunk_after_the_end_makes_the_attempt_invalid():
    collected = AttemptTokens()
    collected.append_chunk(0, (1,), 1)
    collected.finish(1)
    with pytest.raises(InvalidAttemptError):
        collected.append_chunk(1, (2,), 1)


def test_tokens_of_an_older_version_get_their_own_span():
    collected = AttemptTokens()
    collected.append_chunk(0, (1, 2), 5)
    collected.append_chunk(2, (3,), 3)
    assert [span.version for span in collected.spans] == [5, 3]
