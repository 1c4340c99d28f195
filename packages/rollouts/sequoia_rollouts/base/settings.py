"""Settings that a host needs at its start."""

from datetime import timedelta

from attrs import frozen
from sequoia_policy.rates import StoreRates
from sequoia_wire.messages import Address

# Settings that apply while the host runs; the others need a restart.
RELOADABLE = frozenset(('capacity', 'order_lease', 'rates', 'stop_limit'))


@frozen
class DutySettings:
    """Which calls of the platform's API one host makes for all.

    Attributes:
        reports_usage: Whether usage of client accounts is reported.
        orders_capacity: Whether targets are ordered.
        call_rate: Calls per second that the API accepts from all hosts.
        report_window: Length of a window of usage.
        report_limit: Time from the end of a window until its report is due.
    """

    reports_usage: bool = False
    orders_capacity: bool = False
    call_rate: float = 1
    report_window: timedelta = timedelta(seconds=5)
    report_limit: timedelta = timedelta(seconds=10)


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
        duties: Calls of the platform's API that one host makes for all.
        key_age_limit: Age of the configuration from which keys of client
            accounts are not accepted; None if a host without the store goes
            on with the keys that it knows.
        memory: Bytes of memory of the host; None if unknown.
        descriptors: File descriptors that the process may open; None if
            unknown.
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
    duties: DutySettings = DutySettings()
    key_age_limit: timedelta | None = None
    memory: int | None = None
    descriptors: int | None = None
