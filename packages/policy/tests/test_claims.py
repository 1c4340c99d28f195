"""Tests of the decisions on claims of idempotency keys."""

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.claims import (
    Claim,
    ClaimAction,
    ClaimState,
    decide_claim,
    finish_claim,
    release_claim,
)
from sequoia_policy.verdicts import Verdict

claims = st.builds(
    Claim,
    attempt=st.just('a'),
    body_digest=st.sampled_from(['same', 'other']),
    state=st.sampled_from(ClaimState),
    status=st.just(200),
    answer=st.none() | st.just('done'),
    verdict=st.sampled_from(Verdict),
)


@given(claims)
def test_existing_key_is_claimed_again_only_if_its_call_was_not_run(existing):
    action = decide_claim(existing, 'same')
    if action is ClaimAction.WRITE:
        assert existing.state is ClaimState.RELEASED
        assert existing.body_digest == 'same'


@given(claims)
def test_key_with_another_body_is_rejected(existing):
    if existing.body_digest == 'other':
        assert decide_claim(existing, 'same') is ClaimAction.REFUSE_REUSED


def test_finished_call_is_replayed_if_its_response_is_stored():
    claim = Claim('a', 'same')
    stored = finish_claim(claim, 200, 'done')
    assert decide_claim(stored, 'same') is ClaimAction.REPLAY
    not_stored = finish_claim(claim, 200, None)
    assert decide_claim(not_stored, 'same') is ClaimAction.REFUSE_HELD
    assert not_stored.verdict is Verdict.RAN


def test_released_or_absent_key_may_be_claimed():
    released = release_claim(Claim('a', 'same'))
    assert decide_claim(released, 'same') is ClaimAction.WRITE
    assert decide_claim(None, 'same') is ClaimAction.WRITE
