"""Writes what this host has counted into a row for each window."""

import random
from collections.abc import Iterable, Mapping
from datetime import timedelta

import curio
from attrs import define, evolve, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.usage_windows import UsageTiming
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.storage.stores import (
    ABSENT,
    ConflictError,
    Guard,
    Row,
    RowWrite,
    Store,
    Transaction,
)
from sequoia_rollouts.usage.counters import UsageCounter
from sequoia_rollouts.usage.usage_rows import counts_key, encode_counts

RETRY_BACKOFF = timedelta(milliseconds=700)

log = Log('usage')
COUNTS_NOT_WRITTEN = log.event(
    'counts not written', 'window', 'requests', 'detail', kind=LogKind.FAILURE
)
REQUESTS_LEFT_OUT = log.event(
    'requests left out', 'requests', kind=LogKind.FAILURE
)
COUNTS_LOST = log.event(
    'counts lost', 'window', 'requests', kind=LogKind.FAILURE
)


@define(eq=False)
class UsageWriter:
    """Writes the counts of this host, and its clock for other hosts.

    Attributes:
        versions: Version of the row of each window.
    """

    clock: Clock
    store: Store
    heartbeats: HeartbeatService
    counter: UsageCounter
    timing: UsageTiming
    rng: random.Random
    versions: dict[int, int] = field(factory=dict)

    async def step(self) -> None:
        """Wait until counts are to be written, and write them."""
        self.compare_clocks()
        now = self.counter.true_clock.now()
        next_write = self.timing.find_next_write(now, self.rng.random())
        await curio.sleep((next_write - now).total_seconds())
        self.compare_clocks()
        if not await self.flush():
            await curio.sleep(RETRY_BACKOFF.total_seconds())
            await self.flush()

    def compare_clocks(self) -> None:
        """Correct the clock by those of other hosts, and tell them this one."""
        true_clock = self.counter.true_clock
        own = self.heartbeats.own
        ahead = true_clock.read_own()
        if ahead is not None:
            seconds = round(ahead.total_seconds(), 3)
            own.heartbeat = evolve(own.heartbeat, wall_ahead=seconds)
        others = [
            lease.heartbeat.wall_ahead
            for lease in self.heartbeats.leases.values()
            if lease.heartbeat.owner != self.heartbeats.owner
        ]
        true_clock.update(ahead for ahead in others if ahead is not None)

    async def finish(self) -> None:
        """Write what is left at the stop of the host."""
        windows = self.counter.counts.list_changed
        if not await self._write_all(windows()):
            # Another write of the same row was under way.
            await self._write_all(windows())

    async def flush(self) -> bool:
        """Write the counts that are due; return whether all are stored."""
        self._forget_expired()
        now = self.counter.true_clock.now()
        return await self._write_all(
            window
            for window in self.counter.counts.list_changed()
            if self.timing.is_writable(window, now)
        )

    async def _write_all(self, windows: Iterable[int]) -> bool:
        counts = self.counter.counts
        are_stored = True
        for window in windows:
            snapshot = dict(counts.windows.get(window, {}))
            try:
                are_stored &= await self._write(window, snapshot)
            except ServiceError as failure:
                COUNTS_NOT_WRITTEN.write(
                    window=window,
                    requests=sum(snapshot.values()),
                    detail=failure.detail,
                )
                return False
        return are_stored

    def _forget_expired(self) -> None:
        """Forget windows that are not reported any more."""
        counts = self.counter.counts
        if counts.left_out:
            REQUESTS_LEFT_OUT.write(requests=counts.left_out)
            counts.left_out = 0
        now = self.counter.true_clock.now()
        for window in sorted(counts.windows):
            if not self.timing.has_expired(window, now):
                break
            self._log_lost(window)
            self._forget(window)

    def _apply_conflict(self, window: int, row: Row | None) -> None:
        """Apply the row as it is: an earlier write was carried out.

        The row is missing once the window has been summed.
        """
        if row:
            self.versions[window] = row.version
            return
        self._log_lost(window)
        self._forget(window)

    def _log_lost(self, window: int) -> None:
        counts = self.counter.counts
        lost = counts.count(window) - counts.stored.get(window, 0)
        if lost:
            COUNTS_LOST.write(window=window, requests=lost)

    def _forget(self, window: int) -> None:
        self.counter.counts.forget(window)
        self.versions.pop(window, None)

    async def _write(self, window: int, counts: Mapping[str, int]) -> bool:
        """Replace the row of a window; return whether that took effect.

        Its version is guarded, as an earlier write without a response may still
        be carried out.
        """
        key = counts_key(window, self.heartbeats.owner)
        guard = Guard(key, self.versions.get(window, ABSENT))
        write = RowWrite(key, encode_counts(counts))
        try:
            version = await self.store.commit(Transaction((write,), (guard,)))
        except ConflictError as conflict:
            self._apply_conflict(window, conflict.find(key))
            return False
        self.versions[window] = version
        self.counter.counts.record_stored(window, counts)
        return True
