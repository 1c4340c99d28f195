"""Decides how many rollouts a host preempts in favor of live calls."""

import random

from sequoia_policy.targets import Report


def count_preempted(
    report: Report, own_rollouts: int, rng: random.Random
) -> int:
    """Return how many of a host's rollouts should stop at a target.

    Engines prefer live calls, and hosts send rollouts only to free slots.
    All waiting requests are therefore assumed to be live calls. Together the
    hosts stop one rollout per waiting request. A host does not know the
    rollouts of the others, so it stops its share of them.

    Args:
        report: Newest report of the target.
        own_rollouts: Rollouts of this host at the target.
        rng: Source for rounding a fractional number of rollouts.
    """
    if not report.waiting or not report.running:
        return 0
    share = min(1, report.waiting / report.running)
    expected = own_rollouts * share
    whole = int(expected)
    return whole + (rng.random() < expected - whole)
