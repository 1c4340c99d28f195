"""Tests that the operations page lists every log event with its fields."""

import importlib
import re
from pathlib import Path

from sequoia_wire.logs import EVENTS

ROOT = Path(__file__).parents[3]
PAGE = ROOT / 'docs' / 'OPERATIONS.md'
FOLDERS = (
    ROOT / 'packages' / 'rollouts' / 'sequoia_rollouts',
    ROOT / 'platform' / 'sequoia_platform',
)


def list_events():
    """Return the expected rows of the page."""
    for folder in FOLDERS:
        for source in sorted(folder.rglob('*.py')):
            import_source(folder, source)
    return {
        describe(event)
        for name, event in EVENTS.items()
        if not name.startswith('part: ')
    }


def describe(event):
    fields = ', '.join(event.fields)
    return f'| `{event.name}` | {event.kind.value} | {fields} |'


def test_operations_page_lists_exactly_the_declared_events():
    table = PAGE.read_text().partition('## All events')[2]
    listed = set(re.findall(r'^\| `.*\|$', table, re.MULTILINE))
    assert listed == list_events()


def test_every_written_event_has_the_declared_fields():
    for folder in FOLDERS:
        for source in folder.rglob('*.py'):
            check_calls(folder, source)


def import_source(folder, source):
    parts = source.relative_to(folder.parent).with_suffix('').parts
    return importlib.import_module('.'.join(parts))


def check_calls(folder, source):
    """Compare the keywords of each written event with its declaration."""
    module = import_source(folder, source)
    calls = re.findall(
        r'\b([A-Z][A-Z_]+)\.write\(((?:[^()]|\([^()]*\)|\((?:[^()]|\([^()]*\))*\))*)\)',
        source.read_text(),
    )
    for name, arguments in calls:
        keywords = re.findall(r'(?:^|,)\s*([a-z_]+)=', arguments)
        event = getattr(module, name)
        assert tuple(keywords) == event.fields, f'{source.name}: {name}'
