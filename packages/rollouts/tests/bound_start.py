"""Starts a host process whose connections come from the host's own address.

On loopback all of them would come from 127.0.0.1, and a relay could not tell the
hosts apart.
"""

import os
import runpy
from pathlib import Path

import curio

START = Path(__file__).parents[3] / 'platform' / 'start.py'
open_connection = curio.open_connection


async def open_bound_connection(host, port):
    source = (os.environ['SOURCE_IP'], 0)
    return await open_connection(host, port, source_addr=source)


if __name__ == '__main__':
    curio.open_connection = open_bound_connection
    runpy.run_path(str(START), run_name='__main__')
