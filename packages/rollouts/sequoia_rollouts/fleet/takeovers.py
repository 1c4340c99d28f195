"""Decides when this host takes over work without a live owner."""

from datetime import timedelta

from attrs import define, field
from sequoia_policy.choices import rank_names
from sequoia_policy.clocks import Clock
from sequoia_policy.liveness import ADOPTION_STAGGER

from sequoia_rollouts.fleet.heartbeats import HeartbeatService


@define
class TakeoverTurns:
    """The turns of hosts to take over submissions and duties.

    Attributes:
        unowned_since: When a submission or duty was first observed without a
            live owner, by submission id or name of the duty.
    """

    clock: Clock
    heartbeats: HeartbeatService
    unowned_since: dict[str, timedelta] = field(factory=dict)

    def is_unowned(self, owner: str) -> bool:
        """Return whether ``owner`` is empty or dead."""
        return not owner or self.heartbeats.is_dead(owner)

    def record_owned(self, name: str) -> None:
        """Record that work has a live owner, or needs none any more."""
        self.unowned_since.pop(name, None)

    def has_come(self, name: str) -> bool:
        """Return whether this host should take over unowned work now.

        Hosts are ranked by rendezvous hashing of its name, and each rank
        waits one ADOPTION_STAGGER longer: the first host acts at once and the
        others act only if it does not.
        """
        if not self.heartbeats.holds_lease() or self.heartbeats.is_draining:
            return False
        now = self.clock.elapsed()
        since = self.unowned_since.setdefault(name, now)
        ranked = rank_names(name, self.heartbeats.live_owners())
        rank = ranked.index(self.heartbeats.owner)
        return now - since >= ADOPTION_STAGGER * rank
