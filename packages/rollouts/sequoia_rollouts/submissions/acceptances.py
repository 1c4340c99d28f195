"""Stores new submissions, in several transactions if they are large.

The transaction that writes the ownership accepts the submission. What is stored
before it is inert: a marker row names it, so that it can be removed if no host
completes the acceptance.
"""

from collections.abc import Sequence
from datetime import timedelta

from attrs import frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.submissions import Ownership, Submission
from sequoia_policy.verdicts import Verdict

from sequoia_rollouts.submissions.acceptance_markers import (
    marker_key,
    write_marker,
)
from sequoia_rollouts.storage.batches import split_writes
from sequoia_rollouts.storage.stores import (
    ABSENT,
    Committer,
    ConflictError,
    Guard,
    RowRange,
    RowWrite,
    Transaction,
)
from sequoia_rollouts.storage.tables import submission_key, write_ownership

ACCEPT_TIMEOUT = timedelta(milliseconds=2500)


@frozen
class AcceptanceWriter:
    """Stores one submission with its ownership.

    Several hosts may store the same submission at the same time. They write
    the same rows, and only one of them accepts it.

    Attributes:
        specification: The rows of the submission.
        deadline: When to give up.
    """

    clock: Clock
    committer: Committer
    submission: Submission
    ownership: Ownership
    specification: Sequence[RowWrite]
    deadline: timedelta

    async def write(self) -> int | None:
        """Store the submission.

        Returns:
            The version of the ownership row; None if the submission had been
            accepted before.

        Raises:
            ServiceError: With verdict NOT_RUN only if the submission has not
                been accepted.
        """
        batches = split_writes(self.specification)
        try:
            if len(batches) == 1:
                return await self._write_ownership(batches[0])
            return await self._write_batches(batches)
        except ConflictError as conflict:
            if await self._is_accepted(conflict):
                return None
            raise ServiceError(
                Code.STORE_CONFLICT,
                verdict=Verdict.MAY_HAVE_RUN,
            ) from conflict

    async def _write_batches(
        self, batches: Sequence[tuple[RowWrite, ...]]
    ) -> int:
        marker = Guard(
            marker_key(self.submission.id), await self._write_marker()
        )
        for batch in batches[:-1]:
            await self._commit(batch, (marker, *guard_absence(batch)))
        return await self._write_ownership(batches[-1], marker)

    async def _write_marker(self) -> int:
        """Write the marker unless it exists; return its version."""
        key = marker_key(self.submission.id)
        marker = write_marker(self.submission.id, self.ownership.accepted)
        try:
            return await self._commit((marker,), guard_absence((marker,)))
        except ConflictError as conflict:
            row = conflict.find(key)
            if row is None:
                raise
            return row.version

    async def _write_ownership(
        self,
        batch: tuple[RowWrite, ...],
        marker: Guard | None = None,
    ) -> int:
        """Write the last rows and the ownership; remove the marker."""
        writes = (
            write_ownership(self.submission.id, self.ownership),
            *batch,
        )
        guards = guard_absence(writes)
        if marker:
            writes = (*writes, RowWrite(marker.key))
            guards = (*guards, marker)
        return await self._commit(writes, guards)

    async def _commit(
        self,
        writes: tuple[RowWrite, ...],
        guards: tuple[Guard, ...],
    ) -> int:
        remaining = self.deadline - self.clock.elapsed()
        return await self.committer.commit(
            Transaction(writes, guards), remaining
        )

    async def _is_accepted(self, conflict: ConflictError) -> bool:
        key = submission_key(self.submission.id)
        if conflict.find(key):
            return True
        page = await self.committer.store.read(
            RowRange(key.table, key.part, key.key, f'{key.key}\0')
        )
        return bool(page.rows)


def guard_absence(writes: Sequence[RowWrite]) -> tuple[Guard, ...]:
    """Return guards under which none of the written rows exists yet."""
    return tuple(Guard(write.key, ABSENT) for write in writes)
