"""The coordinator lease of this process and the heartbeat it writes."""

import uuid
from collections.abc import Iterable
from datetime import timedelta

from attrs import define, evolve, field
from sequoia_policy.clocks import Clock
from sequoia_policy.coordinators import CoordinatorLease, find_held_leases
from sequoia_policy.liveness import Heartbeat
from sequoia_wire.logs import Log

log = Log('presence')
LEASE_LOST = log.event('lease lost', 'lease', 'holder')


@define
class OwnLease:
    """The lease of this process, if it holds one.

    Attributes:
        heartbeat: The newest heartbeat of this process.
        lease: The lease as last read or written; None if none is held.
        renewed_at: When the last heartbeat that the store accepted was sent;
            None without a lease.
        lost_at: When a lease was last lost; None if never.
        lapsed_at: When a lease was last renewed or claimed too late, so that
            others may have taken over what this process did.
    """

    clock: Clock
    host: str
    domain: str
    heartbeat: Heartbeat = field(init=False)
    lease: CoordinatorLease | None = None
    renewed_at: timedelta | None = None
    lost_at: timedelta | None = None
    lapsed_at: timedelta | None = None

    def __attrs_post_init__(self) -> None:
        """Create the heartbeat with a random id for this process."""
        boot = uuid.uuid4().hex[:12]
        self.heartbeat = Heartbeat(self.host, boot, 0, domain=self.domain)

    def age(self) -> timedelta | None:
        """Return the time since the last accepted heartbeat was sent."""
        if self.renewed_at is None:
            return None
        return self.clock.elapsed() - self.renewed_at

    def next_heartbeat(self) -> Heartbeat:
        """Return the next heartbeat of this process."""
        self.heartbeat = evolve(self.heartbeat, count=self.heartbeat.count + 1)
        return self.heartbeat

    def hold(self, lease: CoordinatorLease) -> None:
        """Record a lease that the store shows this process to hold.

        The time of the last renewal stays: the response to the write of this
        lease was lost.
        """
        self.lease = lease

    def renew(self, lease: CoordinatorLease, sent_at: timedelta) -> None:
        """Record a heartbeat that the store accepted."""
        self.lease = lease
        self.renewed_at = sent_at

    def drop(self, holder: str = '') -> None:
        """Record that this process holds no lease any more.

        Args:
            holder: Owner name of the process that holds it now, if any.
        """
        if self.lease is None:
            return
        LEASE_LOST.write(lease=self.lease.name, holder=holder)
        self.lease = None
        self.renewed_at = None
        self.lost_at = self.clock.elapsed()

    def find_previous(
        self, leases: Iterable[CoordinatorLease]
    ) -> CoordinatorLease | None:
        """Return the lease that an earlier process of this host holds."""
        held = find_held_leases(leases, self.host)
        return held[0] if held else None

    def compare(self, leases: Iterable[CoordinatorLease]) -> None:
        """Apply the leases just read.

        The read may be older than the last renewal, and it may show a renewal
        or a claim whose response was lost.
        """
        for listed in leases:
            if listed.heartbeat.owner == self.heartbeat.owner:
                self._apply_own(listed)
            elif self.lease and listed.name == self.lease.name:
                self._apply_other(listed, self.lease)

    def _apply_own(self, listed: CoordinatorLease) -> None:
        if self.lease is None:
            self.hold(listed)
        elif listed.name == self.lease.name:
            if listed.version > self.lease.version:
                self.hold(listed)

    def _apply_other(
        self, listed: CoordinatorLease, held: CoordinatorLease
    ) -> None:
        if listed.version > held.version:
            self.drop(listed.heartbeat.owner)
