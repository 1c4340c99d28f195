"""Claims idempotency keys in the shared table before a call is sent."""

import hashlib
import uuid
from collections.abc import Coroutine
from datetime import timedelta

from attrs import define, evolve, field, frozen
from sequoia_policy.budgets import RateLimit
from sequoia_policy.claims import (
    Claim,
    ClaimAction,
    decide_claim,
    finish_claim,
    release_claim,
)
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.plans import StoreAway
from sequoia_policy.verdicts import Verdict
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import VERDICT_HEADER
from sequoia_wire.logs import Log
from sequoia_wire.messages import Header, encode_headers
from sequoia_wire.platform_messages import Row, RowWrite
from sequoia_wire.responses import ResponseSink

from sequoiashed.calls import CallerDisconnectedError
from sequoiashed.live import LiveCall, Proceed
from sequoiashed.senders import REQUEST_ID
from sequoiashed.states import HostState
from sequoiashed.sweepers import ClaimSweeper

MAX_STORED_RESPONSE = 8192  # bytes
MAX_CLAIM_WRITES = 2
STORE_RETRY_AFTER = timedelta(seconds=1)

log = Log('claims')


@frozen
class WrittenClaim:
    """A claim that this host wrote, with the key and revision of its row."""

    row_key: str
    claim: Claim
    revision: int


@define
class RecordingSink:
    """Passes a response on and records it if it is small.

    Attributes:
        too_large: Whether the response exceeds ``MAX_STORED_RESPONSE``.
        disconnect_error: Error of the first write to the caller that failed.
            The response is still recorded to its end, since the caller may
            retry the call.
    """

    sink: ResponseSink
    status: int = 0
    body: bytearray = field(factory=bytearray)
    too_large: bool = False
    disconnect_error: OSError | None = None

    async def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Record the status and pass the head on."""
        self.status = status
        await self._pass_on(self.sink.start(status, headers))

    async def send(self, chunk: bytes) -> None:
        """Record a chunk and pass it on."""
        size = len(self.body) + len(chunk)
        self.too_large = self.too_large or size > MAX_STORED_RESPONSE
        if not self.too_large:
            self.body.extend(chunk)
        await self._pass_on(self.sink.send(chunk))

    async def finish(self) -> None:
        """Pass the end on."""
        await self._pass_on(self.sink.finish())

    @property
    def text(self) -> str | None:
        """Response body, or None if it is too large or not valid UTF-8."""
        if self.too_large:
            return None
        try:
            return self.body.decode()
        except UnicodeDecodeError:
            log.write('response not stored', reason='not valid UTF-8')
            return None

    async def _pass_on(self, sending: Coroutine[object, object, None]) -> None:
        if self.disconnect_error is not None:
            sending.close()
            return
        try:
            await sending
        except OSError as error:
            self.disconnect_error = error


@define
class ClaimFilter:
    """Runs a call with an idempotency key at most once across all hosts.

    Calls of idempotent services, and calls without a key, need no claim.

    Attributes:
        limits: Rate limits of claims by service.
    """

    state: HostState
    sweeper: ClaimSweeper
    limits: dict[str, RateLimit] = field(factory=dict)

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Claim the idempotency key, then proceed and store the response.

        Raises:
            CallerDisconnectedError: If the caller disconnected.
            ServiceError: If the key is claimed already, no claim could be
                written, or the call failed.
        """
        if live.service.idempotent or not live.key:
            await proceed(live)
            return
        self._check_rate(live)
        written = await self._claim(live)
        if written is None:
            await proceed(live)
            return
        recorder = RecordingSink(live.sink)
        live.sink = recorder
        try:
            await proceed(live)
        except ServiceError as error:
            await self._record_failure(written, error)
            raise
        finished = finish_claim(written.claim, recorder.status, recorder.text)
        revision = await self._update(written, finished)
        horizon = live.service.claim_horizon
        self.sweeper.add(written.row_key, revision, horizon)
        if recorder.disconnect_error is not None:
            raise CallerDisconnectedError from recorder.disconnect_error

    def _check_rate(self, live: LiveCall) -> None:
        rate = live.service.claims_per_second
        limit = self.limits.get(live.service_name)
        if limit is None or limit.per_second != rate:
            limit = RateLimit(rate, burst=max(1, rate))
            self.limits[live.service_name] = limit
        if not limit.try_acquire(self.state.clock.elapsed()):
            self._count('over_budget')
            raise ServiceError(
                Code.CLAIM_BUDGET,
                f'more than {rate} claims per second',
                retry_after=claim_interval(limit),
            )

    async def _claim(self, live: LiveCall) -> WrittenClaim | None:
        """Claim the key; return None if the call is sent without a claim.

        While the store is unavailable, the service's setting decides whether
        a call is refused or sent once without a claim.
        """
        try:
            return await self._write_claim(live)
        except ServiceError as error:
            if error.code is not Code.STORE_UNAVAILABLE:
                raise
            self._count('store_away')
            if live.service.store_away is StoreAway.SEND_ONCE:
                live.call.max_attempts = 1
                return None
            raise ServiceError(
                Code.CLAIM_UNAVAILABLE,
                error.detail,
                retry_after=error.retry_after or STORE_RETRY_AFTER,
            ) from error

    async def _write_claim(self, live: LiveCall) -> WrittenClaim | None:
        """Insert the claim unless the key is claimed already.

        Raises:
            ReplayError: If the call has finished and its response is stored.
            ServiceError: If the key is claimed by another call, or the table
                cannot be written.
        """
        row_key = make_row_key(live)
        claim = Claim(uuid.uuid4().hex, digest_body(live.body))
        row = Row(row_key)
        for _ in range(MAX_CLAIM_WRITES):
            existing = decode(row.body.encode(), Claim) if row.body else None
            action = decide_claim(existing, claim.body_digest)
            if action is not ClaimAction.WRITE:
                raise self._make_refusal(action, existing)
            write = RowWrite(row_key, row.revision, encode(claim).decode())
            outcome = await self.state.store.commit(write)
            row = outcome.rows[0]
            if outcome.committed:
                self._count('claimed')
                return WrittenClaim(row_key, claim, row.revision)
        raise ServiceError(
            Code.CLAIM_HELD, 'other hosts wrote the claim of the key meanwhile'
        )

    def _make_refusal(
        self, action: ClaimAction, existing: Claim | None
    ) -> ServiceError:
        self._count(action.value)
        if action is ClaimAction.REFUSE_REUSED:
            return ServiceError(
                Code.KEY_REUSED, 'the key came with another body'
            )
        if action is ClaimAction.REPLAY and existing is not None:
            return ReplayError(existing)
        verdict = existing.verdict if existing else Verdict.MAY_HAVE_RUN
        return ServiceError(
            Code.CLAIM_HELD,
            'the key is claimed and no response is stored',
            verdict=verdict,
        )

    async def _record_failure(
        self,
        written: WrittenClaim,
        failure: ServiceError,
    ) -> None:
        if failure.verdict is Verdict.NOT_RUN:
            await self._update(written, release_claim(written.claim))
            return
        unresolved = evolve(written.claim, verdict=failure.verdict)
        await self._update(written, unresolved)

    async def _update(self, written: WrittenClaim, claim: Claim) -> int:
        """Update a claim and return the revision of its row.

        A failure is logged and counted, not raised; the earlier revision is
        returned then.
        """
        write = RowWrite(
            written.row_key,
            written.revision,
            encode(claim).decode(),
        )
        try:
            outcome = await self.state.store.commit(write)
        except ServiceError:
            self._count('update_lost')
            log.write('claim could not be updated', key=written.row_key)
            return written.revision
        return outcome.rows[0].revision

    def _count(self, outcome: str) -> None:
        self.state.metrics.claims.labels(outcome).inc()


class ReplayError(ServiceError):
    """Reports the retry of a finished call whose response is stored."""

    def __init__(self, claim: Claim) -> None:
        """Initialize the error with the finished claim."""
        super().__init__(Code.CLAIM_HELD, 'the call has finished already')
        self.claim = claim
        self.verdict = claim.verdict


@define
class ReplayFilter:
    """Replays the stored response to the retry of a finished call."""

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Proceed; if the call has finished already, replay its response."""
        try:
            await proceed(live)
        except ReplayError as replay:
            headers = encode_headers(
                {
                    REQUEST_ID: live.request_id,
                    VERDICT_HEADER: replay.claim.verdict.value,
                    'sequoia-replayed': 'true',
                }
            )
            body = (replay.claim.answer or '').encode()
            await live.exchange.respond(replay.claim.status, body, headers)


def make_row_key(live: LiveCall) -> str:
    """Return the row key of a call's claim."""
    return f'claim/{live.service_name}/{live.caller_name}/{live.key}'


def digest_body(body: bytes) -> str:
    """Return the digest that detects a key reused with another body."""
    return hashlib.sha256(body).hexdigest()


def claim_interval(limit: RateLimit) -> timedelta:
    """Return the time between two claims at the limit's rate."""
    return timedelta(seconds=1 / limit.per_second)
