"""Creates the components of a host and runs them."""

import random
import signal
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_wire.logs import OUTPUT, Log
from sequoia_wire.memory import Memory
from sequoia_wire.servers import Handler, HttpServer

from sequoia_rollouts.fleet.coordination import Coordination
from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.accounts.authenticators import Authenticator
from sequoia_rollouts.base.garbage import freeze_objects
from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.submissions.dependencies import build_dependencies
from sequoia_rollouts.live.live_paths import LivePath
from sequoia_rollouts.fleet.ownership import OwnedSubmission, OwnershipTable
from sequoia_rollouts.targets.publishers import RegistrationPublisher
from sequoia_rollouts.base.reloads import SettingsReloader
from sequoia_rollouts.submissions.result_reads import (
    ResultReader,
    build_result_reader,
)
from sequoia_rollouts.base.settings import HostSettings
from sequoia_rollouts.process.duties import Duties, build_duties
from sequoia_rollouts.process.fronts import (
    find_target_bytes,
    make_memory,
    make_server_limits,
)
from sequoia_rollouts.process.platforms import Platform
from sequoia_rollouts.process.shutdowns import Shutdown
from sequoia_rollouts.process.status import StatusServers
from sequoia_rollouts.submissions.submission_handlers import SubmissionHandler
from sequoia_rollouts.base.supervisors import filter_loop_log, supervise
from sequoia_rollouts.process.upkeep import Upkeep, build_upkeep
from sequoia_rollouts.weights.weight_managers import WeightManagers

FLUSH_INTERVAL = timedelta(milliseconds=100)

log = Log('host')
HOST_STARTED = log.event('host started', 'host', 'owner')


@define(eq=False)
class RolloutHost:
    """One host: its components, its start and its shutdown.

    Attributes:
        draining: Whether the host is shutting down.
    """

    settings: HostSettings
    platform: Platform
    clock: Clock
    rng: random.Random = field(factory=random.Random)
    draining: bool = False
    stop_requested: curio.UniversalEvent = field(factory=curio.UniversalEvent)
    reloader: SettingsReloader = field(init=False)
    coordination: Coordination = field(init=False)
    heartbeats: HeartbeatService = field(init=False)
    directory: Directory = field(init=False)
    authenticator: Authenticator = field(init=False)
    ownership: OwnershipTable = field(init=False)
    live: LivePath = field(init=False)
    submission_handler: SubmissionHandler = field(init=False)
    weights: WeightManagers = field(init=False)
    duties: Duties = field(init=False)
    results: ResultReader = field(init=False)
    memory: Memory = field(init=False)
    front: HttpServer = field(init=False)
    publisher: RegistrationPublisher = field(init=False)
    upkeep: Upkeep = field(init=False)
    status: StatusServers = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create all components."""
        store = self.platform.store
        self.memory = make_memory(self.settings)
        self.reloader = SettingsReloader(
            self.settings, self.platform.read_settings, self._apply_settings
        )
        self.coordination = Coordination(
            store, self.clock, self.settings, self.rng, self.store_age
        )
        self.heartbeats = self.coordination.heartbeats
        self.directory = Directory(
            store,
            self.clock,
            self.platform.reader,
            self.heartbeats.find_feed_interval,
        )
        self.directory.observers.append(self._apply_limits)
        paces = self.directory.registry.paces
        paces.host = self.settings.name
        paces.count_hosts = self.heartbeats.count_hosts
        self.authenticator = Authenticator(
            self.directory, self.settings.key_age_limit
        )
        self.ownership = OwnershipTable(
            store,
            self.clock,
            self.heartbeats,
            self._apply_ownership,
            self.directory.apply_engine_note,
        )
        dependencies = build_dependencies(
            self.clock,
            self.directory,
            self.platform.dialect,
            self.ownership,
            self.rng,
        )
        dependencies.sender.use_memory(self.memory)
        dependencies.sender.in_flight.limit = find_target_bytes(self.memory)
        self.live = LivePath(
            self.clock,
            self.directory,
            dependencies.sender,
            self.rng,
            self.settings.domain,
            lambda: self.coordination.peers.is_cut_off,
            self.ownership,
            self.coordination.key_ring,
        )
        self.submission_handler = SubmissionHandler(
            store,
            self.clock,
            self.directory,
            dependencies,
            self.ownership,
            self.may_start_items,
        )
        self.results = build_result_reader(
            self.clock,
            self.submission_handler,
            self.coordination.key_ring,
            self.rng,
        )
        self.weights = WeightManagers(
            self.clock,
            self.directory,
            dependencies.sender,
            self.ownership,
            store,
            self.settings.order_lease,
        )
        self.duties = build_duties(self)
        self.publisher = RegistrationPublisher(
            store, self.clock, self.heartbeats, self.directory
        )
        self.upkeep = build_upkeep(self)
        self.status = StatusServers(self)

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this host."""
        if self.draining or self.coordination.peers.is_cut_off:
            return False
        return self.directory.is_loaded

    def may_start_items(self) -> bool:
        """Return whether this host keeps its submissions."""
        return not (self.draining or self.upkeep.path_release.gives_work_away)

    def store_age(self) -> timedelta | None:
        """Return the time since the store last responded to this host."""
        responses = (
            self.heartbeats.store_responded_at,
            self.directory.operator_follower.store_responded_at,
            self.directory.target_follower.store_responded_at,
            self.publisher.published.follower.store_responded_at,
            self.ownership.follower.store_responded_at,
        )
        times = [time for time in responses if time is not None]
        return self.clock.elapsed() - max(times) if times else None

    async def run(self, handler: Handler) -> None:
        """Serve until a signal requests the stop.

        Args:
            handler: Responds to one request of a caller.
        """
        filter_loop_log()
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_reload)
        async with curio.TaskGroup(wait=None) as group:
            await self.start(handler, group)
            freeze_objects()
            await self.stop_requested.wait()
            await self.shut_down()

    async def start(
        self,
        handler: Handler,
        group: curio.TaskGroup,
    ) -> None:
        """Open the host's addresses and run its loops in a group of tasks."""
        self.front = HttpServer(
            self.settings.front, handler, memory=self.memory
        )
        self._apply_limits()
        self.front.open()
        peer_server = self.results.make_peer_server(self.settings.peer)
        peer_server.memory = self.memory
        peer_server.handler = self.live.make_handoff_server(
            peer_server.handler
        ).handle
        peer_server.open()
        self.coordination.open(peer_server.address)
        for loop in (
            self.front.run,
            peer_server.run,
            self.directory.operator_follower.run,
            self.directory.target_follower.run,
            *self.publisher.loops,
            *self.coordination.loops,
            *self.submission_handler.loops,
            *self.live.loops,
            self.weights.run,
            *self.duties.loops,
            *self.upkeep.loops,
            self.reloader.run,
            self.run_log_flushes,
        ):
            await group.spawn(supervise, loop)
        await self.status.start(group)
        HOST_STARTED.write(
            host=self.settings.name,
            owner=self.heartbeats.owner,
        )

    async def run_log_flushes(self) -> None:
        """Write buffered log lines until cancelled."""
        while True:
            OUTPUT.flush()
            await curio.sleep(FLUSH_INTERVAL.total_seconds())

    async def shut_down(self) -> None:
        """Finish what is in flight and hand the rest over."""
        self.draining = True
        self.front.closing = True
        self.coordination.start_draining()
        shutdown = Shutdown(
            self.clock,
            self.submission_handler,
            self.ownership,
            self.weights,
            self.duties,
            self.front,
            self.live.sender.client,
            self.coordination.lease_keeper,
            self.live.stop_guard.start(self.settings.stop_limit),
        )
        await shutdown.run()

    async def _apply_ownership(self, owned: OwnedSubmission) -> None:
        await self.submission_handler.apply_ownership_change(owned)

    def _apply_settings(self, settings: HostSettings) -> None:
        """Apply the settings that need no restart."""
        self.settings = settings
        self.weights.set_lease(settings.order_lease)
        self.duties.set_lease(settings.order_lease)
        self.coordination.apply_settings(settings)

    def _apply_limits(self) -> None:
        """Apply the configured limits for requests of callers."""
        self.front.limits = make_server_limits(
            self.directory.configuration.limits, self.settings
        )

    def _on_reload(self, _signal_number: int, _frame: object) -> None:
        self.reloader.requested.set()

    def _on_signal(self, _signal_number: int, _frame: object) -> None:
        self.stop_requested.set()
