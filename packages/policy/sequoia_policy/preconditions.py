"""What a process must know before it does something that cannot be undone."""

from datetime import timedelta

FIRST_CONFIGURATION = 1  # version 0 means that none was read
# Longer than a read of changes takes, also if the response to one is lost.
MAX_CONFIGURATION_AGE = timedelta(seconds=3)


def may_judge_route(configuration_version: int, accepted_under: int) -> bool:
    """Return whether a configuration tells how to treat accepted work.

    An older one lacks routes that were added before the work was accepted, and
    may have other limits.

    Args:
        configuration_version: Version of the configuration in force here.
        accepted_under: Version under which the work was accepted.
    """
    return configuration_version >= max(FIRST_CONFIGURATION, accepted_under)


def may_deny_route(age: timedelta | None) -> bool:
    """Return whether to tell a caller that its path has no route.

    Callers take that for final; a newer configuration may have the route.

    Args:
        age: Time since the store confirmed the configuration; None if never.
    """
    return age is not None and age <= MAX_CONFIGURATION_AGE


def is_read_since(lost_at: timedelta | None, read_at: timedelta | None) -> bool:
    """Return whether the owners of work were read since a lease was lost.

    Other hosts take over the work of a process without a valid lease, so that
    what it knew before says nothing about the owner.

    Args:
        lost_at: When this process last lost its lease, or had let it lapse;
            None if never.
        read_at: When the store last responded to a read of the owners.
    """
    if lost_at is None:
        return True
    return read_at is not None and read_at > lost_at
