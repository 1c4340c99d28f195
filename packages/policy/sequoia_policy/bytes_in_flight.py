"""Bounds the bytes of request bodies that one target holds for this host."""

from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from attrs import define, field

from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.memory_budgets import SMALL_BYTES
from sequoia_policy.verdicts import Verdict

RETRY_AFTER = timedelta(seconds=1)


@define
class BytesInFlight:
    """Bytes of the bodies in flight to each target.

    Attributes:
        limit: Maximum for one target; None for no limit.
        held: Bytes by name of the target, without targets that have none.
    """

    limit: int | None = None
    held: dict[str, int] = field(factory=lambda: defaultdict(int))

    @contextmanager
    def hold(self, target: str, size: int) -> Iterator[None]:
        """Count a body as in flight to a target in the context.

        Raises:
            ServiceError: With code TARGET_LIMITED if a large body would exceed
                the limit. A body is never refused for its own size alone.
        """
        if not self._fits(self.held.get(target, 0), size):
            raise ServiceError(
                Code.TARGET_LIMITED,
                f'too many bytes are in flight to {target}',
                verdict=Verdict.NOT_RUN,
                retry_after=RETRY_AFTER,
            )
        self.held[target] += size
        try:
            yield
        finally:
            self.held[target] -= size
            if not self.held[target]:
                self.held.pop(target)

    def _fits(self, held: int, size: int) -> bool:
        if self.limit is None or size <= SMALL_BYTES:
            return True
        return held <= SMALL_BYTES or held + size <= self.limit
