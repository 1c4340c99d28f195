"""Claims a coordinator lease for this host, renews and releases it."""

import random
from datetime import timedelta

import curio
from attrs import define, evolve
from sequoia_policy.clocks import Clock
from sequoia_policy.coordinators import CoordinatorLease, find_claim_delay
from sequoia_policy.errors import ServiceError
from sequoia_wire.codecs import encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.fleet.heartbeats import HeartbeatService, decode_leases
from sequoia_rollouts.storage.stores import (
    ABSENT,
    ConflictError,
    Guard,
    RowWrite,
    Store,
    Transaction,
)
from sequoia_rollouts.storage.tables import lease_key

CLAIM_POLL_INTERVAL = timedelta(milliseconds=100)
# Shorter than the timeout of a call, so that a lost response does not delay the
# next heartbeat until the host counts as dead.
WRITE_TIMEOUT = timedelta(milliseconds=700)

log = Log('presence')
HEARTBEAT_MISSED = log.event('heartbeat missed', 'detail', kind=LogKind.FAILURE)
LEASE_CLAIMED = log.event('lease claimed', 'lease', 'before')
LEASE_NOT_CLAIMED = log.event(
    'lease not claimed', 'lease', 'detail', kind=LogKind.FAILURE
)
LEASE_RELEASED = log.event('lease released', 'lease')


@define(eq=False)
class LeaseKeeper:
    """Holds one coordinator lease for this host if there is one to hold.

    Every write is guarded by the version of the lease: a host that was paused
    cannot renew a lease that another host has claimed meanwhile.

    Attributes:
        capacity: Processor cores of this host.
        claim_at: When to claim a free lease; None if there is none.
        released: Whether this host gave up its lease for good.
    """

    heartbeats: HeartbeatService
    store: Store
    clock: Clock
    rng: random.Random
    capacity: float = 1
    claim_at: timedelta | None = None
    released: bool = False

    async def run(self) -> None:
        """Claim or renew until cancelled or released."""
        while not self.released:
            started_at = self.clock.elapsed()
            try:
                await self.step()
            except ServiceError as failure:
                HEARTBEAT_MISSED.write(detail=failure.detail)
            except curio.TaskTimeout:
                HEARTBEAT_MISSED.write(detail='no response within the timeout')
            remaining = self.find_interval() - (
                self.clock.elapsed() - started_at
            )
            await curio.sleep(max(0, remaining.total_seconds()))

    async def step(self) -> None:
        """Renew the lease, or claim one when that is due.

        Raises:
            ServiceError: If the store did not accept the write.
            curio.TaskTimeout: If it did not respond.
        """
        lease = self.heartbeats.own.lease
        if lease is not None:
            await self.renew(lease)
        elif self.is_claim_due():
            await self.claim()

    async def renew(self, lease: CoordinatorLease) -> None:
        """Write one heartbeat into the lease.

        Raises:
            ServiceError: If the store did not accept the write.
            curio.TaskTimeout: If it did not respond.
        """
        try:
            await self._write(lease.name, lease.version)
        except ConflictError as conflict:
            await self._resolve(lease, conflict)

    def is_claim_due(self) -> bool:
        """Return whether to claim a free lease now.

        The delay of a claim starts when a lease is first found free. The lease
        of an earlier process of this host is claimed without delay.
        """
        if self.heartbeats.is_draining:
            return False
        now = self.clock.elapsed()
        if self._find_previous() is not None:
            return True
        if not self.heartbeats.find_claimable():
            self.claim_at = None
            return False
        if self.heartbeats.liveness.last_read is None:
            return False
        if self.claim_at is None:
            self.claim_at = now + find_claim_delay(self.capacity, self.rng)
        return now >= self.claim_at

    async def claim(self) -> None:
        """Claim a free lease of the failure domain.

        Raises:
            ServiceError: If the store did not accept the write.
            curio.TaskTimeout: If it did not respond.
        """
        self.claim_at = None
        await self.heartbeats.read()
        claimable = self.heartbeats.find_claimable()
        if self.heartbeats.is_coordinator or not claimable:
            return
        previous = self._find_previous()
        name = previous.name if previous else self.rng.choice(claimable)
        current = self.heartbeats.leases.get(name)
        if previous:
            own = self.heartbeats.own
            own.heartbeat = evolve(
                own.heartbeat, previous=previous.heartbeat.boot
            )
        try:
            await self._write(name, current.version if current else ABSENT)
        except ConflictError as conflict:
            LEASE_NOT_CLAIMED.write(lease=name, detail=str(conflict))
            return
        LEASE_CLAIMED.write(
            lease=name, before=current.heartbeat.owner if current else ''
        )

    async def release(self) -> None:
        """Remove the lease, so that another host can claim it at once.

        Raises:
            ServiceError: If the store did not accept the write.
        """
        self.released = True
        lease = self.heartbeats.own.lease
        if lease is None:
            return
        key = lease_key(lease.name)
        transaction = Transaction(
            (RowWrite(key),), (Guard(key, lease.version),)
        )
        try:
            await self.store.commit(transaction)
        except ConflictError as conflict:
            LEASE_NOT_CLAIMED.write(lease=lease.name, detail=str(conflict))
        else:
            LEASE_RELEASED.write(lease=lease.name)
        self.heartbeats.own.drop()

    def find_interval(self) -> timedelta:
        """Return the time to the next step."""
        if self.heartbeats.is_coordinator:
            return self.heartbeats.liveness.timing.interval
        return CLAIM_POLL_INTERVAL

    async def _write(self, name: str, version: int) -> None:
        heartbeat = self.heartbeats.own.next_heartbeat()
        key = lease_key(name)
        transaction = Transaction(
            (RowWrite(key, encode(heartbeat)),), (Guard(key, version),)
        )
        sent_at = self.clock.elapsed()
        async with curio.timeout_after(WRITE_TIMEOUT.total_seconds()):
            written = await self.store.commit(transaction)
        lease = CoordinatorLease(name, written, heartbeat)
        if not self.heartbeats.holds_lease():
            self.heartbeats.own.lapsed_at = self.clock.elapsed()
        self.heartbeats.own.renew(lease, sent_at)
        self.heartbeats.leases[name] = lease
        self.heartbeats.store_responded_at = self.clock.elapsed()
        self.heartbeats.apply_role()

    async def _resolve(
        self, lease: CoordinatorLease, conflict: ConflictError
    ) -> None:
        """Renew again if only the response to the last renewal was lost."""
        row = conflict.find(lease_key(lease.name))
        current = next(iter(decode_leases([row] if row else [])), None)
        if current is None or current.heartbeat.owner != self.heartbeats.owner:
            self.heartbeats.own.drop(current.heartbeat.owner if current else '')
            self.heartbeats.apply_role()
            return
        self.heartbeats.own.hold(current)
        try:
            await self._write(current.name, current.version)
        except ConflictError as repeated:
            HEARTBEAT_MISSED.write(detail=str(repeated))

    def _find_previous(self) -> CoordinatorLease | None:
        return self.heartbeats.own.find_previous(
            self.heartbeats.leases.values()
        )
