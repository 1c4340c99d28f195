"""Sends one request to one target and reads its answer."""

from datetime import timedelta

from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.verdicts import Verdict
from sequoia_wire.clients import Call, HttpClient, Timeouts, limit_call_time
from sequoia_wire.messages import (
    Response,
    ResponseHead,
    Header,
    RequestHead,
    parse_address,
)

from sequoia_rollouts.dialects import ResponseLabels, CallLabels, TargetDialect

CONNECT_PATIENCE = timedelta(milliseconds=200)
SLOWEST_ANSWER = timedelta(seconds=30)  # without a byte of progress
GONE_STATUS = 421
OWN_HEADERS = frozenset(
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
class Outgoing:
    """A request for a target, before it is labelled."""

    id: str
    head: RequestHead
    body: bytes = field(default=b'', repr=False)


@frozen
class LabelledResponse:
    """A whole answer with what its head says."""

    response: Response
    labels: ResponseLabels


@define
class Sender:
    """Sends requests to targets."""

    clock: Clock
    dialect: TargetDialect
    client: HttpClient = field(factory=HttpClient)

    def open(self, target: RegisteredTarget) -> Call:
        """Return a call to a target, to be used with ``async with``."""
        address = parse_address(target.registration.address)
        return self.client.call(
            address,
            Timeouts(CONNECT_PATIENCE, SLOWEST_ANSWER),
        )

    async def fetch(
        self,
        target: RegisteredTarget,
        outgoing: Outgoing,
        patience: timedelta,
        time_left: timedelta | None,
    ) -> LabelledResponse:
        """Send a request and return the whole answer.

        Args:
            target: Where to send it.
            outgoing: The request.
            patience: Longest time to wait for the whole answer.
            time_left: Time that the target is told it has.

        Raises:
            ServiceError: With verdict NOT_RUN only if the target cannot have
                run the request.
        """
        labels = CallLabels(outgoing.id, target.name, time_left)
        async with self.open(target) as call, limit_call_time(call, patience):
            return await self._fetch(call, outgoing, labels)

    async def start(
        self,
        call: Call,
        outgoing: Outgoing,
        labels: CallLabels,
    ) -> ResponseHead:
        """Send a request on an open call and return the answer's head.

        Raises:
            ServiceError: If the target refused it, or answered another request.
        """
        added = self.dialect.label(labels)
        set_here = {name for name, _text in added}
        kept = [
            header
            for header in strip_own_headers(outgoing.head.headers)
            if header[0] not in set_here
        ]
        head = RequestHead(
            outgoing.head.method,
            outgoing.head.target,
            (*kept, *added),
        )
        answer = await call.send(head, outgoing.body)
        read = self.dialect.read_labels(answer)
        if read.not_run:
            await call.read_body()  # keeps the connection usable
            raise ServiceError(
                Code.MISPLACED
                if answer.status == GONE_STATUS
                else Code.TARGET_REFUSED,
                f'{labels.target} answered {answer.status}',
                verdict=Verdict.NOT_RUN,
            )
        if read.request_id and read.request_id != outgoing.id:
            raise ServiceError(Code.WRONG_ANSWER, 'answer of another request')
        return answer

    async def _fetch(
        self,
        call: Call,
        outgoing: Outgoing,
        labels: CallLabels,
    ) -> LabelledResponse:
        head = await self.start(call, outgoing, labels)
        body = await call.read_body()
        return LabelledResponse(
            Response(head, body),
            self.dialect.read_labels(head),
        )


def strip_own_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return headers without those that concern one connection only."""
    named = {
        name.strip().lower()
        for header, text in headers
        if header == b'connection'
        for name in text.split(b',')
    }
    own = OWN_HEADERS | named
    return tuple(header for header in headers if header[0] not in own)
