"""Where a record may be: decides by its label, and fails closed."""

from attrs import frozen

from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.plans import Plan


@frozen
class Placement:
    """The failure domains that a record may enter."""

    label: str
    domains: frozenset[str]

    def check(self, domain: str) -> None:
        """Refuse a failure domain that may not hold the record.

        Raises:
            ServiceError: With code MISPLACED.
        """
        if domain not in self.domains:
            raise ServiceError(
                Code.MISPLACED,
                f'{self.label} may not enter {domain}',
            )


def place_record(
    plan: Plan,
    label: str | None,
    granted: tuple[str, ...],
) -> Placement:
    """Return where a record with this label may be.

    Args:
        plan: The plan in force.
        label: The label that the caller gave, if any.
        granted: Labels that the plan grants to the caller.

    Raises:
        ServiceError: If the label is missing, unknown or not granted.
    """
    if label is None or label not in plan.labels:
        raise ServiceError(Code.UNKNOWN_LABEL, label or 'no label')
    if label not in granted:
        raise ServiceError(Code.LABEL_NOT_GRANTED, label)
    return Placement(label, frozenset(plan.labels[label].domains))
