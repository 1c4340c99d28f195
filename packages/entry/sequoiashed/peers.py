"""Serves forwarded calls and plan copies to other entry hosts."""

import secrets
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.placements import Placement
from sequoia_policy.plans import ServiceKind
from sequoia_wire.frames import FROM_SERVER, NONCE_SIZE, PeerChannel
from sequoia_wire.logs import Log
from sequoia_wire.messages import Address, Header
from sequoia_wire.peer_types.ttypes import (
    AnswerEnd,
    AnswerStart,
    ForwardRequest,
    HeaderRow,
    PeerAnswer,
    PeerRequest,
    PlanCopy,
)
from sequoia_wire.sockets import disable_nagle

from sequoiashed.calls import CallerDisconnectedError, RoutedCall
from sequoiashed.plans import PlanFollower
from sequoiashed.routers import Router
from sequoiashed.states import HostState

REQUEST_TIMEOUT = timedelta(seconds=5)
MILLISECOND = timedelta(milliseconds=1)
BACKLOG = 256  # connections
MAX_CHANNELS = 2000  # concurrent connections
DRAIN_POLL = timedelta(milliseconds=20)

log = Log('peers')


@define
class PeerSink:
    """Sends a response to the host that forwarded the call."""

    channel: PeerChannel

    async def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Send the head of the response."""
        rows = [
            HeaderRow(name.decode(), text.decode('latin-1'))
            for name, text in headers
        ]
        await self.channel.send(PeerAnswer(start=AnswerStart(status, rows)))

    async def send(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self.channel.send(PeerAnswer(chunk=chunk))

    async def finish(self) -> None:
        """Send the end of a complete response."""
        await self.channel.send(PeerAnswer(end=AnswerEnd(code='')))

    async def fail(self, failure: ServiceError) -> None:
        """Send the error of a failed call."""
        retry_after = failure.retry_after or timedelta()
        end = AnswerEnd(
            failure.code.value.label,
            failure.verdict.value,
            failure.detail,
            retry_after // MILLISECOND,
        )
        await self.channel.send(PeerAnswer(end=end))


@define
class PeerServer:
    """Accepts connections of other entry hosts.

    Attributes:
        active_forwards: Number of forwarded calls in flight.
        channels: Number of open connections.
    """

    state: HostState
    router: Router
    follower: PlanFollower
    address: Address
    listener: curio.io.Socket | None = None
    active_forwards: int = 0
    channels: int = field(default=0)

    def open(self) -> None:
        """Bind the address and listen."""
        self.listener = curio.network.tcp_server_socket(
            self.address.host,
            self.address.port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    async def run(self) -> None:
        """Accept connections until cancelled."""
        assert self.listener
        while not self.state.closed:
            sock, _peer = await self.listener.accept()
            disable_nagle(sock)
            await curio.spawn(self._serve, sock, daemon=True)

    async def drain(self) -> None:
        """Wait until no forwarded call is in flight."""
        while self.active_forwards:
            await curio.sleep(DRAIN_POLL.total_seconds())

    async def _serve(self, sock: curio.io.Socket) -> None:
        channel = PeerChannel(sock, self.state.peer_key, FROM_SERVER)
        self.channels += 1
        try:
            async with channel:
                await self._serve_channel(channel)
        except ServiceError as error:
            self._count_refusal(error)
        except (OSError, curio.TaskTimeout, CallerDisconnectedError):
            log.write('connection of a peer failed or timed out')
        finally:
            self.channels -= 1

    async def _serve_channel(self, channel: PeerChannel) -> None:
        if self.channels > MAX_CHANNELS:
            raise ServiceError(
                Code.TOO_MANY_CONNECTIONS, 'too many peer connections'
            )
        await channel.send_nonce(secrets.token_bytes(NONCE_SIZE))
        request = await channel.receive(PeerRequest, REQUEST_TIMEOUT)
        if request.forward is not None:
            await self._run_forward(channel, request.forward)
        elif request.plan is not None:
            copy = self.follower.copy_plan(request.plan.above)
            await channel.send(PeerAnswer(plan=copy or PlanCopy(0, '', 0)))
        else:
            raise ServiceError(Code.BAD_REQUEST, 'peer request is empty')

    async def _run_forward(
        self,
        channel: PeerChannel,
        request: ForwardRequest,
    ) -> None:
        sink = PeerSink(channel)
        self.active_forwards += 1
        try:
            call = self._make_call(request)
            await self.router.run(call, sink)
        except ServiceError as error:
            self._count_refusal(error)
            await sink.fail(error)
        finally:
            self.active_forwards -= 1

    def _make_call(self, request: ForwardRequest) -> RoutedCall:
        if not self.state.accepts_calls:
            raise ServiceError(Code.NOT_READY, self.state.settings.name)
        remaining = request.deadline_ms * MILLISECOND
        return RoutedCall(
            request_id=request.request_id,
            service=request.service_name,
            pool=request.pool,
            kind=ServiceKind(request.kind),
            placement=self._make_placement(request.label),
            caller=request.caller,
            deadline=self.state.clock.elapsed() + remaining,
            path=request.path,
            body=request.body,
            key=request.key,
            idempotent=request.idempotent,
            max_attempts=request.max_attempts,
            priority=request.priority,
            affinity=request.affinity,
            min_version=request.min_version,
            first_token=request.resume_from,
            hops=1,
        )

    def _make_placement(self, label: str) -> Placement:
        label_rule = self.state.plan.labels.get(label)
        if label_rule is None:
            raise ServiceError(Code.UNKNOWN_LABEL, label)
        placement = Placement(label, frozenset(label_rule.domains))
        placement.check(self.state.settings.domain)
        return placement

    def _count_refusal(self, failure: ServiceError) -> None:
        self.state.metrics.refused.labels(
            failure.code.value.label,
            failure.verdict.value,
        ).inc()
