"""The load tool: live calls as apps and services make them."""

import random
import uuid
from datetime import timedelta

import curio
from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.verdicts import Verdict
from sequoia_wire.clients import HttpClient, Timeouts, verdict_of
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import VERDICT_HEADER, parse_verdict
from sequoia_wire.generations import GenerationCall, TokenChunk
from sequoia_wire.messages import (
    Address,
    Response,
    RequestHead,
    encode_headers,
)

from sequoia_standins.engines import find_length, make_token

OK = 200
CALL_LIMIT = timedelta(seconds=15)
FIRST_PAUSE = timedelta(milliseconds=50)
LONGEST_PAUSE = timedelta(milliseconds=800)
PATIENCE = Timeouts(timedelta(milliseconds=500), timedelta(seconds=12))
MAX_TOKENS = 48
LONGEST_LATENCY = 60000  # milliseconds
DIGITS = 3
UNKNOWN_VERSION = -1
SEED_DIGITS = slice(0, 6)  # of the key, in hexadecimal
HEXADECIMAL = 16


@frozen
class Credentials:
    """Who calls."""

    caller: str
    key: str
    label: str


@frozen
class LiveKind:
    """A kind of live call.

    Attributes:
        share: Part of all calls.
        repeatable: Whether the caller may send it again in any case.
    """

    service: str
    credentials: Credentials
    is_engine: bool
    repeatable: bool
    share: float


@frozen
class LiveTry:
    """One HTTP request of a call, and what was said about it."""

    request_id: str
    verdict: str
    status: int
    code: str


@frozen
class LiveOutcome:
    """What became of one call.

    Attributes:
        answered: Whether the whole right answer came.
        wrong: Whether an answer came that belongs to another call.
        told: Last verdict that the caller was told.
    """

    key: str
    service: str
    label: str
    answered: bool
    wrong: bool
    told: str
    tries: tuple[LiveTry, ...]


@frozen
class LoadReport:
    """All calls of a load, with the latency of answered ones."""

    outcomes: tuple[LiveOutcome, ...]
    p50_ms: float
    p99_ms: float


@define
class LiveLoad:
    """Sends live calls at a rate, each to a random entry host.

    A caller tries again elsewhere when it is told that its call was not
    run; a keyed call also after a lost answer, with the same key.
    """

    addresses: tuple[Address, ...]
    kinds: tuple[LiveKind, ...]
    per_second: float
    duration: timedelta
    chance: random.Random
    call_limit: timedelta = CALL_LIMIT
    clock: Clock = field(factory=SystemClock)
    client: HttpClient = field(factory=HttpClient)
    outcomes: list[LiveOutcome] = field(factory=list)
    latencies: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, LONGEST_LATENCY, DIGITS),
    )

    async def run(self) -> LoadReport:
        """Send calls for the whole duration and wait for all of them."""
        end = self.clock.elapsed() + self.duration
        async with curio.TaskGroup() as group:
            while self.clock.elapsed() < end:
                kind = self._draw_kind()
                await group.spawn(self._call, kind)
                pause = self.chance.expovariate(self.per_second)
                await curio.sleep(pause)
        return LoadReport(
            tuple(self.outcomes),
            self.latencies.get_value_at_percentile(50),
            self.latencies.get_value_at_percentile(99),
        )

    def _draw_kind(self) -> LiveKind:
        weights = [kind.share for kind in self.kinds]
        return self.chance.choices(self.kinds, weights)[0]

    async def _call(self, kind: LiveKind) -> None:
        call = LiveCaller(self, kind, uuid.uuid4().hex)
        started = self.clock.elapsed()
        await call.run(started + self.call_limit)
        if call.answered:
            took = self.clock.elapsed() - started
            self.latencies.record_value(took / timedelta(milliseconds=1))
        self.outcomes.append(call.describe())


@define
class LiveCaller:
    """One call with all its tries."""

    load: LiveLoad
    kind: LiveKind
    key: str
    answered: bool = False
    wrong: bool = False
    tries: list[LiveTry] = field(factory=list)

    async def run(self, deadline: timedelta) -> None:
        """Try until answered, or until trying again could run it twice."""
        pause = FIRST_PAUSE
        while self.load.clock.elapsed() < deadline:
            tried = await self._try()
            self.tries.append(tried)
            if self.answered or self.wrong:
                break
            await curio.sleep(pause.total_seconds() * self.load.chance.random())
            pause = min(LONGEST_PAUSE, pause * 2)

    def describe(self) -> LiveOutcome:
        """Return what became of the call."""
        return LiveOutcome(
            self.key,
            self.kind.service,
            self.kind.credentials.label,
            self.answered,
            self.wrong,
            self.tries[-1].verdict,
            tuple(self.tries),
        )

    async def _try(self) -> LiveTry:
        request_id = f'{self.key}-{len(self.tries)}'
        address = self.load.chance.choice(self.load.addresses)
        async with self.load.client.call(address, PATIENCE) as call:
            try:
                head = await call.send(self._head(request_id), self._body())
                answer = Response(head, await call.read_body())
            except ServiceError as failure:
                verdict = verdict_of(failure, sent=call.sent)
                code = failure.code.value.label
                return LiveTry(request_id, verdict.value, 0, code)
        return self._judge(request_id, answer)

    def _judge(self, request_id: str, answer: Response) -> LiveTry:
        said = parse_verdict(answer.head.header(VERDICT_HEADER))
        verdict = said or Verdict.MAY_HAVE_RUN
        if answer.status == OK:
            fits = self._fits(answer)
            self.answered = fits
            self.wrong = not fits
        code = answer.head.header('sequoia-code') or ''
        return LiveTry(request_id, verdict.value, answer.status, code)

    def _fits(self, answer: Response) -> bool:
        if not self.kind.is_engine:
            return answer.body == b'done: %b' % self._body()
        return check_tokens(answer.body, self._generation())

    def _generation(self) -> GenerationCall:
        seed = int(self.key[SEED_DIGITS], HEXADECIMAL)
        return GenerationCall(f'question {self.key}', MAX_TOKENS, seed)

    def _body(self) -> bytes:
        if self.kind.is_engine:
            return encode(self._generation())
        return f'job {self.key}'.encode()

    def _head(self, request_id: str) -> RequestHead:
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


def check_tokens(body: bytes, wanted: GenerationCall) -> bool:
    """Tell whether a token stream is whole and answers ``wanted``."""
    chunks = [decode(line, TokenChunk) for line in body.splitlines()]
    if not chunks or not chunks[-1].done:
        return False
    expected = 0
    for chunk in chunks:
        if chunk.start != expected or not check_chunk(chunk, wanted):
            return False
        expected += len(chunk.tokens)
    return expected == find_length(
        wanted.prompt,
        wanted.seed,
        wanted.max_tokens,
    )


def find_version(chunk: TokenChunk) -> int:
    """Return a chunk's version, -1 if the engine gave none."""
    return UNKNOWN_VERSION if chunk.version is None else chunk.version


def check_chunk(chunk: TokenChunk, wanted: GenerationCall) -> bool:
    """Tell whether a chunk's tokens are those of its version."""
    return all(
        token
        == make_token(
            wanted.prompt,
            wanted.seed,
            find_version(chunk),
            chunk.start + offset,
        )
        for offset, token in enumerate(chunk.tokens)
    )
