"""Counts of requests by window and client account."""

from collections.abc import Iterable, Mapping

from attrs import define, field

MAX_WINDOWS = 64  # the oldest is forgotten first
MAX_ACCOUNTS = 2000  # of one window


@define
class UsageCounts:
    """What one host has counted.

    Attributes:
        windows: Requests by account, by number of the window.
        stored: Number of requests of each window in the stored row.
        left_out: Requests that exceeded the bounds of memory.
    """

    windows: dict[int, dict[str, int]] = field(factory=dict)
    stored: dict[int, int] = field(factory=dict)
    left_out: int = 0

    def add(self, window: int, account: str) -> None:
        """Count one request."""
        counts = self.windows.get(window)
        if counts is None:
            counts = self.windows.setdefault(window, {})
            if len(self.windows) > MAX_WINDOWS:
                oldest = min(self.windows)
                self.left_out += self.count(oldest) - self.stored.get(oldest, 0)
                self.forget(oldest)
        if account not in counts and len(counts) >= MAX_ACCOUNTS:
            self.left_out += 1
            return
        counts[account] = counts.get(account, 0) + 1

    def count(self, window: int) -> int:
        """Return the number of requests of a window."""
        return sum(self.windows.get(window, {}).values())

    def list_changed(self) -> list[int]:
        """Return the windows whose row lacks requests, oldest first."""
        return sorted(
            window
            for window in self.windows
            if self.count(window) != self.stored.get(window, 0)
        )

    def record_stored(self, window: int, counts: Mapping[str, int]) -> None:
        """Record what the row of a window contains."""
        if window in self.windows:
            self.stored[window] = sum(counts.values())

    def forget(self, window: int) -> None:
        """Forget a window."""
        self.windows.pop(window, None)
        self.stored.pop(window, None)


def sum_counts(rows: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Return the sums by account, ordered by its name; the smallest are left
    out if there are too many accounts."""
    sums: dict[str, int] = {}
    for counts in rows:
        for account, count in counts.items():
            if count > 0:
                sums[account] = sums.get(account, 0) + count
    largest = sorted(sums, key=lambda account: (-sums[account], account))
    return {
        account: sums[account] for account in sorted(largest[:MAX_ACCOUNTS])
    }
