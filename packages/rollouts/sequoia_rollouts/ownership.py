"""Who owns which submission and duty, and taking up what nobody owns."""

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
    SHARDS,
    SUBMISSION_PREFIX,
    read_duty,
    read_ownership,
    submission_key,
    write_ownership,
)

SWEEP_PERIOD = timedelta(milliseconds=50)
COMMIT_PATIENCE = timedelta(milliseconds=1500)

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
    """A submission's ownership as this host last saw it."""

    id: str
    ownership: Ownership
    version: int


@frozen
class OwnedDuty:
    """A duty's ownership as this host last saw it."""

    name: str
    owner: str
    version: int


@define
class OwnershipTable:
    """This host's view of all ownership, and what it does about it.

    Attributes:
        on_change: Called with a submission that changed.
        on_note: Called with a note about an engine.
        free_since: When a submission was first seen without a live owner.
    """

    store: Store
    clock: Clock
    heartbeats: HeartbeatService
    on_change: Callable[[OwnedSubmission], Awaitable[None]]
    on_note: Callable[[str, EngineNote], None]
    submissions: dict[str, OwnedSubmission] = field(factory=dict)
    duties: dict[str, OwnedDuty] = field(factory=dict)
    free_since: dict[str, timedelta] = field(factory=dict)
    follower: TableFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the follower of the ownership table."""
        self.follower = TableFollower(
            self.store,
            self.clock,
            OWNERSHIP,
            self._take_rows,
            self._take_row,
            self.heartbeats.find_feed_period,
            SHARDS,
        )

    async def run_adoption(self) -> None:
        """Take up submissions without a live owner until cancelled."""
        while True:
            await curio.sleep(SWEEP_PERIOD.total_seconds())
            for name in self._find_free():
                await self._adopt(name)

    async def note(self, owned: OwnedSubmission) -> None:
        """Take a state that this host itself has read or written."""
        known = self.submissions.get(owned.id)
        if known and known.version >= owned.version:
            return
        self.submissions[owned.id] = owned
        await self.on_change(owned)

    async def release(self, submission_id: str) -> None:
        """Let others take up a submission of this host.

        Raises:
            ServiceError: If the store does not answer.
        """
        known = self.submissions[submission_id]
        if known.ownership.owner == self.heartbeats.owner:
            await self._change_owner(known, '')

    def choose_owner(self, key: str) -> str:
        """Return the live process that should own what has this key.

        What has the same key goes to the same host while it lives, which
        then has open connections to the targets; empty if none is known.
        """
        live = self.heartbeats.live_owners()
        return rank_names(key, live)[0] if live else ''

    def list_ownerships(self) -> list[Ownership]:
        """Return the ownership of all submissions."""
        return [owned.ownership for owned in self.submissions.values()]

    def count_owners(self) -> int:
        """Return how many hosts own a submission that is not ended."""
        owners = {
            ownership.owner
            for ownership in self.list_ownerships()
            if not ownership.ended
        }
        return len(owners - {''})

    def note_duty(self, duty: OwnedDuty) -> None:
        """Take a newer state of a duty."""
        known = self.duties.get(duty.name)
        if known is None or known.version < duty.version:
            self.duties[duty.name] = duty

    def is_free(self, owner: str) -> bool:
        """Tell whether what ``owner`` owned may be taken up."""
        return not owner or self.heartbeats.is_dead(owner)

    def is_my_turn(self, name: str) -> bool:
        """Tell whether this host should take up something free now.

        Hosts take turns in the rendezvous order of the name, so that one of
        them does it at once and the others only if that one does not.
        """
        if not self.heartbeats.holds_lease() or self.heartbeats.own.draining:
            return False
        now = self.clock.elapsed()
        since = self.free_since.setdefault(name, now)
        order = rank_names(name, self.heartbeats.live_owners())
        turn = order.index(self.heartbeats.owner)
        return now - since >= ADOPTION_STAGGER * turn

    async def _take_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            await self._take_row(row)

    async def _take_row(self, row: Row) -> None:
        try:
            await self._decode_row(row)
        except ServiceError as bad:
            ROW_CANNOT_BE_READ.write(key=row.key.key, detail=bad.detail)

    async def _decode_row(self, row: Row) -> None:
        name = row.key.key
        if name.startswith(DUTY_PREFIX) and row.body:
            self.note_duty(
                OwnedDuty(
                    name.removeprefix(DUTY_PREFIX),
                    read_duty(row.body).owner,
                    row.version,
                ),
            )
        elif name.startswith(ENGINE_PREFIX) and row.body:
            self.on_note(
                name.removeprefix(ENGINE_PREFIX),
                read_note(row.body),
            )
        elif name.startswith(SUBMISSION_PREFIX):
            submission_id = name.removeprefix(SUBMISSION_PREFIX)
            if row.body is None:
                self.submissions.pop(submission_id, None)
                return
            ownership = read_ownership(row.body)
            await self.note(
                OwnedSubmission(submission_id, ownership, row.version),
            )

    def _find_free(self) -> list[str]:
        found = []
        for name, owned in self.submissions.items():
            free = self.is_free(owned.ownership.owner)
            if owned.ownership.ended or not free:
                self.free_since.pop(name, None)
            elif self.is_my_turn(name):
                found.append(name)
        return found

    async def _adopt(self, name: str) -> None:
        owned = self.submissions[name]
        try:
            await self._change_owner(owned, self.heartbeats.owner)
        except ServiceError as failure:
            NOT_ADOPTED.write(submission=name, detail=failure.detail)
        else:
            SUBMISSION_ADOPTED.write(
                submission=name,
                before=owned.ownership.owner,
            )

    async def _change_owner(self, owned: OwnedSubmission, owner: str) -> None:
        ownership = evolve(owned.ownership, owner=owner)
        transaction = Transaction(
            (write_ownership(owned.id, ownership),),
            (Guard(submission_key(owned.id), owned.version),),
        )
        committer = Committer(self.store, self.clock)
        try:
            version = await committer.commit(transaction, COMMIT_PATIENCE)
        except ConflictError as conflict:
            await self._take_conflict(conflict)
            return
        await self.note(OwnedSubmission(owned.id, ownership, version))

    async def _take_conflict(self, conflict: ConflictError) -> None:
        for row in conflict.rows:
            await self._take_row(row)
