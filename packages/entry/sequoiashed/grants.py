"""Duties derived from the plan, and the right to act under a lease."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import curio
from attrs import define, frozen
from sequoia_policy.leases import may_act

from sequoiashed.states import HostState


@define
class Grant:
    """The right to act under a lease.

    Attributes:
        renewed_at: When the last successful renewal was sent.
    """

    fencing: int
    state: HostState
    renewed_at: timedelta

    def may_act(self) -> bool:
        """Return whether the lease is certainly still held."""
        return may_act(self.renewed_at, self.state.clock.elapsed())


class Duty(Protocol):
    """Work that one host does on behalf of all hosts."""

    async def run(self, grant: Grant) -> None:
        """Run until cancelled."""


@frozen
class DutyPlan:
    """A duty that the plan requires, and how to run it.

    Attributes:
        name: Unique name, the key of its lease.
        domains: Failure domains whose hosts may hold the lease.
        outlasts_lease: Whether the holder continues when it cannot renew the
            lease, until it observes another holder. Only for work that two
            holders may do concurrently.
    """

    name: str
    domains: frozenset[str]
    make: Callable[[], Duty]
    outlasts_lease: bool = False


@define
class HeldDuty:
    """A duty whose lease this host holds, with its running task."""

    plan: DutyPlan
    grant: Grant
    task: curio.Task


DutyLister = Callable[[], tuple[DutyPlan, ...]]
