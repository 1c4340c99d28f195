"""Tracks the owners of submissions and duties; adopts unowned submissions."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from attrs import define, evolve, field, frozen
from sequoia_policy.choices import rank_names
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.liveness import ADOPTION_STAGGER
from sequoia_policy.submissions import Ownership
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.followers import TableFollower
from sequoia_rollouts.heartbeats import HeartbeatService
from sequoia_rollouts.notes import ENGINE_PREFIX, EngineNote, read_note
from sequoia_rollouts.stores import (
    Committer,
    ConflictError,
    Guard,
    Row,
    Store,
    Transaction,
)
from sequoia_rollouts.tables import (
    DUTY_PREFIX,
    OWNERSHIP,
    PARTITIONS,
    SUBMISSION_PREFIX,
    read_duty,
    read_ownership,
    submission_key,
    write_ownership,
)

ADOPTION_INTERVAL = timedelta(milliseconds=50)
COMMIT_TIMEOUT = timedelta(milliseconds=1500)

log = Log('owner')
SUBMISSION_ADOPTED = log.event('submission adopted', 'submission', 'before')
ROW_CANNOT_BE_READ = log.event(
    'row cannot be read', 'key', 'detail', kind=LogKind.FAILURE
)
NOT_ADOPTED = log.event(
    'not adopted', 'submission', 'detail', kind=LogKind.FAILURE
)


@frozen
class OwnedSubmission:
    """A submission's ownership as this host last observed it.

    Attributes:
        version: Version of the stored row.
    """

    id: str
    ownership: Ownership
    version: int


@frozen
class OwnedDuty:
    """A duty's ownership as this host last observed it.

    Attributes:
        version: Version of the stored row.
    """

    name: str
    owner: str
    version: int


@define
class OwnershipTable:
    """This host's copy of the ownership rows; adopts unowned submissions.

    Only coordinators follow the table. The other hosts know the submissions
    that they accepted or read for a caller.

    Attributes:
        on_change: Called with each submission whose ownership changed.
        on_engine_note: Called with the name of an engine and its note.
        unowned_since: When a submission or duty was first observed without a
            live owner, by submission id or name of the duty.
    """

    store: Store
    clock: Clock
    heartbeats: HeartbeatService
    on_change: Callable[[OwnedSubmission], Awaitable[None]]
    on_engine_note: Callable[[str, EngineNote], None]
    submissions: dict[str, OwnedSubmission] = field(factory=dict)
    duties: dict[str, OwnedDuty] = field(factory=dict)
    unowned_since: dict[str, timedelta] = field(factory=dict)
    follower: TableFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the follower of the ownership table."""
        self.follower = TableFollower(
            self.store,
            self.clock,
            OWNERSHIP,
            self._apply_rows,
            self._apply_row,
            self.heartbeats.find_feed_interval,
            PARTITIONS,
            is_active=lambda: self.heartbeats.is_coordinator,
        )

    async def run_adoption(self) -> None:
        """Adopt submissions without a live owner until cancelled."""
        while True:
            await curio.sleep(ADOPTION_INTERVAL.total_seconds())
            for submission_id in self._find_adoptable():
                await self._adopt(submission_id)

    async def record(self, owned: OwnedSubmission) -> None:
        """Record an ownership that this host has read or written.

        A version that is not newer than the known one is ignored.
        """
        known = self.submissions.get(owned.id)
        if known and known.version >= owned.version:
            return
        self.submissions[owned.id] = owned
        await self.on_change(owned)

    async def release(self, submission_id: str) -> None:
        """Release a submission of this host, so that others can adopt it.

        Raises:
            ServiceError: If the store does not respond.
        """
        known = self.submissions[submission_id]
        if known.ownership.owner == self.heartbeats.owner:
            await self._change_owner(known, '')

    def choose_owner(self, key: str) -> str:
        """Return the live coordinator that should own work with this key.

        Work with the same key goes to the same host while that host is alive,
        because that host already has open connections to the targets. The
        result is empty if no live coordinator is known.
        """
        live = self.heartbeats.live_owners()
        return rank_names(key, live)[0] if live else ''

    def list_ownerships(self) -> list[Ownership]:
        """Return the ownership of all submissions."""
        return [owned.ownership for owned in self.submissions.values()]

    def count_owners(self) -> int:
        """Return the number of hosts that own a submission not yet ended."""
        owners = {
            ownership.owner
            for ownership in self.list_ownerships()
            if not ownership.ended
        }
        return len(owners - {''})

    def record_duty(self, duty: OwnedDuty) -> None:
        """Record the ownership of a duty if its version is newer."""
        known = self.duties.get(duty.name)
        if known is None or known.version < duty.version:
            self.duties[duty.name] = duty

    def is_unowned(self, owner: str) -> bool:
        """Return whether ``owner`` is empty or dead."""
        return not owner or self.heartbeats.is_dead(owner)

    def has_takeover_turn(self, name: str) -> bool:
        """Return whether this host should take over unowned work now.

        Hosts are ranked by rendezvous hashing of its name, and each rank
        waits one ADOPTION_STAGGER longer: the first host acts at once and the
        others act only if it does not.
        """
        if not self.heartbeats.holds_lease() or self.heartbeats.is_draining:
            return False
        now = self.clock.elapsed()
        since = self.unowned_since.setdefault(name, now)
        ranked = rank_names(name, self.heartbeats.live_owners())
        rank = ranked.index(self.heartbeats.owner)
        return now - since >= ADOPTION_STAGGER * rank

    async def _apply_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            await self._apply_row(row)

    async def _apply_row(self, row: Row) -> None:
        try:
            await self._decode_row(row)
        except ServiceError as error:
            ROW_CANNOT_BE_READ.write(key=row.key.key, detail=error.detail)

    async def _decode_row(self, row: Row) -> None:
        name = row.key.key
        if name.startswith(DUTY_PREFIX) and row.body:
            self.record_duty(
                OwnedDuty(
                    name.removeprefix(DUTY_PREFIX),
                    read_duty(row.body).owner,
                    row.version,
                ),
            )
        elif name.startswith(ENGINE_PREFIX) and row.body:
            self.on_engine_note(
                name.removeprefix(ENGINE_PREFIX),
                read_note(row.body),
            )
        elif name.startswith(SUBMISSION_PREFIX):
            submission_id = name.removeprefix(SUBMISSION_PREFIX)
            if row.body is None:
                self.submissions.pop(submission_id, None)
                return
            ownership = read_ownership(row.body)
            await self.record(
                OwnedSubmission(submission_id, ownership, row.version),
            )

    def _find_adoptable(self) -> list[str]:
        adoptable = []
        for submission_id, owned in self.submissions.items():
            unowned = self.is_unowned(owned.ownership.owner)
            if owned.ownership.ended or not unowned:
                self.unowned_since.pop(submission_id, None)
            elif self.has_takeover_turn(submission_id):
                adoptable.append(submission_id)
        return adoptable

    async def _adopt(self, submission_id: str) -> None:
        owned = self.submissions[submission_id]
        try:
            changed = await self._change_owner(owned, self.heartbeats.owner)
        except ServiceError as failure:
            NOT_ADOPTED.write(submission=submission_id, detail=failure.detail)
            return
        if changed:
            SUBMISSION_ADOPTED.write(
                submission=submission_id,
                before=owned.ownership.owner,
            )

    async def _change_owner(self, owned: OwnedSubmission, owner: str) -> bool:
        """Write a new owner; return whether that took effect."""
        ownership = evolve(owned.ownership, owner=owner)
        transaction = Transaction(
            (write_ownership(owned.id, ownership),),
            (Guard(submission_key(owned.id), owned.version),),
        )
        committer = Committer(self.store, self.clock)
        try:
            version = await committer.commit(transaction, COMMIT_TIMEOUT)
        except ConflictError as conflict:
            await self._apply_conflict(conflict)
            return False
        await self.record(OwnedSubmission(owned.id, ownership, version))
        return True

    async def _apply_conflict(self, conflict: ConflictError) -> None:
        for row in conflict.rows:
            await self._apply_row(row)


def is_first(ownership: OwnershipTable, key: str) -> bool:
    """Return whether this host performs upkeep of what has this key."""
    return ownership.choose_owner(key) == ownership.heartbeats.owner
