"""Sends a call to a target and relays the response."""

from datetime import timedelta

from attrs import define
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.targets import TargetState
from sequoia_policy.verdicts import Verdict
from sequoia_wire.calls import Call, Timeouts
from sequoia_wire.clients import HttpClient
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import VERDICT_HEADER, parse_verdict
from sequoia_wire.generations import (
    GenerationCall,
    GenerationRequest,
    TokenChunk,
)
from sequoia_wire.messages import (
    Header,
    RequestHead,
    ResponseHead,
    encode_headers,
    parse_address,
)
from sequoia_wire.responses import ResponseSink

from sequoiashed.calls import RoutedCall

REQUEST_ID = 'sequoia-request-id'
CONNECT_TIMEOUT = timedelta(milliseconds=500)
PASSED_HEADERS = frozenset((b'content-type',))
POST = 'POST'
OK = 200
MAX_LINE_BYTES = 1048576


@define
class TargetSender:
    """Sends calls to targets of this failure domain.

    Attributes:
        progress_timeout: Maximum time without progress in sending or reading.
    """

    client: HttpClient
    progress_timeout: timedelta

    async def send(
        self,
        call: RoutedCall,
        target_state: TargetState,
        sink: ResponseSink,
    ) -> None:
        """Send a call once and relay the complete response.

        Raises:
            ServiceError: With the verdict of this attempt.
        """
        timeouts = Timeouts(CONNECT_TIMEOUT, self.progress_timeout)
        address = parse_address(target_state.target.address)
        async with self.client.call(address, timeouts) as outgoing:
            try:
                response = await self._open(call, outgoing)
            except ServiceError:
                call.sent = outgoing.sent
                raise
            call.sent = True
            await self._relay(call, outgoing, response, sink)

    async def _open(self, call: RoutedCall, outgoing: Call) -> ResponseHead:
        head = make_request_head(call)
        body = make_request_body(call)
        response = await outgoing.send(head, body)
        check_response(call, response)
        return response

    async def _relay(
        self,
        call: RoutedCall,
        outgoing: Call,
        response: ResponseHead,
        sink: ResponseSink,
    ) -> None:
        relay = relay_lines if call.is_engine_call else relay_bytes
        headers = make_response_headers(call, response)
        try:
            await sink.start(response.status, headers)
            await relay(call, outgoing, sink)
        except ServiceError as error:
            error.verdict = Verdict.RAN
            raise
        await sink.finish()


def make_request_head(call: RoutedCall) -> RequestHead:
    """Return the head of the request to a target."""
    headers = encode_headers(
        {
            REQUEST_ID: call.request_id,
            'sequoia-label': call.placement.label,
            'idempotency-key': call.key,
        }
    )
    path = '/generate' if call.is_engine_call else call.path
    return RequestHead(POST, path, headers)


def make_request_body(call: RoutedCall) -> bytes:
    """Return the body of the request to a target.

    Raises:
        ServiceError: If an engine call does not contain a generation call.
    """
    if not call.is_engine_call:
        return call.body
    generation = decode(call.body, GenerationCall)
    return encode(
        GenerationRequest(
            call.request_id,
            generation.prompt,
            generation.max_tokens,
            generation.seed,
            call.resume_from,
            call.priority,
            call.kv_source,
        ),
    )


def check_response(call: RoutedCall, response: ResponseHead) -> None:
    """Check that a target accepted the call and responded to this call.

    Raises:
        ServiceError: With verdict NOT_RUN only if the target reported it.
    """
    verdict = parse_verdict(response.header(VERDICT_HEADER))
    if verdict is Verdict.NOT_RUN:
        raise ServiceError(
            Code.TARGET_REFUSED,
            f'the target refused the call with status {response.status}',
        )
    if response.header(REQUEST_ID) != call.request_id:
        raise ServiceError(
            Code.WRONG_ANSWER,
            'the response does not carry the id of this request',
        )
    if call.is_engine_call and response.status != OK:
        raise ServiceError(
            Code.TARGET_BROKE,
            f'the engine responded with status {response.status}',
        )


def make_response_headers(
    call: RoutedCall,
    response: ResponseHead,
) -> tuple[Header, ...]:
    """Return the headers of the response to the caller."""
    passed = tuple(
        header for header in response.headers if header[0] in PASSED_HEADERS
    )
    added = encode_headers(
        {
            REQUEST_ID: call.request_id,
            VERDICT_HEADER: Verdict.RAN.value,
        }
    )
    return (*passed, *added)


async def relay_bytes(
    call: RoutedCall,
    outgoing: Call,
    sink: ResponseSink,
) -> None:
    """Relay a body chunk by chunk."""
    chunk = await outgoing.read_chunk()
    while chunk:
        await sink.send(chunk)
        chunk = await outgoing.read_chunk()


async def relay_lines(
    call: RoutedCall,
    outgoing: Call,
    sink: ResponseSink,
) -> None:
    """Relay a token stream in complete lines and check that it is complete.

    Raises:
        ServiceError: With code TARGET_BROKE if the stream is incomplete or
            belongs to another request, with PREEMPTED if it stops in favour of
            live calls.
    """
    buffer = LineBuffer()
    chunk = await outgoing.read_chunk()
    while chunk:
        lines = buffer.feed(chunk)
        if lines:
            await sink.send(lines)
        if call.preempted:
            raise ServiceError(
                Code.PREEMPTED, 'live calls are waiting for the engine'
            )
        chunk = await outgoing.read_chunk()
    if not buffer.ends_stream_of(call.request_id):
        raise ServiceError(Code.TARGET_BROKE, 'the token stream is incomplete')


@define
class LineBuffer:
    """Splits a byte stream after its last complete line.

    Attributes:
        partial_line: Bytes of an incomplete line.
        last_line: The last complete line.
    """

    partial_line: bytes = b''
    last_line: bytes = b''

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the lines that are now complete.

        Raises:
            ServiceError: If a line exceeds ``MAX_LINE_BYTES``.
        """
        joined = self.partial_line + chunk
        end = joined.rfind(b'\n') + 1
        self.partial_line = joined[end:]
        if len(self.partial_line) > MAX_LINE_BYTES:
            raise ServiceError(
                Code.TARGET_BROKE, 'a line of the token stream is too long'
            )
        lines = joined[:end]
        if lines:
            self.last_line = lines[:-1].rpartition(b'\n')[2]
        return lines

    def ends_stream_of(self, request_id: str) -> bool:
        """Return whether the last line ends the stream of a request."""
        if not self.last_line or self.partial_line:
            return False
        final = decode(self.last_line, TokenChunk)
        return final.done and final.request_id == request_id
