"""Admission of calls: bounded concurrency, fair queues bounded by time."""

import enum
from collections import Counter, deque
from datetime import timedelta

from attrs import define, field, frozen

from sequoia_policy.errors import Code, ServiceError

SMOOTHING = 0.1  # weight of the newest service time
FIRST_SERVICE_TIME = timedelta(milliseconds=100)


class Admission(enum.Enum):
    """What happens to an offered call."""

    RUN = 'run'
    QUEUE = 'queue'


@frozen
class QueuedCall:
    """One call at a gate.

    Attributes:
        arrived: When it was offered.
        expires: When it must have started.
    """

    number: int
    caller: str
    arrived: timedelta
    expires: timedelta


@define
class AdmissionQueue:
    """Runs at most ``limit`` calls and queues others by caller, in turn.

    Attributes:
        limit: Calls that run at a time.
        timeout: Longest time in the queue.
    """

    limit: int
    timeout: timedelta
    running: Counter[str] = field(factory=Counter)
    queues: dict[str, deque[QueuedCall]] = field(factory=dict)
    service_time: timedelta = FIRST_SERVICE_TIME
    offered: int = 0
    starts: dict[int, timedelta] = field(factory=dict)

    def offer(
        self,
        caller: str,
        concurrency: int,
        now: timedelta,
    ) -> tuple[Admission, QueuedCall]:
        """Admit a call now, queue it, or refuse it.

        Args:
            caller: Name of the caller.
            concurrency: Most calls of this caller at a time.
            now: The present time.

        Raises:
            ServiceError: If the caller has too many calls, or the queue is
                longer than what can start in time.
        """
        queued = len(self.queues.get(caller, ()))
        if self.running[caller] + queued >= concurrency:
            raise ServiceError(
                Code.CALLER_LIMIT,
                f'{concurrency} calls are under way',
                retry_after=self.service_time,
            )
        self.offered += 1
        ticket = QueuedCall(self.offered, caller, now, now + self.timeout)
        if self.running.total() < self.limit:
            self._start(ticket, now)
            return Admission.RUN, ticket
        self._check_wait(caller)
        self.queues.setdefault(caller, deque()).append(ticket)
        return Admission.QUEUE, ticket

    def finish(
        self, ticket: QueuedCall, now: timedelta
    ) -> tuple[QueuedCall, ...]:
        """End a running call; return the queued calls that start now."""
        self.running[ticket.caller] -= 1
        took = now - self.starts.pop(ticket.number)
        self.service_time += SMOOTHING * (took - self.service_time)
        return self.start_queued(now)

    def start_queued(self, now: timedelta) -> tuple[QueuedCall, ...]:
        """Start queued calls that fit, callers in turn."""
        started = []
        while self.running.total() < self.limit:
            ticket = self._pop(now)
            if ticket is None:
                break
            self._start(ticket, now)
            started.append(ticket)
        return tuple(started)

    def withdraw(self, ticket: QueuedCall) -> None:
        """Remove a queued call that was given up."""
        queue = self.queues.get(ticket.caller)
        if queue and ticket in queue:
            queue.remove(ticket)

    @property
    def waiting(self) -> int:
        """Number of queued calls."""
        return sum(len(queue) for queue in self.queues.values())

    def _start(self, ticket: QueuedCall, now: timedelta) -> None:
        self.running[ticket.caller] += 1
        self.starts[ticket.number] = now

    def _check_wait(self, caller: str) -> None:
        active = [name for name, queue in self.queues.items() if queue]
        share = max(1, len({*active, caller}))
        ahead = len(self.queues.get(caller, ())) + 1
        wait = self.service_time * ahead * share / max(1, self.limit)
        if wait > self.timeout:
            raise ServiceError(
                Code.OVERLOADED,
                f'the queue takes {wait.total_seconds():.1f} s',
                retry_after=wait,
            )

    def _pop(self, now: timedelta) -> QueuedCall | None:
        for caller in tuple(self.queues):
            queue = self.queues.pop(caller)
            while queue and queue[0].expires < now:
                queue.popleft()
            if queue:
                ticket = queue.popleft()
                self.queues[caller] = queue
                return ticket
        return None
