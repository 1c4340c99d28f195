"""Sends one request to one target and reads its response."""

from datetime import timedelta

from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.verdicts import Verdict
from sequoia_wire.clients import Call, HttpClient, Timeouts, limit_call_time
from sequoia_wire.messages import (
    Header,
    RequestHead,
    Response,
    ResponseHead,
    parse_address,
)

from sequoia_rollouts.dialects import CallLabels, ResponseLabels, TargetDialect

CONNECT_TIMEOUT = timedelta(milliseconds=200)
PROGRESS_TIMEOUT = timedelta(seconds=30)  # without receiving a byte
MISDIRECTED_STATUS = 421
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


@define
class Sender:
    """Sends requests to targets."""

    clock: Clock
    dialect: TargetDialect
    client: HttpClient = field(factory=HttpClient)

    def open(self, target: RegisteredTarget) -> Call:
        """Return a call to a target; it is an async context manager."""
        address = parse_address(target.registration.address)
        return self.client.call(
            address,
            Timeouts(CONNECT_TIMEOUT, PROGRESS_TIMEOUT),
        )

    async def fetch(
        self,
        target: RegisteredTarget,
        outgoing: OutgoingRequest,
        timeout: timedelta,
        time_left: timedelta | None,
    ) -> LabelledResponse:
        """Send a request and return the complete response.

        Args:
            target: Where to send it.
            outgoing: The request.
            timeout: Maximum time to wait for the complete response.
            time_left: Time limit that is sent to the target; None for none.

        Raises:
            ServiceError: If there is no valid response. Its verdict is NOT_RUN
                only if the target cannot have run the request.
        """
        labels = CallLabels(outgoing.id, target.name, time_left)
        async with self.open(target) as call, limit_call_time(call, timeout):
            return await self._fetch(call, outgoing, labels)

    async def start(
        self,
        call: Call,
        outgoing: OutgoingRequest,
        labels: CallLabels,
    ) -> ResponseHead:
        """Send a request on an open call and return the response head.

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
        response = await call.send(head, outgoing.body)
        received = self.dialect.read_labels(response)
        if received.request_id and received.request_id != outgoing.id:
            raise ServiceError(Code.WRONG_ANSWER, 'response to another request')
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

    async def _fetch(
        self,
        call: Call,
        outgoing: OutgoingRequest,
        labels: CallLabels,
    ) -> LabelledResponse:
        head = await self.start(call, outgoing, labels)
        body = await call.read_body()
        return LabelledResponse(
            Response(head, body),
            self.dialect.read_labels(head),
        )


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
