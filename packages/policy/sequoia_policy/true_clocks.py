"""True time, from the wall clocks of several hosts and the clock of the store.

The wall clock of one host may step. Each coordinator tells by how much its wall
clock is ahead of the store's, and every host uses the median of these.
"""

import statistics
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta

from attrs import define

from sequoia_policy.clocks import Clock
from sequoia_policy.store_clocks import StoreClock

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
MAX_AHEAD = 1e11  # seconds; a larger reading is an error of its writer
MIN_READINGS = 3  # with the own one, so that a single one decides nothing
# Larger changes come from steps: of the store's clock when it restarts, which
# hosts learn of one after the other, or of most wall clocks.
MAX_DRIFT = timedelta(milliseconds=250)
STEP_CONFIRMED_AFTER = timedelta(seconds=10)


@define
class TrueClock:
    """Estimates the time since 1970; it moves with the host's steady clock.

    Attributes:
        ahead: True time minus the steady clock of this host; None before the
            first use.
        is_shared: Whether other hosts have confirmed it.
        stepped: The value that the readings show, if it differs from ``ahead``
            by more than drift.
        stepped_at: When they first showed it.
    """

    clock: Clock
    store_clock: StoreClock
    ahead: timedelta | None = None
    is_shared: bool = False
    stepped: timedelta | None = None
    stepped_at: timedelta = timedelta()

    def now(self) -> timedelta:
        """Return the time since the start of 1970."""
        return self.convert(self.clock.elapsed())

    def convert(self, time: timedelta) -> timedelta:
        """Return the time since 1970 at a time of the host's steady clock."""
        if self.ahead is None:
            self.ahead = self._read_wall()
        return self.ahead + time

    def read_own(self) -> timedelta | None:
        """Return how far the host's wall clock is ahead of the store's clock.

        It is None while the clock of the store is not known.
        """
        if self.store_clock.offset is None:
            return None
        return self._read_wall() - self.store_clock.offset

    def update(self, readings: Iterable[float]) -> None:
        """Apply what other hosts tell.

        Args:
            readings: Seconds by which their wall clocks are ahead of the
                store's.
        """
        own, offset = self.read_own(), self.store_clock.offset
        if own is None or offset is None:
            return
        usable = [ahead for ahead in readings if abs(ahead) < MAX_AHEAD]
        usable.append(own.total_seconds())
        if len(usable) < MIN_READINGS:
            return
        found = timedelta(seconds=statistics.median(usable)) + offset
        if self.ahead is None or not self.is_shared:
            self.is_shared = True
            self.ahead = found
        elif abs(found - self.ahead) <= MAX_DRIFT:
            self.ahead = found
            self.stepped = None
        else:
            self._apply_step(found)

    def _apply_step(self, found: timedelta) -> None:
        """Apply a step once it was found for some time."""
        now = self.clock.elapsed()
        if self.stepped is None or abs(found - self.stepped) > MAX_DRIFT:
            self.stepped = found
            self.stepped_at = now
        elif now - self.stepped_at >= STEP_CONFIRMED_AFTER:
            self.ahead = found
            self.stepped = None

    def _read_wall(self) -> timedelta:
        return self.clock.now() - EPOCH - self.clock.elapsed()
