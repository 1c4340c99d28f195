"""Tests that decoders refuse or skip invalid input without other errors."""

from datetime import timedelta

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_platform.batches import encode_page, read_submission
from sequoia_platform.engines import PlatformDialect
from sequoia_platform.entries import PlatformReader
from sequoia_platform.settings import SettingsError, read_fields, read_settings
from sequoia_platform.stores import read_rows
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.routing import DomainPrice, Scaling
from sequoia_policy.submissions import ItemResult, ItemState
from sequoia_rollouts.targets.directories import NamedVersion
from sequoia_rollouts.streaming.events import EventReader
from sequoia_rollouts.storage.stores import Row, RowKey
from sequoia_rollouts.submissions.result_pages import ResultPage
from sequoia_wire.messages import ResponseHead, encode_headers
from sites import make_lot, make_manifest

json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def mutate(document, path, content):
    """Return a copy of a document with the value at ``path`` replaced."""
    if not path:
        return content
    copy = orjson.loads(orjson.dumps(document))
    parent = copy
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = content
    return copy


def make_row(key, body):
    return Row(RowKey('t', '', key), 1, body)


LOT_PATHS = (
    (),
    ('requests',),
    ('requests', 0),
    ('requests', 0, 'id'),
    ('requests', 0, 'headers'),
    ('requests', 0, 'body'),
    ('requests', 0, 'scorer'),
    ('minVersion',),
    ('step',),
)
MANIFEST_PATHS = (
    (),
    ('version',),
    ('routes',),
    ('routes', 0),
    ('routes', 0, 'kind'),
    ('routes', 0, 'timeoutMs'),
    ('services',),
    ('services', 0, 'engine'),
    ('limits',),
)


@given(st.sampled_from(LOT_PATHS), json_values)
def test_mutated_submission_is_decoded_or_refused_as_bad_request(path, content):
    body = orjson.dumps(mutate(make_lot(), path, content))
    try:
        read_submission('id', 'host', '/path', body)
    except ServiceError as refusal:
        assert refusal.code is Code.BAD_REQUEST


@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_refused_as_submission(body):
    with pytest.raises(ServiceError):
        read_submission('id', 'host', '/path', body)


@given(st.sampled_from(MANIFEST_PATHS), json_values)
def test_mutated_manifest_raises_no_error(path, content):
    body = orjson.dumps(mutate(make_manifest(), path, content))
    PlatformReader().read_operator_row(make_row('config', body))


@given(st.binary(max_size=60), st.sampled_from(['config', 'version/m', 'x']))
def test_undecodable_operator_row_gives_none(body, key):
    assert PlatformReader().read_operator_row(make_row(key, body)) is None


@given(json_values, st.sampled_from(['state', 'service', 'address', 'models']))
def test_mutated_server_entry_gives_registration_or_none(content, name):
    entry = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'slots': 2,
        'state': 'ready',
        'models': [],
    }
    body = orjson.dumps({**entry, name: content})
    registration = PlatformReader().read_registration(make_row('i', body))
    assert registration is None or registration.name == 'i'


@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_refused_as_engine_report(body):
    with pytest.raises(ServiceError):
        PlatformDialect().read_report(body)


@given(json_values)
def test_arbitrary_store_rows_are_decoded_or_refused_as_store_unavailable(
    content,
):
    try:
        read_rows({'rows': content})
    except ServiceError as refusal:
        assert refusal.code is Code.STORE_UNAVAILABLE


def test_named_version_is_decoded():
    body = orjson.dumps({'model': 'm', 'version': 4})
    row = make_row('version/m', body)
    assert PlatformReader().read_operator_row(row) == NamedVersion('m', 4)


@given(st.text(alphabet='0123456789abc-', max_size=5))
def test_version_header_is_decoded_only_if_it_is_a_number(text):
    head = ResponseHead(200, encode_headers({'weight-versions': text}))
    version = PlatformDialect().read_labels(head).version
    assert version is None or str(version) == text.lstrip('0') or not version


@given(
    st.lists(st.tuples(st.integers(1, 99), st.text('abc', max_size=9))),
    st.lists(st.integers(0, 400)),
)
def test_events_do_not_depend_on_how_the_stream_is_split(events, cuts):
    stream = ''.join(
        f'id: {number}\ndata: {text}\n\n' for number, text in events
    ).encode()
    reader = EventReader('weight-versions')
    found = []
    offsets = sorted(
        {0, len(stream), *(cut % (len(stream) + 1) for cut in cuts)}
    )
    for start, end in zip(offsets, offsets[1:], strict=False):
        found.extend(reader.feed(stream[start:end]))
    assert [(int(event.id), event.text) for event in found] == events
    assert reader.at_event_boundary


def test_result_page_is_encoded_in_the_platform_format():
    item_result = ItemResult('i', ItemState.COMPLETED, 'a\nb', (6, 7), 'stamp')
    assert orjson.loads(encode_page(ResultPage(9, 3, (item_result,)))) == {
        'total': 9,
        'next': 4,
        'results': [
            {
                'id': 'i',
                'state': 'completed',
                'text': 'a\nb',
                'versions': [6, 7],
                'score': 'stamp',
            },
        ],
    }


@given(st.text(max_size=80))
def test_arbitrary_settings_text_is_parsed_into_fields(text):
    assert isinstance(read_fields(text), dict)


def test_missing_settings_file_or_field_is_refused(tmp_path):
    path = tmp_path / 'settings'
    path.write_text('node=a\nzone=z\nunknown=1\n')
    with pytest.raises(SettingsError):
        read_settings(path)
    with pytest.raises(SettingsError):
        read_settings(tmp_path / 'missing')


ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z1',
    'version': 'v1',
    'slots': 2,
    'state': 'draining',
    'coldLeftMs': 0,
    'seq': 3,
    'born': 1,
    'models': [],
}
SCALING = {
    'min': 1,
    'max': 10,
    'bootS': 4,
    'spotPrice': 0.22,
    'zonePrices': {'z2': 1.2, 'z1': 0.85},
}


def read_scaled(scaling):
    manifest = make_manifest()
    manifest['services'][0]['scaling'] = scaling
    row = make_row('config', orjson.dumps(manifest))
    return PlatformReader().read_operator_row(row)


def test_scaling_of_a_service_is_decoded():
    configuration = read_scaled(SCALING)
    scaling = configuration.services[0].scaling
    prices = (DomainPrice('z1', 0.85), DomainPrice('z2', 1.2))
    assert scaling == Scaling(1, 10, timedelta(seconds=4), 0.22, prices)
    assert configuration.services[1].scaling is None


@pytest.mark.parametrize(
    'change',
    [
        {'min': 11},
        {'min': -1},
        {'max': '10'},
        {'bootS': -1},
        {'zonePrices': [1]},
        {'zonePrices': {'z1': -1}},
    ],
)
def test_scaling_that_makes_no_sense_invalidates_the_configuration(change):
    """Guards against orders within bounds that nobody set."""
    assert read_scaled({**SCALING, **change}) is None


@pytest.mark.parametrize(
    ('fields', 'reclaimable', 'leaves_in'),
    [
        ({}, False, None),
        ({'spot': True}, True, None),
        ({'spot': False, 'leaves_ms': 2100}, False, timedelta(seconds=3)),
        ({'spot': True, 'leaves_ms': 0}, True, timedelta()),
    ],
)
def test_kind_and_remaining_time_of_an_engine_are_decoded(
    fields, reclaimable, leaves_in
):
    row = make_row('e1', orjson.dumps({**ENTRY, **fields}))
    registration = PlatformReader().read_registration(row)
    assert registration.reclaimable is reclaimable
    assert registration.leaves_in == leaves_in
