"""Tests of the first moments of a process."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parents[3]
START = ROOT / 'platform' / 'start.py'
EXIT_BAD_SETTINGS = 2
MAX_SECONDS = 20.0


def ignores_hangups(process_id):
    """Return whether a process ignores SIGHUP, as the system tells."""
    for line in Path(f'/proc/{process_id}/status').read_text().splitlines():
        if line.startswith('SigIgn:'):
            mask = int(line.partition(':')[2], 16)
            return bool(mask & (1 << (signal.SIGHUP - 1)))
    return False


def test_hangup_during_the_imports_does_not_end_the_process(tmp_path):
    """The handler was installed half a second after the start."""
    environment = {
        **os.environ,
        'SEQUOIASHED_SETTINGS': str(tmp_path / 'missing'),
    }
    with subprocess.Popen(
        [sys.executable, str(START)],
        env=environment,
        stderr=subprocess.DEVNULL,
        preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
    ) as process:
        deadline = time.monotonic() + MAX_SECONDS
        while not ignores_hangups(process.pid):
            assert process.poll() is None
            assert time.monotonic() < deadline
        process.send_signal(signal.SIGHUP)
        assert process.wait(MAX_SECONDS) == EXIT_BAD_SETTINGS
