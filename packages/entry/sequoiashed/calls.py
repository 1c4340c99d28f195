"""State of a routed call, and the sink that tracks its response."""

from collections.abc import Awaitable
from datetime import timedelta

from attrs import define, field
from sequoia_policy.caches import CachedStream
from sequoia_policy.errors import ServiceError
from sequoia_policy.placements import Placement
from sequoia_policy.plans import ServiceKind
from sequoia_policy.retries import AttemptFacts
from sequoia_policy.verdicts import Verdict, merge_verdicts
from sequoia_wire.codecs import decode
from sequoia_wire.generations import TokenChunk
from sequoia_wire.messages import Header
from sequoia_wire.responses import ResponseSink

LIVE_PRIORITY = 0
ROLLOUT_PRIORITY = 1


@define
class RoutedCall:
    """A call and the combined state of its attempts.

    Attributes:
        request_id: Identifies the call on every host and at the target.
        affinity: Affinity key; calls with the same key prefer the same
            target.
        deadline: On the host's own clock.
        hops: Forwards between hosts so far.
        sent: Whether the current attempt may have sent a byte to a target.
        response_started: Whether the head of a response was passed on.
        verdict: Combined verdict of all attempts so far.
        tried_targets: Targets of earlier attempts.
        preempted: Whether this rollout must yield its target to live calls.
        target: Target of the current attempt, if it is in this domain.
        excluded_target: Target that must not be chosen.
        min_version: Minimum weight version that may generate the response.
        cached: KV cache at an earlier target of the call.
        kv_source: Address from which the current target imports it.
        last_line: Last line of the token stream that was passed on.
        first_token: Number of tokens that the caller had before the first
            attempt.
    """

    request_id: str
    service: str
    pool: str
    kind: ServiceKind
    placement: Placement
    caller: str
    deadline: timedelta
    path: str = '/'
    body: bytes = field(default=b'', repr=False)
    key: str = ''
    idempotent: bool = False
    max_attempts: int = 1
    priority: int = LIVE_PRIORITY
    affinity: str = ''
    hops: int = 0
    attempts: int = 0
    sent: bool = False
    response_started: bool = False
    verdict: Verdict = Verdict.NOT_RUN
    tried_targets: set[str] = field(factory=set)
    preempted: bool = False
    target: str = ''
    excluded_target: str = ''
    min_version: int = 0
    cached: CachedStream | None = None
    kv_source: str = ''
    last_line: bytes = field(default=b'', repr=False)
    first_token: int = 0

    @property
    def is_engine_call(self) -> bool:
        """Whether the response is a token stream."""
        return self.kind is ServiceKind.ENGINE

    @property
    def resume_from(self) -> int:
        """Number of tokens that need not be generated again."""
        if not self.last_line:
            return self.first_token
        chunk = decode(self.last_line, TokenChunk)
        return chunk.start + len(chunk.tokens)

    def begin_attempt(self) -> None:
        """Count another attempt, of which no byte has been sent."""
        self.attempts += 1
        self.sent = False

    def record_failure(self, failure: ServiceError) -> None:
        """Merge an attempt's verdict with that of the earlier ones."""
        self.verdict = merge_verdicts(self.verdict, failure.verdict)

    def attempt_facts(self, now: timedelta) -> AttemptFacts:
        """Return the facts on which the retry decision depends."""
        return AttemptFacts(
            self.idempotent,
            self.attempts,
            self.max_attempts,
            self.verdict,
            self.response_started,
            self.is_engine_call,
            self.deadline - now,
        )


class CallerDisconnectedError(Exception):
    """The caller closed its connection or does not read."""


@define
class TrackedSink:
    """Passes a response on and records on the call how far it got.

    All methods raise ``CallerDisconnectedError`` if the caller disconnected.
    """

    call: RoutedCall
    sink: ResponseSink

    async def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Pass on the head, unless an earlier attempt passed one on."""
        if self.call.response_started:
            return
        self.call.response_started = True
        await write_to_caller(self.sink.start(status, headers))

    async def send(self, chunk: bytes) -> None:
        """Pass on a chunk, which consists of complete lines in a token stream."""
        if self.call.is_engine_call:
            self.call.last_line = chunk.rstrip(b'\n').rpartition(b'\n')[2]
        await write_to_caller(self.sink.send(chunk))

    async def finish(self) -> None:
        """Pass on the end of the response."""
        await write_to_caller(self.sink.finish())


async def write_to_caller(sending: Awaitable[None]) -> None:
    """Await a write to the caller.

    Raises:
        CallerDisconnectedError: If the write fails.
    """
    try:
        await sending
    except OSError as error:
        raise CallerDisconnectedError from error
