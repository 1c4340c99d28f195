"""What a host must know at its start."""

from datetime import timedelta

from attrs import frozen
from sequoia_wire.messages import Address


@frozen
class HostSettings:
    """What a host must know at its start.

    Attributes:
        name: Name of the host, the same after a restart.
        domain: Its failure domain.
        front: Address for callers.
        peer: Address for other hosts.
        ready: Address that says whether the host takes callers.
        metrics: Address for metrics; None for none.
        stop_limit: Time from a stop signal to the end of the process.
        order_lease: Shortest time between orders of two hosts; zero where
            engines refuse the orders of an earlier holder.
    """

    name: str
    domain: str
    front: Address
    ready: Address
    peer: Address
    stop_limit: timedelta
    order_lease: timedelta
    metrics: Address | None = None
