"""Leases of duties: decides when to acquire, renew or release one."""

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
    """A lease as stored in the shared table.

    Attributes:
        holder: Name of the holding host; empty if the lease is released.
        fencing: Fencing token; increases when a host acquires the lease.
        renewals: Number of renewals by the present holder.
    """

    duty: str
    holder: str = ''
    fencing: int = 0
    renewals: int = 0


@frozen
class ObservedLease:
    """A lease, and when this host first observed this revision of it.

    Each host measures expiry on its own clock: a lease has expired when its
    row has not changed for ``LEASE_LENGTH``. Clocks of different hosts are
    never compared.
    """

    lease: Lease
    revision: int
    observed_at: timedelta


class LeaseAction(enum.Enum):
    """Action of a host on the lease of a duty."""

    WAIT = 'wait'
    ACQUIRE = 'take'
    RENEW = 'renew'
    RELEASE = 'release'


@frozen
class LeaseCandidate:
    """A host as a candidate for the lease of one duty.

    Attributes:
        rank: Rank among the live hosts for the duty, from 0; None if the
            host may not hold the duty.
        renewed_at: When the host sent its last successful renewal, if it holds
            the lease.
    """

    rank: int | None
    renewed_at: timedelta | None = None


def rank_host(duty: str, name: str, candidates: Sequence[str]) -> int | None:
    """Return the rank of a host for a duty; None if it is not a candidate."""
    ranked = rank_names(duty, candidates)
    return ranked.index(name) if name in ranked else None


def decide(
    observed: ObservedLease,
    name: str,
    candidate: LeaseCandidate,
    now: timedelta,
) -> LeaseAction:
    """Return what host ``name`` should do with the lease of a duty."""
    if observed.lease.holder == name:
        return decide_as_holder(candidate, now)
    if candidate.rank is None:
        return LeaseAction.WAIT
    delay = candidate.rank * RANK_DELAY
    if observed.lease.holder:
        delay += LEASE_LENGTH + CLOCK_TOLERANCE
    if now - observed.observed_at >= delay:
        return LeaseAction.ACQUIRE
    return LeaseAction.WAIT


def decide_as_holder(candidate: LeaseCandidate, now: timedelta) -> LeaseAction:
    """Return what the holder should do with its lease."""
    if candidate.rank is None:
        return LeaseAction.RELEASE
    if (
        candidate.renewed_at is None
        or now - candidate.renewed_at >= RENEW_AFTER
    ):
        return LeaseAction.RENEW
    return LeaseAction.WAIT


def may_act(renewed_at: timedelta | None, now: timedelta) -> bool:
    """Return whether a holder may still act under its lease.

    Args:
        renewed_at: When the last successful renewal was sent; None if there was
            none.
        now: The current time on the same clock.
    """
    if renewed_at is None:
        return False
    return now - renewed_at < LEASE_LENGTH - SAFETY_MARGIN


def acquire(lease: Lease, name: str) -> Lease:
    """Return the lease with a new holder and the next fencing token."""
    return Lease(lease.duty, name, lease.fencing + 1)


def renew(lease: Lease) -> Lease:
    """Return the lease with one more renewal."""
    return evolve(lease, renewals=lease.renewals + 1)


def release(lease: Lease) -> Lease:
    """Return the lease without a holder."""
    return evolve(lease, holder='')
