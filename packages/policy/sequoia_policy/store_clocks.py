"""The clock of the store, as far as its responses have told it."""

from datetime import timedelta

from attrs import define

from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.verdicts import Verdict

RETRY_AFTER = timedelta(milliseconds=500)


@define
class StoreClock:
    """Estimates the clock of the store; it has no time before the first read.

    The clocks of the store and of a host may be hours apart, so that no time of
    the host can stand in for one of the store.

    Attributes:
        clock: The clock of this host.
        offset: The store's clock minus that of this host; None if not read.
    """

    clock: Clock
    offset: timedelta | None = None

    def record(self, store_time: timedelta, received_at: timedelta) -> None:
        """Record the time in a response.

        Args:
            store_time: What the store's clock showed.
            received_at: When the response came, by the clock of this host.
        """
        self.offset = store_time - received_at

    def now(self) -> timedelta | None:
        """Return the store's time, None if it is not known."""
        return self.convert(self.clock.elapsed())

    def convert(self, time: timedelta) -> timedelta | None:
        """Return the store's time at a time of this host, None if not known."""
        return None if self.offset is None else time + self.offset

    def read(self) -> timedelta:
        """Return the store's time for something that is to be stored.

        Raises:
            ServiceError: With code STORE_UNAVAILABLE if it is not known.
        """
        now = self.now()
        if now is None:
            raise ServiceError(
                Code.STORE_UNAVAILABLE,
                'the clock of the store is not known',
                verdict=Verdict.NOT_RUN,
                retry_after=RETRY_AFTER,
            )
        return now
