"""Limits of the server for callers, and the memory of the process."""

from sequoia_policy.memory_budgets import MemoryBudget
from sequoia_policy.routing import TrafficLimits
from sequoia_wire.exchanges import ServerLimits
from sequoia_wire.memory import Memory

from sequoia_rollouts.base.settings import HostSettings

BASELINE = 80_000_000  # bytes of a host without bodies
MIN_BUDGET_SHARE = 0.25  # of the memory
TARGET_SHARE = 0.5  # of the budget; the memory of targets is not known
CONNECTION_BYTES = 160_000  # of memory for each connection of a caller
BUFFER_BYTES = 65536
RESERVED_FILES = 200  # descriptors that are not for sockets
FRONT_SHARE = 2 / 3  # of the other descriptors
MIN_CONNECTIONS = 16
UNLIMITED = ServerLimits()


def find_target_bytes(memory: Memory) -> int | None:
    """Return the limit of the bytes in flight to one target."""
    size = memory.budget.size
    return None if size is None else round(size * TARGET_SHARE)


def make_memory(settings: HostSettings) -> Memory:
    """Return the memory for bodies and responses."""
    memory = settings.memory
    if memory is None:
        return Memory()
    size = max(memory - BASELINE, round(memory * MIN_BUDGET_SHARE))
    return Memory(MemoryBudget(size))


def make_server_limits(
    limits: TrafficLimits, settings: HostSettings
) -> ServerLimits:
    """Return the limits of the server under a configuration."""
    return ServerLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        open_connections=find_connections(settings),
        buffer_bytes=None if settings.memory is None else BUFFER_BYTES,
        progress=limits.header_timeout,
        idle=limits.idle_timeout,
    )


def find_connections(settings: HostSettings) -> int:
    """Return how many connections of callers may be open."""
    if settings.memory is None and settings.descriptors is None:
        return UNLIMITED.open_connections
    found = UNLIMITED.connections
    if settings.memory is not None:
        found = min(found, settings.memory // CONNECTION_BYTES)
    if settings.descriptors is not None:
        sockets = settings.descriptors - RESERVED_FILES
        found = min(found, round(sockets * FRONT_SHARE))
    return max(MIN_CONNECTIONS, found)
