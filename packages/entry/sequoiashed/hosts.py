"""The entry host: creates its components, runs them and shuts them down."""

import os
import signal

import curio
from attrs import define, evolve, field
from sequoia_policy.budgets import RetryBudget
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.stops import ANSWER_TIME
from sequoia_wire.clocks import SystemClock
from sequoia_wire.exchanges import Exchange
from sequoia_wire.logs import Log
from sequoia_wire.servers import HttpServer

from sequoiashed.admins import AdminHandler
from sequoiashed.admissions import AdmissionFilter
from sequoiashed.builders import make_limits, make_router, make_state
from sequoiashed.claims import ClaimFilter, ReplayFilter
from sequoiashed.duties import DutyManager
from sequoiashed.editors import PlanEditHandler
from sequoiashed.gossips import Gossiper
from sequoiashed.handovers import HandoverHandler
from sequoiashed.live import (
    SERVICES_PREFIX,
    BodyFilter,
    LivePath,
    PlacementFilter,
    RouteFilter,
)
from sequoiashed.peers import PeerServer
from sequoiashed.plans import PlanFollower
from sequoiashed.pollers import RowPoller
from sequoiashed.samplers import list_sample_duties
from sequoiashed.settings import Settings
from sequoiashed.states import HostState
from sequoiashed.sweepers import ClaimSweeper
from sequoiashed.trainers import TRAINERS_PREFIX, TrainerHandler
from sequoiashed.watchers import HostsReader, TargetWatcher
from sequoiashed.weights import list_engine_duties

ROLLOUT_RETRY_SHARE = 1.0  # retries per attempt
SIGNAL_EXIT_STATUS = 128  # shell convention: 128 plus the signal number

log = Log('host')


@define(slots=False)
class EntryHost:
    """An entry host with all its components.

    Attributes:
        stop: Set by a signal or an operator to start the shutdown.
    """

    settings: Settings
    state: HostState = field(init=False)
    stop: curio.UniversalEvent = field(factory=curio.UniversalEvent)

    def __attrs_post_init__(self) -> None:
        """Create all components."""
        state = make_state(self.settings, SystemClock())
        self.state = state
        self.router = make_router(state, RetryBudget())
        self.sample_router = make_router(
            state, RetryBudget(ROLLOUT_RETRY_SHARE)
        )
        self.follower = PlanFollower(state)
        self.duty_manager = DutyManager(
            state,
            (
                lambda: list_sample_duties(state, self.sample_router),
                lambda: list_engine_duties(state),
            ),
        )
        self.sweeper = ClaimSweeper(state)
        self.live = LivePath(
            state,
            (
                PlacementFilter(state),
                BodyFilter(state),
                AdmissionFilter(state),
                ReplayFilter(),
                ClaimFilter(state, self.sweeper),
                RouteFilter(self.router),
            ),
        )
        self.trainers = TrainerHandler(state, HandoverHandler(state))
        self.peers = PeerServer(
            state,
            self.router,
            self.follower,
            self.settings.peer,
        )
        self.gossiper = Gossiper(state, self.follower)
        self.poller = RowPoller(state, (self.follower, self.duty_manager))
        self.admin_handler = AdminHandler(
            state,
            self.duty_manager,
            PlanEditHandler(state, self.follower),
            self.stop.set,
        )
        self.http = HttpServer(
            self.settings.http,
            self.handle,
            make_limits(self.settings),
            self._count_refusal,
        )
        self.admin = HttpServer(self.settings.admin, self.admin_handler.handle)

    async def handle(self, exchange: Exchange) -> None:
        """Route a request of a caller or a trainer to its handler.

        Raises:
            ServiceError: If the path is unknown.
        """
        path = exchange.head.path
        if path.startswith(SERVICES_PREFIX):
            await self.live.handle(exchange)
        elif path.startswith(TRAINERS_PREFIX):
            await self.trainers.handle(exchange)
        else:
            raise ServiceError(Code.UNKNOWN_PATH, path)

    async def run(self) -> None:
        """Serve until a signal or an operator requests the shutdown."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        for server in (self.http, self.admin, self.peers, self.gossiper):
            server.open()
        hosts_reader = HostsReader(self.state)
        await hosts_reader.read_once()
        for loop in (
            hosts_reader.run,
            TargetWatcher(self.state).run,
            self.gossiper.run_receiver,
            self.gossiper.run_sender,
            self.poller.run,
            self.duty_manager.enforce_leases,
            self.sweeper.run,
            self.peers.run,
            self.admin.run,
            self.http.run,
        ):
            await curio.spawn(loop, daemon=True)
        log.write('host started', host=self.settings.name)
        await self.stop.wait()
        await self._shut_down()

    async def _shut_down(self) -> None:
        """Drain the host, then stop it.

        Peers and monitors learn of the drain, and leases are released,
        before new calls are refused. The drain takes at most the notice plus
        the drain limit; calls that are still in flight then fail with their
        verdict.
        """
        self.state.draining = True
        members = self.state.members
        members.own_member = evolve(members.own_member, draining=True)
        log.write('host drains', host=self.settings.name)
        settings = self.settings
        limit = (settings.drain_notice + settings.drain_limit).total_seconds()
        async with curio.ignore_after(limit):
            await self.duty_manager.drain()
            await curio.sleep(settings.drain_notice.total_seconds())
            self.state.closed = True
            await self._end_calls()
        for router in (self.router, self.sample_router):
            router.abort()
        async with curio.ignore_after(ANSWER_TIME.total_seconds()):
            await self._end_calls()
        log.write('host stopped', host=self.settings.name)

    async def _end_calls(self) -> None:
        """Wait until no call is in flight."""
        await self.http.drain()
        await self.peers.drain()

    def _on_signal(self, number: int, _frame: object) -> None:
        if self.state.draining or self.stop.is_set():
            os._exit(SIGNAL_EXIT_STATUS + number)  # noqa: SLF001
        self.stop.set()

    def _count_refusal(self, error: ServiceError) -> None:
        self.state.metrics.refused.labels(
            error.code.value.label,
            error.verdict.value,
        ).inc()
