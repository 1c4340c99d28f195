"""Handles live calls: a filter chain from request head to response."""

import posixpath
import uuid
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Protocol
from urllib.parse import unquote

from attrs import define
from sequoia_policy.durations import parse_duration
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.placements import Placement, place_record
from sequoia_policy.plans import Caller, Service, ServiceKind
from sequoia_wire.exchanges import Exchange
from sequoia_wire.logs import Log
from sequoia_wire.messages import RequestHead
from sequoia_wire.responses import ResponseSink

from sequoiashed.calls import CallerDisconnectedError, RoutedCall
from sequoiashed.routers import Router
from sequoiashed.senders import REQUEST_ID
from sequoiashed.states import HostState

SERVICES_PREFIX = '/v1/services/'
RESERVED_PATHS = frozenset(('orders',))
BEARER = 'Bearer '
AFFINITY_BYTES = 256  # body prefix that serves as the affinity key

log = Log('live')


@define
class LiveCall:
    """A live call and its state in the filter chain.

    Attributes:
        sink: Receives the response; a filter may wrap it.
        deadline: On the host's own clock.
        placement: Set by ``PlacementFilter``.
        body: Set by ``BodyFilter``, as is ``routed``.
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
        """Idempotency key of the request; empty if it has none."""
        return self.exchange.head.header('idempotency-key') or ''

    @property
    def call(self) -> RoutedCall:
        """The call in the form that the router takes.

        Raises:
            ServiceError: With code INTERNAL before the body was read.
        """
        if self.routed is None:
            raise ServiceError(
                Code.INTERNAL, 'the request body has not been read'
            )
        return self.routed


Proceed = Callable[[LiveCall], Awaitable[None]]


class LiveFilter(Protocol):
    """A stage of the filter chain."""

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Process a call; ``proceed`` runs the following stages."""


@define
class PlacementFilter:
    """Refuses records that must not enter this failure domain.

    Runs before the body is read, so that a refused record never enters.
    """

    state: HostState

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Check the record's label, then proceed.

        Raises:
            ServiceError: If the label is not granted to the caller or does
                not allow this failure domain.
        """
        label = live.exchange.head.header('sequoia-label')
        plan = self.state.plan
        placement = place_record(plan, label, live.caller.labels)
        own_domain = self.state.settings.domain
        now = self.state.clock.elapsed()
        restricted = self.state.plan_state.restrict_placement(
            placement, own_domain, now
        )
        restricted.check(own_domain)
        live.placement = restricted
        await proceed(live)


@define
class BodyFilter:
    """Reads the body and builds the router's form of the call.

    Memory for a body is reserved before it is read and released when the call
    has ended, since a retry sends the body again.

    Attributes:
        reserved: Bytes reserved for the bodies of all calls in progress.
    """

    state: HostState
    reserved: int = 0

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Read the body, then proceed.

        Raises:
            ServiceError: With code BODY_MEMORY if the bodies of other calls
                leave too little memory.
        """
        with self._reserve(live):
            live.body = await live.exchange.read_body()
            live.routed = make_routed_call(live)
            await proceed(live)

    @contextmanager
    def _reserve(self, live: LiveCall) -> Iterator[None]:
        settings = self.state.settings
        declared = live.exchange.head.header('content-length')
        size = int(declared) if declared else settings.body_bytes
        if self.reserved + size > settings.body_memory:
            raise ServiceError(
                Code.BODY_MEMORY,
                f'{self.reserved} bytes are reserved for request bodies',
                retry_after=timedelta(seconds=1),
            )
        self.reserved += size
        try:
            yield
        finally:
            self.reserved -= size


@define
class RouteFilter:
    """Last stage of the filter chain: passes the call to the router."""

    router: Router

    async def handle(self, live: LiveCall, proceed: Proceed) -> None:
        """Route the call."""
        await self.router.run(live.call, live.sink)


def make_routed_call(live: LiveCall) -> RoutedCall:
    """Return the call in the form that the router takes.

    Raises:
        ServiceError: With code UNKNOWN_PATH if callers must not use the path,
            with UNKNOWN_LABEL if the call has no placement.
    """
    service = live.service
    if live.placement is None:
        raise ServiceError(Code.UNKNOWN_LABEL, 'the call has no placement')
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
    """Refuse a path that is reserved for orders to a target.

    Raises:
        ServiceError: With code UNKNOWN_PATH.
    """
    decoded = unquote(path.partition('?')[0])
    first = posixpath.normpath(f'/{decoded}').lstrip('/').partition('/')[0]
    if first.lower() in RESERVED_PATHS:
        raise ServiceError(Code.UNKNOWN_PATH, path)


@define
class LivePath:
    """Authenticates a call and runs it through the filter chain."""

    state: HostState
    filters: tuple[LiveFilter, ...]

    async def handle(self, exchange: Exchange) -> None:
        """Handle one live call.

        Raises:
            ConnectionAbortedError: If the caller disconnected.
            ServiceError: If the call is refused or fails.
        """
        if not self.state.accepts_calls:
            raise self._make_refusal()
        started_at = self.state.clock.elapsed()
        live = self._identify(exchange)
        try:
            await self._run(live, 0)
        except CallerDisconnectedError as error:
            log.write('caller disconnected', request_id=live.request_id)
            raise ConnectionAbortedError('caller disconnected') from error
        except ServiceError as error:
            log_failure(live, error)
            raise
        metrics = self.state.metrics
        metrics.answered.labels(live.service_name).inc()
        duration = self.state.clock.elapsed() - started_at
        seconds = metrics.call_seconds.labels(live.service_name)
        seconds.observe(duration.total_seconds())

    async def _run(self, live: LiveCall, stage: int) -> None:
        async def proceed(live_call: LiveCall) -> None:  # noqa: WPS430
            await self._run(live_call, stage + 1)

        await self.filters[stage].handle(live, proceed)

    def _identify(self, exchange: Exchange) -> LiveCall:
        head = exchange.head
        rest = head.path.removeprefix(SERVICES_PREFIX)
        service_name = rest.partition('/')[0]
        caller_name = head.header('sequoia-caller') or ''
        caller = self.state.plan.authenticate_caller(
            caller_name, read_bearer_token(head)
        )
        service = self.state.plan.service(service_name)
        if service_name not in caller.services:
            raise ServiceError(Code.CALLER_NOT_ALLOWED, service_name)
        max_duration = read_deadline(head, service.deadline)
        return LiveCall(
            exchange,
            head.header(REQUEST_ID) or uuid.uuid4().hex,
            caller_name,
            caller,
            service_name,
            service,
            self.state.clock.elapsed() + max_duration,
            exchange,
        )

    def _make_refusal(self) -> ServiceError:
        code = Code.DRAINING if self.state.draining else Code.NOT_READY
        return ServiceError(code, retry_after=timedelta(seconds=1))


def log_failure(live: LiveCall, failure: ServiceError) -> None:
    """Log the code and verdict of a call that failed."""
    log.write(
        'call failed',
        request_id=live.request_id,
        code=failure.code.value.label,
        verdict=failure.verdict.value,
    )


def read_bearer_token(head: RequestHead) -> str:
    """Return the bearer token of a request; empty if it has none."""
    return (head.header('authorization') or '').removeprefix(BEARER)


def read_deadline(head: RequestHead, max_duration: timedelta) -> timedelta:
    """Return the time allowed for a call, at most ``max_duration``.

    Raises:
        ServiceError: With code BAD_REQUEST if the header is not a duration.
    """
    text = head.header('sequoia-deadline')
    if text is None:
        return max_duration
    try:
        return min(max_duration, parse_duration(text))
    except ValueError as error:
        raise ServiceError(Code.BAD_REQUEST, str(error)) from error
