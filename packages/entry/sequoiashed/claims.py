"""Claims idempotency keys in the platform's table before a call is sent."""

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
from sequoia_wire.responses import ResponseSink
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import VERDICT_HEADER
from sequoia_wire.logs import Log
from sequoia_wire.messages import Header, encode_headers
from sequoia_wire.platform_messages import Row, RowWrite

from sequoiashed.calls import CallerDisconnectedError
from sequoiashed.live import LiveCall, Proceed
from sequoiashed.senders import REQUEST_ID
from sequoiashed.states import HostState
from sequoiashed.sweepers import ClaimSweeper

LARGEST_KEPT_ANSWER = 8192  # bytes
CLAIM_TRIES = 2
STORE_PAUSE = timedelta(seconds=1)

log = Log('claims')


@frozen
class HeldClaim:
    """A claim that this host wrote, and the revision of its row."""

    row_key: str
    claim: Claim
    revision: int


@define
class KeepingSink:
    """Passes an answer on and keeps a small one for later retries.

    Attributes:
        gone: The error with which the caller left, if it did. The answer is
            kept to its end all the same: the caller may ask again.
    """

    sink: ResponseSink
    status: int = 0
    body: bytearray = field(factory=bytearray)
    too_large: bool = False
    gone: OSError | None = None

    async def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Keep the status and pass the head on."""
        self.status = status
        await self._pass_on(self.sink.start(status, headers))

    async def send(self, chunk: bytes) -> None:
        """Keep some bytes and pass them on."""
        size = len(self.body) + len(chunk)
        self.too_large = self.too_large or size > LARGEST_KEPT_ANSWER
        if not self.too_large:
            self.body.extend(chunk)
        await self._pass_on(self.sink.send(chunk))

    async def finish(self) -> None:
        """Pass the end on."""
        await self._pass_on(self.sink.finish())

    @property
    def kept(self) -> str | None:
        """The answer's text, or None if it is too large or no text."""
        if self.too_large:
            return None
        try:
            return self.body.decode()
        except UnicodeDecodeError:
            log.write('answer not kept', reason='it is no text')
            return None

    async def _pass_on(self, sending: Coroutine[object, object, None]) -> None:
        if self.gone is not None:
            sending.close()
            return
        try:
            await sending
        except OSError as gone:
            self.gone = gone


@define
class ClaimFilter:
    """Keeps calls that may not be repeated at most once across hosts."""

    state: HostState
    sweeper: ClaimSweeper
    limits: dict[str, RateLimit] = field(factory=dict)

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Claim the key, if there is one, and go on."""
        if live.service.idempotent or not live.key:
            await proceed(live)
            return
        self._check_rate(live)
        held = await self._claim(live)
        if held is None:
            await proceed(live)
            return
        keeping = KeepingSink(live.sink)
        live.sink = keeping
        try:
            await proceed(live)
        except ServiceError as failure:
            await self._settle_failure(held, failure)
            raise
        kept = finish_claim(held.claim, keeping.status, keeping.kept)
        revision = await self._update(held, kept)
        horizon = live.service.claim_horizon
        self.sweeper.add(held.row_key, revision, horizon)
        if keeping.gone is not None:
            raise CallerDisconnectedError from keeping.gone

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
                f'over {rate} claims a second',
                retry_after=limit_pause(limit),
            )

    async def _claim(self, live: LiveCall) -> HeldClaim | None:
        try:
            return await self._write_claim(live)
        except ServiceError as failure:
            if failure.code is not Code.STORE_UNAVAILABLE:
                raise
            self._count('store_away')
            if live.service.store_away is StoreAway.SEND_ONCE:
                live.call.max_attempts = 1
                return None
            raise ServiceError(
                Code.CLAIM_UNAVAILABLE,
                failure.detail,
                retry_after=failure.retry_after or STORE_PAUSE,
            ) from failure

    async def _write_claim(self, live: LiveCall) -> HeldClaim | None:
        """Insert the claim; answer or refuse if the key is known."""
        row_key = make_row_key(live)
        claim = Claim(uuid.uuid4().hex, digest_body(live.body))
        row = Row(row_key)
        for _ in range(CLAIM_TRIES):
            found = decode(row.body.encode(), Claim) if row.body else None
            action = decide_claim(found, claim.body_digest)
            if action is not ClaimAction.WRITE:
                raise self._refuse(action, found)
            write = RowWrite(row_key, row.revision, encode(claim).decode())
            answer = await self.state.store.commit(write)
            row = answer.rows[0]
            if answer.committed:
                self._count('claimed')
                return HeldClaim(row_key, claim, row.revision)
        raise ServiceError(Code.CLAIM_HELD, 'another host took the key')

    def _refuse(self, action: ClaimAction, found: Claim | None) -> ServiceError:
        self._count(action.value)
        if action is ClaimAction.REFUSE_REUSED:
            return ServiceError(
                Code.KEY_REUSED, 'the key came with another body'
            )
        if action is ClaimAction.REPLAY and found is not None:
            return KnownAnswerError(found)
        verdict = found.verdict if found else Verdict.MAY_HAVE_RUN
        return ServiceError(
            Code.CLAIM_HELD, 'the key is taken', verdict=verdict
        )

    async def _settle_failure(
        self,
        held: HeldClaim,
        failure: ServiceError,
    ) -> None:
        if failure.verdict is Verdict.NOT_RUN:
            await self._update(held, release_claim(held.claim))
            return
        unknown = evolve(held.claim, verdict=failure.verdict)
        await self._update(held, unknown)

    async def _update(self, held: HeldClaim, claim: Claim) -> int:
        """Write what is known of a call; return the row's revision."""
        write = RowWrite(
            held.row_key,
            held.revision,
            encode(claim).decode(),
        )
        try:
            answer = await self.state.store.commit(write)
        except ServiceError:
            self._count('update_lost')
            log.write('claim could not be updated', key=held.row_key)
            return held.revision
        return answer.rows[0].revision

    def _count(self, outcome: str) -> None:
        self.state.metrics.claims.labels(outcome).inc()


class KnownAnswerError(ServiceError):
    """A retry of a finished call; carries the kept answer."""

    def __init__(self, claim: Claim) -> None:
        """Take the finished claim."""
        super().__init__(Code.CLAIM_HELD, 'answered before')
        self.claim = claim
        self.verdict = claim.verdict


@define
class KnownAnswerFilter:
    """Answers the retry of a finished call with the kept answer."""

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Go on; answer if the call was finished before."""
        try:
            await proceed(live)
        except KnownAnswerError as known:
            headers = encode_headers(
                {
                    REQUEST_ID: live.request_id,
                    VERDICT_HEADER: known.claim.verdict.value,
                    'sequoia-replayed': 'true',
                }
            )
            body = (known.claim.answer or '').encode()
            await live.exchange.respond(known.claim.status, body, headers)


def make_row_key(live: LiveCall) -> str:
    """Return the table's key of a call's claim."""
    return f'claim/{live.service_name}/{live.caller_name}/{live.key}'


def digest_body(body: bytes) -> str:
    """Return the digest by which a reused key is recognised."""
    return hashlib.sha256(body).hexdigest()


def limit_pause(limit: RateLimit) -> timedelta:
    """Return the time until the next claim may be written."""
    return timedelta(seconds=1 / limit.per_second)
