"""The plan in force on a host, and whether it is known to be the newest."""

from datetime import timedelta

from attrs import define, evolve

from sequoia_policy.placements import Placement
from sequoia_policy.plans import Plan

PLAN_EXPIRY = timedelta(seconds=10)


@define
class PlanState:
    """The plan in force; only a plan with a higher number replaces it.

    Attributes:
        confirmed_at: When the plan was last confirmed as the newest one; None
            if never.
    """

    plan: Plan = Plan()
    confirmed_at: timedelta | None = None

    @property
    def number(self) -> int:
        """Number of the plan in force; 0 if there is none."""
        return self.plan.number

    def accept(self, plan: Plan) -> bool:
        """Put a plan in force if its number is higher; return whether it is."""
        if plan.number <= self.plan.number:
            return False
        self.plan = plan
        return True

    def confirm(self, number: int, at: timedelta) -> None:
        """Record that ``number`` was the newest accepted plan at time ``at``."""
        if number != self.plan.number:
            return
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def is_expired(self, now: timedelta) -> bool:
        """Return whether this host may have missed a newer plan."""
        if self.confirmed_at is None:
            return True
        return now - self.confirmed_at > PLAN_EXPIRY

    def restrict_placement(
        self,
        placement: Placement,
        own_domain: str,
        now: timedelta,
    ) -> Placement:
        """Limit a placement to this host's domain if the plan has expired."""
        if not self.is_expired(now):
            return placement
        allowed = placement.domains & {own_domain}
        return evolve(placement, domains=allowed)
