"""Sends one request to one target and reads its response."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Protocol

from attrs import define, field, frozen
from sequoia_policy.bytes_in_flight import BytesInFlight
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.memory_budgets import Reservation
from sequoia_policy.permits import Urgency
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.target_paths import TargetPath
from sequoia_policy.verdicts import Verdict
from sequoia_wire.calls import Call, Timeouts, limit_call_time
from sequoia_wire.clients import HttpClient
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.memory import Memory
from sequoia_wire.messages import (
    Header,
    RequestHead,
    Response,
    ResponseHead,
    parse_address,
)

from sequoia_rollouts.targets.dialects import (
    CallLabels,
    ResponseLabels,
    TargetDialect,
)

CONNECT_TIMEOUT = timedelta(milliseconds=200)
PROGRESS_TIMEOUT = timedelta(seconds=30)  # without receiving a byte
MAX_CONTROL_BYTES = 1024 * 1024  # of a report, or of the response to an order
MISDIRECTED_STATUS = 421
MIN_UNSUCCESSFUL_STATUS = 300
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)

log = Log('target')
LIMITED_RESPONSE = log.event(
    'limited response',
    'request_id',
    'target',
    'status',
    kind=LogKind.SUCCESS,
)


@frozen
class OutgoingRequest:
    """A request for a target, before the service adds its labels."""

    id: str
    head: RequestHead
    body: bytes = field(default=b'', repr=False)


@frozen
class LabelledResponse:
    """A complete response and the labels in its head."""

    response: Response
    labels: ResponseLabels


class Permits(Protocol):
    """Lets requests to targets pass at the rates that these name."""

    async def acquire(self, target: RegisteredTarget, urgency: Urgency) -> None:
        """Take a permit for one request to a target.

        Raises:
            ServiceError: With code TARGET_LIMITED if none is free.
        """

    def record_limit(self, target: RegisteredTarget, per_second: float) -> None:
        """Record that a response named a limit."""

    async def record_no_limit(
        self, target: RegisteredTarget, sent_at: timedelta
    ) -> None:
        """Record that a response to a request sent at a time named none."""


def make_control_client() -> HttpClient:
    """Return a client for calls whose responses are short."""
    return HttpClient(max_body_bytes=MAX_CONTROL_BYTES)


@define
class Sender:
    """Sends requests to targets.

    Attributes:
        record_leaving: Called with a target that says that it leaves.
        path: Whether this host reaches any target.
        client: Sends requests, whose id identifies the response.
        report_client: Asks for reports, on connections of its own: they bear no
            id. A late copy of a report is an older report.
        order_client: Sends orders, on connections of its own. What an order has
            done is known from the report after it.
        in_flight: Bytes of the bodies that each target holds.
    """

    clock: Clock
    dialect: TargetDialect
    permits: Permits
    record_leaving: Callable[[RegisteredTarget], None]
    path: TargetPath = field(factory=TargetPath)
    client: HttpClient = field(factory=HttpClient)
    report_client: HttpClient = field(factory=make_control_client)
    order_client: HttpClient = field(factory=make_control_client)
    in_flight: BytesInFlight = field(factory=BytesInFlight)

    def use_memory(self, memory: Memory) -> None:
        """Count what targets respond in the memory of the process."""
        for client in (self.client, self.report_client, self.order_client):
            client.memory = memory

    @asynccontextmanager
    async def open(
        self, target: RegisteredTarget, urgency: Urgency, size: int = 0
    ) -> AsyncIterator[Call]:
        """Open a call for one request to a target.

        Args:
            target: Where to send it.
            urgency: How soon the response is needed.
            size: Size of its body.

        Raises:
            ServiceError: With code TARGET_LIMITED if the target takes no
                request now, with TARGET_REFUSED if it leaves.
        """
        await self.permits.acquire(target, urgency)
        if target.is_leaving:
            raise ServiceError(
                Code.TARGET_REFUSED,
                f'{target.name} leaves',
                verdict=Verdict.NOT_RUN,
            )
        address = parse_address(target.registration.address)
        timeouts = Timeouts(CONNECT_TIMEOUT, PROGRESS_TIMEOUT)
        with self.in_flight.hold(target.name, size):
            async with self.client.call(address, timeouts) as call:
                yield call

    async def fetch(
        self,
        target: RegisteredTarget,
        outgoing: OutgoingRequest,
        timeout: timedelta,
        urgency: Urgency,
        holder: Reservation | None = None,
    ) -> LabelledResponse:
        """Send a request and return the complete response.

        Args:
            target: Where to send it.
            outgoing: The request.
            timeout: Maximum time to wait for the complete response; the target
                is told of it.
            urgency: How soon the response is needed.
            holder: Gets the memory that is reserved for the response; None to
                reserve none.

        Raises:
            ServiceError: If there is no valid response. Its verdict is NOT_RUN
                only if the target cannot have run the request.
        """
        deadline = self.clock.elapsed() + timeout
        size = len(outgoing.body)
        async with self.open(target, urgency, size) as call:
            call.holder = holder
            time_left = deadline - self.clock.elapsed()
            labels = CallLabels(outgoing.id, target.name, time_left)
            async with limit_call_time(call, time_left):
                head = await self.start(call, target, outgoing, labels)
                body = await call.read_body()
        return LabelledResponse(
            Response(head, body),
            self.dialect.read_labels(head),
        )

    async def start(
        self,
        call: Call,
        target: RegisteredTarget,
        outgoing: OutgoingRequest,
        labels: CallLabels,
    ) -> ResponseHead:
        """Send a request on an open call and return the response head.

        Args:
            call: A call to ``target``.
            target: Its name is among the labels.
            outgoing: The request.
            labels: Labels to add to it.

        Raises:
            ServiceError: If the target refused the request, or if the response
                belongs to another request.
        """
        added = self.dialect.label(labels)
        added_names = {name for name, _text in added}
        kept = [
            header
            for header in strip_hop_by_hop_headers(outgoing.head.headers)
            if header[0] not in added_names
        ]
        head = RequestHead(
            outgoing.head.method,
            outgoing.head.target,
            (*kept, *added),
        )
        sent_at = self.clock.elapsed()
        response = await self._send(call, head, outgoing)
        received = self.dialect.read_labels(response)
        if received.request_id and received.request_id != outgoing.id:
            raise ServiceError(Code.WRONG_ANSWER, 'response to another request')
        self.check_leaving(target, response, received)
        await self._record_limit(target, response, received, sent_at)
        if received.not_run:
            await call.read_body()  # keeps the connection reusable
            raise ServiceError(
                Code.MISPLACED
                if response.status == MISDIRECTED_STATUS
                else Code.TARGET_REFUSED,
                f'{labels.target} responded with status {response.status}',
                verdict=Verdict.NOT_RUN,
            )
        return response

    def check_leaving(
        self,
        target: RegisteredTarget,
        response: ResponseHead,
        labels: ResponseLabels,
    ) -> None:
        """Record that a target leaves if its response says so."""
        is_own = response.status != MISDIRECTED_STATUS  # of another target
        if labels.leaving and is_own:
            self.record_leaving(target)

    async def _send(
        self, call: Call, head: RequestHead, outgoing: OutgoingRequest
    ) -> ResponseHead:
        """Send a request, and record whether the path brings a response."""
        wait = self.path.start_wait(self.clock.elapsed())
        try:
            response = await call.send(head, outgoing.body, outgoing.id)
        finally:
            self.path.end_wait(wait)
        self.path.record_response(wait.sent_at, self.clock.elapsed())
        return response

    async def _record_limit(
        self,
        target: RegisteredTarget,
        response: ResponseHead,
        received: ResponseLabels,
        sent_at: timedelta,
    ) -> None:
        """Record the limit that a response names, or that it names none."""
        if response.status == MISDIRECTED_STATUS:
            return  # another target responded
        if received.max_rate is not None:
            self.permits.record_limit(target, received.max_rate)
            LIMITED_RESPONSE.write(
                request_id=received.request_id,
                target=target.name,
                status=response.status,
            )
        elif response.status < MIN_UNSUCCESSFUL_STATUS:
            await self.permits.record_no_limit(target, sent_at)


def strip_hop_by_hop_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return headers without the hop-by-hop ones.

    Headers named in a connection header are hop-by-hop too.
    """
    connection_options = {
        name.strip().lower()
        for header, text in headers
        if header == b'connection'
        for name in text.split(b',')
    }
    hop_by_hop = HOP_BY_HOP_HEADERS | connection_options
    return tuple(header for header in headers if header[0] not in hop_by_hop)
