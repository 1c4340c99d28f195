"""Tests of retry decisions, retry budgets and rate limits."""

import random
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.budgets import RateLimit, RetryBudget
from sequoia_policy.errors import Code
from sequoia_policy.retries import (
    MAX_DELAY,
    AttemptFacts,
    draw_delay,
    find_retry_refusal,
)
from sequoia_policy.verdicts import Verdict

facts = st.builds(
    AttemptFacts,
    idempotent=st.booleans(),
    attempts=st.integers(1, 5),
    max_attempts=st.integers(1, 5),
    verdict=st.sampled_from(Verdict),
    response_started=st.booleans(),
    resumable=st.booleans(),
    remaining=st.timedeltas(timedelta(seconds=-1), timedelta(seconds=5)),
)


@given(facts)
def test_call_that_may_have_run_is_retried_only_if_idempotent(given_facts):
    refusal = find_retry_refusal(given_facts, Code.TARGET_BROKE, RetryBudget())
    if refusal is None:
        safe = given_facts.verdict is Verdict.NOT_RUN
        assert given_facts.idempotent or safe


@given(facts)
def test_call_with_a_started_response_is_retried_only_if_resumable(given_facts):
    refusal = find_retry_refusal(given_facts, Code.TARGET_BROKE, RetryBudget())
    if given_facts.response_started and not given_facts.resumable:
        assert refusal is Code.TARGET_BROKE


@given(facts)
def test_no_retry_after_the_last_attempt_or_the_deadline(given_facts):
    refusal = find_retry_refusal(given_facts, Code.TARGET_BROKE, RetryBudget())
    if given_facts.attempts >= given_facts.max_attempts:
        assert refusal is Code.TARGET_BROKE
    if given_facts.remaining <= timedelta():
        assert refusal is Code.TARGET_BROKE


@given(st.integers(1, 500), st.integers(0, 500))
def test_retry_budget_limits_retries_to_a_share_of_requests(requests, failures):
    budget = RetryBudget(share=0.1, max_balance=10)
    retries = 0
    for number in range(requests):
        budget.record_request()
        if number < failures and budget.try_acquire():
            retries += 1
    assert retries <= 10 + 0.1 * requests


def test_empty_retry_budget_ends_the_call_with_its_own_code():
    empty = RetryBudget(balance=0)
    allowed = AttemptFacts(
        idempotent=True,
        attempts=1,
        max_attempts=3,
        verdict=Verdict.NOT_RUN,
        response_started=False,
        resumable=False,
        remaining=timedelta(seconds=1),
    )
    refusal = find_retry_refusal(allowed, Code.TARGET_BROKE, empty)
    assert refusal is Code.RETRY_BUDGET


@given(st.integers(1, 60), st.integers())
def test_retry_delay_stays_within_the_maximum(attempt, seed):
    delay = draw_delay(attempt, random.Random(seed))
    assert timedelta() <= delay <= MAX_DELAY


@given(st.lists(st.floats(0, 2), max_size=200))
def test_rate_limit_never_exceeds_rate_and_burst(intervals):
    limit = RateLimit(per_second=5, burst=5)
    now = timedelta()
    acquired = 0
    for interval in intervals:
        now += timedelta(seconds=interval)
        acquired += limit.try_acquire(now)
    assert acquired <= 5 + 5 * now.total_seconds() + 1e-6
