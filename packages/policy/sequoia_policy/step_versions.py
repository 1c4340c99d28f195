"""Decides which open steps may be generated, and with which versions."""

from attrs import frozen


@frozen
class EngineVersions:
    """Weight versions of the engines known to a host.

    Attributes:
        newest: Newest version that an engine has loaded or generates with.
        in_use: Newest version that an engine generates with.
    """

    newest: int = 0
    in_use: int = 0


def find_min_version(newest: int, position: int, bound: int) -> int:
    """Return the oldest version with which a step may be generated.

    A trainer publishes one version per step. When it consumes the step at
    ``position``, it is ``position`` versions ahead of the newest one, and a
    sample of an older version would be discarded at the handover.

    Args:
        newest: Newest version that the trainer has published.
        position: Index of the step among the open ones, from 0.
        bound: Maximum number of versions that a sample may be behind.
    """
    return max(0, newest + position - bound)


def list_ready_steps(
    steps: tuple[int, ...],
    versions: EngineVersions,
    bound: int,
) -> tuple[tuple[int, int], ...]:
    """Return the steps to generate now, each with its minimum version.

    Args:
        steps: Numbers of the open steps.
        versions: Weight versions of the engines.
        bound: Maximum number of versions that a sample may be behind.
    """
    ready = []
    for position, step in enumerate(sorted(steps)[: bound + 1]):
        min_version = find_min_version(versions.newest, position, bound)
        if min_version <= versions.in_use:
            ready.append((step, min_version))
    return tuple(ready)
