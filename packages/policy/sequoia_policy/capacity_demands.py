"""Derives from steps whether there are enough engines."""

from collections import deque
from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field, frozen

HISTORY = timedelta(seconds=180)
RECENT = timedelta(seconds=20)
RATE_WINDOW = timedelta(seconds=10)
MIN_STEPS = 3  # from which anything is derived
LOW_QUANTILE = 4  # the lowest quarter
STEPS_AHEAD = 2  # that begin before an ordered engine serves
ABANDONED_SHARE = 3  # from which an open step is taken for abandoned


@frozen
class StepView:
    """A step as the table of owners shows it.

    Attributes:
        items: Number of its items.
        age: Time since its acceptance.
        due: Time from its acceptance until it is due.
        ended: Whether its caller needs no more results.
    """

    id: str
    items: int
    age: timedelta
    due: timedelta
    ended: bool = False

    @property
    def share(self) -> float:
        """Share of its time that has passed."""
        return self.age / self.due


@frozen
class FinishedStep:
    """A step that ended while it was observed.

    Attributes:
        share: Share of its time that it took.
        engines: Number of engines at its end.
    """

    started_at: timedelta
    ended_at: timedelta
    share: float
    items: int
    engines: int


@define
class StepHistory:
    """The steps of one service.

    Attributes:
        running: Open steps by id.
        finished: Steps that ended within HISTORY, oldest first.
    """

    running: dict[str, StepView] = field(factory=dict)
    finished: deque[FinishedStep] = field(factory=deque)

    def observe(
        self, now: timedelta, steps: Iterable[StepView], engines: int
    ) -> None:
        """Record the steps as they are now.

        Args:
            now: The present time.
            steps: All listed steps of the service.
            engines: Number of engines that run.
        """
        before = self.running
        self.running = {}
        for step in steps:
            if not step.ended:
                self.running[step.id] = step
            elif step.id in before:
                self.finished.append(
                    FinishedStep(
                        now - step.age, now, step.share, step.items, engines
                    )
                )
        while self.finished and self.finished[0].ended_at < now - HISTORY:
            self.finished.popleft()

    def find_need(self, now: timedelta, since: timedelta) -> float:
        """Return the share of their time that steps need at present.

        Args:
            now: The present time.
            since: Steps that began before do not count.
        """
        finished = [
            step.share
            for step in self.finished
            if step.started_at >= since and step.ended_at >= now - RECENT
        ]
        running = [
            step.share
            for step in self._list_expected()
            if now - step.age >= since
        ]
        shares = sorted((*finished, *running))
        lasting = shares[-2] if len(shares) > 1 else 0
        return max(lasting, extrapolate(finished))

    def find_busy(self, now: timedelta) -> float:
        """Return how many engines the steps of the last seconds keep busy.

        With fewer engines later steps wait longer and longer.
        """
        begin = now - RATE_WINDOW
        items = sum(
            step.items for step in self.finished if step.started_at >= begin
        )
        items += sum(
            step.items
            for step in self.running.values()
            if now - step.age >= begin
        )
        return items * self._find_load() / RATE_WINDOW.total_seconds()

    def find_peak(self, engines: int) -> float:
        """Return the most engines that a step within HISTORY kept busy.

        Args:
            engines: Number of engines that run.
        """
        loads = [step.share * step.engines for step in self.finished]
        loads.extend(step.share * engines for step in self._list_expected())
        return max(loads, default=0)

    def _find_load(self) -> float:
        """Return the engine-seconds of an item; 0 if unknown.

        They are those of the steps that waited least for others.
        """
        loads = sorted(
            (step.ended_at - step.started_at).total_seconds()
            * step.engines
            / step.items
            for step in self.finished
            if step.items
        )
        if len(loads) < MIN_STEPS:
            return 0
        return loads[len(loads) // LOW_QUANTILE]

    def _list_expected(self) -> list[StepView]:
        """Return the open steps that their callers still wait for.

        If callers end no steps at all, it is not known how long these took.
        """
        is_any_abandoned = any(
            step.share >= ABANDONED_SHARE for step in self.running.values()
        )
        if is_any_abandoned and not self.finished:
            return []
        return [
            step
            for step in self.running.values()
            if step.share < ABANDONED_SHARE
        ]


def extrapolate(shares: list[float]) -> float:
    """Return the share that steps will need when new engines serve.

    Args:
        shares: Shares of the last steps in the order of their ends.
    """
    last = shares[-MIN_STEPS:]
    if len(last) < MIN_STEPS or last != sorted(last):
        return 0
    slope = (last[-1] - last[0]) / (len(last) - 1)
    return last[-1] + slope * STEPS_AHEAD
