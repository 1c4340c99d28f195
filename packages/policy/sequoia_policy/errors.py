"""Error codes, each with an HTTP status and a default verdict."""

import enum
from datetime import timedelta

from attrs import frozen

from sequoia_policy.verdicts import Verdict


@frozen
class ErrorKind:
    """Label, HTTP status and default verdict of one error code.

    Attributes:
        label: Stable code that callers receive and metrics use as a label.
        status: HTTP status of the response.
        verdict: Default verdict, used unless the error is raised with one.
    """

    label: str
    status: int
    verdict: Verdict = Verdict.NOT_RUN


class Code(enum.Enum):
    """All error codes of the service."""

    BAD_REQUEST = ErrorKind('bad_request', 400)
    HEADERS_TOO_LARGE = ErrorKind('headers_too_large', 431)
    BODY_TOO_LARGE = ErrorKind('body_too_large', 413)
    BODY_MEMORY = ErrorKind('body_memory', 503)
    STALLED = ErrorKind('stalled', 408)
    TOO_MANY_CONNECTIONS = ErrorKind('too_many_connections', 503)
    UNKNOWN_PATH = ErrorKind('unknown_path', 404)
    UNKNOWN_SERVICE = ErrorKind('unknown_service', 404)
    UNKNOWN_CALLER = ErrorKind('unknown_caller', 401)
    CALLER_NOT_ALLOWED = ErrorKind('caller_not_allowed', 403)
    UNKNOWN_LABEL = ErrorKind('unknown_label', 403)
    LABEL_NOT_GRANTED = ErrorKind('label_not_granted', 403)
    MISPLACED = ErrorKind('misplaced', 421)
    NO_TARGET = ErrorKind('no_target', 503)
    OVERLOADED = ErrorKind('overloaded', 503)
    CALLER_LIMIT = ErrorKind('caller_limit', 429)
    DEADLINE = ErrorKind('deadline', 504)
    DRAINING = ErrorKind('draining', 503)
    NOT_READY = ErrorKind('not_ready', 503)
    CONNECT_FAILED = ErrorKind('connect_failed', 502)
    TARGET_REFUSED = ErrorKind('target_refused', 503)
    QUARANTINED = ErrorKind('quarantined', 503)
    TARGET_LIMITED = ErrorKind('target_limited', 503)
    TARGET_BROKE = ErrorKind('target_broke', 502, Verdict.MAY_HAVE_RUN)
    TARGET_STALLED = ErrorKind('target_stalled', 504, Verdict.MAY_HAVE_RUN)
    WRONG_ANSWER = ErrorKind('wrong_answer', 502, Verdict.MAY_HAVE_RUN)
    PREEMPTED = ErrorKind('preempted', 503, Verdict.RAN)
    PEER_BROKE = ErrorKind('peer_broke', 502, Verdict.MAY_HAVE_RUN)
    PEER_UNAUTHENTICATED = ErrorKind('peer_unauthenticated', 403)
    RETRY_BUDGET = ErrorKind('retry_budget', 503)
    CLAIM_UNAVAILABLE = ErrorKind('claim_unavailable', 503)
    CLAIM_BUDGET = ErrorKind('claim_budget', 429)
    CLAIM_HELD = ErrorKind('claim_held', 409, Verdict.MAY_HAVE_RUN)
    KEY_REUSED = ErrorKind('key_reused', 422)
    STORE_UNAVAILABLE = ErrorKind('store_unavailable', 503)
    STORE_CONFLICT = ErrorKind('store_conflict', 409)
    STEP_CONFLICT = ErrorKind('step_conflict', 409)
    UNKNOWN_STEP = ErrorKind('unknown_step', 404)
    UNKNOWN_TRAINER = ErrorKind('unknown_trainer', 404)
    BAD_CURSOR = ErrorKind('bad_cursor', 409)
    PLAN_INVALID = ErrorKind('plan_invalid', 422)
    PLAN_CONFLICT = ErrorKind('plan_conflict', 409)
    INTERNAL = ErrorKind('internal', 500, Verdict.MAY_HAVE_RUN)


class ServiceError(Exception):
    """An error with a code, a verdict and an optional retry delay.

    Attributes:
        code: The error code.
        verdict: Whether the request may have run.
        detail: Short explanation for people.
        retry_after: Delay after which a retry may succeed; None if unknown.
    """

    def __init__(
        self,
        code: Code,
        detail: str = '',
        *,
        verdict: Verdict | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        """Initialize the error; the verdict defaults to that of the code."""
        super().__init__(f'{code.value.label}: {detail}')
        self.code = code
        self.detail = detail
        self.verdict = verdict or code.value.verdict
        self.retry_after = retry_after
