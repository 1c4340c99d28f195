"""Settings that a host needs at its start."""

from datetime import timedelta

from attrs import frozen
from sequoia_policy.rates import StoreRates
from sequoia_wire.messages import Address

# Settings that apply while the host runs; the others need a restart.
RELOADABLE = frozenset(('capacity', 'order_lease', 'rates', 'stop_limit'))


@frozen
class HostSettings:
    """Settings of one host.

    Attributes:
        name: Name of the host, the same after a restart.
        domain: Its failure domain.
        front: Address for callers.
        peer: Address for other hosts.
        ready: Address of the readiness check.
        metrics: Address for metrics; None to serve none.
        stop_limit: Maximum time from a stop signal to the end of the process.
        order_lease: Minimum time between orders of two hosts; zero where
            engines refuse the orders of an earlier holder.
        capacity: Processor cores of the host.
        rates: Call rates of the store, shared by all hosts.
    """

    name: str
    domain: str
    front: Address
    ready: Address
    peer: Address
    stop_limit: timedelta
    order_lease: timedelta
    metrics: Address | None = None
    capacity: float = 1
    rates: StoreRates = StoreRates()
