"""Queue of one host for live requests whose targets are all at capacity.

The hosts share the targets and do not know each other's requests. A slot is found free
by sending: few of the waiting requests are sent at a time, in fair order, and one that
the targets refuse again keeps its place.
"""

import enum
import random
from collections import deque
from collections.abc import Iterator
from datetime import timedelta

from attrs import define, field

from sequoia_policy.errors import Code, ServiceError

MAX_WAITING = 256
MAX_WAITING_BYTES = 8 << 20
MAX_WAIT = timedelta(seconds=1)
# Longest expected wait. Requests of other accounts that come later may go first, so
# that the wait can become longer.
MAX_EXPECTED_WAIT = timedelta(milliseconds=400)
# Part of the longest wait after which the newest requests are served first: the
# older ones will be late anyway.
OVERDUE_SHARE = 0.5
# Score of an account up to which its requests are sent at short intervals: other
# hosts may be serving an account that uses far more.
RARE_SCORE = 2.0
SERVED_HALF_LIFE = timedelta(seconds=5)
MAX_SERVED_ACCOUNTS = 1000  # the oldest is forgotten first
RATE_WINDOW = timedelta(seconds=2)
MIN_RATE_SPAN = timedelta(milliseconds=500)
MIN_RATE = 1.0  # responses a second
DEFAULT_RATE = 20.0  # where a host had its first response just now, or none
MIN_RETRY_AFTER = timedelta(milliseconds=300)
MAX_RETRY_AFTER = timedelta(seconds=5)
MIN_INTERVAL = timedelta(milliseconds=15)  # between two batches
MAX_INTERVAL = timedelta(milliseconds=60)
HALF = 0.5  # the random part of an interval is as long as it on average
MAX_BATCH = 16  # requests that are sent at a time


class Refusal(enum.Enum):
    """Why a request does not wait, or no longer.

    Attributes:
        FULL: The queue has no room for it.
        LATE: It would probably wait for too long.
        DISPLACED: It made room for a request of an account with fewer.
        WAITED: It has waited for too long.
    """

    FULL = 'queue_full'
    LATE = 'queue_late'
    DISPLACED = 'queue_displaced'
    WAITED = 'queue_waited'


@define(eq=False)
class QueuedRequest:
    """A request that may wait.

    Attributes:
        priority: How urgent it is; 0 is most urgent.
        size: Bytes of its body.
        deadline: When its response must be complete.
        queued_at: When it first began to wait; None if it never did.
    """

    account: str
    priority: int
    size: int
    deadline: timedelta
    queued_at: timedelta | None = None


@define
class ServedShares:
    """What accounts were served lately; older requests count for less.

    Attributes:
        scores: Score of an account, and the time to which it refers.
    """

    scores: dict[str, tuple[float, timedelta]] = field(factory=dict)

    def record(self, account: str, now: timedelta) -> None:
        """Count a request that was sent to a target."""
        score = self.find(account, now) + 1
        self.scores.pop(account, None)  # the latest come last
        if len(self.scores) >= MAX_SERVED_ACCOUNTS:
            self.scores.pop(next(iter(self.scores)))
        self.scores[account] = (score, now)

    def find(self, account: str, now: timedelta) -> float:
        """Return the score of an account."""
        score, scored_at = self.scores.get(account, (0, now))
        half_lives: float = (now - scored_at) / SERVED_HALF_LIFE
        return score * 0.5**half_lives


@define
class ResponseRate:
    """Rate and mean duration of the responses that a host receives.

    Attributes:
        responses: Time and duration of the responses within the window.
        total: Sum of these durations.
    """

    responses: deque[tuple[timedelta, timedelta]] = field(factory=deque)
    total: timedelta = timedelta()

    def record(self, duration: timedelta, now: timedelta) -> None:
        """Record a response."""
        self.responses.append((now, duration))
        self.total += duration
        self._forget(now)

    def per_second(self, now: timedelta) -> float:
        """Return the responses per second."""
        self._forget(now)
        if not self.responses:
            return DEFAULT_RATE
        oldest, _duration = self.responses[0]
        span = max(MIN_RATE_SPAN, now - oldest)
        floor = DEFAULT_RATE if span == MIN_RATE_SPAN else MIN_RATE
        return max(floor, len(self.responses) / span.total_seconds())

    def mean_duration(self) -> timedelta:
        """Return the mean duration, zero if there was no response."""
        return self.total / max(1, len(self.responses))

    def _forget(self, now: timedelta) -> None:
        while self.responses and now - self.responses[0][0] > RATE_WINDOW:
            _at, duration = self.responses.popleft()
            self.total -= duration


@define(eq=False)
class LiveQueue:
    """The waiting requests of one service at one host.

    Attributes:
        waiting: Requests by priority and account, in the order of arrival.
        count: Number of waiting requests.
        size: Bytes of their bodies.
        batch: Number of requests to send next, if none was refused since.
        interval: Time until then; longer after each refusal, so that hundreds of
            hosts do not load the targets with requests that these refuse.
        due_at: When to send them.
        was_refused: Whether the targets refused a request of the last batch.
    """

    rng: random.Random
    served: ServedShares = field(factory=ServedShares)
    rate: ResponseRate = field(factory=ResponseRate)
    waiting: dict[tuple[int, str], deque[QueuedRequest]] = field(factory=dict)
    count: int = 0
    size: int = 0
    batch: int = 1
    interval: timedelta = MIN_INTERVAL
    due_at: timedelta = timedelta()
    was_refused: bool = False

    def offer(
        self, request: QueuedRequest, now: timedelta
    ) -> QueuedRequest | None:
        """Let a request wait.

        Returns:
            Another request that no longer waits to make room; None if there is
            room.

        Raises:
            ServiceError: With code OVERLOADED if there is no room, or if its
                response would probably be late.
        """
        if request.queued_at is None:
            self._check_wait(request, now)
        else:
            self._record_refusal(request, now)
        displaced = None
        if self._is_full(request):
            displaced = self._find_displaced(request)
            if displaced is None:
                raise self.make_refusal(Refusal.FULL, now)
            self.withdraw(displaced)
        key = (request.priority, request.account)
        queue = self.waiting.setdefault(key, deque())
        if request.queued_at is None:
            request.queued_at = now
            queue.append(request)
        else:
            queue.appendleft(request)
        self.count += 1
        self.size += request.size
        return displaced

    def is_next(self, request: QueuedRequest, now: timedelta) -> bool:
        """Return whether a request would be sent before all that wait."""
        if not self.waiting:
            return True
        return self._rank((request.priority, request.account), now) < min(
            self._rank(key, now) for key in self.waiting
        )

    def withdraw(self, request: QueuedRequest) -> None:
        """Remove a request if it waits."""
        key = (request.priority, request.account)
        queue = self.waiting.get(key, deque())
        if request not in queue:
            return
        queue.remove(request)
        self.count -= 1
        self.size -= request.size
        if not queue:
            self.waiting.pop(key)

    def pop_late(self, now: timedelta) -> list[QueuedRequest]:
        """Remove and return the requests that wait in vain."""
        late = [
            request
            for request in self._list_requests()
            if now >= self._find_latest_start(request)
        ]
        for request in late:
            self.withdraw(request)
        return late

    def pop_batch(self, now: timedelta) -> list[QueuedRequest]:
        """Remove and return the requests to send now.

        Their number doubles as long as the targets refuse none of them.
        """
        if now < self.due_at:
            return []
        if not self.was_refused:
            self.interval = MIN_INTERVAL
        self.was_refused = False
        popped = [self.pop(now) for _ in range(min(self.batch, self.count))]
        self.batch = min(MAX_BATCH, self.batch * 2)
        self.due_at = now + MIN_INTERVAL
        return [request for request in popped if request is not None]

    def pop(self, now: timedelta) -> QueuedRequest | None:
        """Remove and return the request to send next, None if none waits."""
        if not self.waiting:
            return None
        key = min(self.waiting, key=lambda key: self._rank(key, now))
        queue = self.waiting[key]
        queued_at = queue[0].queued_at or now
        is_overdue = now - queued_at > MAX_WAIT * OVERDUE_SHARE
        request = queue[-1] if is_overdue else queue[0]
        self.withdraw(request)
        return request

    def open(self) -> None:
        """Let the next batch be all that wait."""
        self.due_at = timedelta()
        self.batch = max(1, self.count)

    def make_refusal(self, cause: Refusal, now: timedelta) -> ServiceError:
        """Return the error for a request that does not wait any longer.

        Its caller may retry when those that wait have been served. The random
        part spreads callers that are refused at once.
        """
        drained = timedelta(seconds=self.count / self.rate.per_second(now))
        retry_after = max(MIN_RETRY_AFTER, drained) * (1 + self.rng.random())
        return ServiceError(
            Code.OVERLOADED,
            cause.value,
            retry_after=min(MAX_RETRY_AFTER, retry_after),
        )

    def _rank(self, key: tuple[int, str], now: timedelta) -> tuple[int, float]:
        priority, account = key
        return priority, self.served.find(account, now)

    def _record_refusal(self, request: QueuedRequest, now: timedelta) -> None:
        """Send fewer requests after the targets refused one again."""
        if self.served.find(request.account, now) < RARE_SCORE:
            self.interval = MIN_INTERVAL
        elif not self.was_refused:
            self.interval = min(MAX_INTERVAL, self.interval * 2)
        self.was_refused = True
        self.batch = 1
        self.due_at = now + self.interval * (HALF + self.rng.random())

    def _check_wait(self, request: QueuedRequest, now: timedelta) -> None:
        ahead = self._count_ahead(request)
        wait = timedelta(seconds=ahead / self.rate.per_second(now))
        if wait > MAX_EXPECTED_WAIT or now + wait >= self._find_deadline(
            request
        ):
            raise self.make_refusal(Refusal.LATE, now)

    def _count_ahead(self, request: QueuedRequest) -> int:
        """Return how many requests are served before one that begins to wait.

        Accounts of the same priority take turns.
        """
        key = (request.priority, request.account)
        own = len(self.waiting.get(key, ()))
        ahead = own
        for (priority, account), queue in self.waiting.items():
            if priority < request.priority:
                ahead += len(queue)
            elif priority == request.priority and account != request.account:
                ahead += min(len(queue), own + 1)
        return ahead

    def _find_deadline(self, request: QueuedRequest) -> timedelta:
        """Return when a request must be sent for its response to be in time."""
        return request.deadline - self.rate.mean_duration()

    def _find_latest_start(self, request: QueuedRequest) -> timedelta:
        queued_at = request.queued_at or timedelta()
        return min(queued_at + MAX_WAIT, self._find_deadline(request))

    def _is_full(self, request: QueuedRequest) -> bool:
        if self.count >= MAX_WAITING:
            return True
        return self.size + request.size > MAX_WAITING_BYTES

    def _find_displaced(self, request: QueuedRequest) -> QueuedRequest | None:
        """Return the newest request of the account that has most waiting.

        Only an account that keeps more than that of the new request gives way,
        and only to a request that is no less urgent.
        """
        key = (request.priority, request.account)
        own = len(self.waiting.get(key, ()))
        largest = max(self.waiting, key=lambda key: len(self.waiting[key]))
        queue = self.waiting[largest]
        if len(queue) <= own + 1 or largest[0] < request.priority:
            return None
        newest = queue[-1]
        if self.size - newest.size + request.size > MAX_WAITING_BYTES:
            return None
        return newest

    def _list_requests(self) -> Iterator[QueuedRequest]:
        for queue in self.waiting.values():
            yield from queue
