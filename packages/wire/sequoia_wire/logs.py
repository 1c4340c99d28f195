"""Structured logs: one line of JSON per event, a fixed prefix per component.

Writing never blocks: lines are dropped if the reader of the output is too slow.
The volume is limited per kind, with more room for failures and state changes
than for successes.
"""

import enum
import sys
from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import TextIO

import eliot
from attrs import define, field, frozen
from sequoia_policy.budgets import RateLimit

from sequoia_wire.sinks import LineSink

SUMMARY_INTERVAL = timedelta(seconds=1)


class LogKind(enum.Enum):
    """Kind of a log event, which determines its rate limit.

    Attributes:
        STATE: A start, a stop or a change of the state of the process.
        FAILURE: A refusal or a failure.
        SUCCESS: An operation that completed successfully.
    """

    STATE = 'state'
    FAILURE = 'failure'
    SUCCESS = 'success'


@define
class LogBudget:
    """Rate limits per kind of event, and counts of suppressed lines.

    Attributes:
        suppressed: Lines suppressed since the last summary, by event name.
        summarized_at: Time of the last summary.
    """

    clock: Callable[[], timedelta]
    limits: dict[LogKind, RateLimit] = field(
        factory=lambda: {
            LogKind.STATE: RateLimit(200, 1000),
            LogKind.FAILURE: RateLimit(100, 400),
            LogKind.SUCCESS: RateLimit(40, 200),
        },
    )
    suppressed: Counter[str] = field(factory=Counter)
    summarized_at: timedelta = timedelta()

    def try_admit(self, name: str, kind: LogKind) -> bool:
        """Return whether to write a line; count it as suppressed otherwise."""
        if self.limits[kind].try_acquire(self.clock()):
            return True
        self.suppressed[name] += 1
        return False

    def pop_summary(self) -> dict[str, int] | None:
        """Return and reset the counts of suppressed lines.

        Returns:
            Counts by event name, or None if there are none or the last summary
            is less than ``SUMMARY_INTERVAL`` old.
        """
        now = self.clock()
        if not self.suppressed or now - self.summarized_at < SUMMARY_INTERVAL:
            return None
        self.summarized_at = now
        counts = dict(self.suppressed)
        self.suppressed.clear()
        return counts


@define
class LogOutput:
    """Destination of the log lines of the process.

    Attributes:
        sink: None until ``start_logs`` is called.
        budget: Rate limits; None for no limit.
        observer: Called with each event, including suppressed ones.
    """

    sink: LineSink | None = None
    budget: LogBudget | None = None
    observer: Callable[['LogEvent', Mapping[str, object]], None] | None = None

    def flush(self) -> None:
        """Write queued lines without blocking."""
        if self.sink:
            self.sink.flush()


OUTPUT = LogOutput()
EVENTS: dict[str, 'LogEvent'] = {}  # noqa: WPS407


def start_logs(
    stream: TextIO = sys.stdout,
    clock: Callable[[], timedelta] | None = None,
    host: str = '',
) -> LogOutput:
    """Send all subsequent log lines to a stream.

    Args:
        stream: A stream with a file descriptor.
        clock: Clock of the rate limits; None for no limit.
        host: Host name to include in each line; empty for none.
    """
    sink = LineSink(stream.fileno())
    eliot.add_destinations(sink.write)
    if host:
        eliot.add_global_fields(host=host)
    OUTPUT.sink = sink
    OUTPUT.budget = LogBudget(clock) if clock else None
    return OUTPUT


@frozen
class LogEvent:
    """A declared log event.

    Attributes:
        name: Prefix of the component and a short sentence.
        fields: Names of the fields of each line.
    """

    name: str
    kind: LogKind
    fields: tuple[str, ...]

    def write(self, **fields: object) -> None:
        """Write a line for this event, subject to the rate limits."""
        if OUTPUT.observer:
            OUTPUT.observer(self, fields)
        budget = OUTPUT.budget
        if budget is None:
            eliot.log_message(self.name, **fields)
            return
        if budget.try_admit(self.name, self.kind):
            eliot.log_message(self.name, **fields)
        counts = budget.pop_summary()
        if counts:
            eliot.log_message('log: lines left out', counts=counts)


@frozen
class Log:
    """The log of one component of a process.

    Attributes:
        prefix: Name of the component, such as ``live``.
    """

    prefix: str

    def event(
        self,
        sentence: str,
        *fields: str,
        kind: LogKind = LogKind.STATE,
    ) -> LogEvent:
        """Declare an event of this component and register it in ``EVENTS``."""
        event = LogEvent(f'{self.prefix}: {sentence}', kind, fields)
        EVENTS[event.name] = event
        return event

    def write(self, sentence: str, **fields: object) -> None:
        """Write a line that is not a declared event, without rate limits."""
        eliot.log_message(f'{self.prefix}: {sentence}', **fields)
