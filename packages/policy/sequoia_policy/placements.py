"""Failure domains that a record may enter, according to its label.

Fails closed: a record whose label is missing, unknown or not granted is
refused.
"""

from attrs import frozen

from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.plans import Plan


@frozen
class Placement:
    """The failure domains that a record may enter."""

    label: str
    domains: frozenset[str]

    def check(self, domain: str) -> None:
        """Check that the record may enter a failure domain.

        Raises:
            ServiceError: With code MISPLACED if it may not.
        """
        if domain not in self.domains:
            raise ServiceError(
                Code.MISPLACED,
                f'{self.label} records may not enter failure domain {domain}',
            )


def place_record(
    plan: Plan,
    label: str | None,
    granted: tuple[str, ...],
) -> Placement:
    """Return the placement of a record with a label.

    Args:
        plan: The plan in force.
        label: Label set by the caller, if any.
        granted: Labels granted to the caller by the plan.

    Raises:
        ServiceError: If the label is missing, unknown or not granted.
    """
    if label is None or label not in plan.labels:
        raise ServiceError(Code.UNKNOWN_LABEL, label or 'no label')
    if label not in granted:
        raise ServiceError(Code.LABEL_NOT_GRANTED, label)
    return Placement(label, frozenset(plan.labels[label].domains))
