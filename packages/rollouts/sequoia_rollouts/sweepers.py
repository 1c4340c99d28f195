"""Removes rows that nobody can ask for any more."""

from datetime import timedelta

import curio
from attrs import define
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.ownership import OwnedSubmission, OwnershipTable
from sequoia_rollouts.stores import (
    ConflictError,
    Guard,
    RowWrite,
    Store,
    Transaction,
    read_all,
)
from sequoia_rollouts.tables import (
    heartbeat_key,
    progress_range,
    results_range,
    specification_range,
    submission_key,
)

SWEEP_PERIOD = timedelta(seconds=5)
KEEP_ENDED = timedelta(seconds=180)  # from acceptance; callers may read 120 s
KEEP_OPEN = timedelta(seconds=3600)  # from acceptance, ended or not
ROWS_PER_CALL = 50

log = Log('sweep')
SUBMISSION_REMOVED = log.event('submission removed', 'submission', 'rows')
NOT_REMOVED = log.event('not removed', 'key', 'detail', kind=LogKind.FAILURE)


@define
class Sweeper:
    """Removes old submissions and the heartbeats of hosts long gone.

    One host removes each: the first in the order of its name.
    """

    store: Store
    clock: Clock
    ownership: OwnershipTable

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await curio.sleep(SWEEP_PERIOD.total_seconds())
            await self.sweep()

    async def sweep(self) -> None:
        """Remove what is old now."""
        for owned in tuple(self.ownership.submissions.values()):
            if self._is_old(owned) and self._is_first(owned.id):
                await self._attempt(owned)
        heartbeats = self.ownership.heartbeats
        for host in heartbeats.liveness.list_expired(self.clock.elapsed()):
            if self._is_first(host):
                await self._remove_heartbeat(host)

    def _is_first(self, key: str) -> bool:
        """Tell whether this host comes first among the live ones for a key."""
        return (
            self.ownership.choose_owner(key) == self.ownership.heartbeats.owner
        )

    def _is_old(self, owned: OwnedSubmission) -> bool:
        age = self.ownership.heartbeats.store_now() - owned.ownership.accepted
        limit = KEEP_ENDED if owned.ownership.ended else KEEP_OPEN
        return age > limit

    async def _attempt(self, owned: OwnedSubmission) -> None:
        try:
            await self._remove(owned)
        except (ConflictError, ServiceError) as failure:
            NOT_REMOVED.write(key=owned.id, detail=str(failure))

    async def _remove(self, owned: OwnedSubmission) -> None:
        """Remove all rows; the one that names the submission goes last."""
        writes: list[RowWrite] = []
        for wanted in (
            progress_range(owned.id),
            results_range(owned.id),
            specification_range(owned.id),
        ):
            page = await read_all(self.store, wanted)
            writes.extend(RowWrite(row.key, None) for row in page.rows)
        for start in range(0, len(writes), ROWS_PER_CALL):
            batch = tuple(writes[start : start + ROWS_PER_CALL])
            await self.store.commit(Transaction(batch))
        key = submission_key(owned.id)
        await self.store.commit(
            Transaction((RowWrite(key, None),), (Guard(key, owned.version),)),
        )
        self.ownership.submissions.pop(owned.id, None)
        SUBMISSION_REMOVED.write(submission=owned.id, rows=len(writes))

    async def _remove_heartbeat(self, host: str) -> None:
        write = RowWrite(heartbeat_key(host), None)
        try:
            await self.store.commit(Transaction((write,)))
        except ServiceError as failure:
            NOT_REMOVED.write(key=host, detail=failure.detail)
        else:
            self.ownership.heartbeats.liveness.forget(host)
