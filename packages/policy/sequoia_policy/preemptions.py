"""Decides how many rollouts a host preempts in favor of live calls."""

import random

from sequoia_policy.targets import Report


def count_preempted(
    report: Report, own_rollouts: int, rng: random.Random
) -> int:
    """Return how many of a host's rollouts should stop at a target.

    Engines prefer live calls, and hosts send rollouts only to free slots, so
    all waiting requests are assumed to be live calls. Hosts do not know of
    each other's rollouts, so each stops its share of as many rollouts as
    requests wait.

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
