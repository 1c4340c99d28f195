"""Tests of settings that change while a host runs."""

from datetime import timedelta

from attrs import evolve
from sequoia_platform.settings import SettingsError, read_settings
from sequoia_policy.rates import StoreRates
from sequoia_rollouts.base import reloads
from sequoia_rollouts.base.settings import HostSettings
from sites import ANY_PORT

SETTINGS = HostSettings(
    'h1',
    'z1',
    ANY_PORT,
    ANY_PORT,
    ANY_PORT,
    timedelta(seconds=8),
    timedelta(seconds=3),
)
FILE = """node=h1
zone=z1
ip=127.0.0.1
listen.front=127.0.0.1:1
listen.ready=127.0.0.1:2
internalPorts=3,4
platform.address=127.0.0.1:5
bounds.graceS=8
bounds.leaseMs=3000
"""


def make_reloader(sources, applied):
    """Return a reloader that reads each of ``sources`` once."""
    pending = iter(sources)

    def read_next():
        source = next(pending)
        if isinstance(source, Exception):
            raise source
        return source

    return reloads.SettingsReloader(SETTINGS, read_next, applied.append)


class EventRecorder:
    """Takes the place of an event and keeps the fields of each write."""

    def __init__(self):
        self.written = []

    def write(self, **fields):
        self.written.append(fields)


def record(monkeypatch, name):
    """Return the list of the fields with which an event is written."""
    recorder = EventRecorder()
    monkeypatch.setattr(reloads, name, recorder)
    return recorder.written


def test_changed_settings_are_applied_once():
    changed = evolve(SETTINGS, rates=StoreRates(reads=5), capacity=2)
    applied = []
    reloader = make_reloader([SETTINGS, *[changed] * 4], applied)
    for _ in range(5):
        reloader.reload()
    assert applied == [changed]


def test_a_change_applies_only_after_two_equal_reads():
    half = evolve(SETTINGS, order_lease=timedelta(milliseconds=3))
    whole = evolve(SETTINGS, order_lease=timedelta(milliseconds=3500))
    applied = []
    reloader = make_reloader([half, whole, whole, half, whole], applied)
    for _ in range(5):
        reloader.reload()
    assert applied == [whole]


def test_settings_that_cannot_be_used_change_nothing(monkeypatch):
    failures = record(monkeypatch, 'SETTINGS_CANNOT_BE_USED')
    changed = evolve(SETTINGS, stop_limit=timedelta(seconds=5))
    applied = []
    error = SettingsError('half written')
    reloader = make_reloader([error, error, changed, changed], applied)
    reloader.reload()
    reloader.reload()
    assert reloader.settings == SETTINGS
    assert applied == []
    assert failures == [{'detail': 'half written'}]
    reloader.reload()
    reloader.reload()
    assert applied == [changed]


def test_a_setting_that_needs_a_restart_is_logged_and_not_applied(monkeypatch):
    restarts = record(monkeypatch, 'RESTART_NEEDED')
    applied = []
    reloader = make_reloader([evolve(SETTINGS, domain='z2')] * 3, applied)
    for _ in range(3):
        reloader.reload()
    assert applied == []
    assert restarts == [{'host': 'h1', 'names': ['domain']}]


def test_every_beginning_of_a_settings_file_is_usable_or_refused(tmp_path):
    """A file that is being written may be read at any length."""
    path = tmp_path / 'local.conf'
    for length in range(len(FILE) + 1):
        path.write_text(FILE[:length])
        try:
            settings = read_settings(path)
        except SettingsError:
            continue
        assert settings.host.name == 'h1'
