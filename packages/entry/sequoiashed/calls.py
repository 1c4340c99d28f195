"""A call on its way to a target, and where its answer goes."""

from collections.abc import Awaitable
from datetime import timedelta

from attrs import define, field
from sequoia_policy.caches import CachedStream
from sequoia_policy.errors import ServiceError
from sequoia_policy.placements import Placement
from sequoia_policy.plans import ServiceKind
from sequoia_policy.retries import AttemptFacts
from sequoia_policy.verdicts import Verdict, merge_verdicts
from sequoia_wire.responses import ResponseSink
from sequoia_wire.codecs import decode
from sequoia_wire.generations import TokenChunk
from sequoia_wire.messages import Header

LIVE_PRIORITY = 0
ROLLOUT_PRIORITY = 1


@define
class RoutedCall:
    """One call and what its attempts have come to.

    Attributes:
        request_id: Goes with the call through every host to the target.
        affinity: Text that calls share which profit from one target.
        deadline: On the host's own clock.
        hops: Forwards between hosts so far.
        sent: Whether the present attempt may have sent a byte to a target.
        verdict: Verdict of all attempts so far.
        tried: Targets of earlier attempts.
        preempted: Whether a rollout should make room for live calls.
        target: Target of the present attempt, if it is of the own domain.
        avoided: Target that must not be chosen.
        min_version: Oldest weight version that may answer.
        cached: KV cache that an earlier target of the call holds.
        kv_source: Address from which the present target imports it.
        last_line: Last line of tokens that was passed on.
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
    answer_started: bool = False
    verdict: Verdict = Verdict.NOT_RUN
    tried: set[str] = field(factory=set)
    preempted: bool = False
    target: str = ''
    avoided: str = ''
    min_version: int = 0
    cached: CachedStream | None = None
    kv_source: str = ''
    last_line: bytes = field(default=b'', repr=False)
    first_token: int = 0

    @property
    def is_engine_call(self) -> bool:
        """Whether the answer is a stream of tokens."""
        return self.kind is ServiceKind.ENGINE

    @property
    def resume_from(self) -> int:
        """Number of tokens that need not be made again."""
        if not self.last_line:
            return self.first_token
        chunk = decode(self.last_line, TokenChunk)
        return chunk.start + len(chunk.tokens)

    def begin_attempt(self) -> None:
        """Count an attempt."""
        self.attempts += 1
        self.sent = False

    def record_failure(self, failure: ServiceError) -> None:
        """Add an attempt's verdict to that of the earlier ones."""
        self.verdict = merge_verdicts(self.verdict, failure.verdict)

    def facts(self, now: timedelta) -> AttemptFacts:
        """Return what counts for another attempt."""
        return AttemptFacts(
            self.idempotent,
            self.attempts,
            self.max_attempts,
            self.verdict,
            self.answer_started,
            self.is_engine_call,
            self.deadline - now,
        )


class CallerDisconnectedError(Exception):
    """The caller closed its connection, or takes no bytes."""


@define
class TrackedSink:
    """Notes on the call what of its answer was passed on.

    All methods raise ``CallerDisconnectedError`` if the caller is gone.
    """

    call: RoutedCall
    sink: ResponseSink

    async def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Pass on the head, unless an earlier attempt did."""
        if self.call.answer_started:
            return
        self.call.answer_started = True
        await reach_caller(self.sink.start(status, headers))

    async def send(self, chunk: bytes) -> None:
        """Pass on bytes; of a token stream, whole lines."""
        if self.call.is_engine_call:
            self.call.last_line = chunk.rstrip(b'\n').rpartition(b'\n')[2]
        await reach_caller(self.sink.send(chunk))

    async def finish(self) -> None:
        """Pass on the end."""
        await reach_caller(self.sink.finish())


async def reach_caller(sending: Awaitable[None]) -> None:
    """Await a write towards the caller.

    Raises:
        CallerDisconnectedError: If the write fails.
    """
    try:
        await sending
    except OSError as gone:
        raise CallerDisconnectedError from gone
