"""Reads the stored rows of a submission."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import field, frozen
from sequoia_policy.submissions import ItemResult, Submission
from sequoia_wire.codecs import decode

from sequoia_rollouts.streaming.generations import Generation
from sequoia_rollouts.submissions.progress import restore_generations
from sequoia_rollouts.storage.stores import Row, Store, read_all
from sequoia_rollouts.storage.tables import (
    progress_range,
    results_range,
    specification_range,
)


@frozen
class StoredResults:
    """Consecutive results of a submission.

    Attributes:
        more: Whether the store has further results.
    """

    results: tuple[ItemResult, ...] = field(repr=False)
    more: bool = False


@frozen
class StoredSubmission:
    """A submission with its stored results and progress.

    Attributes:
        results: Results by position.
        generations: Saved generations, by item id.
        now: The store's clock when the results were read.
    """

    submission: Submission
    results: tuple[ItemResult, ...] = field(repr=False)
    generations: dict[str, Generation] = field(repr=False)
    now: timedelta


@frozen
class Archive:
    """Reads submissions from the store."""

    store: Store

    async def read_submission(self, submission_id: str) -> Submission:
        """Return a submission as it was accepted.

        Raises:
            ServiceError: If the store does not respond.
        """
        key_range = specification_range(submission_id)
        page = await read_all(self.store, key_range)
        return join_specification(page.rows)

    async def read_results(
        self,
        submission_id: str,
        after: int,
    ) -> tuple[ItemResult, ...]:
        """Return the first stored results from a position on.

        Raises:
            ServiceError: If the store does not respond.
        """
        page = await self.store.read(results_range(submission_id, after))
        return join_results(page.rows, more=page.more).results

    async def read_stored_submission(
        self, submission_id: str
    ) -> StoredSubmission:
        """Return a submission with its results and saved generations.

        Raises:
            ServiceError: If the store does not respond.
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
        ServiceError: If the rows do not hold a submission.
    """
    content = b''.join(row.body or b'' for row in rows)
    return decode(content, Submission)


def join_results(rows: Iterable[Row], *, more: bool) -> StoredResults:
    """Decode results from rows in order of position.

    Args:
        rows: Rows of a range of results.
        more: Whether the range has further rows; the last result is then left
            out, because some of its rows may be missing.

    Raises:
        ServiceError: If a result cannot be decoded.
    """
    bodies: dict[str, bytes] = {}
    for row in rows:
        position = row.key.key.split('/')[1]
        bodies[position] = bodies.get(position, b'') + (row.body or b'')
    encoded_results = list(bodies.values())
    if more and len(encoded_results) > 1:
        encoded_results.pop()
    return StoredResults(
        tuple(
            decode(encoded_result, ItemResult)
            for encoded_result in encoded_results
        ),
        more,
    )
