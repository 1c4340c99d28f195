"""Starts and ends the processes of an experiment."""

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
    SECRET,
    HostPlace,
    Layout,
    Platform,
    TargetPlace,
)
from sequoia_standins.relays import RelayPlan, Route

GRACE_SECONDS = 10
STANDIN = 'sequoia-standin'
ADDRESS = '--address'
BINARIES = Path(sys.executable).parent


@define
class ProcessGroup:
    """Processes that end with their owner.

    Attributes:
        folder: Where each process writes its log.
    """

    folder: Path
    clock: Clock = field(factory=SystemClock)
    processes: dict[str, subprocess.Popen[bytes]] = field(factory=dict)

    def __enter__(self) -> 'ProcessGroup':
        """Create the folder of logs."""
        self.folder.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *failure: object) -> None:
        """End all processes that still run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for ended in self.processes.values():
            ended.wait(GRACE_SECONDS)

    def start(
        self,
        name: str,
        binary: str,
        *arguments: str,
        environment: dict[str, str] | None = None,
    ) -> subprocess.Popen[bytes]:
        """Start one process with its log in the folder."""
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            process = subprocess.Popen(  # noqa: S603
                [str(BINARIES / binary), *arguments],
                stdout=log,
                stderr=log,
                env={**os.environ, **(environment or {})},
            )
        self.processes[name] = process
        return process

    def kill(self, name: str) -> None:
        """End a process at once, as a crash would."""
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait(GRACE_SECONDS)

    def terminate(self, name: str) -> None:
        """Ask a process to end gracefully."""
        self.processes[name].send_signal(signal.SIGTERM)

    def wait(self, name: str, seconds: float) -> int:
        """Wait for the end of a process and return its exit status."""
        return self.processes[name].wait(seconds)


def start_store(group: ProcessGroup, layout: Layout) -> None:
    """Start the stand-in of the store."""
    group.start(
        'store',
        STANDIN,
        'store',
        ADDRESS,
        str(layout.platform.store),
    )


def start_platform(group: ProcessGroup, layout: Layout) -> None:
    """Start the stand-ins of the platform."""
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
    place: TargetPlace,
    *options: str,
) -> None:
    """Start the stand-in of one target; ``options`` are further flags."""
    shape = layout.shape
    kinds = {shape.engine_pool: 'engine', shape.plain_pool: 'plain'}
    kind = kinds.get(place.pool, 'scorer')
    arguments = [
        ADDRESS,
        str(place.address),
        '--name',
        place.name,
        '--domain',
        place.domain,
        *options,
    ]
    if kind == 'engine' and shape.checks_fencing:
        arguments.append('--checks-fencing')
    group.start(place.name, STANDIN, kind, *arguments)


def start_host(
    group: ProcessGroup,
    layout: Layout,
    place: HostPlace,
    **texts: str,
) -> None:
    """Start one entry host; ``texts`` are further settings."""
    platform = layout.platform_of(place.domain)
    settings = {
        'NAME': place.name,
        'DOMAIN': place.domain,
        'PEER_SECRET': SECRET,
        'ORDER_SECRET': ORDER_SECRET,
        'STORE': str(platform.store),
        'HOSTS_LIST': str(platform.hosts_list),
        'WEIGHT_STORE': str(platform.weight_store),
        'HTTP': str(place.http),
        'PEER': str(place.peer),
        'GOSSIP': str(place.gossip),
        'ADMIN': str(place.admin),
        **texts,
    }
    if layout.relayed:
        settings['ADVERTISED_PEER'] = str(place.advertised_peer)
        settings['ADVERTISED_GOSSIP'] = str(place.advertised_gossip)
    environment = {
        f'SEQUOIASHED_{name}': text for name, text in settings.items()
    }
    group.start(place.name, 'sequoiashed', 'run', environment=environment)


def make_relay_plan(layout: Layout) -> RelayPlan:
    """Return the routes before the platform and the entry hosts."""
    routes = [
        route
        for domain, platform in layout.relayed.items()
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
    relayed: Platform,
    platform: Platform,
) -> tuple[Route, ...]:
    """Return the routes by which one failure domain reaches the platform."""
    pairs = (
        (relayed.store, platform.store),
        (relayed.hosts_list, platform.hosts_list),
        (relayed.weight_store, platform.weight_store),
    )
    return tuple(
        Route('platform', domain, listen, target) for listen, target in pairs
    )


def start_relay(group: ProcessGroup, layout: Layout) -> None:
    """Start the relay that can cut failure domains off."""
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
    if layout.relayed:
        start_relay(group, layout)
    for target in layout.targets:
        start_target(group, layout, target)
    for host in layout.hosts:
        start_host(group, layout, host)
