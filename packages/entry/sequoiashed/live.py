"""The path of live calls: a pipe of filters from the head to the answer."""

import posixpath
import uuid
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Protocol
from urllib.parse import unquote

from attrs import define
from sequoia_policy.durations import read_duration
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.placements import Placement, place_record
from sequoia_policy.plans import Caller, Service, ServiceKind
from sequoia_wire.responses import ResponseSink
from sequoia_wire.exchanges import Exchange
from sequoia_wire.logs import Log
from sequoia_wire.messages import RequestHead

from sequoiashed.calls import CallerDisconnectedError, RoutedCall
from sequoiashed.routers import Router
from sequoiashed.senders import REQUEST_ID
from sequoiashed.states import HostState

SERVICES_PREFIX = '/v1/services/'
RESERVED_PATHS = frozenset(('orders',))
BEARER = 'Bearer '
AFFINITY_BYTES = 256  # bytes of a prompt that decide its affinity

log = Log('live')


@define
class LiveCall:
    """A live call on its way through the filters.

    Attributes:
        sink: Where the answer goes; filters may wrap it.
    """

    exchange: Exchange
    request_id: str
    caller_name: str
    caller: Caller
    service_name: str
    service: Service
    deadline: timedelta
    sink: ResponseSink
    placement: Placement | None = None
    body: bytes = b''
    routed: RoutedCall | None = None

    @property
    def key(self) -> str:
        """The caller's idempotency key, or an empty text."""
        return self.exchange.head.header('idempotency-key') or ''

    @property
    def call(self) -> RoutedCall:
        """The call as the router takes it."""
        if self.routed is None:
            raise ServiceError(Code.INTERNAL, 'the call was not prepared')
        return self.routed


Proceed = Callable[[LiveCall], Awaitable[None]]


class LiveFilter(Protocol):
    """One stage of the live path."""

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Do one thing about a call and pass it to the next stage."""


@define
class PlaceFilter:
    """Refuses records that may not be in this failure domain.

    It runs before the body is read, so that no refused record enters.
    """

    state: HostState

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Check the label and go on."""
        label = live.exchange.head.header('sequoia-label')
        plan = self.state.plan
        placement = place_record(plan, label, live.caller.labels)
        own_domain = self.state.settings.domain
        now = self.state.clock.elapsed()
        narrowed = self.state.plan_state.restrict_placement(
            placement, own_domain, now
        )
        narrowed.check(own_domain)
        live.placement = narrowed
        await proceed(live)


@define
class ReadFilter:
    """Reads the body and prepares the call for the router.

    The memory for a body is reserved before it is read, and kept until the
    call has ended, since a retry needs it.
    """

    state: HostState
    reserved: int = 0

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Read the body and go on."""
        with self._reserve(live):
            live.body = await live.exchange.read_body()
            live.routed = make_routed(live)
            await proceed(live)

    @contextmanager
    def _reserve(self, live: LiveCall) -> Iterator[None]:
        settings = self.state.settings
        declared = live.exchange.head.header('content-length')
        size = int(declared) if declared else settings.body_bytes
        if self.reserved + size > settings.body_memory:
            raise ServiceError(
                Code.BODY_MEMORY,
                f'{self.reserved} bytes are held',
                retry_after=timedelta(seconds=1),
            )
        self.reserved += size
        try:
            yield
        finally:
            self.reserved -= size


@define
class RouteFilter:
    """Ends the pipe: the router brings the call to a target."""

    router: Router

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Route the call."""
        await self.router.run(live.call, live.sink)


def make_routed(live: LiveCall) -> RoutedCall:
    """Return the call as the router takes it."""
    service = live.service
    if live.placement is None:
        raise ServiceError(Code.UNKNOWN_LABEL, 'the call was not placed')
    rest = live.exchange.head.target.removeprefix(SERVICES_PREFIX)
    path = rest.removeprefix(live.service_name) or '/'
    check_path(path)
    is_engine = service.kind is ServiceKind.ENGINE
    affinity = live.body[:AFFINITY_BYTES].decode(errors='replace')
    return RoutedCall(
        request_id=live.request_id,
        service=live.service_name,
        pool=service.pool,
        kind=service.kind,
        placement=live.placement,
        caller=live.caller_name,
        deadline=live.deadline,
        path=path,
        body=live.body,
        key=live.key,
        idempotent=service.idempotent,
        max_attempts=service.attempts,
        affinity=affinity if is_engine else '',
    )


def check_path(path: str) -> None:
    """Refuse a path by which a caller would give orders to a target.

    Raises:
        ServiceError: With code UNKNOWN_PATH.
    """
    plain = unquote(path.partition('?')[0])
    first = posixpath.normpath(f'/{plain}').lstrip('/').partition('/')[0]
    if first.lower() in RESERVED_PATHS:
        raise ServiceError(Code.UNKNOWN_PATH, path)


@define
class LivePath:
    """Identifies a call and sends it through the filters."""

    state: HostState
    filters: tuple[LiveFilter, ...]

    async def handle(self, exchange: Exchange) -> None:
        """Serve one live call.

        Raises:
            ServiceError: If the call is refused or fails.
        """
        if not self.state.accepts_calls:
            raise self._explain_not_ready()
        started = self.state.clock.elapsed()
        live = self._identify(exchange)
        try:
            await self._run(live, 0)
        except CallerDisconnectedError as gone:
            log.write('caller left', request_id=live.request_id)
            raise ConnectionAbortedError('the caller left') from gone
        except ServiceError as failure:
            log_refusal(live, failure)
            raise
        metrics = self.state.metrics
        metrics.answered.labels(live.service_name).inc()
        took = self.state.clock.elapsed() - started
        seconds = metrics.call_seconds.labels(live.service_name)
        seconds.observe(took.total_seconds())

    async def _run(self, live: LiveCall, stage: int) -> None:
        async def proceed(passed: LiveCall) -> None:  # noqa: WPS430
            await self._run(passed, stage + 1)

        await self.filters[stage].handle(live, proceed)

    def _identify(self, exchange: Exchange) -> LiveCall:
        head = exchange.head
        rest = head.path.removeprefix(SERVICES_PREFIX)
        service_name = rest.partition('/')[0]
        caller_name = head.header('sequoia-caller') or ''
        caller = self.state.plan.authenticate_caller(
            caller_name, read_key(head)
        )
        service = self.state.plan.service(service_name)
        if service_name not in caller.services:
            raise ServiceError(Code.CALLER_NOT_ALLOWED, service_name)
        limit = read_deadline(head, service.deadline)
        return LiveCall(
            exchange,
            head.header(REQUEST_ID) or uuid.uuid4().hex,
            caller_name,
            caller,
            service_name,
            service,
            self.state.clock.elapsed() + limit,
            exchange,
        )

    def _explain_not_ready(self) -> ServiceError:
        code = Code.DRAINING if self.state.draining else Code.NOT_READY
        return ServiceError(code, retry_after=timedelta(seconds=1))


def log_refusal(live: LiveCall, failure: ServiceError) -> None:
    """Log how a call ended without an answer."""
    log.write(
        'call refused',
        request_id=live.request_id,
        code=failure.code.value.label,
        verdict=failure.verdict.value,
    )


def read_key(head: RequestHead) -> str:
    """Return the key with which a caller authenticates."""
    return (head.header('authorization') or '').removeprefix(BEARER)


def read_deadline(head: RequestHead, longest: timedelta) -> timedelta:
    """Return the time that a call may take.

    Raises:
        ServiceError: If the header is not a duration.
    """
    text = head.header('sequoia-deadline')
    if text is None:
        return longest
    try:
        return min(longest, read_duration(text))
    except ValueError as bad:
        raise ServiceError(Code.BAD_REQUEST, str(bad)) from bad
