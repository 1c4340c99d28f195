"""Assignment of targets to the hosts that watch them."""

from attrs import define

from sequoia_policy.choices import rank_names

WATCHERS_PER_TARGET = 2


@define
class WatchList:
    """Targets assigned to one host by rendezvous hashing.

    The assignment is recomputed only when the hosts or targets change.
    """

    host: str
    hosts: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    watched: tuple[str, ...] = ()

    def update(
        self,
        hosts: tuple[str, ...],
        targets: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Return the targets to watch for the given live hosts and targets."""
        if (hosts, targets) != (self.hosts, self.targets):
            self.hosts = hosts
            self.targets = targets
            self.watched = tuple(
                target
                for target in targets
                if self.host in rank_names(target, hosts)[:WATCHERS_PER_TARGET]
            )
        return self.watched
