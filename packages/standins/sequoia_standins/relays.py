"""Stand-in of the network: relays traffic, and drops it when told so.

Hosts advertise addresses of this relay, one a host, and reach the platform
through it, so that a failure domain can be cut off from the others and from
the platform while its processes go on.
"""

from collections.abc import Callable
from functools import partial

import curio
from attrs import define, field, frozen
from sequoia_wire.codecs import decode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.frames import (
    HEADER,
    NONCE_SIZE,
    TAG_SIZE,
    decode_thrift,
)
from sequoia_wire.messages import Address
from sequoia_wire.peer_types.ttypes import PeerRequest

OK = 200
CHUNK = 65536  # bytes
CUT_POLL_SECONDS = 0.05


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
    """All routes of a relay."""

    routes: tuple[Route, ...]


@frozen
class Cut:
    """The failure domains that are cut off from all else."""

    domains: tuple[str, ...] = ()


@define
class Relay:
    """Relays all routes of a plan."""

    plan: RelayPlan
    cut: Cut = Cut()
    senders: dict[Address, str] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Note which gossip address belongs to which failure domain."""
        self.senders = {
            route.target: route.domain
            for route in self.plan.routes
            if route.kind == 'gossip'
        }

    async def run(self) -> None:
        """Serve all routes until cancelled."""
        for route in self.plan.routes:
            serve = {
                'gossip': self._relay_gossip,
                'peer': self._listen_peer,
                'platform': self._listen_platform,
            }[route.kind]
            await curio.spawn(serve, route, daemon=True)

    async def handle(self, exchange: Exchange) -> None:
        """Take a cut, or heal one with an empty list."""
        self.cut = decode(await exchange.read_body(), Cut)
        await exchange.respond(OK)

    def is_cut(self, source: str, destination: str) -> bool:
        """Tell whether traffic between two failure domains is dropped."""
        if source == destination:
            return False
        return bool({source, destination} & set(self.cut.domains))

    async def _relay_gossip(self, route: Route) -> None:
        sock = curio.socket.socket(
            curio.socket.AF_INET,
            curio.socket.SOCK_DGRAM,
        )
        sock.bind((route.listen.host, route.listen.port))
        while True:
            datagram, sender = await sock.recvfrom(CHUNK)
            source = self.senders.get(Address(*sender), '')
            if not self.is_cut(source, route.domain):
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
        await self._wait_healed('', route.domain)
        peer = await connect(route.target)
        await self._join(sock, peer, '', route.domain)

    async def _serve_peer(
        self,
        route: Route,
        sock: curio.io.Socket,
        _address: object,
    ) -> None:
        """Relay a connection once its first frame says where it is from."""
        peer = await connect(route.target)
        await sock.sendall(await read_exactly(peer, NONCE_SIZE))
        header = await read_exactly(sock, HEADER.size)
        rest = TAG_SIZE + int.from_bytes(header)
        frame = await read_exactly(sock, rest)
        source = decode_thrift(frame[TAG_SIZE:], PeerRequest).origin_domain
        await self._wait_healed(source, route.domain)
        await peer.sendall(header + frame)
        await self._join(sock, peer, source, route.domain)

    async def _wait_healed(self, source: str, destination: str) -> None:
        while self.is_cut(source, destination):
            await curio.sleep(CUT_POLL_SECONDS)

    async def _join(
        self,
        one: curio.io.Socket,
        other: curio.io.Socket,
        source: str,
        destination: str,
    ) -> None:
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._copy, one, other, source, destination)
            await group.spawn(self._copy, other, one, source, destination)
        await other.close()

    async def _copy(
        self,
        reader: curio.io.Socket,
        writer: curio.io.Socket,
        source: str,
        destination: str,
    ) -> None:
        chunk = await reader.recv(CHUNK)
        while chunk:
            await self._wait_healed(source, destination)
            await writer.sendall(chunk)
            chunk = await reader.recv(CHUNK)


async def listen(address: Address, serve: Callable[..., object]) -> None:
    """Serve TCP connections on an address until cancelled."""
    await curio.tcp_server(address.host, address.port, serve)


async def connect(address: Address) -> curio.io.Socket:
    """Connect to a process behind the relay."""
    return await curio.open_connection(address.host, address.port)


async def read_exactly(sock: curio.io.Socket, size: int) -> bytes:
    """Read a number of bytes.

    Raises:
        ConnectionResetError: If the connection ends before.
    """
    received = b''
    while len(received) < size:
        chunk = await sock.recv(size - len(received))
        if not chunk:
            raise ConnectionResetError('the peer closed the connection')
        received += chunk
    return received
