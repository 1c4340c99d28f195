"""Messages of the operator interface of entry hosts."""

from attrs import frozen
from sequoia_policy.plan_texts import SectionEdit

from sequoia_wire.rows import PlanEdit


@frozen
class MemberStatus:
    """State of another host as observed by the reporting host."""

    name: str
    domain: str
    alive: bool
    plan_number: int


@frozen
class TargetView:
    """State of a target as observed by the reporting host.

    Attributes:
        load: Requests per slot.
    """

    name: str
    pool: str
    domain: str
    version: int | None
    load: float
    leaving: bool
    usable: bool


@frozen
class HostStatus:
    """Status that a host reports to operators."""

    name: str
    domain: str
    ready: bool
    draining: bool
    plan_number: int
    plan_lapsed: bool
    duties: tuple[str, ...]
    members: tuple[MemberStatus, ...]
    targets: tuple[TargetView, ...]


@frozen
class LeaveOrder:
    """An operator's order to send no new work to a target."""

    target: str


@frozen
class PlanText:
    """The newest accepted plan."""

    number: int
    text: str


@frozen
class PlanSubmission:
    """Edits that are accepted atomically."""

    edits: tuple[SectionEdit, ...]


@frozen
class PlanHistory:
    """Accepted edits, oldest first."""

    edits: tuple[PlanEdit, ...]
