"""Sends a call to a target and relays its answer."""

from datetime import timedelta

from attrs import define
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.targets import TargetState
from sequoia_policy.verdicts import Verdict
from sequoia_wire.responses import ResponseSink
from sequoia_wire.clients import Call, HttpClient, Timeouts
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import VERDICT_HEADER, parse_verdict
from sequoia_wire.generations import (
    GenerationRequest,
    GenerationCall,
    TokenChunk,
)
from sequoia_wire.messages import (
    ResponseHead,
    Header,
    RequestHead,
    encode_headers,
    parse_address,
)

from sequoiashed.calls import RoutedCall

REQUEST_ID = 'sequoia-request-id'
CONNECT_PATIENCE = timedelta(milliseconds=500)
PASSED_HEADERS = frozenset((b'content-type',))
POST = 'POST'
OK = 200
LONGEST_LINE = 1048576  # bytes


@define
class TargetSender:
    """Sends calls to targets of the own failure domain.

    Attributes:
        progress: Longest time that a target may be silent.
    """

    client: HttpClient
    progress: timedelta

    async def send(
        self,
        call: RoutedCall,
        state: TargetState,
        sink: ResponseSink,
    ) -> None:
        """Send a call once and pass on the whole answer.

        Raises:
            ServiceError: With the verdict of this attempt.
        """
        patience = Timeouts(CONNECT_PATIENCE, self.progress)
        address = parse_address(state.target.address)
        async with self.client.call(address, patience) as outgoing:
            try:
                answer = await self._open(call, outgoing)
            except ServiceError:
                call.sent = outgoing.sent
                raise
            call.sent = True
            await self._relay(call, outgoing, answer, sink)

    async def _open(self, call: RoutedCall, outgoing: Call) -> ResponseHead:
        head = make_head(call)
        body = make_body(call)
        answer = await outgoing.send(head, body)
        check_answer(call, answer)
        return answer

    async def _relay(
        self,
        call: RoutedCall,
        outgoing: Call,
        answer: ResponseHead,
        sink: ResponseSink,
    ) -> None:
        relay = relay_lines if call.is_engine_call else relay_bytes
        headers = make_answer_headers(call, answer)
        try:
            await sink.start(answer.status, headers)
            await relay(call, outgoing, sink)
        except ServiceError as failure:
            failure.verdict = Verdict.RAN
            raise
        await sink.finish()


def make_head(call: RoutedCall) -> RequestHead:
    """Return the head that a target gets."""
    headers = encode_headers(
        {
            REQUEST_ID: call.request_id,
            'sequoia-label': call.placement.label,
            'idempotency-key': call.key,
        }
    )
    path = '/generate' if call.is_engine_call else call.path
    return RequestHead(POST, path, headers)


def make_body(call: RoutedCall) -> bytes:
    """Return the body that a target gets.

    Raises:
        ServiceError: If the body of an engine call is not a generation.
    """
    if not call.is_engine_call:
        return call.body
    wanted = decode(call.body, GenerationCall)
    return encode(
        GenerationRequest(
            call.request_id,
            wanted.prompt,
            wanted.max_tokens,
            wanted.seed,
            call.resume_from,
            call.priority,
            call.kv_source,
        ),
    )


def check_answer(call: RoutedCall, answer: ResponseHead) -> None:
    """Refuse a target's refusal, and an answer to another request.

    Raises:
        ServiceError: With NOT_RUN only if the target itself said so.
    """
    said = parse_verdict(answer.header(VERDICT_HEADER))
    if said is Verdict.NOT_RUN:
        raise ServiceError(Code.TARGET_REFUSED, f'status {answer.status}')
    if answer.header(REQUEST_ID) != call.request_id:
        raise ServiceError(Code.WRONG_ANSWER, 'answer of another request')
    if call.is_engine_call and answer.status != OK:
        raise ServiceError(Code.TARGET_BROKE, f'status {answer.status}')


def make_answer_headers(
    call: RoutedCall,
    answer: ResponseHead,
) -> tuple[Header, ...]:
    """Return the headers that the caller gets."""
    passed = tuple(
        header for header in answer.headers if header[0] in PASSED_HEADERS
    )
    own = encode_headers(
        {
            REQUEST_ID: call.request_id,
            VERDICT_HEADER: Verdict.RAN.value,
        }
    )
    return (*passed, *own)


async def relay_bytes(
    call: RoutedCall,
    outgoing: Call,
    sink: ResponseSink,
) -> None:
    """Pass on a body as it comes."""
    chunk = await outgoing.read_chunk()
    while chunk:
        await sink.send(chunk)
        chunk = await outgoing.read_chunk()


async def relay_lines(
    call: RoutedCall,
    outgoing: Call,
    sink: ResponseSink,
) -> None:
    """Pass on a token stream in whole lines, and check that it is whole.

    Raises:
        ServiceError: If the stream is not whole, belongs to another request, or
            makes room for live calls.
    """
    cutter = LineCutter()
    chunk = await outgoing.read_chunk()
    while chunk:
        whole = cutter.cut(chunk)
        if whole:
            await sink.send(whole)
        if call.preempted:
            raise ServiceError(Code.PREEMPTED, 'live calls wait')
        chunk = await outgoing.read_chunk()
    if not cutter.ends_stream_of(call.request_id):
        raise ServiceError(Code.TARGET_BROKE, 'the token stream is not whole')


@define
class LineCutter:
    """Cuts a stream of bytes after whole lines.

    Attributes:
        held: Bytes of a line that is not whole.
        last: The last whole line.
    """

    held: bytes = b''
    last: bytes = b''

    def cut(self, chunk: bytes) -> bytes:
        """Take bytes and return those of whole lines.

        Raises:
            ServiceError: If a line is too long.
        """
        joined = self.held + chunk
        end = joined.rfind(b'\n') + 1
        self.held = joined[end:]
        if len(self.held) > LONGEST_LINE:
            raise ServiceError(
                Code.TARGET_BROKE, 'a line of tokens is too long'
            )
        whole = joined[:end]
        if whole:
            self.last = whole[:-1].rpartition(b'\n')[2]
        return whole

    def ends_stream_of(self, request_id: str) -> bool:
        """Tell whether the last line ends the stream of a request."""
        if not self.last or self.held:
            return False
        final = decode(self.last, TokenChunk)
        return final.done and final.request_id == request_id
