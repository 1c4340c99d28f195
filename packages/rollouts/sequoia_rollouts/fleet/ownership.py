"""Tracks the owners of submissions and duties."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from attrs import define, evolve, field, frozen
from sequoia_policy.choices import rank_names
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.preconditions import is_read_since
from sequoia_policy.submissions import Ownership
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.storage.followers import TableFollower
from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.storage.notes import ENGINE_PREFIX, EngineNote, read_note
from sequoia_rollouts.storage.stores import (
    Committer,
    ConflictError,
    Guard,
    Row,
    RowRange,
    Store,
    Transaction,
)
from sequoia_rollouts.storage.tables import (
    DUTY_PREFIX,
    OWNERSHIP,
    PARTITIONS,
    SUBMISSION_PREFIX,
    read_duty,
    read_ownership,
    submission_key,
    write_ownership,
)
from sequoia_rollouts.fleet.takeovers import TakeoverTurns

COMMIT_TIMEOUT = timedelta(milliseconds=1500)

log = Log('owner')
ROW_CANNOT_BE_READ = log.event(
    'row cannot be read', 'key', 'detail', kind=LogKind.FAILURE
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
    """This host's copy of the ownership rows.

    Coordinators follow the table, and so does a host that lost its lease until
    others own its submissions. The other hosts know the submissions that they
    accepted or read for a caller.

    Attributes:
        on_change: Called with each submission whose ownership changed.
        on_engine_note: Called with the name of an engine and its note.
        turns: Whether it is this host's turn to take over work.
    """

    store: Store
    clock: Clock
    heartbeats: HeartbeatService
    on_change: Callable[[OwnedSubmission], Awaitable[None]]
    on_engine_note: Callable[[str, EngineNote], None]
    submissions: dict[str, OwnedSubmission] = field(factory=dict)
    duties: dict[str, OwnedDuty] = field(factory=dict)
    turns: TakeoverTurns = field(init=False)
    follower: TableFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the follower of the ownership table."""
        self.turns = TakeoverTurns(self.clock, self.heartbeats)
        self.follower = TableFollower(
            self.store,
            self.clock,
            OWNERSHIP,
            self._apply_rows,
            self._apply_row,
            self.heartbeats.find_feed_interval,
            PARTITIONS,
            is_active=self.is_needed,
        )

    def is_needed(self) -> bool:
        """Return whether this host follows the table."""
        return self.heartbeats.is_coordinator or any(
            self.is_owned_here(submission_id)
            for submission_id in self.submissions
        )

    def is_owned_here(self, submission_id: str) -> bool:
        """Return whether this host owns a submission that is not ended."""
        owned = self.submissions.get(submission_id)
        if owned is None or owned.ownership.ended:
            return False
        return owned.ownership.owner == self.heartbeats.owner

    def is_confirmed(self) -> bool:
        """Return whether the owners were read since the lease was lost."""
        return is_read_since(
            self.heartbeats.own.lost_at, self.follower.store_responded_at
        )

    async def read(self, submission_id: str) -> OwnedSubmission | None:
        """Read a submission's ownership from the store, None if it has none.

        Raises:
            ServiceError: If the store does not respond.
        """
        key = submission_key(submission_id)
        page = await self.store.read(
            RowRange(key.table, key.part, key.key, f'{key.key}\0')
        )
        for row in page.rows:
            await self._apply_row(row)
        known = self.submissions.get(submission_id)
        if known and not page.rows and known.version <= page.version:
            await self._forget(submission_id)
        return self.submissions.get(submission_id)

    async def resolve_conflict(
        self, submission_id: str, conflict: ConflictError
    ) -> OwnedSubmission | None:
        """Return the ownership after a failed transaction, None if there is none.

        Raises:
            ServiceError: If the store does not respond.
        """
        row = conflict.find(submission_key(submission_id))
        if row is None:
            return await self.read(submission_id)
        await self._apply_row(row)
        return self.submissions.get(submission_id)

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
            await self.change_owner(known, '')

    async def change_owner(self, owned: OwnedSubmission, owner: str) -> bool:
        """Write a new owner; return whether that took effect.

        Raises:
            ServiceError: If the store does not respond.
        """
        ownership = evolve(owned.ownership, owner=owner)
        transaction = Transaction(
            (write_ownership(owned.id, ownership),),
            (Guard(submission_key(owned.id), owned.version),),
        )
        committer = Committer(self.store, self.clock)
        try:
            version = await committer.commit(transaction, COMMIT_TIMEOUT)
        except ConflictError as conflict:
            await self.resolve_conflict(owned.id, conflict)
            return False
        await self.record(OwnedSubmission(owned.id, ownership, version))
        return True

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

    async def _apply_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            await self._apply_row(row)
        listed = {row.key for row in rows}
        for submission_id in tuple(self.submissions):
            if submission_key(submission_id) not in listed:
                await self.read(submission_id)

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
                await self._forget(submission_id)
                return
            ownership = read_ownership(row.body)
            await self.record(
                OwnedSubmission(submission_id, ownership, row.version),
            )

    async def _forget(self, submission_id: str) -> None:
        """Forget a submission whose rows were removed, and end its work."""
        owned = self.submissions.pop(submission_id, None)
        if owned:
            ended = evolve(owned.ownership, ended=True)
            await self.on_change(evolve(owned, ownership=ended))


def is_first(ownership: OwnershipTable, key: str) -> bool:
    """Return whether this host performs upkeep of what has this key."""
    return ownership.choose_owner(key) == ownership.heartbeats.owner
