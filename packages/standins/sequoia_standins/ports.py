"""Allocates loopback addresses for processes that start later."""

import random
import socket

from attrs import define, field
from sequoia_wire.messages import Address

LOOPBACK = '127.0.0.1'
FIRST_PORT = 15000
LAST_PORT = 32000  # below the ephemeral port range of the system


@define
class PortAllocator:
    """Allocates unused ports at random, each at most once.

    Ephemeral ports are excluded: an outgoing connection could take the port
    before its process starts.
    """

    rng: random.Random = field(factory=random.SystemRandom)
    allocated: set[int] = field(factory=set)

    def allocate(self) -> int:
        """Return a port that is free for both TCP and UDP."""
        port = self.rng.randrange(FIRST_PORT, LAST_PORT)
        while port in self.allocated or not is_free(port):
            port = self.rng.randrange(FIRST_PORT, LAST_PORT)
        self.allocated.add(port)
        return port


def is_free(port: int) -> bool:
    """Return whether a port can be bound for both TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


ALLOCATOR = PortAllocator()


def find_free_address() -> Address:
    """Return a loopback address that nothing listens on."""
    return Address(LOOPBACK, ALLOCATOR.allocate())
