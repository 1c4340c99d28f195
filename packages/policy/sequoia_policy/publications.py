"""Which registrations differ from what coordinators have published.

Targets renew their registrations every second or so. Of hundreds of targets,
each host would read hundreds of renewals a second, and hardly any of them
matters to it. Coordinators read them all and publish what changed for callers.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from attrs import evolve, frozen

from sequoia_policy.registries import RegisteredTarget, Registration

MAX_DIRECT_TARGETS = 100  # up to which every host reads the renewals
# Share of that number down to which a host still uses what is published.
RETURN_SHARE = 0.8
STAGGER = timedelta(milliseconds=200)  # between coordinators, by rank
MARKER_INTERVAL = timedelta(seconds=1)
MAX_MARKER_AGE = timedelta(seconds=3)


@frozen
class PublishedRow:
    """A published registration as last read or written.

    Attributes:
        version: Version of the row, or of its removal.
        registration: None if it was removed.
    """

    version: int
    registration: Registration | None


@frozen
class Difference:
    """A registration to publish.

    Attributes:
        row_version: Version of the published row; 0 if there is none.
        registration: None to remove the row.
    """

    name: str
    row_version: int
    registration: Registration | None


def is_fleet_large(targets: int, *, already: bool) -> bool:
    """Return whether hosts should use what coordinators publish.

    Args:
        targets: Number of targets of all services.
        already: Whether they do so now.
    """
    if already:
        return targets > MAX_DIRECT_TARGETS * RETURN_SHARE
    return targets > MAX_DIRECT_TARGETS


def summarize(registration: Registration) -> Registration:
    """Return a registration as published: without the loaded versions.

    They change often, and only coordinators place work by them.
    """
    return evolve(registration, versions=())


def find_differences(
    targets: Iterable[RegisteredTarget],
    published: Mapping[str, PublishedRow],
) -> list[Difference]:
    """Compare the registered targets with the published rows.

    Args:
        targets: All registered targets.
        published: The published rows by name, with removals.
    """
    current = {
        target.name: summarize(target.registration) for target in targets
    }
    absent = PublishedRow(0, None)
    differences = []
    for name in sorted(current.keys() | published.keys()):
        row = published.get(name, absent)
        registration = current.get(name)
        if row.registration != registration:
            differences.append(
                Difference(
                    name,
                    row.version if row.registration else 0,
                    registration,
                )
            )
    return differences
