"""Limits of the server for callers."""

from sequoia_policy.routing import TrafficLimits
from sequoia_wire.exchanges import ServerLimits


def make_server_limits(limits: TrafficLimits) -> ServerLimits:
    """Return the limits of the server under a configuration."""
    return ServerLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        progress=limits.header_timeout,
        idle=limits.idle_timeout,
    )
