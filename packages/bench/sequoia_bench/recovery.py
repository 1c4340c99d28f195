"""Benchmark of how fast ten real hosts recover from faults.

The faults are a network partition and an outage of the store.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.plan_texts import find_edits
from sequoia_standins.demos import prepare_folder
from sequoia_standins.deployments import (
    TAMSUI,
    HostEndpoints,
    Layout,
    add_relay,
    make_layout,
)
from sequoia_standins.experiments import Deployment
from sequoia_standins.processes import ProcessGroup, start_all
from sequoia_standins.stores import StoreFaults
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import encode

from sequoia_bench.figures import Figure

BENCH = 'recovery'
PARTITIONED_DOMAIN = 'bali'
OUTAGE_SECONDS = 15  # outlasts leases and the confirmation of plans
POLL_SECONDS = 0.05
MAX_RECOVERY_TIME = timedelta(seconds=40)


class NotRecoveredError(Exception):
    """The deployment did not recover within the time limit."""


@define
class RecoveryRun:
    """Edits the plan during a partition, then makes the store unavailable."""

    layout: Layout
    deployment: Deployment = field(init=False)
    clock: Clock = field(factory=SystemClock)

    def __attrs_post_init__(self) -> None:
        """Create the client side of the deployment."""
        self.deployment = Deployment(self.layout)

    async def run(self) -> list[Figure]:
        """Return the duration of each recovery in seconds."""
        number = await self.deployment.publish_plan()
        duty_count = await self._wait_for_duties()
        partition_figures = await self._edit_during_partition(number + 1)
        outage_figures = await self._stop_store(duty_count)
        return [*partition_figures, *outage_figures]

    async def _edit_during_partition(self, number: int) -> list[Figure]:
        hosts = self.layout.hosts
        isolated = tuple(
            host for host in hosts if host.domain == PARTITIONED_DOMAIN
        )
        reachable = tuple(
            host for host in hosts if host.domain != PARTITIONED_DOMAIN
        )
        await self.deployment.partition(PARTITIONED_DOMAIN)
        await self._submit_edit(reachable)
        edited_after = await self._time_until(
            lambda: self._is_plan_in_force(number, reachable)
        )
        await curio.sleep(OUTAGE_SECONDS)
        await self.deployment.partition()
        healed_after = await self._time_until(
            lambda: self._is_plan_in_force(number, isolated)
        )
        return [
            Figure(
                BENCH,
                'a domain is cut off',
                'edit on others',
                edited_after,
                's',
            ),
            Figure(
                BENCH, 'it is healed', 'edit on its hosts', healed_after, 's'
            ),
        ]

    async def _stop_store(self, duty_count: int) -> list[Figure]:
        store = self.layout.platform.store
        outage = encode(StoreFaults(down=True))
        await self.deployment.post(store, '/faults', outage)
        await curio.sleep(OUTAGE_SECONDS)
        await self.deployment.post(store, '/faults', encode(StoreFaults()))
        case = f'store was away for {OUTAGE_SECONDS} s'
        confirmed_after = await self._time_until(self._are_plans_confirmed)
        duties_delay = await self._time_until(
            lambda: self._are_duties_held(duty_count)
        )
        return [
            Figure(BENCH, case, 'plan confirmed on all', confirmed_after, 's'),
            Figure(
                BENCH,
                case,
                'all duties held',
                confirmed_after + duties_delay,
                's',
            ),
        ]

    async def _submit_edit(self, reachable: tuple[HostEndpoints, ...]) -> None:
        edit = self.layout.shape.demo_edit
        client = self.deployment.operator_client(edit.section)
        client.addresses = tuple(host.admin for host in reachable)
        current = (await client.read_plan()).text
        edited_text = current.replace(edit.before, edit.after)
        await client.submit_edits(find_edits(current, edited_text))

    async def _time_until(
        self, condition: Callable[[], Awaitable[bool]]
    ) -> float:
        """Return the seconds until a condition holds.

        Raises:
            NotRecoveredError: If the condition does not hold in time.
        """
        started_at = self.clock.elapsed()
        while not await condition():
            if self.clock.elapsed() - started_at > MAX_RECOVERY_TIME:
                raise NotRecoveredError
            await curio.sleep(POLL_SECONDS)
        return (self.clock.elapsed() - started_at).total_seconds()

    async def _is_plan_in_force(
        self, number: int, hosts: tuple[HostEndpoints, ...]
    ) -> bool:
        return not await self.deployment.find_outdated(number, hosts)

    async def _are_plans_confirmed(self) -> bool:
        statuses = await self.deployment.read_statuses()
        return not any(status.plan_lapsed for status in statuses.values())

    async def _are_duties_held(self, duty_count: int) -> bool:
        return await self._count_duties() >= duty_count

    async def _count_duties(self) -> int:
        statuses = await self.deployment.read_statuses()
        return sum(len(status.duties) for status in statuses.values())

    async def _wait_for_duties(self) -> int:
        """Return the number of held duties once it is stable."""
        duty_count = -1
        while await self._count_duties() != duty_count:
            duty_count = await self._count_duties()
            await curio.sleep(3)
        return duty_count


def measure_recovery(_seed: int) -> list[Figure]:
    """Measure recovery from a partition and from an outage of the store."""
    layout = add_relay(make_layout(TAMSUI))
    with ProcessGroup(prepare_folder(BENCH)) as group:
        start_all(group, layout)
        with curio.Kernel() as kernel:
            return kernel.run(RecoveryRun(layout).run)
