"""Admission control: bounded concurrency and fair, time-limited queues."""

import enum
from collections import Counter, deque
from datetime import timedelta

from attrs import define, field, frozen

from sequoia_policy.errors import Code, ServiceError

SMOOTHING = 0.1  # weight of the newest service time in the average
INITIAL_SERVICE_TIME = timedelta(milliseconds=100)


class Admission(enum.Enum):
    """Decision on an offered call."""

    RUN = 'run'
    QUEUE = 'queue'


@frozen
class QueuedCall:
    """A call that was admitted or queued.

    Attributes:
        number: Identifies the call within its queue.
        arrived_at: Time at which the call was offered.
        expires_at: Time by which the call must have started.
    """

    number: int
    caller: str
    arrived_at: timedelta
    expires_at: timedelta


@define
class AdmissionQueue:
    """Runs at most ``limit`` calls and queues the others per caller.

    Callers with queued calls are served round-robin.

    Attributes:
        limit: Maximum number of calls that run concurrently.
        timeout: Maximum time in the queue.
        service_time: Exponential moving average of the time a call runs.
    """

    limit: int
    timeout: timedelta
    running: Counter[str] = field(factory=Counter)
    queues: dict[str, deque[QueuedCall]] = field(factory=dict)
    service_time: timedelta = INITIAL_SERVICE_TIME
    offered_count: int = 0
    start_times: dict[int, timedelta] = field(factory=dict)

    def offer(
        self,
        caller: str,
        max_concurrency: int,
        now: timedelta,
    ) -> tuple[Admission, QueuedCall]:
        """Admit a call now, queue it, or refuse it.

        Args:
            caller: Name of the caller.
            max_concurrency: Maximum number of running and queued calls of
                this caller.
            now: Current time.

        Raises:
            ServiceError: With ``CALLER_LIMIT`` if the caller has too many
                calls, with ``OVERLOADED`` if the call cannot be expected to
                start within the timeout.
        """
        queued = len(self.queues.get(caller, ()))
        if self.running[caller] + queued >= max_concurrency:
            raise ServiceError(
                Code.CALLER_LIMIT,
                f'{max_concurrency} calls of the caller are running or queued',
                retry_after=self.service_time,
            )
        self.offered_count += 1
        call = QueuedCall(self.offered_count, caller, now, now + self.timeout)
        if self.running.total() < self.limit:
            self._start(call, now)
            return Admission.RUN, call
        self._check_wait(caller)
        self.queues.setdefault(caller, deque()).append(call)
        return Admission.QUEUE, call

    def finish(
        self, call: QueuedCall, now: timedelta
    ) -> tuple[QueuedCall, ...]:
        """End a running call and return the queued calls that start now."""
        self.running[call.caller] -= 1
        duration = now - self.start_times.pop(call.number)
        self.service_time += SMOOTHING * (duration - self.service_time)
        return self.start_queued(now)

    def start_queued(self, now: timedelta) -> tuple[QueuedCall, ...]:
        """Start queued calls up to the limit, callers round-robin."""
        started = []
        while self.running.total() < self.limit:
            call = self._pop(now)
            if call is None:
                break
            self._start(call, now)
            started.append(call)
        return tuple(started)

    def withdraw(self, call: QueuedCall) -> None:
        """Remove a queued call that its caller cancelled or that timed out."""
        queue = self.queues.get(call.caller)
        if queue and call in queue:
            queue.remove(call)

    @property
    def waiting(self) -> int:
        """Number of queued calls."""
        return sum(len(queue) for queue in self.queues.values())

    def _start(self, call: QueuedCall, now: timedelta) -> None:
        self.running[call.caller] += 1
        self.start_times[call.number] = now

    def _check_wait(self, caller: str) -> None:
        active = [name for name, queue in self.queues.items() if queue]
        active_count = max(1, len({*active, caller}))
        position = len(self.queues.get(caller, ())) + 1
        wait = self.service_time * position * active_count / max(1, self.limit)
        if wait > self.timeout:
            raise ServiceError(
                Code.OVERLOADED,
                f'expected wait in the queue: {wait.total_seconds():.1f} s',
                retry_after=wait,
            )

    def _pop(self, now: timedelta) -> QueuedCall | None:
        for caller in tuple(self.queues):
            queue = self.queues.pop(caller)
            while queue and queue[0].expires_at < now:
                queue.popleft()
            if queue:
                call = queue.popleft()
                self.queues[caller] = queue
                return call
        return None
