"""Serves the readiness check and the metrics of a host."""

from typing import Protocol

import curio
from attrs import define, field
from sequoia_wire.exchanges import Exchange
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import Address
from sequoia_wire.servers import HttpServer

from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.base.metrics import Metrics
from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.base.settings import HostSettings
from sequoia_rollouts.submissions.submission_handlers import SubmissionHandler

OK = 200
READY = 200
NOT_READY = 503

log = Log('host')
NO_METRICS = log.event(
    'no metrics served', 'address', 'detail', kind=LogKind.FAILURE
)


class StatusSource(Protocol):
    """State of a host that its status servers report."""

    settings: HostSettings
    directory: Directory
    heartbeats: HeartbeatService
    ownership: OwnershipTable
    submission_handler: SubmissionHandler

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this host."""


@define
class StatusServers:
    """Servers of the readiness check and of the metrics."""

    host: StatusSource
    metrics: Metrics = field(factory=Metrics)
    ready: HttpServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the server of the readiness check; count log events."""
        self.ready = HttpServer(self.host.settings.ready, self._respond_ready)
        self.metrics.follow_events()

    async def start(self, group: curio.TaskGroup) -> None:
        """Open the servers and run them in a group of tasks."""
        self.ready.open()
        await group.spawn(self.ready.run)
        if self.host.settings.metrics:
            await self._start_metrics(self.host.settings.metrics, group)

    async def _start_metrics(
        self,
        address: Address,
        group: curio.TaskGroup,
    ) -> None:
        server = HttpServer(address, self._respond_metrics)
        try:
            server.open()
        except OSError as error:
            NO_METRICS.write(address=str(address), detail=str(error))
            return
        await group.spawn(server.run)

    async def _respond_metrics(self, exchange: Exchange) -> None:
        self.metrics.set_age(
            'configuration', self.host.directory.operator_follower.age()
        )
        self.metrics.set_age('targets', self.host.directory.targets_age())
        self.metrics.set_age('ownership', self.host.ownership.follower.age())
        self.metrics.set_age('lease', self.host.heartbeats.own.age())
        self.metrics.owned.set(len(self.host.submission_handler.runners))
        await exchange.respond(OK, self.metrics.render())

    async def _respond_ready(self, exchange: Exchange) -> None:
        await exchange.respond(READY if self.host.is_ready else NOT_READY)
