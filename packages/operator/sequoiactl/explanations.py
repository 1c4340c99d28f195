"""Selects the log lines that explain a request, item or submission."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime, timedelta

import orjson
from attrs import field, frozen

ID_FIELDS = ('request_id', 'submission')
HIDDEN_FIELDS = frozenset(
    ('timestamp', 'task_uuid', 'task_level', 'message_type', 'host'),
)
CONTEXT_MARGIN = timedelta(seconds=1)  # before and after the matching lines
HOST_EVENTS = frozenset(
    (
        'directory: configuration in force',
        'feed: history lost',
        'feed: store is away',
        'feed: store is back',
        'host: host drains',
        'host: host started',
        'host: host stopped',
        'host: part failed',
        'host: settings changed',
        'log: lines dropped, the reader is too slow',
        'log: lines left out',
        'owner: not adopted',
        'peers: cut off',
        'peers: reachable again',
        'presence: heartbeat missed',
    ),
)
TARGET_EVENTS = frozenset(
    (
        'directory: engine note',
        'directory: target gone',
        'directory: target registered',
        'weights: order failed',
        'weights: order given',
    ),
)


@frozen
class LogLine:
    """A decoded log line.

    Attributes:
        at: When the line was written, in UTC.
        host: Host that wrote the line; empty if the line names none.
        name: Event name: prefix of the logger and sentence.
        fields: All fields of the line.
    """

    at: datetime
    host: str
    name: str
    fields: dict[str, object] = field(factory=dict)

    def mentions(self, ids: frozenset[str]) -> bool:
        """Return whether an id field or the path contains one of the ids."""
        if any(self.fields.get(name) in ids for name in ID_FIELDS):
            return True
        return any(name in str(self.fields.get('path', '')) for name in ids)

    def render(self, start: datetime) -> str:
        """Return the line as text, with the seconds since ``start``."""
        seconds = (self.at - start).total_seconds()
        pairs = [
            f'{name}={content}'
            for name, content in self.fields.items()
            if name not in HIDDEN_FIELDS
        ]
        details = ' '.join(pairs)
        return f'{seconds:+9.3f}s  {self.host:<20} {self.name}  {details}'


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Decode log lines, skipping lines that are not log lines."""
    for text in texts:
        line = read_line(text)
        if line is not None:
            yield line


def read_line(text: str) -> LogLine | None:
    """Decode a log line, ignoring text before the JSON.

    Returns None if the text is not a log line.
    """
    _before, brace, rest = text.partition('{')
    try:
        fields = orjson.loads(f'{brace}{rest}')
    except ValueError:
        return None
    if not isinstance(fields, dict) or 'message_type' not in fields:
        return None
    timestamp = fields.get('timestamp', 0)
    return LogLine(
        datetime.fromtimestamp(float(timestamp), UTC),
        str(fields.get('host', '')),
        str(fields['message_type']),
        fields,
    )


def select_lines(lines: Iterable[LogLine], searched_id: str) -> list[LogLine]:
    """Return the lines that explain the outcome of an id, ordered by time.

    These are the lines that mention the id and, for an item, those of its
    submission. Events of the involved hosts and targets at that time are
    added.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    matching = [
        line for line in ordered if line.mentions(frozenset((searched_id,)))
    ]
    if not matching:
        return []
    submissions = frozenset(
        str(line.fields['submission'])
        for line in matching
        if line.fields.get('submission') and line.fields.get('request_id')
    )
    related = [
        line
        for line in ordered
        if line in matching or is_about_submission(line, submissions)
    ]
    return [
        line
        for line in ordered
        if line in related or is_context(line, related, matching)
    ]


def is_about_submission(line: LogLine, submissions: frozenset[str]) -> bool:
    """Return whether a line concerns a submission as a whole."""
    if 'request_id' in line.fields:
        return False
    return line.fields.get('submission') in submissions


def is_context(
    line: LogLine,
    related: list[LogLine],
    matching: list[LogLine],
) -> bool:
    """Return whether a line is an event of an involved host or target.

    Events count between the first and the last matching line, extended by
    the margin. Events of hosts count for hosts of all related lines; events
    of targets only for hosts and targets of the matching lines.
    """
    first = matching[0].at - CONTEXT_MARGIN
    last = matching[-1].at + CONTEXT_MARGIN
    if not first <= line.at <= last:
        return False
    if line.name in HOST_EVENTS:
        return line.host in {other.host for other in related}
    if line.name in TARGET_EVENTS:
        targets = {other.fields.get('target') for other in matching}
        hosts = {other.host for other in matching}
        return line.fields.get('target') in targets and line.host in hosts
    return False
