"""Tests of settings: each invalid value is reported in one line."""

from datetime import timedelta

import attrs
import pytest
from hosts import make_settings
from sequoiashed.cli import app
from sequoiashed.settings import (
    SETTINGS,
    SettingError,
    Settings,
    read_settings,
)
from typer.testing import CliRunner

INVALID_TEXTS = {
    'name': 'no spaces allowed',
    'domain': '',
    'peer_secret': 'short',
    'store': 'localhost',
    'http': '127.0.0.1:http',
    'header_bytes': '-1',
    'body_bytes': 'many',
    'progress': '10',
    'drain_limit': '0s',
}


@pytest.mark.parametrize('name', sorted(INVALID_TEXTS))
def test_invalid_value_is_reported_with_the_allowed_form(name, snapshot):
    with pytest.raises(SettingError) as raised:
        make_settings(**{name: INVALID_TEXTS[name]})
    assert str(raised.value) == snapshot


def test_missing_setting_is_reported_by_name(snapshot):
    with pytest.raises(SettingError) as raised:
        read_settings({})
    assert str(raised.value) == snapshot


def test_every_settings_field_has_a_definition():
    names = [setting.name for setting in SETTINGS]
    assert sorted(names) == sorted(
        field.name for field in attrs.fields(Settings)
    )


def test_omitted_settings_have_their_defaults():
    settings = make_settings()
    assert settings.drain_limit == timedelta(seconds=60)
    assert settings.http.port == 8080


def test_repr_omits_the_secrets():
    assert 'a secret' not in repr(make_settings())


def test_missing_setting_exits_with_status_two_and_one_line():
    outcome = CliRunner().invoke(app, ['run', '--name', 'entry-1'])
    assert outcome.exit_code == 2
    assert outcome.stderr.count('\n') == 1
    assert '--domain (SEQUOIASHED_DOMAIN)' in outcome.stderr


def test_help_shows_flags_variables_and_defaults():
    runner = CliRunner(env={'COLUMNS': '100', 'TERM': 'dumb', 'NO_COLOR': '1'})
    outcome = runner.invoke(app, ['run', '--help'])
    assert outcome.exit_code == 0
    for setting in SETTINGS:
        assert setting.flag in outcome.output
        assert setting.variable in outcome.output
