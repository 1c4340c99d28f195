"""Tests of hosts that read odd rows of other writers."""

import base64

import curio
import orjson
import pytest
from engine_standin import MODEL
from sequoia_platform.engines import PlatformDialect
from sequoia_platform.entries import PlatformReader
from sequoia_platform.stores import read_rows
from sequoia_policy.errors import ServiceError
from sequoia_rollouts.live import quarantines
from sequoia_rollouts.targets import permit_rows, published_targets
from sequoia_rollouts.submissions.acceptance_markers import ACCEPTANCES
from sequoia_rollouts.streaming.events import EventReader
from sequoia_rollouts.storage.stores import Row, RowKey
from sequoia_rollouts.base.supervisors import PART_FAILED
from sequoia_rollouts.storage.tables import (
    COORDINATORS,
    HOSTS,
    KEYS,
    OWNERSHIP,
    PARTITIONS,
    find_partition,
)
from sequoia_wire.codecs import decode
from sequoia_wire.messages import ResponseHead, parse_address
from sites import open_site, wait_until

# Decoders accept it, but it cannot be shown.
DEEP = b'%b%b' % (b'[' * 900, b']' * 900)
TOO_DEEP = b'%b%b' % (b'[' * 5000, b']' * 5000)
HUGE = b'1e308'
LONG = b'9' * 60
MANY_DIGITS = '9' * 5000  # more than an integer may be parsed from
ODD_VALUES = (DEEP, TOO_DEEP, HUGE, LONG, b'-1', b'0.5', b'true', b'"x"', b'[]')
# Combinations of a field and an odd value that a sound entry may have.
SOUND_FIELDS = (
    ('models', b'[]'),
    ('service', b'"x"'),
    ('zone', b'"x"'),
    ('version', b'"x"'),
    ('name', b'"x"'),
    ('coldLeftMs', b'0.5'),
    ('coldLeftMs', HUGE),
    ('coldLeftMs', LONG),
)
ENTRY = {
    'service': 'pool',
    'address': '10.1.0.9:8080',
    'zone': 'z1',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'coldLeftMs': 0,
    'seq': 3,
    'born': 1,
    'models': [{'name': MODEL, 'version': 1, 'adapters': []}],
}
ODD_ADDRESSES = (
    '10.1.0.9:65536',
    '10.1.0.9:99999999999999999999',
    '10.1.0.9:0',
    '10.1.0.9:-1',
    '10.1.0.9: 80',
    '10.1.0.999:80',
    'nowhere:80',
    ':80',
    '10.1.0.9',
)


def replace(fields, name, content):
    """Return the JSON of an object with one field replaced by raw JSON."""
    marked = orjson.dumps({**fields, name: '@'})
    return marked.replace(b'"@"', content)


def list_odd_entries():
    """Return entries that differ from a sound one in a single field."""
    return list(make_odd_entries())


def make_odd_entries():
    model = {'name': MODEL, 'version': 1}
    for content in ODD_VALUES:
        for name in ENTRY:
            if (name, content) not in SOUND_FIELDS:
                yield replace(ENTRY, name, content)
        for name in ('name', 'version'):
            if (name, content) not in SOUND_FIELDS:
                models = b'[%b]' % replace(model, name, content)
                yield replace(ENTRY, 'models', models)
    for address in ODD_ADDRESSES:
        yield orjson.dumps({**ENTRY, 'address': address})
    for name in ENTRY.keys() - {'born', 'models'}:
        yield orjson.dumps({key: ENTRY[key] for key in ENTRY if key != name})
    yield from (b'', b'\xff\xfe', b'null', b'7', TOO_DEEP, DEEP)


def read_entry(name, content):
    row = Row(RowKey('servers', '', name), 1, content)
    return PlatformReader().read_registration(row)


def test_sound_entry_names_an_engine():
    """The odd entries differ from this one in a single field."""
    assert read_entry('i-1', orjson.dumps(ENTRY)).slots == 4


@pytest.mark.parametrize('content', list_odd_entries())
def test_odd_entry_names_no_engine(content):
    """Another error ended the loop that read the list, again and again."""
    assert read_entry('i-1', content) is None


@pytest.mark.parametrize('name', ['i 1', 'i-1\r\nx: y', 'é', ''])
def test_entry_whose_name_cannot_stand_in_a_header_names_no_engine(name):
    """Each request to such an engine failed, or carried another header."""
    assert read_entry(name, orjson.dumps(ENTRY)) is None


@pytest.mark.parametrize('name', ['seq', 'numRunning', 'models'])
@pytest.mark.parametrize('content', [DEEP, TOO_DEEP, HUGE, LONG, b'"x"'])
def test_odd_report_is_refused(name, content):
    """Another error than the refusal ended the loop that sends orders."""
    report = {'seq': 1, 'busy': False, 'numRunning': 0, 'models': []}
    with pytest.raises(ServiceError):
        PlatformDialect().read_report(replace(report, name, content))


@pytest.mark.parametrize('text', [MANY_DIGITS, '9' * 30, '-1', '1e3', '٣'])
def test_odd_version_of_a_response_is_no_version(text):
    """It failed the request, or was stored where no decoder accepts it."""
    headers = ((b'weight-versions', text.encode()),)
    labels = PlatformDialect().read_labels(ResponseHead(200, headers))
    assert labels.version is None
    event = f'weight-versions: {text}\nid: 1\ndata: x\n\n'
    with pytest.raises(ValueError, match='version'):
        EventReader('weight-versions').feed(event.encode())


@pytest.mark.parametrize('text', ODD_ADDRESSES[:2] + ODD_ADDRESSES[3:5])
def test_address_without_a_possible_port_is_refused(text):
    """Connecting to it raised an error that is no failure to connect."""
    with pytest.raises(ValueError, match='host:port'):
        parse_address(text)


def test_row_that_is_not_base64_leaves_the_others_readable():
    """One such row made the whole answer of the store unreadable."""
    fields = {'table': 't', 'part': '', 'ver': 5}
    sound = base64.b64encode(b'{}').decode()
    rows = read_rows(
        {
            'rows': [
                {**fields, 'key': 'a', 'value': '!'},
                {**fields, 'key': 'b', 'value': 7},
                {**fields, 'key': 'c', 'value': sound},
            ]
        }
    )
    assert [row.body for row in rows] == [b'', b'', b'{}']


OWN_TABLES = (
    (OWNERSHIP, find_partition('lot9'), 'submission/lot9'),
    (OWNERSHIP, find_partition('weights/none'), 'duty/weights/none'),
    (OWNERSHIP, find_partition('e0'), 'engine/e0'),
    (COORDINATORS, '', 'z1/1'),
    (COORDINATORS, '', 'odd'),
    (HOSTS, 'z1', 'odd'),
    (KEYS, '', 'odd'),
    (ACCEPTANCES, PARTITIONS[0], 'odd'),
    (permit_rows.TABLE, PARTITIONS[0], 'odd/1'),
    (published_targets.TABLE, '', 'odd'),
    (quarantines.TABLE, '', 'odd'),
)
ODD_OWN_ROWS = (
    b'',
    b'\xff',
    b'7',
    b'{}',
    TOO_DEEP,
    b'{"owner": "", "total": 1e308, "accepted": 1e300}',
    b'{"owner": "", "total": 9007199254740991, "accepted": 0, "model": "m0"}',
    b'{"host": "h9", "boot": "b", "count": 1, "domain": "z1", "hosts": 9e15}',
    b'{"host": "h9", "boot": "b", "count": 1, "domain": "z1",'
    b' "hosts": 9007199254740991, "address": "10.1.0.9:99999"}',
    b'{"host": "h9", "boot": "b", "count": 1, "domain": "z1",'
    b' "hosts": 9007199254740991}',
    b'{"model": "m0", "version": 1e300, "loading": true}',
    b'{"host": %b, "announced": 1e300}' % DEEP,
    b'{"targets": ["a"], "last_at": 1e300, "ends_at": -1e300}',
)


@pytest.mark.parametrize('content', ODD_OWN_ROWS)
def test_host_goes_on_while_its_tables_hold_odd_rows(content, monkeypatch):
    """A loop that fails at each start follows nothing any more."""
    failures = []
    monkeypatch.setattr(
        type(PART_FAILED),
        'write',
        record_failures(type(PART_FAILED).write, failures),
    )

    async def main():
        async with open_site() as site:
            host = site.hosts[0]
            for table, part, key in OWN_TABLES:
                site.store.put_bytes(table, key, content, part)
            site.store.forget_history()
            await curio.sleep(0.6)
            live = await site.call(host, 'POST', '/live/a', attempt_id='r1')
            await site.submit(host)
            results = await site.read_all_results(host)
            site.store.put('op', f'version/{MODEL}', make_version(2))
            await wait_until(lambda: site.engines[0].version == 2)
            await host.upkeep.sweeper.sweep()
            return live.status, len(results)

    assert curio.run(main) == (200, 6)
    assert not failures


def make_version(version):
    return {'model': MODEL, 'version': version}


def record_failures(write, failures):
    def record(event, **fields):
        if event is PART_FAILED:
            failures.append(fields)
        write(event, **fields)

    return record


def test_host_goes_on_while_its_engines_tables_hold_odd_entries():
    """The host that read the list stopped following it."""

    async def main():
        async with open_site() as site:
            host = site.hosts[0]
            for number, content in enumerate(list_odd_entries()):
                site.store.put_bytes('servers', f'odd{number}', content)
            for key in ('version/m9', 'config/x', 'version/'):
                site.store.put_bytes(
                    'op', key, b'{"model": 7, "version": 1e300}'
                )
            site.store.forget_history()
            await curio.sleep(0.3)
            site.store.put('servers', 'e0', site.engines[0].entry('draining'))
            target = host.directory.registry.targets['e0']
            await wait_until(lambda: target.registration.leaving)
            names = set(host.directory.registry.targets)
            await site.submit(host)
            return names, len(await site.read_all_results(host))

    names, count = curio.run(main)
    assert names == {'e0', 'e1', 'p0'}
    assert count == 6


@pytest.mark.parametrize('kind', [int, bool])
def test_number_of_another_type_is_refused(kind):
    """A text or a fraction was taken for a number."""
    for content in (b'"7"', b'0.5', HUGE, LONG, b'9007199254740992'):
        with pytest.raises(ServiceError):
            decode(content, kind)
