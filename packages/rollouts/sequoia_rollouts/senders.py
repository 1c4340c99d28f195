"""Sends one request to one target and reads its response."""

from datetime import timedelta

from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.target_limits import TargetLimits
from sequoia_policy.verdicts import Verdict
from sequoia_wire.clients import Call, HttpClient, Timeouts, limit_call_time
from sequoia_wire.logs import Log, LogKind
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
LIMIT_NAMED = log.event('limit named', 'target', 'per_second')
LIMIT_LIFTED = log.event('limit lifted', 'target')
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


@define
class Sender:
    """Sends requests to targets.

    Attributes:
        limits: Limits that targets named in their responses.
    """

    clock: Clock
    dialect: TargetDialect
    client: HttpClient = field(factory=HttpClient)
    limits: TargetLimits = field(factory=TargetLimits)

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
        response = await call.send(head, outgoing.body)
        received = self.dialect.read_labels(response)
        self._record_limit(target, response, received, sent_at)
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

    def _record_limit(
        self,
        target: RegisteredTarget,
        response: ResponseHead,
        received: ResponseLabels,
        sent_at: timedelta,
    ) -> None:
        """Record that a response named a limit of its target, or none."""
        if response.status == MISDIRECTED_STATUS:
            return  # another target responded
        registration = target.registration
        if received.max_rate is not None:
            now = self.clock.elapsed()
            if self.limits.record(registration, received.max_rate, now):
                LIMIT_NAMED.write(
                    target=target.name, per_second=received.max_rate
                )
            LIMITED_RESPONSE.write(
                request_id=received.request_id,
                target=target.name,
                status=response.status,
            )
        elif response.status < MIN_UNSUCCESSFUL_STATUS:
            if self.limits.lift(registration, sent_at):
                LIMIT_LIFTED.write(target=target.name)


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
