"""Leases of duties: who holds one, and whether to take or renew it."""

import enum
from collections.abc import Sequence
from datetime import timedelta

from attrs import evolve, frozen

from sequoia_policy.choices import rank_names

LEASE_LENGTH = timedelta(seconds=6)
RENEW_AFTER = timedelta(seconds=2)
SAFETY_MARGIN = timedelta(seconds=1)
CLOCK_TOLERANCE = timedelta(seconds=1)
RANK_DELAY = timedelta(seconds=1)


@frozen
class Lease:
    """A lease as the table keeps it.

    Attributes:
        holder: Name of the host; empty if it was released.
        fencing: Grows with each change of holder.
        renewals: Grows with each renewal.
    """

    duty: str
    holder: str = ''
    fencing: int = 0
    renewals: int = 0


@frozen
class ObservedLease:
    """A lease, and when this host first saw it in this state.

    The expiry is judged on the watcher's own clock: a lease has lapsed when
    its row did not change for the lease's length. Clocks of hosts are never
    compared.
    """

    lease: Lease
    revision: int
    since: timedelta


class LeaseAction(enum.Enum):
    """What a host does about a duty."""

    WAIT = 'wait'
    TAKE = 'take'
    RENEW = 'renew'
    RELEASE = 'release'


@frozen
class Standing:
    """A host's position towards one duty.

    Attributes:
        rank: Place in the duty's order of live hosts, from 0; None if the
            host may not hold it.
        renewed: When the host's last renewal was sent, if it holds the duty.
    """

    rank: int | None
    renewed: timedelta | None = None


def rank_host(duty: str, name: str, candidates: Sequence[str]) -> int | None:
    """Return the place of a host in a duty's order, None if not in it."""
    order = rank_names(duty, candidates)
    return order.index(name) if name in order else None


def decide(
    sighting: ObservedLease,
    name: str,
    standing: Standing,
    now: timedelta,
) -> LeaseAction:
    """Return what host ``name`` should do about a duty."""
    if sighting.lease.holder == name:
        return decide_as_holder(standing, now)
    if standing.rank is None:
        return LeaseAction.WAIT
    patience = standing.rank * RANK_DELAY
    if sighting.lease.holder:
        patience += LEASE_LENGTH + CLOCK_TOLERANCE
    if now - sighting.since >= patience:
        return LeaseAction.TAKE
    return LeaseAction.WAIT


def decide_as_holder(standing: Standing, now: timedelta) -> LeaseAction:
    """Return what the holder of a lease should do."""
    if standing.rank is None:
        return LeaseAction.RELEASE
    if standing.renewed is None or now - standing.renewed >= RENEW_AFTER:
        return LeaseAction.RENEW
    return LeaseAction.WAIT


def may_act(renewed: timedelta | None, now: timedelta) -> bool:
    """Tell whether a holder may still act under its lease.

    Args:
        renewed: When the last successful renewal was sent.
        now: The present time on the same clock.
    """
    if renewed is None:
        return False
    return now - renewed < LEASE_LENGTH - SAFETY_MARGIN


def take(lease: Lease, name: str) -> Lease:
    """Return the lease as its new holder writes it."""
    return Lease(lease.duty, name, lease.fencing + 1)


def renew(lease: Lease) -> Lease:
    """Return the lease after a renewal."""
    return evolve(lease, renewals=lease.renewals + 1)


def release(lease: Lease) -> Lease:
    """Return the lease without a holder."""
    return evolve(lease, holder='')
