"""Tests of verdicts and of merging them."""

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.verdicts import Verdict, merge_verdicts

verdicts = st.sampled_from(Verdict)


@given(verdicts, verdicts, verdicts)
def test_merge_does_not_depend_on_order_or_grouping(first, second, third):
    in_order = merge_verdicts(merge_verdicts(first, second), third)
    reordered = merge_verdicts(first, merge_verdicts(third, second))
    assert in_order is reordered


@given(st.lists(verdicts, min_size=1))
def test_merged_verdict_is_not_run_only_if_no_attempt_can_have_run(attempts):
    merged = Verdict.NOT_RUN
    for attempt in attempts:
        merged = merge_verdicts(merged, attempt)
    assert (merged is Verdict.NOT_RUN) == (set(attempts) == {Verdict.NOT_RUN})


def test_only_not_run_allows_a_resend():
    allowed = [verdict for verdict in Verdict if verdict.allows_resend]
    assert allowed == [Verdict.NOT_RUN]
