"""Starts and stops the processes of an experiment."""

import os
import signal
import subprocess  # noqa: S404
import sys
from pathlib import Path

from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import encode

from sequoia_standins.deployments import (
    ORDER_SECRET,
    PEER_SECRET,
    HostEndpoints,
    Layout,
    PlatformEndpoints,
    TargetEndpoint,
)
from sequoia_standins.relays import RelayPlan, Route

EXIT_TIMEOUT_SECONDS = 10
STANDIN = 'sequoia-standin'
ADDRESS = '--address'
BIN_FOLDER = Path(sys.executable).parent


@define
class ProcessGroup:
    """Processes that are killed when the context ends.

    Attributes:
        folder: Folder of the log files, one per process.
    """

    folder: Path
    clock: Clock = field(factory=SystemClock)
    processes: dict[str, subprocess.Popen[bytes]] = field(factory=dict)

    def __enter__(self) -> 'ProcessGroup':
        """Create the log folder."""
        self.folder.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *failure: object) -> None:
        """Kill all processes that are still running."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for ended in self.processes.values():
            ended.wait(EXIT_TIMEOUT_SECONDS)

    def start(
        self,
        name: str,
        binary: str,
        *arguments: str,
        environment: dict[str, str] | None = None,
    ) -> subprocess.Popen[bytes]:
        """Start one process and append its output to its log file.

        Args:
            name: Name of the process and of its log file.
            binary: Console script to run.
            arguments: Command-line arguments.
            environment: Variables added to the environment.
        """
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            process = subprocess.Popen(  # noqa: S603
                [str(BIN_FOLDER / binary), *arguments],
                stdout=log,
                stderr=log,
                env={**os.environ, **(environment or {})},
            )
        self.processes[name] = process
        return process

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait(EXIT_TIMEOUT_SECONDS)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process."""
        self.processes[name].send_signal(signal.SIGTERM)

    def wait(self, name: str, seconds: float) -> int:
        """Wait for a process to exit and return its exit status.

        Raises:
            subprocess.TimeoutExpired: If it is still running after
                ``seconds``.
        """
        return self.processes[name].wait(seconds)


def start_store(group: ProcessGroup, layout: Layout) -> None:
    """Start the store stand-in."""
    group.start(
        'store',
        STANDIN,
        'store',
        ADDRESS,
        str(layout.platform.store),
    )


def start_platform(group: ProcessGroup, layout: Layout) -> None:
    """Start the platform stand-ins."""
    start_store(group, layout)
    group.start(
        'hosts',
        STANDIN,
        'hosts',
        ADDRESS,
        str(layout.platform.hosts_list),
    )
    group.start(
        'weights',
        STANDIN,
        'weights',
        ADDRESS,
        str(layout.platform.weight_store),
    )


def start_target(
    group: ProcessGroup,
    layout: Layout,
    target: TargetEndpoint,
    *options: str,
) -> None:
    """Start the stand-in of one target; ``options`` are extra flags."""
    shape = layout.shape
    kinds = {shape.engine_pool: 'engine', shape.plain_pool: 'plain'}
    kind = kinds.get(target.pool, 'scorer')
    arguments = [
        ADDRESS,
        str(target.address),
        '--name',
        target.name,
        '--domain',
        target.domain,
        *options,
    ]
    if kind == 'engine' and shape.checks_fencing:
        arguments.append('--checks-fencing')
    group.start(target.name, STANDIN, kind, *arguments)


def start_host(
    group: ProcessGroup,
    layout: Layout,
    host: HostEndpoints,
    **extra_settings: str,
) -> None:
    """Start one entry host; ``extra_settings`` override its settings."""
    platform = layout.platform_of(host.domain)
    settings = {
        'NAME': host.name,
        'DOMAIN': host.domain,
        'PEER_SECRET': PEER_SECRET,
        'ORDER_SECRET': ORDER_SECRET,
        'STORE': str(platform.store),
        'HOSTS_LIST': str(platform.hosts_list),
        'WEIGHT_STORE': str(platform.weight_store),
        'HTTP': str(host.http),
        'PEER': str(host.peer),
        'GOSSIP': str(host.gossip),
        'ADMIN': str(host.admin),
        **extra_settings,
    }
    if layout.relayed_platforms:
        settings['ADVERTISED_PEER'] = str(host.advertised_peer)
        settings['ADVERTISED_GOSSIP'] = str(host.advertised_gossip)
    environment = {
        f'SEQUOIASHED_{name}': text for name, text in settings.items()
    }
    group.start(host.name, 'sequoiashed', 'run', environment=environment)


def make_relay_plan(layout: Layout) -> RelayPlan:
    """Return the routes in front of the platform and the entry hosts."""
    routes = [
        route
        for domain, platform in layout.relayed_platforms.items()
        for route in make_platform_routes(domain, platform, layout.platform)
    ]
    for host in layout.hosts:
        routes.append(
            Route('peer', host.domain, host.advertised_peer, host.peer),
        )
        routes.append(
            Route('gossip', host.domain, host.advertised_gossip, host.gossip),
        )
    return RelayPlan(tuple(routes))


def make_platform_routes(
    domain: str,
    relayed: PlatformEndpoints,
    platform: PlatformEndpoints,
) -> tuple[Route, ...]:
    """Return the routes from one failure domain to the platform."""
    pairs = (
        (relayed.store, platform.store),
        (relayed.hosts_list, platform.hosts_list),
        (relayed.weight_store, platform.weight_store),
    )
    return tuple(
        Route('platform', domain, listen, target) for listen, target in pairs
    )


def start_relay(group: ProcessGroup, layout: Layout) -> None:
    """Start the relay that can partition failure domains."""
    plan_file = group.folder / 'relay.json'
    plan_file.write_bytes(encode(make_relay_plan(layout)))
    group.start(
        'relay',
        STANDIN,
        'relay',
        str(plan_file),
        ADDRESS,
        str(layout.relay),
    )


def start_all(group: ProcessGroup, layout: Layout) -> None:
    """Start the platform, all targets and all entry hosts."""
    start_platform(group, layout)
    if layout.relayed_platforms:
        start_relay(group, layout)
    for target in layout.targets:
        start_target(group, layout, target)
    for host in layout.hosts:
        start_host(group, layout, host)
