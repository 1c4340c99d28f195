"""Hands live requests to another host while this one reaches no target.

A request is handed on once at most, and a host that reaches no target either
refuses it. The reply says whether it may have run, as a target's does.
"""

import random
import uuid
from collections.abc import Awaitable, Callable
from datetime import timedelta

from attrs import define, evolve, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.peer_choices import PeerChoice
from sequoia_policy.memory_budgets import Reservation
from sequoia_policy.target_paths import TargetPath
from sequoia_policy.verdicts import Verdict
from sequoia_wire.calls import Timeouts
from sequoia_wire.clients import HttpClient
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import (
    Address,
    RequestHead,
    Response,
    ResponseHead,
    check_status,
    parse_address,
)

from sequoia_rollouts.targets.crash_checks import CrashCheck
from sequoia_rollouts.live.disconnects import (
    CallerDisconnectedError,
    run_for_caller,
)
from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.live.live_attempts import (
    RETRY_AFTER,
    LiveAttempts,
    LiveRequest,
)
from sequoia_rollouts.fleet.peer_keys import KeyRing
from sequoia_rollouts.live.path_checks import (
    QUERY_PATH,
    PathCheck,
    PathReporter,
)
from sequoia_rollouts.targets.senders import OutgoingRequest

PATH = '/live'
OK = 200
INTERNAL_ERROR = 500
UNAVAILABLE = 503
CONNECT_TIMEOUT = timedelta(milliseconds=300)
MAX_PEERS = 3

log = Log('live')
REQUEST_HANDED_ON = log.event(
    'request handed on', 'request_id', 'peer', 'result', kind=LogKind.FAILURE
)
HANDOFF_IGNORED = log.event('handoff ignored', 'detail', kind=LogKind.FAILURE)

Respond = Callable[[LiveRequest], Awaitable[Response]]


@frozen
class HandoffReply:
    """A response, or the error in its place.

    Attributes:
        nonce: That of the request.
        error: Name of the error code; empty for a response.
    """

    nonce: str
    response: Response = Response(ResponseHead(OK))
    error: str = ''
    verdict: Verdict = Verdict.NOT_RUN
    detail: str = ''


@frozen
class Handoff:
    """A live request for another host.

    Attributes:
        nonce: Random text that the reply repeats.
        time_left: Time until the caller's deadline.
        attempts: Attempts of this host that may have run.
        account: Name of the client account; empty for none.
        priority: Priority of the client account; None for that of the route.
    """

    nonce: str
    outgoing: OutgoingRequest
    host: str
    path: str
    time_left: timedelta
    attempts: int = 0
    account: str = ''
    priority: int | None = None


@define(eq=False)
class HandoffSender:
    """Hands requests to hosts that may reach targets.

    Attributes:
        path: Whether this host reaches any target.
        client: Sends to other hosts; a stop of this host aborts its calls.
        path_check: Finds out whether this host reaches targets.
        peer_choice: Which peers did not serve requests recently.
    """

    clock: Clock
    path: TargetPath
    crash_check: CrashCheck
    heartbeats: HeartbeatService
    key_ring: KeyRing
    rng: random.Random
    client: HttpClient
    path_check: PathCheck = field(init=False)
    peer_choice: PeerChoice = field(factory=PeerChoice)

    def __attrs_post_init__(self) -> None:
        """Create the check of the path with the same peers."""
        self.path_check = PathCheck(
            self.clock,
            self.path,
            self.crash_check,
            self.key_ring,
            self._list_peers,
            HttpClient(),
        )

    async def send(self, attempts: LiveAttempts) -> Response:
        """Return the response that another host has got.

        Raises:
            ServiceError: If none took the request, or its own error. The verdict
                says whether the request may have run.
        """
        failure = ServiceError(
            Code.NO_TARGET,
            'neither this host nor a peer reaches targets',
            verdict=Verdict.NOT_RUN,
            retry_after=RETRY_AFTER,
        )
        for address in self._list_peers(MAX_PEERS):
            try:
                return await self._send_and_record(address, attempts)
            except ServiceError as error:
                failure = error
                if error.verdict is not Verdict.NOT_RUN:
                    break
        attempts.merge_verdict(failure)
        raise ServiceError(
            failure.code,
            failure.detail,
            verdict=attempts.verdict,
            retry_after=failure.retry_after,
        )

    def _list_peers(self, count: int) -> list[Address]:
        heartbeats = self.heartbeats
        peers = [
            lease.heartbeat.address
            for lease in heartbeats.leases.values()
            if lease.heartbeat.address
            and not lease.heartbeat.draining
            and lease.heartbeat.owner != heartbeats.owner
            and not heartbeats.is_dead(lease.heartbeat.owner)
        ]
        chosen = self.peer_choice.choose(
            peers, count, self.clock.elapsed(), self.rng
        )
        return [parse_address(address) for address in chosen]

    async def _send_and_record(
        self, address: Address, attempts: LiveAttempts
    ) -> Response:
        try:
            response = await self._send(address, attempts)
        except ServiceError as error:
            self._log(attempts, address, str(error))
            now = self.clock.elapsed()
            self.peer_choice.record_failure(str(address), now)
            raise
        self._log(attempts, address, str(response.status))
        self.peer_choice.record_success(str(address))
        return response

    async def _send(self, address: Address, attempts: LiveAttempts) -> Response:
        request = attempts.request
        time_left = attempts.deadline - self.clock.elapsed()
        handoff = Handoff(
            uuid.uuid4().hex,
            request.outgoing,
            request.host,
            request.path,
            time_left,
            attempts.count,
            request.account,
            request.priority,
        )
        received = await self.client.fetch(
            address,
            RequestHead('POST', PATH),
            self.key_ring.seal(encode(handoff)),
            Timeouts(CONNECT_TIMEOUT, max(CONNECT_TIMEOUT, time_left)),
            request.holder,
        )
        if received.status != OK:
            raise ServiceError(
                Code.TARGET_BROKE,
                f'peer responded with status {received.status}',
                verdict=find_verdict(received.status),
            )
        reply = self._read_reply(received.body)
        if reply.nonce != handoff.nonce:
            raise ServiceError(Code.WRONG_ANSWER, 'reply to another request')
        if reply.error:
            raise ServiceError(
                Code.__members__.get(reply.error, Code.INTERNAL),
                reply.detail,
                verdict=reply.verdict,
                retry_after=RETRY_AFTER,
            )
        check_status(reply.response.status)
        return reply.response

    def _read_reply(self, body: bytes) -> HandoffReply:
        """Decode a reply.

        Raises:
            ServiceError: If it cannot be decoded; the request may have run.
        """
        try:
            return decode(self.key_ring.open(body), HandoffReply)
        except ServiceError as failure:
            raise ServiceError(Code.WRONG_ANSWER, failure.detail) from failure

    def _log(self, attempts: LiveAttempts, peer: Address, found: str) -> None:
        REQUEST_HANDED_ON.write(
            request_id=attempts.request.outgoing.id,
            peer=str(peer),
            result=found,
        )


def find_verdict(status: int) -> Verdict:
    """Return what a response without a reply says of its request.

    A host serves a request only after it has read the message.
    """
    if status < INTERNAL_ERROR or status == UNAVAILABLE:
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN


@frozen
class HandoffServer:
    """Serves the requests that other hosts hand on.

    Attributes:
        respond: Serves a live request.
        reporter: Tells other hosts which targets this host reaches.
        others: Handles the other messages of hosts.
    """

    clock: Clock
    path: TargetPath
    key_ring: KeyRing
    respond: Respond
    reporter: PathReporter
    others: Callable[[Exchange], Awaitable[None]]

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one message of a host."""
        if exchange.head.path == QUERY_PATH:
            await self.reporter.handle(exchange)
            return
        if exchange.head.path != PATH:
            await self.others(exchange)
            return
        body = await exchange.read_body()
        try:
            handoff = decode(self.key_ring.open(body), Handoff)
        except ServiceError as failure:
            HANDOFF_IGNORED.write(detail=failure.detail)
            await exchange.respond(failure.code.value.status)
            return
        try:
            reply = await run_for_caller(
                exchange, self._serve, handoff, exchange.holder
            )
        except CallerDisconnectedError:
            raise ConnectionAbortedError('the host disconnected') from None
        await exchange.respond(OK, self.key_ring.seal(encode(reply)))

    async def _serve(
        self, handoff: Handoff, holder: Reservation
    ) -> HandoffReply:
        request = LiveRequest(
            handoff.outgoing,
            handoff.host,
            handoff.path,
            self.clock.elapsed(),
            handoff.time_left,
            is_handed_on=True,
            attempts_before=handoff.attempts,
            account=handoff.account,
            priority=handoff.priority,
            holder=holder,
        )
        reply = HandoffReply(handoff.nonce)
        try:
            self._check_path()
            return evolve(reply, response=await self.respond(request))
        except ServiceError as error:
            return evolve(
                reply,
                error=error.code.name,
                verdict=error.verdict,
                detail=error.detail,
            )

    def _check_path(self) -> None:
        if self.path.is_cut:
            raise ServiceError(Code.NO_TARGET, 'this host is cut off too')
