"""Lets live requests wait in order while all their targets are at capacity."""

import random
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.live_queues import (
    MIN_INTERVAL,
    LiveQueue,
    QueuedRequest,
    Refusal,
)
from sequoia_policy.verdicts import Verdict
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.live.live_attempts import LiveAttempts
from sequoia_rollouts.live.stop_guards import StopGuard

log = Log('live')
REQUEST_WAITED = log.event(
    'request waited',
    'request_id',
    'service',
    'account',
    'waited',
    'waiting',
    kind=LogKind.SUCCESS,
)
REQUEST_NOT_QUEUED = log.event(
    'request not queued',
    'request_id',
    'service',
    'account',
    'code',
    'waiting',
    'retry_after',
    kind=LogKind.FAILURE,
)


@define(eq=False)
class Ticket:
    """A request that waits.

    Attributes:
        error: Why it does not wait any longer; None if it is to be sent.
    """

    decided: curio.Event = field(factory=curio.Event)
    error: ServiceError | None = None


@define(eq=False)
class LiveQueues:
    """The queues of this host, one for each service.

    They are used where the configuration has client accounts.

    Attributes:
        tickets: What decides about each waiting request.
        has_tickets: Set while requests wait.
    """

    clock: Clock
    directory: Directory
    stop_guard: StopGuard
    rng: random.Random
    queues: dict[str, LiveQueue] = field(factory=dict)
    tickets: dict[QueuedRequest, Ticket] = field(factory=dict)
    has_tickets: curio.Event = field(factory=curio.Event)

    def admits(self, attempts: LiveAttempts) -> bool:
        """Return whether a request may wait.

        One that may have run is not refused as not run after a wait.
        """
        if self.directory.configuration.accounts is None:
            return False
        if attempts.route.streaming or self.stop_guard.times is not None:
            return False
        return attempts.verdict is Verdict.NOT_RUN

    async def enter(self, attempts: LiveAttempts) -> None:
        """Let a request wait if others go first.

        Raises:
            ServiceError: If it should not wait.
        """
        queue = self._find_queue(attempts)
        if not queue.count:
            return
        request = self._find_request(attempts)
        if not queue.is_next(request, self.clock.elapsed()):
            await self.wait(attempts)

    async def wait(self, attempts: LiveAttempts) -> None:
        """Wait until a request is to be sent to its targets.

        Raises:
            ServiceError: If it should not wait, or no longer.
        """
        queue = self._find_queue(attempts)
        request = self._find_request(attempts)
        started_at = self.clock.elapsed()
        try:
            await self._wait_for_turn(queue, request)
        except ServiceError as error:
            REQUEST_NOT_QUEUED.write(
                request_id=attempts.request.outgoing.id,
                service=attempts.service,
                account=request.account,
                code=error.detail,
                waiting=queue.count,
                retry_after=(
                    error.retry_after and error.retry_after.total_seconds()
                ),
            )
            raise
        REQUEST_WAITED.write(
            request_id=attempts.request.outgoing.id,
            service=attempts.service,
            account=request.account,
            waited=(self.clock.elapsed() - started_at).total_seconds(),
            waiting=queue.count,
        )

    async def record_response(
        self, attempts: LiveAttempts, duration: timedelta
    ) -> None:
        """Record that a target has a free slot again, and send a request."""
        now = self.clock.elapsed()
        queue = self._find_queue(attempts)
        queue.served.record(attempts.request.account, now)
        queue.rate.record(duration, now)
        request = queue.pop(now)
        if request is not None:
            await self._decide(request)

    async def run(self) -> None:
        """Send and refuse waiting requests until cancelled."""
        while True:
            await self.has_tickets.wait()
            for queue in self.queues.values():
                await self._decide_some(queue)
            if not self.tickets:
                self.has_tickets.clear()
            await curio.sleep(MIN_INTERVAL.total_seconds())

    async def _wait_for_turn(
        self, queue: LiveQueue, request: QueuedRequest
    ) -> None:
        now = self.clock.elapsed()
        displaced = queue.offer(request, now)
        ticket = Ticket()
        self.tickets[request] = ticket
        try:
            await self._wait_for_decision(queue, displaced, ticket)
        finally:
            queue.withdraw(request)
            self.tickets.pop(request, None)
        if ticket.error is not None:
            raise ticket.error

    async def _wait_for_decision(
        self,
        queue: LiveQueue,
        displaced: QueuedRequest | None,
        ticket: Ticket,
    ) -> None:
        if displaced is not None:
            await self._decide(
                displaced,
                queue.make_refusal(Refusal.DISPLACED, self.clock.elapsed()),
            )
        await self.has_tickets.set()
        await ticket.decided.wait()

    async def _decide_some(self, queue: LiveQueue) -> None:
        now = self.clock.elapsed()
        for late in queue.pop_late(now):
            await self._decide(late, queue.make_refusal(Refusal.WAITED, now))
        if self.stop_guard.times is not None:
            queue.open()  # the stop decides about each request
        for request in queue.pop_batch(now):
            await self._decide(request)

    async def _decide(
        self, request: QueuedRequest, error: ServiceError | None = None
    ) -> None:
        ticket = self.tickets.get(request)
        if ticket is not None:
            ticket.error = error
            await ticket.decided.set()

    def _find_queue(self, attempts: LiveAttempts) -> LiveQueue:
        queue = self.queues.get(attempts.service)
        if queue is None:
            queue = self.queues.setdefault(
                attempts.service, LiveQueue(self.rng)
            )
        return queue

    def _find_request(self, attempts: LiveAttempts) -> QueuedRequest:
        if attempts.queued is None:
            attempts.queued = QueuedRequest(
                attempts.request.account,
                attempts.priority,
                len(attempts.request.outgoing.body),
                attempts.deadline,
            )
        return attempts.queued
