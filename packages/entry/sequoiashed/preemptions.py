"""Preempts rollouts at engines where live calls are waiting."""

import random
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field
from sequoia_policy.preemptions import count_preempted
from sequoia_policy.targets import TargetState
from sequoia_wire.logs import Log

from sequoiashed.calls import RoutedCall

log = Log('preempt')


@define
class Preemptor:
    """Tracks this host's rollouts by target and preempts some of them.

    A preempted rollout resumes at another engine with the tokens so far.
    """

    rng: random.Random
    rollouts: dict[str, list[RoutedCall]] = field(
        factory=lambda: defaultdict(list),
    )

    @contextmanager
    def track_rollout(self, call: RoutedCall, target: str) -> Iterator[None]:
        """Track a rollout while it runs at a target."""
        call.preempted = False
        self.rollouts[target].append(call)
        try:
            yield
        finally:
            self.rollouts[target].remove(call)

    def mark_preempted(self, target_state: TargetState) -> None:
        """Mark rollouts as preempted if live calls are waiting at a target."""
        name = target_state.target.name
        running = self.rollouts.get(name)
        if not running or target_state.report is None:
            return
        own_rollouts = len(running)
        count = count_preempted(target_state.report, own_rollouts, self.rng)
        for call in running[own_rollouts - count :]:
            call.preempted = True
            log.write(
                'rollout preempted', target=name, request_id=call.request_id
            )
