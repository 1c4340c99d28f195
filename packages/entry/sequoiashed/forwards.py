"""Forwards a call to an entry host of another failure domain."""

from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.members import Member
from sequoia_policy.verdicts import Verdict
from sequoia_wire.exchanges import parse_verdict
from sequoia_wire.frames import FROM_CLIENT, PeerChannel
from sequoia_wire.messages import Address, Header, parse_address
from sequoia_wire.peer_types.ttypes import (
    AnswerEnd,
    AnswerStart,
    ForwardRequest,
    PeerAnswer,
    PeerRequest,
)
from sequoia_wire.responses import ResponseSink
from sequoia_wire.sockets import connect

from sequoiashed.calls import RoutedCall

CONNECT_TIMEOUT = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)


async def open_channel(address: Address, key: bytes) -> PeerChannel:
    """Connect to another host and read its nonce.

    Raises:
        ServiceError: With code CONNECT_FAILED and verdict NOT_RUN.
    """
    try:
        async with curio.timeout_after(CONNECT_TIMEOUT.total_seconds()):
            sock = await connect(address.host, address.port)
    except (OSError, curio.TaskTimeout) as error:
        raise ServiceError(Code.CONNECT_FAILED, str(address)) from error
    channel = PeerChannel(sock, key, FROM_CLIENT)
    try:
        await channel.read_nonce(CONNECT_TIMEOUT)
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        raise ServiceError(Code.CONNECT_FAILED, str(address)) from error
    return channel


@define
class Forwarder:
    """Forwards calls to peers and relays their responses.

    Attributes:
        domain: Failure domain of this host.
        progress_timeout: Maximum time to wait for each message of a peer.
        channels: The connections of the calls in flight.
    """

    key: bytes
    domain: str
    clock: Clock
    progress_timeout: timedelta
    channels: set[PeerChannel] = field(factory=set)

    async def run(
        self,
        call: RoutedCall,
        peer: Member,
        sink: ResponseSink,
    ) -> None:
        """Forward a call once and relay the complete response.

        Raises:
            ServiceError: With the peer's verdict, or MAY_HAVE_RUN if the
                connection failed once the request was being sent.
        """
        channel = await open_channel(parse_address(peer.peer), self.key)
        async with channel:
            call.sent = True
            self.channels.add(channel)
            try:
                await channel.send(self._make_request(call))
                await self._relay(channel, sink)
            except (OSError, curio.TaskTimeout) as error:
                raise ServiceError(Code.PEER_BROKE, peer.name) from error
            finally:
                self.channels.discard(channel)

    def abort(self) -> None:
        """Let all calls in flight fail, as the process ends."""
        for channel in self.channels:
            channel.shut_down()

    def _make_request(self, call: RoutedCall) -> PeerRequest:
        remaining = call.deadline - self.clock.elapsed()
        return PeerRequest(
            origin_domain=self.domain,
            forward=ForwardRequest(
                request_id=call.request_id,
                service_name=call.service,
                caller=call.caller,
                label=call.placement.label,
                key=call.key,
                deadline_ms=max(1, remaining // MILLISECOND),
                priority=call.priority,
                path=call.path,
                body=call.body,
                resume_from=call.resume_from,
                pool=call.pool,
                kind=call.kind.value,
                idempotent=call.idempotent,
                max_attempts=call.max_attempts,
                affinity=call.affinity,
                min_version=call.min_version,
            ),
        )

    async def _relay(self, channel: PeerChannel, sink: ResponseSink) -> None:
        message = await channel.receive(PeerAnswer, self.progress_timeout)
        while message.end is None:
            if message.start is not None:
                start = message.start
                await sink.start(start.status, read_headers(start))
            elif message.chunk is not None:
                await sink.send(message.chunk)
            message = await channel.receive(PeerAnswer, self.progress_timeout)
        if message.end.code:
            raise read_failure(message.end)
        await sink.finish()


def read_headers(start: AnswerStart) -> tuple[Header, ...]:
    """Return the headers of a response from a peer."""
    return tuple(
        (row.name.encode(), row.text.encode()) for row in start.headers
    )


def read_failure(end: AnswerEnd) -> ServiceError:
    """Return the error that a peer reported at the end of a response."""
    codes = {code.value.label: code for code in Code}
    retry_after = end.retry_after_ms * MILLISECOND
    return ServiceError(
        codes.get(end.code, Code.PEER_BROKE),
        end.detail or '',
        verdict=parse_verdict(end.verdict) or Verdict.MAY_HAVE_RUN,
        retry_after=retry_after or None,
    )
