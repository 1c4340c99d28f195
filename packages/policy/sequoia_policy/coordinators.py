"""Which hosts coordinate: a few lease holders in each failure domain.

Only coordinators own submissions and duties, write heartbeats and watch each
other. All other hosts serve callers and read the leases seldom, so that the
cost of failure detection does not grow with the number of hosts.
"""

import random
from collections.abc import Callable, Iterable
from datetime import timedelta

from attrs import frozen

from sequoia_policy.liveness import Heartbeat

LEASES_PER_DOMAIN = 3
# A host claims a free lease after CLAIM_DELAY divided by its capacity and a
# random part of CLAIM_SPREAD: larger hosts first, and not all at once.
CLAIM_DELAY = timedelta(milliseconds=300)
CLAIM_SPREAD = timedelta(milliseconds=300)
MIN_CAPACITY = 0.1  # cores


@frozen
class CoordinatorLease:
    """A coordinator lease as last read or written.

    Attributes:
        name: Failure domain and number of the lease.
        version: Version of the stored row.
    """

    name: str
    version: int
    heartbeat: Heartbeat


def list_lease_names(domain: str) -> tuple[str, ...]:
    """Return the names of the leases of a failure domain."""
    return tuple(f'{domain}/{number}' for number in range(LEASES_PER_DOMAIN))


def find_held_leases(
    leases: Iterable[CoordinatorLease], host: str
) -> list[CoordinatorLease]:
    """Return the leases that any process of a host holds, newest first."""
    held = [lease for lease in leases if lease.heartbeat.host == host]
    return sorted(held, key=lambda lease: -lease.version)


def find_claimable_leases(
    leases: Iterable[CoordinatorLease],
    heartbeat: Heartbeat,
    is_dead: Callable[[str], bool],
) -> list[str]:
    """Return the names of the leases that a host may claim.

    Args:
        leases: All leases, as last read.
        heartbeat: The host's own heartbeat; it names the failure domain.
        is_dead: Returns whether the process of an owner name is dead.
    """
    by_name = {lease.name: lease for lease in leases}
    claimable = []
    for name in list_lease_names(heartbeat.domain):
        lease = by_name.get(name)
        if lease is None or lease.heartbeat.host == heartbeat.host:
            claimable.append(name)
        elif is_dead(lease.heartbeat.owner):
            claimable.append(name)
    return claimable


def find_claim_delay(capacity: float, rng: random.Random) -> timedelta:
    """Return how long a host waits before it claims a free lease.

    Args:
        capacity: Processor cores of the host.
        rng: Source of the random part.
    """
    delay = CLAIM_DELAY / max(MIN_CAPACITY, capacity)
    return delay + CLAIM_SPREAD * rng.random()


def count_hosts(leases: Iterable[CoordinatorLease]) -> int:
    """Return the number of hosts of all failure domains, 0 if unknown."""
    counts: dict[str, int] = {}
    for lease in leases:
        domain = lease.heartbeat.domain
        known = counts.get(domain, 0)
        counts[domain] = max(known, lease.heartbeat.hosts)
    return sum(counts.values())
