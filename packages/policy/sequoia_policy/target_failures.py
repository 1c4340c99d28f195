"""What the failure of a request says about its target."""

from datetime import timedelta

from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget, TargetRegistry

NO_GRACE = timedelta()
NO_BACKOFF = timedelta()
# The target has no part in these.
OWN_FAILURES = frozenset((Code.TARGET_LIMITED, Code.DRAINING))

# The target, or the path to it, may be down.
BROKEN_OFF = frozenset((Code.CONNECT_FAILED, Code.TARGET_BROKE))


def record_target_failure(
    registry: TargetRegistry,
    target: RegisteredTarget,
    failure: ServiceError,
    now: timedelta,
    refusal_backoff: timedelta = NO_BACKOFF,
) -> None:
    """Update a target's state after a request to it failed.

    Args:
        registry: Where the target is registered.
        target: The target.
        failure: Why the request failed.
        now: Current time.
        refusal_backoff: For how long to send no new work after a refusal.
    """
    if failure.code in BROKEN_OFF:
        registry.path.record_failure(target.name, now)
    elif failure.code is Code.TARGET_STALLED:
        registry.path.record_silence(target.name, now)
    if failure.code is Code.MISPLACED:
        registry.remove(target.name, now, NO_GRACE)
    elif failure.code is Code.CONNECT_FAILED:
        target.record_unreachable(now)
    elif failure.code is Code.TARGET_REFUSED:
        target.back_off(now, refusal_backoff)
    elif failure.code not in OWN_FAILURES:
        target.record_failure(now)
