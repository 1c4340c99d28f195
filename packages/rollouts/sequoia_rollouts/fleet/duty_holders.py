"""Acquires a duty, which one host performs at a time, and says when to act."""

from datetime import timedelta

from attrs import define
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.preconditions import is_read_since
from sequoia_wire.codecs import encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.fleet.ownership import OwnedDuty, OwnershipTable
from sequoia_rollouts.storage.stores import (
    ABSENT,
    Committer,
    ConflictError,
    Guard,
    RowWrite,
    Transaction,
)
from sequoia_rollouts.storage.tables import Duty, duty_key

COMMIT_TIMEOUT = timedelta(milliseconds=600)
HANDOVER_MARGIN = timedelta(milliseconds=300)  # added to the lease
# While this host holds its lease no other one takes the duty; this bounds how long
# it relies on that without a word of the store.
MAX_OWNERSHIP_AGE = timedelta(milliseconds=2500)

log = Log('duty')
DUTY_TAKEN = log.event('duty taken', 'duty', 'before')
DUTY_NOT_TAKEN = log.event(
    'duty not taken', 'duty', 'detail', kind=LogKind.FAILURE
)


@define(eq=False)
class DutyHolder:
    """This host's part in one duty.

    The version of the duty's row is the fencing token of what its owner does.

    Attributes:
        name: Name of the duty.
        lease: Minimum time between acts of two hosts; zero where the receiver
            of the acts checks the fencing token.
        earliest_act_at: When this host may act first.
    """

    clock: Clock
    ownership: OwnershipTable
    committer: Committer
    name: str
    lease: timedelta
    earliest_act_at: timedelta = timedelta()

    @property
    def host(self) -> str:
        """Name of the host, which its acts bear."""
        return self.ownership.heartbeats.own.host

    async def step(self) -> OwnedDuty | None:
        """Acquire the duty if it is unowned.

        Returns:
            The ownership under which this host may act now, or None.
        """
        owned = self.ownership.duties.get(self.name)
        if owned is None or owned.owner != self.ownership.heartbeats.owner:
            await self._acquire_if_unowned(owned)
            return None
        return owned if self.may_act(owned) else None

    def may_act(self, owned: OwnedDuty) -> bool:
        """Return whether no other host can be acting.

        Args:
            owned: The ownership under which the act was decided.
        """
        if self.ownership.duties.get(self.name) != owned:
            return False
        heartbeats = self.ownership.heartbeats
        if not heartbeats.holds_lease() or heartbeats.is_draining:
            return False
        follower = self.ownership.follower
        if not follower.is_current(MAX_OWNERSHIP_AGE):
            return False
        lapsed_at = heartbeats.own.lapsed_at
        if not is_read_since(lapsed_at, follower.store_responded_at):
            return False
        return self.clock.elapsed() >= self.earliest_act_at

    def may_act_now(self) -> bool:
        """Return whether this host owns the duty and may act."""
        owned = self.ownership.duties.get(self.name)
        if owned is None or owned.owner != self.ownership.heartbeats.owner:
            return False
        return self.may_act(owned)

    async def release(self) -> None:
        """Release the duty for another host.

        Raises:
            ServiceError: If the store does not respond.
        """
        owned = self.ownership.duties.get(self.name)
        if owned and owned.owner == self.ownership.heartbeats.owner:
            await self._write(owned.version, '')

    async def _acquire_if_unowned(self, owned: OwnedDuty | None) -> None:
        if self.ownership.follower.version is None:
            return
        turns = self.ownership.turns
        if owned and not turns.is_unowned(owned.owner):
            turns.record_owned(self.name)
            return
        if not turns.has_come(self.name):
            return
        try:
            await self._acquire(owned)
        except ServiceError as failure:
            DUTY_NOT_TAKEN.write(duty=self.name, detail=failure.detail)

    async def _acquire(self, owned: OwnedDuty | None) -> None:
        owner = self.ownership.heartbeats.owner
        version = owned.version if owned else ABSENT
        self.earliest_act_at = self._find_earliest_act(owned)
        if await self._write(version, owner):
            DUTY_TAKEN.write(duty=self.name, before=owned and owned.owner)

    def _find_earliest_act(self, owned: OwnedDuty | None) -> timedelta:
        """Return when to act at the earliest if this host takes the duty now.

        It is set before the write, whose response may be lost. The time also
        passes after an earlier process of this host, which may have taken the
        duty from another host a moment ago.
        """
        now = self.clock.elapsed()
        return now + self.lease + HANDOVER_MARGIN if owned else now

    async def _write(self, version: int, owner: str) -> bool:
        """Write the duty's owner and return whether that took effect."""
        key = duty_key(self.name)
        transaction = Transaction(
            (RowWrite(key, encode(Duty(owner))),),
            (Guard(key, version),),
        )
        try:
            written = await self.committer.commit(transaction, COMMIT_TIMEOUT)
        except ConflictError as conflict:
            for row in conflict.rows:
                await self.ownership.follower.on_change(row)
            return False
        self.ownership.record_duty(OwnedDuty(self.name, owner, written))
        return True
