"""Admits live calls through a gate for each service."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import curio
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.admission_queues import (
    Admission,
    AdmissionQueue,
    QueuedCall,
)

from sequoiashed.live import LiveCall, Proceed
from sequoiashed.states import HostState


@define
class AdmitFilter:
    """Runs a bounded number of calls and queues others for a short time."""

    state: HostState
    gates: dict[str, AdmissionQueue] = field(factory=dict)
    granted: dict[tuple[str, int], curio.Event] = field(factory=dict)

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Wait for admission and go on."""
        async with self._admitted(live):
            await proceed(live)

    @property
    def waiting(self) -> int:
        """Live calls that are queued on this host."""
        return sum(gate.waiting for gate in self.gates.values())

    @asynccontextmanager
    async def _admitted(self, live: LiveCall) -> AsyncIterator[None]:
        gate = self._find_gate(live.service_name)
        now = self.state.clock.elapsed()
        admission, ticket = gate.offer(
            live.caller_name,
            live.caller.concurrency,
            now,
        )
        if admission is Admission.QUEUE:
            await self._wait(live.service_name, gate, ticket)
        try:
            yield
        finally:
            started = gate.finish(ticket, self.state.clock.elapsed())
            await self._grant(live.service_name, started)

    def _find_gate(self, service: str) -> AdmissionQueue:
        if service not in self.gates:
            settings = self.state.settings
            gate = AdmissionQueue(settings.live_calls, settings.queue_patience)
            self.gates[service] = gate
        return self.gates[service]

    async def _wait(
        self, service: str, gate: AdmissionQueue, ticket: QueuedCall
    ) -> None:
        event = curio.Event()
        self.granted[service, ticket.number] = event
        patience = gate.timeout.total_seconds()
        try:
            async with curio.timeout_after(patience):
                await event.wait()
        except (curio.TaskTimeout, curio.CancelledError) as late:
            await self._give_up(service, gate, ticket)
            if isinstance(late, curio.TaskTimeout):
                raise ServiceError(
                    Code.OVERLOADED,
                    'queued for too long',
                    retry_after=gate.service_time,
                ) from late
            raise
        finally:
            self.granted.pop((service, ticket.number), None)

    async def _give_up(
        self,
        service: str,
        gate: AdmissionQueue,
        ticket: QueuedCall,
    ) -> None:
        event = self.granted.get((service, ticket.number))
        if event and event.is_set():
            started = gate.finish(ticket, self.state.clock.elapsed())
            await self._grant(service, started)
            return
        gate.withdraw(ticket)

    async def _grant(
        self, service: str, started: tuple[QueuedCall, ...]
    ) -> None:
        for ticket in started:
            event = self.granted.get((service, ticket.number))
            if event:
                await event.set()
