"""Reads what the store keeps of a submission."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import field, frozen
from sequoia_policy.submissions import ItemResult, Submission
from sequoia_wire.codecs import decode

from sequoia_rollouts.generations import Generation
from sequoia_rollouts.progress import restore_generations
from sequoia_rollouts.stores import Row, Store, read_all
from sequoia_rollouts.tables import (
    progress_range,
    results_range,
    specification_range,
)


@frozen
class StoredResults:
    """Results of a submission from a position on.

    Attributes:
        more: Whether the store has further results.
    """

    results: tuple[ItemResult, ...] = field(repr=False)
    more: bool = False


@frozen
class StoredSubmission:
    """All that the store keeps of a submission's work.

    Attributes:
        listed: Results by position.
        generations: What was generated of items, by id.
        now: The store's clock when it was read.
    """

    submission: Submission
    listed: tuple[ItemResult, ...] = field(repr=False)
    generations: dict[str, Generation] = field(repr=False)
    now: timedelta


@frozen
class Archive:
    """The stored rows of submissions."""

    store: Store

    async def read_submission(self, submission_id: str) -> Submission:
        """Return a submission as it was accepted.

        Raises:
            ServiceError: If the store does not answer.
        """
        wanted = specification_range(submission_id)
        page = await read_all(self.store, wanted)
        return join_specification(page.rows)

    async def read_results(
        self,
        submission_id: str,
        after: int,
    ) -> tuple[ItemResult, ...]:
        """Return the first results from a position on.

        Raises:
            ServiceError: If the store does not answer.
        """
        page = await self.store.read(results_range(submission_id, after))
        return join_results(page.rows, more=page.more).results

    async def read_work(self, submission_id: str) -> StoredSubmission:
        """Return a submission with all that was done for it.

        Raises:
            ServiceError: If the store does not answer.
        """
        submission = await self.read_submission(submission_id)
        page = await read_all(self.store, results_range(submission_id))
        saved = await read_all(self.store, progress_range(submission_id))
        return StoredSubmission(
            submission,
            join_results(page.rows, more=False).results,
            restore_generations(submission, saved.rows),
            page.now,
        )


def join_specification(rows: Iterable[Row]) -> Submission:
    """Decode a submission from the rows of its specification.

    Raises:
        ServiceError: If they cannot be read.
    """
    content = b''.join(row.body or b'' for row in rows)
    return decode(content, Submission)


def join_results(rows: Iterable[Row], *, more: bool) -> StoredResults:
    """Decode results from rows in order of position.

    Args:
        rows: Rows of a range of results.
        more: Whether the range went on; the last result is then left out,
            as it may lack pieces.

    Raises:
        ServiceError: If one cannot be read.
    """
    bodies: dict[str, bytes] = {}
    for row in rows:
        position = row.key.key.split('/')[1]
        bodies[position] = bodies.get(position, b'') + (row.body or b'')
    wholes = list(bodies.values())
    if more and len(wholes) > 1:
        wholes.pop()
    return StoredResults(
        tuple(decode(whole, ItemResult) for whole in wholes),
        more,
    )
