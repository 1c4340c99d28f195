"""Schedules the attempts of a step's slots, with hedges for slow ones."""

import statistics
from collections import defaultdict
from datetime import timedelta

from attrs import define, field, frozen

from sequoia_policy.plans import SlotOrder

MIN_ELAPSED = timedelta(
    milliseconds=300
)  # of an attempt before its rate is used
MIN_HEDGE_GAIN = timedelta(milliseconds=300)  # time that a hedge must save
# Minimum estimate of the length, as a multiple of the tokens so far.
MIN_LENGTH_FACTOR = 1.25
MIN_RATE = 0.1  # tokens per second


@frozen
class SlotPlan:
    """A slot that needs a sample.

    Attributes:
        index: Index within the step.
        group: Number of its group; the slots of a group share a prompt.
        max_tokens: Maximum length of the sample.
    """

    index: int
    group: int
    max_tokens: int


@frozen
class PlannedAttempt:
    """An attempt to start.

    Attributes:
        number: Number of the attempt within its schedule, from 1.
        hedged_attempt: Number of the attempt that this one hedges; None for a
            first attempt. A hedge continues from the tokens that the hedged
            attempt has so far.
    """

    slot: SlotPlan
    number: int
    hedged_attempt: int | None = None


@define
class RunningAttempt:
    """An attempt in progress.

    Attributes:
        progress: Number of tokens so far.
        first_token: Index of the first token that it generates itself; the
            tokens before are those of the attempt that it hedges.
    """

    planned: PlannedAttempt
    started_at: timedelta
    progress: int = 0
    first_token: int = 0

    def rate(self, now: timedelta) -> float:
        """Return the generation rate in tokens per second."""
        elapsed = max(now - self.started_at, MIN_ELAPSED)
        return (self.progress - self.first_token) / elapsed.total_seconds()


@define
class StepSchedule:
    """Schedules the slots of a step that belong to one shard.

    Slots start in decreasing order of estimated length, unless ``order`` says
    otherwise. When all slots are in progress, free capacity goes to hedges of
    attempts that an engine of median rate would finish sooner.

    Attributes:
        hedge_share: Share of the slots that may get a hedge.
        group_lengths: Lengths of the finished samples, by group.
        finished_rates: Rates of the finished attempts, in tokens per second.
    """

    slots: dict[int, SlotPlan]
    hedge_share: float
    order: SlotOrder = SlotOrder.LONGEST_FIRST
    open_slots: set[int] = field(init=False)
    running: dict[int, list[RunningAttempt]] = field(factory=dict)
    group_lengths: dict[int, list[int]] = field(
        factory=lambda: defaultdict(list)
    )
    finished_rates: list[float] = field(factory=list)
    attempt_count: int = 0
    hedge_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Mark all slots as open."""
        self.open_slots = set(self.slots)

    def start(self, free: int, now: timedelta) -> tuple[PlannedAttempt, ...]:
        """Return up to ``free`` attempts to start, and record them as running."""
        attempts: list[PlannedAttempt] = []
        while len(attempts) < free:
            slot = self._next_open_slot()
            planned = (
                self._start_attempt(slot, now)
                if slot
                else self._start_hedge(now)
            )
            if planned is None:
                break
            attempts.append(planned)
        return tuple(attempts)

    def finish(
        self,
        planned: PlannedAttempt,
        length: int,
        now: timedelta,
    ) -> tuple[int, ...]:
        """Record a complete sample; return the numbers of attempts to cancel."""
        slot = planned.slot
        self.group_lengths[slot.group].append(length)
        self.record_progress(planned, length)
        self.finished_rates.extend(
            running.rate(now)
            for running in self.running.get(slot.index, ())
            if running.planned.number == planned.number
        )
        return self.close(slot.index, keep=planned.number)

    def close(self, index: int, keep: int = 0) -> tuple[int, ...]:
        """Close a slot; return the numbers of its attempts to cancel.

        Args:
            index: Index of the slot.
            keep: Number of the attempt that is not cancelled; 0 for none.
        """
        self.open_slots.discard(index)
        attempts = self.running.pop(index, [])
        return tuple(
            attempt.planned.number
            for attempt in attempts
            if attempt.planned.number != keep
        )

    def fail(self, planned: PlannedAttempt) -> None:
        """Record a failed attempt; reopen its slot if no other is running."""
        index = planned.slot.index
        others = [
            running
            for running in self.running.get(index, [])
            if running.planned.number != planned.number
        ]
        if others:
            self.running[index] = others
        elif self.running.pop(index, None) is not None:
            self.open_slots.add(index)

    def reopen(self, index: int) -> None:
        """Reopen a slot whose sample became too stale."""
        if index in self.slots and index not in self.running:
            self.open_slots.add(index)

    def record_progress(self, planned: PlannedAttempt, tokens: int) -> None:
        """Record the number of tokens that an attempt has so far."""
        for running in self.running.get(planned.slot.index, ()):
            if running.planned.number == planned.number:
                running.progress = tokens

    @property
    def in_flight(self) -> int:
        """Number of attempts in progress."""
        return sum(len(attempts) for attempts in self.running.values())

    @property
    def is_idle(self) -> bool:
        """Whether no slot is open or in progress."""
        return not self.open_slots and not self.running

    def estimate(self, slot: SlotPlan) -> float:
        """Estimate the length in tokens from finished samples of the group."""
        lengths = self.group_lengths[slot.group]
        if not lengths:
            return slot.max_tokens
        return sum(lengths) / len(lengths)

    def _next_open_slot(self) -> SlotPlan | None:
        if not self.open_slots:
            return None
        candidates = [self.slots[index] for index in sorted(self.open_slots)]
        if self.order is SlotOrder.AS_GIVEN:
            return candidates[0]
        return max(candidates, key=self.estimate)

    def _start_hedge(self, now: timedelta) -> PlannedAttempt | None:
        """Start the hedge with the largest gain if it saves enough time."""
        if self.hedge_count >= self.hedge_share * len(self.slots):
            return None
        unhedged = [
            attempts[0]
            for attempts in self.running.values()
            if len(attempts) == 1
        ]
        if not unhedged:
            return None
        median_rate = self._median_rate(unhedged, now)
        gains = {
            attempt.planned.number: self._estimate_gain(
                attempt, median_rate, now
            )
            for attempt in unhedged
        }
        best = max(unhedged, key=lambda attempt: gains[attempt.planned.number])
        if gains[best.planned.number] < MIN_HEDGE_GAIN:
            return None
        self.hedge_count += 1
        return self._start_attempt(best.planned.slot, now, best)

    def _median_rate(
        self, unhedged: list[RunningAttempt], now: timedelta
    ) -> float:
        rates = self.finished_rates or [
            attempt.rate(now) for attempt in unhedged
        ]
        return max(1, statistics.median(rates))

    def _estimate_gain(
        self,
        attempt: RunningAttempt,
        median_rate: float,
        now: timedelta,
    ) -> timedelta:
        """Return the time that a hedge at the median rate would save."""
        if now - attempt.started_at < MIN_ELAPSED:
            return timedelta()
        total = max(
            self.estimate(attempt.planned.slot),
            attempt.progress * MIN_LENGTH_FACTOR,
        )
        remaining = total - attempt.progress
        unhedged_seconds = remaining / max(attempt.rate(now), MIN_RATE)
        return timedelta(seconds=unhedged_seconds - remaining / median_rate)

    def _start_attempt(
        self,
        slot: SlotPlan,
        now: timedelta,
        hedged: RunningAttempt | None = None,
    ) -> PlannedAttempt:
        self.attempt_count += 1
        self.open_slots.discard(slot.index)
        hedged_attempt = hedged.planned.number if hedged else None
        progress = hedged.progress if hedged else 0
        planned = PlannedAttempt(slot, self.attempt_count, hedged_attempt)
        self.running.setdefault(slot.index, []).append(
            RunningAttempt(planned, now, progress, progress),
        )
        return planned
