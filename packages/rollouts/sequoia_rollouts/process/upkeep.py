"""What a host does beside its callers: removes old rows, releases work."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from attrs import define
from sequoia_policy.clocks import Clock

from sequoia_rollouts.fleet.coordination import Coordination
from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.process.duties import Duties
from sequoia_rollouts.process.path_releases import PathRelease
from sequoia_rollouts.process.platforms import Platform
from sequoia_rollouts.process.sweepers import Sweeper
from sequoia_rollouts.submissions.submission_handlers import SubmissionHandler
from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.weights.weight_managers import WeightManagers


class UpkeepSource(Protocol):
    """Components of a host that its upkeep needs."""

    platform: Platform
    clock: Clock
    coordination: Coordination
    directory: Directory
    ownership: OwnershipTable
    submission_handler: SubmissionHandler
    weights: WeightManagers
    duties: Duties
    draining: bool


@define(eq=False)
class Upkeep:
    """The components that no request needs."""

    sweeper: Sweeper
    path_release: PathRelease

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """The loops to run while the host runs."""
        return (self.sweeper.run, self.path_release.run)


def build_upkeep(host: UpkeepSource) -> Upkeep:
    """Return the upkeep of a host."""
    sweeper = Sweeper(host.platform.store, host.clock, host.ownership)
    path_release = PathRelease(
        host.clock,
        host.directory.registry.path,
        host.coordination,
        host.ownership,
        host.submission_handler,
        (host.weights, host.duties),
        lambda: host.draining,
    )
    return Upkeep(sweeper, path_release)
