"""Builds the duties that one host performs for all, and runs them."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from datetime import timedelta
from typing import Protocol

from attrs import define
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError

from sequoia_rollouts.base.settings import HostSettings
from sequoia_rollouts.capacity.capacity_managers import CapacityManagers
from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.process.platforms import Platform
from sequoia_rollouts.storage.stores import Committer
from sequoia_rollouts.targets.directories import Directory


class DutySource(Protocol):
    """Components of a host that its duties need."""

    settings: HostSettings
    platform: Platform
    clock: Clock
    directory: Directory
    ownership: OwnershipTable


@define(eq=False)
class Duties:
    """The duties that are enabled.

    Attributes:
        capacity: None unless targets are to be ordered.
    """

    capacity: CapacityManagers | None = None

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """The loops to run while the host runs."""
        return (self.capacity.run,) if self.capacity else ()

    def set_lease(self, lease: timedelta) -> None:
        """Change the minimum time between calls of two hosts."""
        if self.capacity:
            self.capacity.set_lease(lease)

    async def release(self) -> None:
        """Release the duties for other hosts, as far as the store responds."""
        if self.capacity:
            with suppress(ServiceError):
                await self.capacity.release()


def build_duties(host: DutySource) -> Duties:
    """Return the duties that the settings of a host enable."""
    return Duties(capacity=build_capacity_duty(host))


def build_capacity_duty(host: DutySource) -> CapacityManagers | None:
    """Return the duty to order targets; None if it is not enabled."""
    api = host.platform.api
    if api is None or not host.settings.duties.orders_capacity:
        return None
    return CapacityManagers(
        host.clock,
        host.directory,
        host.ownership,
        Committer(host.platform.store, host.clock),
        api,
        host.settings.duties,
        host.settings.order_lease,
    )
