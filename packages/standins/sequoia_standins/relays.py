"""Stand-in for the network: relays traffic and simulates partitions.

Hosts advertise addresses of this relay and reach the platform through it. A
failure domain can thus be partitioned from the others and from the platform
while its processes keep running.
"""

from collections.abc import Callable
from functools import partial

import curio
from attrs import define, field, frozen
from sequoia_wire.codecs import decode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.frames import HEADER, NONCE_SIZE, decode_thrift
from sequoia_wire.messages import Address
from sequoia_wire.signatures import TAG_SIZE
from sequoia_wire.peer_types.ttypes import PeerRequest

OK = 200
CHUNK = 65536  # bytes
HEAL_POLL_SECONDS = 0.05


@frozen
class Route:
    """One relayed address.

    Attributes:
        kind: ``gossip`` (UDP), ``peer`` or ``platform`` (TCP).
        domain: Failure domain of the host behind the route; for the
            platform, the domain that uses the route.
    """

    kind: str
    domain: str
    listen: Address
    target: Address


@frozen
class RelayPlan:
    """Routes of a relay."""

    routes: tuple[Route, ...]


@frozen
class Partition:
    """Failure domains that are partitioned from everything else."""

    domains: tuple[str, ...] = ()


@define
class Relay:
    """Relays the traffic of all routes of a plan.

    Attributes:
        domains_by_sender: Failure domain of each gossip source address.
    """

    plan: RelayPlan
    partition: Partition = Partition()
    domains_by_sender: dict[Address, str] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Map the gossip addresses of hosts to their failure domains."""
        self.domains_by_sender = {
            route.target: route.domain
            for route in self.plan.routes
            if route.kind == 'gossip'
        }

    async def run(self) -> None:
        """Start to serve all routes in background tasks."""
        for route in self.plan.routes:
            serve = {
                'gossip': self._relay_gossip,
                'peer': self._listen_peer,
                'platform': self._listen_platform,
            }[route.kind]
            await curio.spawn(serve, route, daemon=True)

    async def handle(self, exchange: Exchange) -> None:
        """Apply a partition; an empty list of domains heals the network."""
        self.partition = decode(await exchange.read_body(), Partition)
        await exchange.respond(OK)

    def is_partitioned(self, source: str, destination: str) -> bool:
        """Return whether traffic between two failure domains is blocked.

        The platform belongs to no failure domain; its name is empty.
        """
        if source == destination:
            return False
        return bool({source, destination} & set(self.partition.domains))

    async def _relay_gossip(self, route: Route) -> None:
        sock = curio.socket.socket(
            curio.socket.AF_INET,
            curio.socket.SOCK_DGRAM,
        )
        sock.bind((route.listen.host, route.listen.port))
        while True:
            datagram, sender = await sock.recvfrom(CHUNK)
            source = self.domains_by_sender.get(Address(*sender), '')
            if not self.is_partitioned(source, route.domain):
                target = route.target
                await sock.sendto(datagram, (target.host, target.port))

    async def _listen_peer(self, route: Route) -> None:
        await listen(route.listen, partial(self._serve_peer, route))

    async def _listen_platform(self, route: Route) -> None:
        await listen(route.listen, partial(self._serve_platform, route))

    async def _serve_platform(
        self,
        route: Route,
        sock: curio.io.Socket,
        _address: object,
    ) -> None:
        await self._wait_until_healed('', route.domain)
        server = await connect(route.target)
        await self._relay_connection(sock, server, '', route.domain)

    async def _serve_peer(
        self,
        route: Route,
        sock: curio.io.Socket,
        _address: object,
    ) -> None:
        """Relay a connection whose first frame identifies its origin."""
        server = await connect(route.target)
        await sock.sendall(await read_exactly(server, NONCE_SIZE))
        header = await read_exactly(sock, HEADER.size)
        frame_size = TAG_SIZE + int.from_bytes(header)
        frame = await read_exactly(sock, frame_size)
        source = decode_thrift(frame[TAG_SIZE:], PeerRequest).origin_domain
        await self._wait_until_healed(source, route.domain)
        await server.sendall(header + frame)
        await self._relay_connection(sock, server, source, route.domain)

    async def _wait_until_healed(self, source: str, destination: str) -> None:
        while self.is_partitioned(source, destination):
            await curio.sleep(HEAL_POLL_SECONDS)

    async def _relay_connection(
        self,
        client: curio.io.Socket,
        server: curio.io.Socket,
        source: str,
        destination: str,
    ) -> None:
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._copy, client, server, source, destination)
            await group.spawn(self._copy, server, client, source, destination)
        await server.close()

    async def _copy(
        self,
        reader: curio.io.Socket,
        writer: curio.io.Socket,
        source: str,
        destination: str,
    ) -> None:
        chunk = await reader.recv(CHUNK)
        while chunk:
            await self._wait_until_healed(source, destination)
            await writer.sendall(chunk)
            chunk = await reader.recv(CHUNK)


async def listen(address: Address, serve: Callable[..., object]) -> None:
    """Serve TCP connections on an address until cancelled."""
    await curio.tcp_server(address.host, address.port, serve)


async def connect(address: Address) -> curio.io.Socket:
    """Connect to a process behind the relay."""
    return await curio.open_connection(address.host, address.port)


async def read_exactly(sock: curio.io.Socket, size: int) -> bytes:
    """Read exactly ``size`` bytes.

    Raises:
        ConnectionResetError: If the connection is closed before that.
    """
    received = b''
    while len(received) < size:
        chunk = await sock.recv(size - len(received))
        if not chunk:
            raise ConnectionResetError(
                'the peer closed the connection before all bytes arrived'
            )
        received += chunk
    return received
