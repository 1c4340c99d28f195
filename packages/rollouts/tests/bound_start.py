"""Starts a host process whose connections come from the host's own address.

On loopback all of them would come from 127.0.0.1, and a relay could not tell the
hosts apart.
"""

import os
import runpy
import sys
from pathlib import Path

PLATFORM = Path(__file__).parents[3] / 'platform'
START = str(PLATFORM / 'start.py')


def bind_sockets():
    from sequoia_wire import sockets  # noqa: PLC0415

    make_socket = sockets.make_socket

    def make_bound_socket():
        sock = make_socket()
        sock.bind((os.environ['SOURCE_IP'], 0))
        return sock

    sockets.make_socket = make_bound_socket


if __name__ == '__main__':
    sys.path.insert(0, str(PLATFORM))  # as for a script that stands there
    runpy.run_path(START)['add_packages']()
    bind_sockets()
    runpy.run_path(START, run_name='__main__')
