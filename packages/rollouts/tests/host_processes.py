"""Hosts in processes of their own, as the platform runs them."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import curio
import orjson
from attrs import define, field
from sequoia_wire.clients import HttpClient
from sequoia_wire.messages import Address, RequestHead
from sites import CALL_TIMEOUTS

ROOT = Path(__file__).parents[3]
FRONT_PORT, READY_PORT, CONTROL_PORT = 8161, 8167, 8166
GRACE = 8.0  # seconds from SIGTERM to SIGKILL
READY_TIMEOUT = 20.0  # seconds


@define(eq=False)
class HostProcess:
    """A host as the platform runs it.

    Attributes:
        settings: Fields of its settings beyond those that each host has.
        stops: When SIGTERM was first sent to each of its processes, by time.
    """

    name: str
    ip: str
    folder: Path
    store: Address
    domain: str = 'z1'
    settings: dict = field(factory=dict)
    process: subprocess.Popen | None = None
    stops: list = field(factory=list)

    def start(self):
        settings = self.folder / f'{self.name}.conf'
        fields = {
            'node': self.name,
            'role': 'entry',
            'ip': self.ip,
            'zone': self.domain,
            'region': 'r1',
            'listen.front': f'{self.ip}:{FRONT_PORT}',
            'listen.ready': f'{self.ip}:{READY_PORT}',
            'listen.control': f'{self.ip}:{CONTROL_PORT}',
            'internalPorts': '7720,7735',
            'limits.cores': '1',
            'bounds.graceS': f'{GRACE:.0f}',
            'bounds.requireFence': 'true',
            'bounds.leaseMs': '3000',
            'platform.address': self.store,
            'platform.writesPerS': '800',
            'platform.readsPerS': '2000',
            'platform.partWritesS': '150',
            **self.settings,
        }
        lines = [f'{key}={text}\n' for key, text in fields.items()]
        settings.write_text(''.join(lines))
        log = (self.folder / f'{self.name}.log').open('ab')
        with log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / 'platform' / 'start.py')],
                env={**os.environ, 'SEQUOIASHED_SETTINGS': str(settings)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_until_ready(self):
        head = RequestHead('GET', '/v1/ready')
        client = HttpClient()
        async with curio.timeout_after(READY_TIMEOUT):
            while True:
                assert self.process.poll() is None, self.name
                try:
                    response = await client.fetch(
                        Address(self.ip, READY_PORT), head, b'', CALL_TIMEOUTS
                    )
                except Exception:  # noqa: BLE001
                    response = None
                if response is not None and response.status == 200:
                    return
                await curio.sleep(0.05)

    def kill(self):
        """End the process as a loss of power does."""
        self.process.kill()
        self.process.wait()

    def read_stops(self):
        """Return how long each stop took by the clock of the host, in seconds.

        A process that was killed before its stop was complete has none.
        """
        started_at, lasted = 0, []
        for line in (self.folder / f'{self.name}.log').read_text().splitlines():
            if '"host: host drains"' in line:
                started_at = orjson.loads(line)['timestamp']
            elif '"host: host stopped"' in line:
                lasted.append(orjson.loads(line)['timestamp'] - started_at)
        return lasted

    async def stop(self, rng):
        """Stop it as the platform does, with further signals beside."""
        self.stops.append(time.monotonic())
        self.signal(signal.SIGTERM)
        extra = sorted(rng.uniform(0, GRACE) for _ in range(rng.randrange(4)))
        while self.process.poll() is None:
            lasted = time.monotonic() - self.stops[-1]
            while extra and extra[0] <= lasted:
                extra.pop(0)
                self.signal(rng.choice((signal.SIGHUP, signal.SIGTERM)))
            if lasted >= GRACE:
                self.process.kill()
            await curio.sleep(0.01)
