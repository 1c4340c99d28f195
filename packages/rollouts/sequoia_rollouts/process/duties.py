"""Builds the duties that one host performs for all, and runs them."""

import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from datetime import timedelta
from typing import Protocol

import curio
from attrs import define
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.usage_windows import UsageTiming

from sequoia_rollouts.base.settings import HostSettings
from sequoia_rollouts.capacity.capacity_managers import CapacityManagers
from sequoia_rollouts.fleet.duty_holders import DutyHolder
from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.fleet.platform_apis import PlatformApi
from sequoia_rollouts.live.live_paths import LivePath
from sequoia_rollouts.process.platforms import Platform
from sequoia_rollouts.storage.stores import Committer
from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.usage.reporters import POLL_INTERVAL, UsageReporter
from sequoia_rollouts.usage.usage_rows import DUTY
from sequoia_rollouts.usage.writers import UsageWriter

INACTIVE_INTERVAL = timedelta(milliseconds=250)


class DutySource(Protocol):
    """Components of a host that its duties need."""

    settings: HostSettings
    platform: Platform
    clock: Clock
    rng: random.Random
    directory: Directory
    ownership: OwnershipTable
    live: LivePath


@define(eq=False)
class UsageDuty:
    """Counts the usage of client accounts, and reports it if this host may.

    Attributes:
        is_active: Whether accounts are configured.
    """

    directory: Directory
    writer: UsageWriter
    reporter: UsageReporter
    is_active: bool = False

    async def run_writes(self) -> None:
        """Write the counts of this host until cancelled."""
        while True:
            if self.has_accounts():
                await self.writer.step()
            else:
                await curio.sleep(INACTIVE_INTERVAL.total_seconds())

    async def run_reports(self) -> None:
        """Report the counts of all hosts until cancelled."""
        while True:
            was_active = self.is_active
            self.is_active = self.has_accounts()
            if not self.is_active:
                await curio.sleep(INACTIVE_INTERVAL.total_seconds())
                continue
            if not was_active:
                self.reporter.restart()
            await self.reporter.step()
            await curio.sleep(POLL_INTERVAL.total_seconds())

    def has_accounts(self) -> bool:
        """Return whether the configuration in force lists client accounts."""
        return self.directory.configuration.accounts is not None


@define(eq=False)
class Duties:
    """The duties that are enabled.

    Attributes:
        usage: None unless usage is to be reported.
        capacity: None unless targets are to be ordered.
    """

    usage: UsageDuty | None = None
    capacity: CapacityManagers | None = None

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """The loops to run while the host runs."""
        usage = self.usage
        capacity = self.capacity
        return (
            *((usage.run_writes, usage.run_reports) if usage else ()),
            *((capacity.run,) if capacity else ()),
        )

    def set_lease(self, lease: timedelta) -> None:
        """Change the minimum time between calls of two hosts."""
        if self.usage:
            self.usage.reporter.duty.lease = lease
        if self.capacity:
            self.capacity.set_lease(lease)

    async def release(self) -> None:
        """Release the duties for other hosts, as far as the store responds."""
        if self.usage:
            with suppress(ServiceError):
                await self.usage.reporter.duty.release()
        if self.capacity:
            with suppress(ServiceError):
                await self.capacity.release()

    async def finish(self) -> None:
        """Store what is left when the last request has been answered."""
        if self.usage:
            await self.usage.writer.finish()


def build_duties(host: DutySource) -> Duties:
    """Return the duties that the settings of a host enable."""
    api = host.platform.api
    if api is None:
        return Duties()
    return Duties(build_usage_duty(host, api), build_capacity_duty(host, api))


def build_capacity_duty(
    host: DutySource, api: PlatformApi
) -> CapacityManagers | None:
    """Return the duty to order targets; None if it is not enabled."""
    if not host.settings.duties.orders_capacity:
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


def build_usage_duty(host: DutySource, api: PlatformApi) -> UsageDuty | None:
    """Return the duty to report usage, and let requests be counted.

    It is None if it is not enabled.
    """
    duties = host.settings.duties
    if not duties.reports_usage:
        return None
    timing = UsageTiming(duties.report_window, duties.report_limit)
    counter = host.live.usage
    counter.timing = timing
    store = host.platform.store
    writer = UsageWriter(
        host.clock,
        store,
        host.ownership.heartbeats,
        counter,
        timing,
        host.rng,
    )
    committer = Committer(store, host.clock)
    duty = DutyHolder(
        host.clock,
        host.ownership,
        committer,
        DUTY,
        host.settings.order_lease,
    )
    reporter = UsageReporter(
        host.clock,
        counter.true_clock,
        timing,
        duty,
        committer,
        api,
        find_call_interval(host.settings),
    )
    return UsageDuty(host.directory, writer, reporter)


def find_call_interval(settings: HostSettings) -> timedelta:
    """Return the minimum time between two reports.

    The duty to order targets has an equal part of the API's rate, if enabled.
    """
    duties = settings.duties
    sharing = 2 if duties.orders_capacity else 1
    return timedelta(seconds=sharing / duties.call_rate)
