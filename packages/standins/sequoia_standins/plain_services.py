"""Stand-ins for plain services: job booking and scoring."""

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
SLOTS = 32  # concurrent calls
NOT_RUN = encode_headers({'sequoia-verdict': 'not-run'})


@frozen
class PlainRun:
    """A call that the service executed.

    Attributes:
        at: Start of the call as a Unix timestamp in seconds.
    """

    request_id: str
    key: str
    label: str
    at: float


@frozen
class PlainRuns:
    """All calls that a service executed.

    Attributes:
        refused_at: Unix timestamps in seconds at which calls were refused.
    """

    name: str
    domain: str
    runs: tuple[PlainRun, ...]
    refused_at: tuple[float, ...] = ()


def book(body: bytes) -> bytes:
    """Return the response body of a job booking service."""
    return b'done: %b' % body


def score(body: bytes) -> bytes:
    """Return the response body of a scorer.

    The reward is a hash of the tokens, so it is the same on each call.
    """
    scoring = decode(body, ScoringRequest)
    token_hash = mmh3.hash(str(scoring.tokens), signed=False)
    reward = token_hash % REWARD_STEPS / REWARD_STEPS
    return encode(Score(scoring.request_id, reward))


@define
class PlainStandin:
    """Executes one job per call and records each call.

    Attributes:
        work: Builds the response body from the request body.
        work_time: Duration of one call.
    """

    status: TargetStatus
    domain: str
    work: Callable[[bytes], bytes] = book
    work_time: timedelta = timedelta(milliseconds=20)
    runs: list[PlainRun] = field(factory=list)
    refused_at: list[float] = field(factory=list)
    clock: Clock = field(factory=SystemClock)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        body = await exchange.read_body()
        path = exchange.head.path
        if path == '/status':
            status = evolve(self.status, slots=SLOTS)
            await exchange.respond(OK, encode(status))
        elif path == '/runs':
            report = PlainRuns(
                self.status.name,
                self.domain,
                tuple(self.runs),
                tuple(self.refused_at),
            )
            await exchange.respond(OK, encode(report))
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
