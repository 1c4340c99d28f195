"""When the samples of an open step may be generated."""

from attrs import frozen


@frozen
class EngineVersions:
    """Weight versions of the engines that a host sees.

    Attributes:
        newest: Newest version that any engine holds or uses.
        in_use: Newest version that an engine answers with.
    """

    newest: int = 0
    in_use: int = 0


def find_min_version(newest: int, position: int, bound: int) -> int:
    """Return the oldest version with which a step may be generated.

    A trainer moves on by one version a step. When the step at ``position``
    is its turn, the trainer is ``position`` versions beyond the newest one,
    and an older sample would be dropped at the hand-over.

    Args:
        newest: Newest version that the trainer has published.
        position: Place of the step among the open ones, from 0.
        bound: Most versions that a sample may be behind.
    """
    return max(0, newest + position - bound)


def list_ready_steps(
    steps: tuple[int, ...],
    versions: EngineVersions,
    bound: int,
) -> tuple[tuple[int, int], ...]:
    """Return the steps to generate now, each with its least version.

    Args:
        steps: Numbers of the open steps.
        versions: Versions of the engines.
        bound: Most versions that a sample may be behind.
    """
    paced = []
    for position, step in enumerate(sorted(steps)[: bound + 1]):
        least = find_min_version(versions.newest, position, bound)
        if least <= versions.in_use:
            paced.append((step, least))
    return tuple(paced)
