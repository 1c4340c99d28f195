"""Chooses the peers that serve requests while this host reaches no target."""

import random
from collections.abc import Sequence
from datetime import timedelta

from attrs import define, field

AVOID_FOR = timedelta(seconds=1)  # after a peer did not serve a request


@define
class PeerChoice:
    """Which peers did not serve requests recently.

    Attributes:
        failed_at: When each peer last did not serve a request, by its address.
    """

    failed_at: dict[str, timedelta] = field(factory=dict)

    def choose(
        self,
        peers: Sequence[str],
        count: int,
        now: timedelta,
        rng: random.Random,
    ) -> list[str]:
        """Return up to ``count`` peers in random order.

        Those that did not serve a request recently come last: several hosts of a
        failure domain are cut off together.
        """
        self._forget(now)
        shuffled = rng.sample(peers, len(peers))
        shuffled.sort(key=lambda peer: peer in self.failed_at)
        return shuffled[:count]

    def record_failure(self, peer: str, now: timedelta) -> None:
        """Record that a peer did not serve a request."""
        self.failed_at[peer] = now

    def record_success(self, peer: str) -> None:
        """Record that a peer served a request."""
        self.failed_at.pop(peer, None)

    def _forget(self, now: timedelta) -> None:
        self.failed_at = {
            peer: failed_at
            for peer, failed_at in self.failed_at.items()
            if now - failed_at < AVOID_FOR
        }
