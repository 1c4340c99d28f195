"""Serves health, readiness, metrics and operators' requests."""

from collections.abc import Awaitable, Callable

from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.messages import encode_headers
from sequoia_wire.operations import (
    HostStatus,
    LeaveOrder,
    MemberStatus,
    TargetView,
)

from sequoiashed.duties import DutyManager
from sequoiashed.editors import PlanEditHandler
from sequoiashed.live import read_bearer_token
from sequoiashed.states import HostState
from sequoiashed.watchers import mark_leaving

OK = 200
UNAVAILABLE = 503
TEXT = encode_headers({'content-type': 'text/plain; version=0.0.4'})
JSON = encode_headers({'content-type': 'application/json'})


@define
class AdminHandler:
    """Serves the admin address of a host.

    Attributes:
        drain: Starts the shutdown of the host.
        routes: Handlers by path.
    """

    state: HostState
    duty_manager: DutyManager
    plans: PlanEditHandler
    drain: Callable[[], Awaitable[None]]
    routes: dict[str, Callable[[Exchange], Awaitable[None]]] = field(
        init=False,
    )

    def __attrs_post_init__(self) -> None:
        """Register the handlers."""
        self.routes = {
            '/health': self._show_health,
            '/ready': self._show_ready,
            '/metrics': self._show_metrics,
            '/status': self._show_status,
            '/leave': self._mark_leaving,
            '/drain': self._start_drain,
            '/plan': self.plans.handle_plan,
            '/plan/history': self.plans.handle_history,
        }

    async def handle(self, exchange: Exchange) -> None:
        """Route a request to the handler of its path.

        Raises:
            ServiceError: If the path is unknown.
        """
        handler = self.routes.get(exchange.head.path)
        if handler is None:
            raise ServiceError(Code.UNKNOWN_PATH, exchange.head.path)
        await handler(exchange)

    async def _show_health(self, exchange: Exchange) -> None:
        await exchange.read_body()
        await exchange.respond(OK, b'alive\n', TEXT)

    async def _show_ready(self, exchange: Exchange) -> None:
        await exchange.read_body()
        if self.state.is_ready:
            await exchange.respond(OK, b'ready\n', TEXT)
        else:
            await exchange.respond(UNAVAILABLE, b'not ready\n', TEXT)

    async def _show_metrics(self, exchange: Exchange) -> None:
        await exchange.read_body()
        await exchange.respond(OK, self.state.metrics.render(), TEXT)

    async def _show_status(self, exchange: Exchange) -> None:
        await exchange.read_body()
        await exchange.respond(OK, encode(self._make_status()), JSON)

    async def _mark_leaving(self, exchange: Exchange) -> None:
        order = decode(await exchange.read_body(), LeaveOrder)
        self._check_operator(exchange)
        if order.target not in self.state.targets.states:
            raise ServiceError(Code.NO_TARGET, order.target)
        mark_leaving(self.state, order.target, 'operator')
        await exchange.respond(OK)

    async def _start_drain(self, exchange: Exchange) -> None:
        await exchange.read_body()
        self._check_operator(exchange)
        await exchange.respond(OK, b'draining\n', TEXT)
        await self.drain()

    def _check_operator(self, exchange: Exchange) -> None:
        operator = exchange.head.header('sequoia-operator') or ''
        key = read_bearer_token(exchange.head)
        if not self.state.plan.is_operator(operator, key):
            raise ServiceError(Code.UNKNOWN_CALLER, operator)

    def _make_status(self) -> HostStatus:
        state = self.state
        now = state.clock.elapsed()
        return HostStatus(
            state.settings.name,
            state.settings.domain,
            state.is_ready,
            state.draining,
            state.plan_state.number,
            state.plan_state.is_expired(now),
            tuple(sorted(self.duty_manager.held_duties)),
            self._list_members(),
            self._list_targets(),
        )

    def _list_members(self) -> tuple[MemberStatus, ...]:
        members = self.state.members
        now = self.state.clock.elapsed()
        return tuple(
            MemberStatus(
                name,
                known.member.domain,
                members.is_alive(name, now),
                known.member.plan_number,
            )
            for name, known in sorted(members.known.items())
        )

    def _list_targets(self) -> tuple[TargetView, ...]:
        now = self.state.clock.elapsed()
        return tuple(
            TargetView(
                name,
                target_state.target.pool,
                target_state.target.domain,
                target_state.version,
                target_state.load(),
                target_state.is_leaving,
                target_state.is_usable(now),
            )
            for name, target_state in sorted(self.state.targets.states.items())
        )
