"""Claims of idempotency keys: a call runs at most once on all entry hosts."""

import enum

from attrs import evolve, frozen

from sequoia_policy.verdicts import Verdict


class ClaimState(enum.Enum):
    """State of the call that a key was claimed for."""

    CLAIMED = 'claimed'
    FINISHED = 'finished'
    RELEASED = 'released'


@frozen
class Claim:
    """A claim as stored in the shared table.

    Attributes:
        attempt: Id of the attempt that holds the claim.
        body_digest: Digest of the request body.
        status: HTTP status of the finished call.
        answer: Response body of the finished call, if it was small enough to
            be stored.
        verdict: Whether the call can have run.
    """

    attempt: str
    body_digest: str
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    answer: str | None = None
    verdict: Verdict = Verdict.MAY_HAVE_RUN


class ClaimAction(enum.Enum):
    """Action of a host on a call with an idempotency key."""

    WRITE = 'write'
    REPLAY = 'answer'
    REFUSE_HELD = 'refuse-held'
    REFUSE_REUSED = 'refuse-reused'


def decide_claim(existing: Claim | None, body_digest: str) -> ClaimAction:
    """Return the action for a call, given the stored claim of its key."""
    if existing is None:
        return ClaimAction.WRITE
    if existing.body_digest != body_digest:
        return ClaimAction.REFUSE_REUSED
    if existing.state is ClaimState.RELEASED:
        return ClaimAction.WRITE
    if existing.state is ClaimState.FINISHED and existing.answer is not None:
        return ClaimAction.REPLAY
    return ClaimAction.REFUSE_HELD


def finish_claim(claim: Claim, status: int, response: str | None) -> Claim:
    """Return the claim as finished, with the call's status and response."""
    return evolve(
        claim,
        state=ClaimState.FINISHED,
        status=status,
        answer=response,
        verdict=Verdict.RAN,
    )


def release_claim(claim: Claim) -> Claim:
    """Return the claim as released because its call was not run."""
    return evolve(
        claim,
        state=ClaimState.RELEASED,
        verdict=Verdict.NOT_RUN,
    )
