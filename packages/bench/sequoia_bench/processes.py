"""Reads processor time and memory of running processes from /proc."""

import os
from pathlib import Path

from attrs import frozen

USER_TICKS_FIELD = 11  # index in /proc/PID/stat, after the command name
SYSTEM_TICKS_FIELD = 12
KIBIBYTE = 1024


@frozen
class Usage:
    """Resource usage of a process.

    Attributes:
        cpu_seconds: Processor time since the start of the process.
        resident_bytes: Resident memory in bytes.
    """

    cpu_seconds: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the resource usage of a process up to now."""
    folder = Path('/proc') / str(pid)
    stat = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(stat[USER_TICKS_FIELD]) + int(stat[SYSTEM_TICKS_FIELD])
    seconds = ticks / os.sysconf('SC_CLK_TCK')
    return Usage(seconds, read_resident(folder / 'status'))


def read_resident(status_file: Path) -> int:
    """Return the resident bytes in a /proc status file; 0 if not listed."""
    for line in status_file.read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * KIBIBYTE
    return 0
