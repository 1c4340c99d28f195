"""Load generator for live calls of apps and services."""

import random
import uuid
from datetime import timedelta

import curio
from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.verdicts import Verdict
from sequoia_wire.calls import Timeouts, verdict_of
from sequoia_wire.clients import HttpClient
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import VERDICT_HEADER, parse_verdict
from sequoia_wire.generations import GenerationCall, TokenChunk
from sequoia_wire.messages import (
    Address,
    RequestHead,
    Response,
    encode_headers,
)

from sequoia_standins.engines import find_length, make_token

OK = 200
CALL_TIMEOUT = timedelta(seconds=15)
INITIAL_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(milliseconds=800)
TIMEOUTS = Timeouts(timedelta(milliseconds=500), timedelta(seconds=12))
MAX_TOKENS = 48
MAX_LATENCY_MS = 60000
SIGNIFICANT_DIGITS = 3
UNKNOWN_VERSION = -1
SEED_DIGITS = slice(0, 6)  # hexadecimal digits of the key
HEXADECIMAL = 16


@frozen
class Credentials:
    """Credentials of a caller, and the label of its calls."""

    caller: str
    key: str
    label: str


@frozen
class LiveKind:
    """A kind of live call.

    Attributes:
        is_engine: Whether the service is an engine that streams tokens.
        repeatable: Whether the call is safe to repeat.
        share: Share of all calls.
    """

    service: str
    credentials: Credentials
    is_engine: bool
    repeatable: bool
    share: float


@frozen
class LiveAttempt:
    """One HTTP request of a call and its outcome.

    Attributes:
        status: HTTP status; 0 if no complete response arrived.
        code: Error code; empty if there was none.
    """

    request_id: str
    verdict: str
    status: int
    code: str


@frozen
class LiveOutcome:
    """Outcome of one call.

    Attributes:
        answered: Whether the complete expected response arrived.
        wrong: Whether a response with unexpected content arrived.
        told: Verdict of the last attempt.
        tries: Attempts in order.
    """

    key: str
    service: str
    label: str
    answered: bool
    wrong: bool
    told: str
    tries: tuple[LiveAttempt, ...]


@frozen
class LoadReport:
    """Outcomes of all calls, and latencies of the answered calls."""

    outcomes: tuple[LiveOutcome, ...]
    p50_ms: float
    p99_ms: float


@define
class LiveLoad:
    """Sends live calls at an average rate, each to a random entry host.

    A call is retried on a random host after each attempt without a status of
    200, whatever the verdict. All attempts have the same idempotency key.

    Attributes:
        call_timeout: Time after which a call is not retried.
        latencies: Latencies of answered calls, in milliseconds.
    """

    addresses: tuple[Address, ...]
    kinds: tuple[LiveKind, ...]
    per_second: float
    duration: timedelta
    rng: random.Random
    call_timeout: timedelta = CALL_TIMEOUT
    clock: Clock = field(factory=SystemClock)
    client: HttpClient = field(factory=HttpClient)
    outcomes: list[LiveOutcome] = field(factory=list)
    latencies: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS),
    )

    async def run(self) -> LoadReport:
        """Send calls for the whole duration and wait for them to end."""
        end = self.clock.elapsed() + self.duration
        async with curio.TaskGroup() as group:
            while self.clock.elapsed() < end:
                kind = self._draw_kind()
                await group.spawn(self._call, kind)
                interval = self.rng.expovariate(self.per_second)
                await curio.sleep(interval)
        return LoadReport(
            tuple(self.outcomes),
            self.latencies.get_value_at_percentile(50),
            self.latencies.get_value_at_percentile(99),
        )

    def _draw_kind(self) -> LiveKind:
        weights = [kind.share for kind in self.kinds]
        return self.rng.choices(self.kinds, weights)[0]

    async def _call(self, kind: LiveKind) -> None:
        caller = LiveCaller(self, kind, uuid.uuid4().hex)
        started_at = self.clock.elapsed()
        await caller.run(started_at + self.call_timeout)
        if caller.answered:
            elapsed = self.clock.elapsed() - started_at
            self.latencies.record_value(elapsed / timedelta(milliseconds=1))
        self.outcomes.append(caller.outcome())


@define
class LiveCaller:
    """Sends the attempts of one call and evaluates their responses."""

    load: LiveLoad
    kind: LiveKind
    key: str
    answered: bool = False
    wrong: bool = False
    attempts: list[LiveAttempt] = field(factory=list)

    async def run(self, deadline: timedelta) -> None:
        """Retry until a status of 200 arrives or the deadline passes."""
        backoff = INITIAL_BACKOFF
        while self.load.clock.elapsed() < deadline:
            attempt = await self._send_attempt()
            self.attempts.append(attempt)
            if self.answered or self.wrong:
                break
            await curio.sleep(backoff.total_seconds() * self.load.rng.random())
            backoff = min(MAX_BACKOFF, backoff * 2)

    def outcome(self) -> LiveOutcome:
        """Return the outcome of the call."""
        return LiveOutcome(
            self.key,
            self.kind.service,
            self.kind.credentials.label,
            self.answered,
            self.wrong,
            self.attempts[-1].verdict,
            tuple(self.attempts),
        )

    async def _send_attempt(self) -> LiveAttempt:
        request_id = f'{self.key}-{len(self.attempts)}'
        address = self.load.rng.choice(self.load.addresses)
        async with self.load.client.call(address, TIMEOUTS) as call:
            try:
                head = await call.send(
                    self._make_head(request_id), self._make_body()
                )
                response = Response(head, await call.read_body())
            except ServiceError as error:
                verdict = verdict_of(error, sent=call.sent)
                code = error.code.value.label
                return LiveAttempt(request_id, verdict.value, 0, code)
        return self._evaluate(request_id, response)

    def _evaluate(self, request_id: str, response: Response) -> LiveAttempt:
        reported = parse_verdict(response.head.header(VERDICT_HEADER))
        verdict = reported or Verdict.MAY_HAVE_RUN
        if response.status == OK:
            is_expected = self._is_expected(response)
            self.answered = is_expected
            self.wrong = not is_expected
        code = response.head.header('sequoia-code') or ''
        return LiveAttempt(request_id, verdict.value, response.status, code)

    def _is_expected(self, response: Response) -> bool:
        if not self.kind.is_engine:
            return response.body == b'done: %b' % self._make_body()
        return check_tokens(response.body, self._make_generation())

    def _make_generation(self) -> GenerationCall:
        seed = int(self.key[SEED_DIGITS], HEXADECIMAL)
        return GenerationCall(f'question {self.key}', MAX_TOKENS, seed)

    def _make_body(self) -> bytes:
        if self.kind.is_engine:
            return encode(self._make_generation())
        return f'job {self.key}'.encode()

    def _make_head(self, request_id: str) -> RequestHead:
        credentials = self.kind.credentials
        headers = encode_headers(
            {
                'sequoia-caller': credentials.caller,
                'authorization': f'Bearer {credentials.key}',
                'sequoia-label': credentials.label,
                'sequoia-request-id': request_id,
                'idempotency-key': self.key,
            }
        )
        path = f'/v1/services/{self.kind.service}/jobs'
        return RequestHead('POST', path, headers)


def check_tokens(body: bytes, call: GenerationCall) -> bool:
    """Return whether a token stream is complete and correct for ``call``."""
    chunks = [decode(line, TokenChunk) for line in body.splitlines()]
    if not chunks or not chunks[-1].done:
        return False
    next_start = 0
    for chunk in chunks:
        if chunk.start != next_start or not check_chunk(chunk, call):
            return False
        next_start += len(chunk.tokens)
    return next_start == find_length(
        call.prompt,
        call.seed,
        call.max_tokens,
    )


def find_version(chunk: TokenChunk) -> int:
    """Return a chunk's version, or -1 if the engine reported none."""
    return UNKNOWN_VERSION if chunk.version is None else chunk.version


def check_chunk(chunk: TokenChunk, call: GenerationCall) -> bool:
    """Return whether a chunk's tokens match its version."""
    return all(
        token
        == make_token(
            call.prompt,
            call.seed,
            find_version(chunk),
            chunk.start + offset,
        )
        for offset, token in enumerate(chunk.tokens)
    )
