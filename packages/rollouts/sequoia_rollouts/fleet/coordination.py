"""Takes part in the coordination of a fleet: leases, census, peers."""

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

from attrs import define, evolve, field
from sequoia_policy.clocks import Clock
from sequoia_wire.messages import Address

from sequoia_rollouts.fleet.censuses import Census
from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.fleet.lease_keepers import LeaseKeeper
from sequoia_rollouts.fleet.own_leases import OwnLease
from sequoia_rollouts.fleet.peer_keys import KeyRing
from sequoia_rollouts.fleet.peers import PeerMonitor
from sequoia_rollouts.base.settings import HostSettings
from sequoia_rollouts.storage.stores import Store


@define(eq=False)
class Coordination:
    """The components by which a host may become a coordinator.

    Attributes:
        store_age: Returns the time since the store last responded to this host.
    """

    store: Store
    clock: Clock
    settings: HostSettings
    rng: random.Random
    store_age: Callable[[], timedelta | None]
    heartbeats: HeartbeatService = field(init=False)
    lease_keeper: LeaseKeeper = field(init=False)
    census: Census = field(init=False)
    key_ring: KeyRing = field(init=False)
    peers: PeerMonitor = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create all components."""
        own = OwnLease(self.clock, self.settings.name, self.settings.domain)
        self.heartbeats = HeartbeatService(
            self.store, self.clock, own, self.settings.rates
        )
        self.lease_keeper = LeaseKeeper(
            self.heartbeats,
            self.store,
            self.clock,
            self.rng,
            self.settings.capacity,
        )
        self.census = Census(self.heartbeats, self.store, self.clock, self.rng)
        self.key_ring = KeyRing(self.heartbeats, self.store, self.clock)
        self.peers = PeerMonitor(
            self.clock,
            self.heartbeats,
            self.settings.domain,
            self.settings.peer,
            self.store_age,
            self.rng,
            self.key_ring,
        )

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """The loops to run while the host runs."""
        leases = (self.heartbeats.run_reader, self.lease_keeper.run)
        messages = (
            self.key_ring.run,
            self.peers.run_sender,
            self.peers.run_receiver,
        )
        return (*leases, self.census.run, *messages)

    def open(self, address: Address) -> None:
        """Bind the address for other hosts and announce it in heartbeats.

        Args:
            address: Where this host already listens over TCP.

        Raises:
            OSError: If it cannot be bound.
        """
        self.peers.address = address
        self.peers.open()
        own = self.heartbeats.own
        own.heartbeat = evolve(own.heartbeat, address=str(self.peers.address))

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed rates of the store and a changed capacity."""
        self.settings = settings
        self.heartbeats.rates = settings.rates
        self.lease_keeper.capacity = settings.capacity

    def start_draining(self) -> None:
        """Let the next heartbeat say that this host gives up its work."""
        own = self.heartbeats.own
        own.heartbeat = evolve(own.heartbeat, draining=True)

    def stop_draining(self) -> None:
        """Let the next heartbeat say that this host may own work again."""
        own = self.heartbeats.own
        own.heartbeat = evolve(own.heartbeat, draining=False)
