"""Stand-ins of plain services: booking of jobs, and scoring."""

from collections.abc import Callable
from datetime import timedelta

import curio
import mmh3
from attrs import define, evolve, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.messages import encode_headers
from sequoia_wire.platform_messages import (
    Score,
    ScoringRequest,
    TargetStatus,
)

OK = 200
UNAVAILABLE = 503
REWARD_STEPS = 1000
SLOTS = 32  # calls at a time
NOT_RUN = encode_headers({'sequoia-verdict': 'not-run'})


@frozen
class PlainRun:
    """A call that ran, as the service saw it.

    Attributes:
        at: When it began, in seconds since 1970.
    """

    request_id: str
    key: str
    label: str
    at: float


@frozen
class PlainRuns:
    """All calls that a service ran.

    Attributes:
        refused_at: When calls were refused, in seconds since 1970.
    """

    name: str
    domain: str
    runs: tuple[PlainRun, ...]
    refused_at: tuple[float, ...] = ()


def book(body: bytes) -> bytes:
    """Return the answer of a service that books jobs."""
    return b'done: %b' % body


def score(body: bytes) -> bytes:
    """Return the answer of a scorer."""
    scoring = decode(body, ScoringRequest)
    drawn = mmh3.hash(str(scoring.tokens), signed=False)
    reward = drawn % REWARD_STEPS / REWARD_STEPS
    return encode(Score(scoring.request_id, reward))


@define
class PlainStandin:
    """Does one job a call and remembers every one.

    Attributes:
        work: Makes the answer from the body of a call.
        work_time: Time that one call takes.
    """

    status: TargetStatus
    domain: str
    work: Callable[[bytes], bytes] = book
    work_time: timedelta = timedelta(milliseconds=20)
    runs: list[PlainRun] = field(factory=list)
    refused_at: list[float] = field(factory=list)
    clock: Clock = field(factory=SystemClock)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        body = await exchange.read_body()
        path = exchange.head.path
        if path == '/status':
            status = evolve(self.status, slots=SLOTS)
            await exchange.respond(OK, encode(status))
        elif path == '/runs':
            seen = PlainRuns(
                self.status.name,
                self.domain,
                tuple(self.runs),
                tuple(self.refused_at),
            )
            await exchange.respond(OK, encode(seen))
        elif path == '/leave':
            self.status = evolve(self.status, leaving=True)
            await exchange.respond(OK)
        else:
            await self._run(exchange, body)

    async def _run(self, exchange: Exchange, body: bytes) -> None:
        if self.status.leaving:
            self.refused_at.append(self.clock.now().timestamp())
            await exchange.respond(UNAVAILABLE, b'', NOT_RUN)
            return
        head = exchange.head
        request_id = head.header('sequoia-request-id') or ''
        self.runs.append(
            PlainRun(
                request_id,
                head.header('idempotency-key') or '',
                head.header('sequoia-label') or '',
                self.clock.now().timestamp(),
            ),
        )
        self.status = evolve(self.status, running=self.status.running + 1)
        await curio.sleep(self.work_time.total_seconds())
        self.status = evolve(self.status, running=self.status.running - 1)
        echo = encode_headers({'sequoia-request-id': request_id})
        await exchange.respond(OK, self.work(body), echo)
