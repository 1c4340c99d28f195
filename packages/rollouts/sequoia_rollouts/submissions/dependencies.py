"""Services that all submission runners of a host share."""

import random

from attrs import frozen
from sequoia_policy.clocks import Clock

from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.submissions.placers import Placer
from sequoia_rollouts.submissions.rewards import RewardCaller
from sequoia_rollouts.submissions.scorers import ScorerQueue
from sequoia_rollouts.targets.dialects import TargetDialect
from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.targets.permits import PermitTaker
from sequoia_rollouts.targets.senders import Sender


@frozen
class RunnerDependencies:
    """Services that all submission runners of a host share."""

    clock: Clock
    directory: Directory
    sender: Sender
    placer: Placer
    rewards: RewardCaller


def build_dependencies(
    clock: Clock,
    directory: Directory,
    dialect: TargetDialect,
    ownership: OwnershipTable,
    rng: random.Random,
) -> RunnerDependencies:
    """Create the services that all submission runners share.

    Args:
        clock: The clock of the host.
        directory: Configuration and targets.
        dialect: The language of the targets.
        ownership: Knows this host and the hosts that run submissions.
        rng: Chooses targets, and the services of reward calls.
    """
    permits = PermitTaker(
        ownership.store,
        clock,
        ownership.heartbeats,
        rng,
        directory.registry.announcements,
    )
    sender = Sender(
        clock,
        dialect,
        permits,
        directory.record_leaving,
        directory.registry.path,
    )
    placer = Placer(
        clock,
        directory,
        ownership.heartbeats.own.host,
        ownership.count_owners,
        rng,
    )
    scorers = ScorerQueue(placer)
    rewards = RewardCaller(clock, directory, sender, scorers, rng)
    return RunnerDependencies(clock, directory, sender, placer, rewards)
