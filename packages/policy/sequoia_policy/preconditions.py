"""What a process must know before it does something that cannot be undone."""

FIRST_CONFIGURATION = 1  # version 0 means that none was read


def may_judge_route(configuration_version: int, accepted_under: int) -> bool:
    """Return whether a configuration tells how to treat accepted work.

    An older one lacks routes that were added before the work was accepted, and
    may have other limits.

    Args:
        configuration_version: Version of the configuration in force here.
        accepted_under: Version under which the work was accepted.
    """
    return configuration_version >= max(FIRST_CONFIGURATION, accepted_under)
