"""Quarantine of requests under which one target after the other crashed."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import evolve, frozen

CRASHES_TO_QUARANTINE = 3
MIN_QUARANTINE = timedelta(minutes=2)
MAX_DOUBLINGS = 5
FORGET_AFTER = timedelta(minutes=10)  # if there are too few crashes
MAX_TARGETS = 16  # whose names are kept


@frozen
class CrashRecord:
    """The targets that crashed under one request.

    Attributes:
        targets: Names of the processes that crashed.
        last_at: When the last one crashed, or the request was last tried after
            a quarantine, on the store's clock.
    """

    targets: tuple[str, ...] = ()
    last_at: timedelta = timedelta()

    @property
    def is_dangerous(self) -> bool:
        """Whether the request crashes targets, rather than one by chance."""
        return len(self.targets) >= CRASHES_TO_QUARANTINE

    @property
    def ends_at(self) -> timedelta:
        """When the quarantine ends, or the record is to be forgotten.

        The quarantine doubles with each crash after it.
        """
        if not self.is_dangerous:
            return self.last_at + FORGET_AFTER
        doublings = len(self.targets) - CRASHES_TO_QUARANTINE
        length = MIN_QUARANTINE * (1 << min(doublings, MAX_DOUBLINGS))
        return self.last_at + length

    def is_quarantined(self, now: timedelta | None) -> bool:
        """Return whether the request must not be sent to any target.

        Args:
            now: Time by the clock of the store; None if it is not known, so
                that no quarantine can have ended.
        """
        return self.is_dangerous and (now is None or now < self.ends_at)

    def is_forgotten(self, now: timedelta | None) -> bool:
        """Return whether too few crashes were long ago; None as above."""
        if now is None or self.is_dangerous:
            return False
        return now >= self.ends_at

    def find_wait(self, now: timedelta | None) -> timedelta:
        """Return the time to the end, zero if the time is not known."""
        return timedelta() if now is None else self.ends_at - now

    def add(self, targets: Iterable[str], now: timedelta) -> 'CrashRecord':
        """Return the record after more targets have crashed."""
        names = tuple(dict.fromkeys((*self.targets, *targets)))
        if names == self.targets:
            return self
        return CrashRecord(names[:MAX_TARGETS], max(self.last_at, now))

    def try_again(self, now: timedelta) -> 'CrashRecord':
        """Return the record after the request was tried once more."""
        return evolve(self, last_at=now)
