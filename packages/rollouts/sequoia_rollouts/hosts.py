"""Wires the parts of a host together and runs them."""

import random
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from datetime import timedelta

import curio
from attrs import define, evolve, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ShedError
from sequoia_wire.clients import HttpClient
from sequoia_wire.exchanges import Exchange, ServerLimits
from sequoia_wire.logs import Log
from sequoia_wire.messages import Address
from sequoia_wire.servers import HttpServer

from sequoia_rollouts.desks import SubmissionDesk
from sequoia_rollouts.dialects import TargetDialect
from sequoia_rollouts.directories import Directory, DirectoryReader
from sequoia_rollouts.heartbeats import HeartbeatKeeper
from sequoia_rollouts.live import LivePath
from sequoia_rollouts.owners import OwnedSubmission, OwnershipBoard
from sequoia_rollouts.placers import Placer
from sequoia_rollouts.rewards import RewardCaller
from sequoia_rollouts.runners import RunnerParts
from sequoia_rollouts.senders import Sender
from sequoia_rollouts.stores import Committer, Store
from sequoia_rollouts.weights import WeightKeepers

READY = 200
NOT_READY = 503
ROTATION_TIME = timedelta(milliseconds=3200)  # until no new caller comes
FINISH_TIME = timedelta(milliseconds=2500)  # for items under way at a stop
STOP_MARGIN = timedelta(seconds=1)
RELOAD_PERIOD = timedelta(seconds=2)
DRAIN_LOOK = timedelta(milliseconds=50)

log = Log('host')


@frozen
class HostSettings:
    """What a host must know at its start.

    Attributes:
        name: Name of the host, the same after a restart.
        domain: Its failure domain.
        front: Address for callers.
        ready: Address that says whether the host takes callers.
        stop_limit: Time from a stop signal to the end of the process.
        order_lease: Shortest time between orders of two hosts; zero where
            engines refuse the orders of an earlier holder.
    """

    name: str
    domain: str
    front: Address
    ready: Address
    stop_limit: timedelta
    order_lease: timedelta


@frozen
class Outside:
    """What the host needs of the platform that it runs on.

    Attributes:
        read_settings: Reads the settings as they are now; raises
            ``ValueError`` if they cannot be used.
    """

    store: Store
    dialect: TargetDialect
    reader: DirectoryReader
    read_settings: Callable[[], HostSettings]


@define(eq=False)
class RolloutHost:
    """One host: its parts, its start and its shutdown.

    Attributes:
        handler: Answers one request of a caller.
        draining: Whether the host is about to stop.
    """

    settings: HostSettings
    outside: Outside
    clock: Clock
    chance: random.Random = field(factory=random.Random)
    draining: bool = False
    stop: curio.UniversalEvent = field(factory=curio.UniversalEvent)
    reload: curio.UniversalEvent = field(factory=curio.UniversalEvent)
    heartbeats: HeartbeatKeeper = field(init=False)
    directory: Directory = field(init=False)
    board: OwnershipBoard = field(init=False)
    live: LivePath = field(init=False)
    desk: SubmissionDesk = field(init=False)
    weights: WeightKeepers = field(init=False)
    front: HttpServer = field(init=False)
    ready: HttpServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create all parts."""
        store = self.outside.store
        self.heartbeats = HeartbeatKeeper(store, self.clock, self.settings.name)
        self.directory = Directory(store, self.clock, self.outside.reader)
        self.directory.observers.append(self._take_limits)
        self.board = OwnershipBoard(
            store,
            self.clock,
            self.heartbeats,
            self._take_ownership,
            self.directory.take_note,
        )
        sender = Sender(self.clock, self.outside.dialect, HttpClient())
        placer = Placer(self.clock, self.directory, self.board.count_owners)
        rewards = RewardCaller(
            self.clock,
            self.directory,
            sender,
            placer,
            self.chance,
        )
        parts = RunnerParts(
            self.clock,
            self.directory,
            sender,
            placer,
            rewards,
        )
        self.live = LivePath(
            self.clock,
            self.directory,
            sender,
            self.chance,
            self.settings.domain,
        )
        self.desk = SubmissionDesk(
            store,
            self.clock,
            self.directory,
            parts,
            self.board,
        )
        self.weights = WeightKeepers(
            self.clock,
            self.directory,
            sender,
            self.board,
            Committer(store, self.clock),
            self.settings.order_lease,
        )
        self.ready = HttpServer(self.settings.ready, self._answer_ready)

    @property
    def is_ready(self) -> bool:
        """Whether callers should come to this host."""
        return not self.draining and self.directory.is_known

    async def run(self, handler: Callable[[Exchange], Awaitable[None]]) -> None:
        """Serve until a signal says stop.

        Args:
            handler: Answers one request of a caller.
        """
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_reload)
        async with curio.TaskGroup(wait=None) as group:
            await self.start(handler, group)
            await self.stop.wait()
            await self.shut_down()

    async def start(
        self,
        handler: Callable[[Exchange], Awaitable[None]],
        group: curio.TaskGroup,
    ) -> None:
        """Open the host's addresses and run its parts in a group of tasks."""
        self.front = HttpServer(self.settings.front, handler)
        self._take_limits()
        self.front.open()
        self.ready.open()
        for work in (
            self.front.run,
            self.ready.run,
            self.directory.operators.run,
            self.directory.targets.run,
            self.heartbeats.run_writer,
            self.heartbeats.run_reader,
            self.board.follower.run,
            self.board.run_adoption,
            self.weights.run,
            self.run_reloads,
        ):
            await group.spawn(work)
        log.write(
            'host started',
            host=self.settings.name,
            owner=self.heartbeats.owner,
        )

    async def run_reloads(self) -> None:
        """Follow the settings until cancelled.

        They may also change without a signal.
        """
        while True:
            async with curio.ignore_after(RELOAD_PERIOD.total_seconds()):
                await self.reload.wait()
            self.reload.clear()
            self.apply_settings()

    def apply_settings(self) -> None:
        """Put changed settings in force; keep the last good ones."""
        try:
            settings = self.outside.read_settings()
        except ValueError as bad:
            log.write('settings cannot be used', detail=str(bad))
            return
        if settings == self.settings:
            return
        log.write('settings changed', host=settings.name)
        self.settings = settings
        self.weights.set_lease(settings.order_lease)

    async def shut_down(self) -> None:
        """Let everything in flight end, and hand the rest over."""
        self.draining = True
        self.front.closing = True
        self.heartbeats.own = evolve(self.heartbeats.own, draining=True)
        log.write('host drains', host=self.settings.name)
        limit = self.settings.stop_limit - STOP_MARGIN
        async with curio.ignore_after(limit.total_seconds()):
            async with curio.TaskGroup() as group:
                await group.spawn(self._hand_over)
                await group.spawn(self._end_calls)
        log.write('host stopped', host=self.settings.name)

    async def _hand_over(self) -> None:
        """Finish items under way, then let others take up the rest."""
        with suppress(ShedError):
            await self.weights.release()
        for runner in self.desk.runners.values():
            runner.draining = True
        async with curio.ignore_after(FINISH_TIME.total_seconds()):
            while not self._is_idle():
                await curio.sleep(DRAIN_LOOK.total_seconds())
        for name in tuple(self.desk.runners):
            await self._release(name)

    async def _release(self, name: str) -> None:
        try:
            await self.board.release(name)
        except ShedError as failure:
            log.write('not handed over', submission=name, detail=str(failure))

    def _is_idle(self) -> bool:
        return all(runner.is_idle for runner in self.desk.runners.values())

    async def _end_calls(self) -> None:
        await curio.sleep(ROTATION_TIME.total_seconds())
        await self.front.drain()

    async def _answer_ready(self, exchange: Exchange) -> None:
        await exchange.answer(READY if self.is_ready else NOT_READY)

    async def _take_ownership(self, owned: OwnedSubmission) -> None:
        await self.desk.take_change(owned)

    def _take_limits(self) -> None:
        """Put the configured limits of callers in force."""
        limits = self.directory.configuration.limits
        self.front.limits = ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            progress=limits.header_timeout,
            idle=limits.idle_timeout,
        )

    def _on_reload(self, _number: int, _frame: object) -> None:
        self.reload.set()

    def _on_signal(self, _number: int, _frame: object) -> None:
        self.stop.set()
