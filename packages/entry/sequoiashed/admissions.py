"""Admission control of live calls, with one queue per service."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import curio
from attrs import define, field
from sequoia_policy.admission_queues import (
    Admission,
    AdmissionQueue,
    QueuedCall,
)
from sequoia_policy.errors import Code, ServiceError

from sequoiashed.live import LiveCall, Proceed
from sequoiashed.states import HostState


@define
class AdmissionFilter:
    """Limits the concurrent calls of each service and queues the others.

    Attributes:
        queues: Admission queues by service.
        start_events: Set when a queued call may start, by service and call
            number.
    """

    state: HostState
    queues: dict[str, AdmissionQueue] = field(factory=dict)
    start_events: dict[tuple[str, int], curio.Event] = field(factory=dict)

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Wait for admission, then proceed.

        Raises:
            ServiceError: With code CALLER_LIMIT or OVERLOADED.
        """
        async with self._admitted(live):
            await proceed(live)

    @property
    def waiting(self) -> int:
        """Number of live calls that are queued on this host."""
        return sum(queue.waiting for queue in self.queues.values())

    @asynccontextmanager
    async def _admitted(self, live: LiveCall) -> AsyncIterator[None]:
        queue = self._find_queue(live.service_name)
        now = self.state.clock.elapsed()
        admission, call = queue.offer(
            live.caller_name,
            live.caller.concurrency,
            now,
        )
        if admission is Admission.QUEUE:
            await self._wait(live.service_name, queue, call)
        try:
            yield
        finally:
            started = queue.finish(call, self.state.clock.elapsed())
            await self._notify_started(live.service_name, started)

    def _find_queue(self, service: str) -> AdmissionQueue:
        if service not in self.queues:
            settings = self.state.settings
            queue = AdmissionQueue(settings.live_calls, settings.queue_patience)
            self.queues[service] = queue
        return self.queues[service]

    async def _wait(
        self, service: str, queue: AdmissionQueue, call: QueuedCall
    ) -> None:
        event = curio.Event()
        self.start_events[service, call.number] = event
        timeout = queue.timeout.total_seconds()
        try:
            async with curio.timeout_after(timeout):
                await event.wait()
        except (curio.TaskTimeout, curio.CancelledError) as error:
            await self._abandon(service, queue, call)
            if isinstance(error, curio.TaskTimeout):
                raise ServiceError(
                    Code.OVERLOADED,
                    'timed out in the admission queue',
                    retry_after=queue.service_time,
                ) from error
            raise
        finally:
            self.start_events.pop((service, call.number), None)

    async def _abandon(
        self,
        service: str,
        queue: AdmissionQueue,
        call: QueuedCall,
    ) -> None:
        event = self.start_events.get((service, call.number))
        if event and event.is_set():
            started = queue.finish(call, self.state.clock.elapsed())
            await self._notify_started(service, started)
            return
        queue.withdraw(call)

    async def _notify_started(
        self, service: str, started: tuple[QueuedCall, ...]
    ) -> None:
        for call in started:
            event = self.start_events.get((service, call.number))
            if event:
                await event.set()
