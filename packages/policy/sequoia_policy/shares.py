"""Fair shares of trainers in the slots of a pool."""

import math

from sequoia_policy.plans import Plan, Trainer
from sequoia_policy.pools import ROLLOUT_SHARE, PoolSummary


def limit_attempts(
    plan: Plan,
    trainer_name: str,
    summaries: list[PoolSummary],
) -> int:
    """Return the maximum number of attempts in flight of a trainer's shard.

    While rollout slots are free, a trainer may use all of them, including the
    idle shares of other trainers. In a busy pool it is limited to its share.
    Attempts beyond the slots would only wait in the queues of the engines.

    Args:
        plan: The plan in force.
        trainer_name: Name of a trainer in the plan.
        summaries: Load of the trainer's pool in each failure domain.
    """
    trainer = plan.trainers[trainer_name]
    slots = sum(summary.slots for summary in summaries)
    busy = sum(summary.busy for summary in summaries)
    if not slots:
        return trainer.in_flight
    rollout_slots = slots * ROLLOUT_SHARE
    share = find_share(plan, trainer) if busy >= rollout_slots else 1
    shard_slots = rollout_slots * share / trainer.shards
    return max(1, min(trainer.in_flight, math.ceil(shard_slots)))


def find_share(plan: Plan, trainer: Trainer) -> float:
    """Return a trainer's share of its pool, from 0 to 1."""
    total_weight = sum(
        other.share
        for other in plan.trainers.values()
        if other.pool == trainer.pool
    )
    return trainer.share / total_weight
