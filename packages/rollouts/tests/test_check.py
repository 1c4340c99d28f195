"""Tests of the command that checks a configuration file."""

import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from sites import make_manifest

COMMAND = Path(__file__).parents[3] / 'platform' / 'check.py'


def run(*arguments):
    return subprocess.run(
        [sys.executable, str(COMMAND), *map(str, arguments)],
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.fixture
def write(tmp_path):
    def write_file(name, manifest):
        path = tmp_path / name
        path.write_bytes(orjson.dumps(manifest))
        return path

    return write_file


def test_exit_status_tells_scripts_of_errors(write):
    sound = write('sound.json', make_manifest())
    broken = make_manifest()
    broken['routes'][1]['service'] = 'gone'
    assert run(sound).returncode == 0
    result = run(write('broken.json', broken))
    assert result.returncode == 1
    assert 'service gone is not listed' in result.stdout


def test_a_file_that_hosts_cannot_read_is_told_apart(write):
    unreadable = make_manifest()
    unreadable['routes'][0]['kind'] = 'unknown'
    assert run(write('unreadable.json', unreadable)).returncode == 2


def test_tools_get_json_with_the_differences(write):
    before = write('before.json', make_manifest(3))
    after = write('after.json', make_manifest(5, dueMs=6000))
    result = run(after, '--against', before, '--json')
    rows = orjson.loads(result.stdout)
    assert {
        'kind': 'change',
        'entry': 'route rollouts',
        'text': 'due: 0:00:07.500000 -> 0:00:06',
    } in rows
