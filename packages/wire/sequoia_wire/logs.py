"""Structured logs: one line of JSON an event, a fixed prefix per part.

Writing never blocks: a pipe that nobody reads costs lines, not time. The
volume is bounded; failures and changes of belief go before successes.
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

SUMMARY_PERIOD = timedelta(seconds=1)


class LogKind(enum.Enum):
    """What a line tells, which decides what goes first when there are many.

    Attributes:
        STATE: Start, stop, or a change of what the process believes.
        FAILURE: A refusal or a failure.
        SUCCESS: Something ended as it should.
    """

    STATE = 'state'
    FAILURE = 'failure'
    SUCCESS = 'success'


@define
class LogBudget:
    """Bounds the lines a second of each kind, and counts what it left out.

    Attributes:
        left_out: Lines that were not written since the last summary.
        summed_up: When the last summary was written.
    """

    clock: Callable[[], timedelta]
    limits: dict[LogKind, RateLimit] = field(
        factory=lambda: {
            LogKind.STATE: RateLimit(200, 1000),
            LogKind.FAILURE: RateLimit(100, 400),
            LogKind.SUCCESS: RateLimit(40, 200),
        },
    )
    left_out: Counter[str] = field(factory=Counter)
    summed_up: timedelta = timedelta()

    def admits(self, name: str, kind: LogKind) -> bool:
        """Tell whether a line may be written; count it if not."""
        if self.limits[kind].try_acquire(self.clock()):
            return True
        self.left_out[name] += 1
        return False

    def take_summary(self) -> dict[str, int] | None:
        """Return what was left out, at most once a period."""
        now = self.clock()
        if not self.left_out or now - self.summed_up < SUMMARY_PERIOD:
            return None
        self.summed_up = now
        counts = dict(self.left_out)
        self.left_out.clear()
        return counts


@define
class LogOutput:
    """Where the process writes its lines.

    Attributes:
        sink: None until the logs are started.
        budget: None for no bound.
        observer: Called with each event, also with those left out.
    """

    sink: LineSink | None = None
    budget: LogBudget | None = None
    observer: Callable[['LogEvent', Mapping[str, object]], None] | None = None

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        if self.sink:
            self.sink.flush()


OUTPUT = LogOutput()
EVENTS: dict[str, 'LogEvent'] = {}  # noqa: WPS407


def start_logs(
    stream: TextIO = sys.stdout,
    clock: Callable[[], timedelta] | None = None,
    host: str = '',
) -> LogOutput:
    """Write all later log lines to a stream.

    Args:
        stream: Has a file number.
        clock: Bounds the lines a second; None for no bound.
        host: Name that each line carries; empty for none.
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
    """One kind of line.

    Attributes:
        name: Prefix of the part and a short sentence.
        fields: Names of the fields that each line has.
    """

    name: str
    kind: LogKind
    fields: tuple[str, ...]

    def write(self, **fields: object) -> None:
        """Write one line."""
        if OUTPUT.observer:
            OUTPUT.observer(self, fields)
        budget = OUTPUT.budget
        if budget is None:
            eliot.log_message(self.name, **fields)
            return
        if budget.admits(self.name, self.kind):
            eliot.log_message(self.name, **fields)
        counts = budget.take_summary()
        if counts:
            eliot.log_message('log: lines left out', counts=counts)


@frozen
class Log:
    """The log of one part of a process.

    Attributes:
        prefix: Name of the part, such as ``live``.
    """

    prefix: str

    def event(
        self,
        sentence: str,
        *fields: str,
        kind: LogKind = LogKind.STATE,
    ) -> LogEvent:
        """Return a kind of line of this part, listed in ``EVENTS``."""
        event = LogEvent(f'{self.prefix}: {sentence}', kind, fields)
        EVENTS[event.name] = event
        return event

    def write(self, sentence: str, **fields: object) -> None:
        """Write one short sentence with its fields."""
        eliot.log_message(f'{self.prefix}: {sentence}', **fields)
