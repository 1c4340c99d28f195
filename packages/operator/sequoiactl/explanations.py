"""Picks the log lines that explain one request, item or submission."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime, timedelta

import orjson
from attrs import field, frozen

ID_FIELDS = ('request_id', 'submission')
HIDDEN_FIELDS = frozenset(
    ('timestamp', 'task_uuid', 'task_level', 'message_type', 'host'),
)
AROUND = timedelta(seconds=1)  # before and after the story's own lines
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
    """One line of a log.

    Attributes:
        host: Name of the host that wrote it; empty if the line has none.
        name: Prefix of the part and the sentence.
    """

    at: datetime
    host: str
    name: str
    fields: dict[str, object] = field(factory=dict)

    def mentions(self, ids: frozenset[str]) -> bool:
        """Tell whether the line is about one of some ids."""
        if any(self.fields.get(name) in ids for name in ID_FIELDS):
            return True
        return any(name in str(self.fields.get('path', '')) for name in ids)

    def render(self, start: datetime) -> str:
        """Return the line for people, with the time since ``start``."""
        since = (self.at - start).total_seconds()
        pairs = [
            f'{name}={content}'
            for name, content in self.fields.items()
            if name not in HIDDEN_FIELDS
        ]
        details = ' '.join(pairs)
        return f'{since:+9.3f}s  {self.host:<20} {self.name}  {details}'


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Decode log lines; text before the JSON and other lines are left out."""
    for text in texts:
        line = read_line(text)
        if line is not None:
            yield line


def read_line(text: str) -> LogLine | None:
    """Decode a log line, None if it is none."""
    _before, brace, rest = text.partition('{')
    try:
        fields = orjson.loads(f'{brace}{rest}')
    except ValueError:
        return None
    if not isinstance(fields, dict) or 'message_type' not in fields:
        return None
    moment = fields.get('timestamp', 0)
    return LogLine(
        datetime.fromtimestamp(float(moment), UTC),
        str(fields.get('host', '')),
        str(fields['message_type']),
        fields,
    )


def select_lines(lines: Iterable[LogLine], wanted: str) -> list[LogLine]:
    """Return the lines that explain what became of an id, in order of time.

    These are the lines about the id and, for an item, about its submission;
    and what happened meanwhile to the hosts and targets that they name.
    """
    known = sorted(lines, key=lambda line: line.at)
    own = [line for line in known if line.mentions(frozenset((wanted,)))]
    if not own:
        return []
    parents = frozenset(
        str(line.fields['submission'])
        for line in own
        if line.fields.get('submission') and line.fields.get('request_id')
    )
    story = [
        line
        for line in known
        if line in own or is_about_submission(line, parents)
    ]
    return [
        line for line in known if line in story or is_beside(line, story, own)
    ]


def is_about_submission(line: LogLine, submissions: frozenset[str]) -> bool:
    """Tell whether a line is about a whole submission."""
    if 'request_id' in line.fields:
        return False
    return line.fields.get('submission') in submissions


def is_beside(
    line: LogLine,
    story: list[LogLine],
    own: list[LogLine],
) -> bool:
    """Tell whether a line says what happened around a story meanwhile."""
    first = own[0].at - AROUND
    last = own[-1].at + AROUND
    if not first <= line.at <= last:
        return False
    if line.name in HOST_EVENTS:
        return line.host in {one.host for one in story}
    if line.name in TARGET_EVENTS:
        targets = {one.fields.get('target') for one in own}
        hosts = {one.host for one in own}
        return line.fields.get('target') in targets and line.host in hosts
    return False
