"""Counts requests when a target's response shows that they ran."""

from datetime import timedelta

from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.store_clocks import StoreClock
from sequoia_policy.true_clocks import TrueClock
from sequoia_policy.usage_counts import UsageCounts
from sequoia_policy.usage_windows import UsageTiming


@define
class UsageCounter:
    """Counts the live requests and streams of client accounts at this host.

    Attributes:
        true_clock: Tells the windows.
        counts: What was counted.
        timing: Times of windows; None while nothing is to be counted.
    """

    clock: Clock
    true_clock: TrueClock
    counts: UsageCounts = field(factory=UsageCounts)
    timing: UsageTiming | None = None

    def record(self, account: str, began_at: timedelta | None) -> None:
        """Count one request.

        Args:
            account: Name of the client account; empty for none.
            began_at: When a target began to work on it, by the clock of this
                host; None if none is known to have begun.
        """
        if self.timing is None or not account or began_at is None:
            return
        time = self.true_clock.convert(began_at)
        self.counts.add(self.timing.find_window(time), account)


def make_counter(clock: Clock, store_clock: StoreClock) -> UsageCounter:
    """Return a counter that counts nothing yet."""
    return UsageCounter(clock, TrueClock(clock, store_clock))
