"""Pages of the results of a submission."""

from attrs import field, frozen
from sequoia_policy.submissions import ItemResult

MAX_PAGE_BYTES = 700_000  # of the texts in one response


@frozen
class ResultPage:
    """A page of the results of a submission.

    Attributes:
        total: Number of items of the submission.
        after: Position of the first result of the page.
        account: Client account of the submission, empty for none; None if it is
            not known.
    """

    total: int
    after: int
    results: tuple[ItemResult, ...] = field(repr=False)
    account: str | None = None


def limit_page(results: tuple[ItemResult, ...]) -> tuple[ItemResult, ...]:
    """Return the first results that fit into one page, at least one."""
    size = 0
    for count, item_result in enumerate(results):
        size += len(item_result.text.encode())
        if count and size > MAX_PAGE_BYTES:
            return results[:count]
    return results
