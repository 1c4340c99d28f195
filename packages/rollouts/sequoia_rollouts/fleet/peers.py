"""Exchanges datagrams with other hosts about whether they reach the store."""

import random
import uuid
from collections import deque
from collections.abc import Callable
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.liveness import Heartbeat
from sequoia_policy.reachability import PeerState, Reachability
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import Address, parse_address

from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.fleet.peer_keys import KeyRing

QUERY_INTERVAL = timedelta(milliseconds=400)
VALID_NONCES = 3  # queries whose responses are accepted
MAX_DATAGRAM_BYTES = 1400

log = Log('peers')
CUT_OFF = log.event(
    'cut off',
    'store_age',
    'peers_heard',
    kind=LogKind.FAILURE,
)
REACHABLE = log.event('reachable again', 'store_age')
DATAGRAM_LEFT_OUT = log.event(
    'datagram left out', 'detail', kind=LogKind.FAILURE
)


@frozen
class PeerMessage:
    """A query, or the response to one.

    Attributes:
        is_question: Whether the receiver should respond.
        nonce: Random text of the query, repeated in its response, so that an
            old response cannot be sent again.
    """

    state: PeerState
    is_question: bool
    nonce: str = ''


@define(eq=False)
class PeerMonitor:
    """Queries a coordinator of each failure domain while the store is silent.

    Attributes:
        store_age: Returns the time since the store last responded to this host.
        nonces: Random texts of recent queries, newest last.
        was_cut_off: Whether the last check found this host cut off.
    """

    clock: Clock
    heartbeats: HeartbeatService
    domain: str
    address: Address
    store_age: Callable[[], timedelta | None]
    rng: random.Random
    key_ring: KeyRing
    nonces: deque[str] = field(factory=lambda: deque(maxlen=VALID_NONCES))
    reachability: Reachability = field(init=False)
    sock: curio.io.Socket | None = None
    was_cut_off: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the reachability state without any peer."""
        self.reachability = Reachability(self.domain)

    def open(self) -> None:
        """Bind the socket to the address.

        Raises:
            OSError: If it cannot be bound.
        """
        self.sock = curio.socket.socket(
            curio.socket.AF_INET,
            curio.socket.SOCK_DGRAM,
        )
        self.sock.bind((self.address.host, self.address.port))
        host, port = self.sock.getsockname()
        self.address = Address(host, port)

    @property
    def is_cut_off(self) -> bool:
        """Whether other hosts serve callers better than this one."""
        return self.reachability.is_cut_off(
            self.clock.elapsed(),
            self.store_age(),
        )

    async def run_sender(self) -> None:
        """Query peers until cancelled."""
        while True:
            await self._query_peers()
            self._log_change()
            await curio.sleep(QUERY_INTERVAL.total_seconds())

    async def run_receiver(self) -> None:
        """Respond to peers and handle their responses until cancelled."""
        assert self.sock
        while True:
            try:
                datagram, source = await self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                DATAGRAM_LEFT_OUT.write(detail=str(error))
            else:
                await self._handle_datagram(datagram, Address(*source))

    def choose_peers(self) -> list[Heartbeat]:
        """Return the hosts to query: a random coordinator of each domain."""
        by_domain: dict[str, list[Heartbeat]] = {}
        for lease in self.heartbeats.leases.values():
            peer = lease.heartbeat
            if peer.host != self.heartbeats.own.host and peer.address:
                by_domain.setdefault(peer.domain, []).append(peer)
        return [self.rng.choice(peers) for peers in by_domain.values()]

    async def _query_peers(self) -> None:
        self.reachability.feed_interval = self.heartbeats.find_feed_interval()
        if not self.reachability.needs_peers(self.store_age()):
            self.reachability.record_query((), self.clock.elapsed())
            return
        peers = self.choose_peers()
        domains = {peer.domain for peer in peers}
        self.reachability.record_query(domains, self.clock.elapsed())
        nonce = uuid.uuid4().hex
        self.nonces.append(nonce)
        for peer in peers:
            address = parse_address(peer.address)
            await self._send(address, nonce, is_question=True)

    async def _handle_datagram(self, datagram: bytes, source: Address) -> None:
        try:
            message = decode(self.key_ring.open(datagram), PeerMessage)
        except ServiceError as error:
            DATAGRAM_LEFT_OUT.write(detail=str(error))
            return
        if message.is_question:
            await self._send(source, message.nonce, is_question=False)
        elif message.nonce in self.nonces:
            self.reachability.record_state(message.state, self.clock.elapsed())
        else:
            DATAGRAM_LEFT_OUT.write(detail='response to no recent query')

    async def _send(
        self, address: Address, nonce: str, *, is_question: bool
    ) -> None:
        assert self.sock
        state = PeerState(
            self.heartbeats.own.host, self.domain, self.store_age()
        )
        message = PeerMessage(state, is_question, nonce)
        try:
            datagram = self.key_ring.seal(encode(message))
            await self.sock.sendto(datagram, (address.host, address.port))
        except (OSError, ServiceError) as error:
            DATAGRAM_LEFT_OUT.write(detail=str(error))

    def _log_change(self) -> None:
        cut_off = self.is_cut_off
        if cut_off == self.was_cut_off:
            return
        self.was_cut_off = cut_off
        age = self.store_age()
        seconds = None if age is None else age.total_seconds()
        if cut_off:
            peer_count = len(self.reachability.observed)
            CUT_OFF.write(store_age=seconds, peers_heard=peer_count)
        else:
            REACHABLE.write(store_age=seconds)
