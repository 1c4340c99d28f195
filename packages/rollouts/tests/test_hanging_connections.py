"""Real processes that lose all bytes to and from targets, and whose callers stay."""

import logging
import os
import uuid
from collections import Counter
from pathlib import Path

import curio
import pytest
from attrs import define, field, frozen
from bound_start import __file__ as BOUND_START
from engine_standin import PlainStandin
from host_processes import FRONT_PORT, HostProcess
from relays import PathRelay
from sequoia_wire.clients import HttpClient
from sequoia_wire.messages import Address, RequestHead, encode_headers
from sites import AUTHORITY, CALL_TIMEOUTS, make_manifest
from store_standin import StoreStandin

NETWORK = f'127.0.101.{os.getpid() % 40 * 6 + 1}'
WARM_UP = 2.0  # seconds
CUT = float(os.environ.get('CUT_SECONDS', '8'))
CONTACT = 3.0  # seconds from the cut on, until the shares count
PAUSE = 0.1  # seconds between two requests at a host
DEADLINE = '2000'  # milliseconds
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50
MIN_RATIO = 2 / 3
NOT_RUN = frozenset((408, 421, 429, 503))
PATHS = ('/live/a', '/once/a')

logger = logging.getLogger(__name__)


@frozen
class SeenRequest:
    """A first try and what its caller got; None for no response."""

    id: str
    host: str
    path: str
    sent_at: float
    status: int | None


@define(eq=False)
class HangingSite:
    """Hosts of two failure domains; the first loses its path to targets.

    Attributes:
        lost: Addresses of the hosts whose connections to targets hang.
        began: When they began to.
    """

    folder: Path
    keeps_open: bool = False
    cut_count: int = 3
    host_count: int = 5
    store: StoreStandin = field(factory=StoreStandin)
    targets: list = field(factory=list)
    hosts: list = field(factory=list)
    lost: set = field(factory=set)
    began: float = 0
    seen: list = field(factory=list)

    async def run(self):
        async with curio.TaskGroup(wait=None) as group:
            await self.open_targets(group)
            try:
                await self.start_hosts()
                await self.play()
            finally:
                for host in self.hosts:
                    host.kill()

    async def open_targets(self, group):
        self.targets = [
            PlainStandin(f'p{number}', delay=0.03) for number in range(6)
        ]
        for standin in (self.store, *self.targets):
            standin.server.open()
            await group.spawn(standin.server.run)
        for number, target in enumerate(self.targets):
            relay = PathRelay(target.server.address, self.lost, self.keeps_open)
            relay.open('127.0.0.1')
            await group.spawn(relay.run)
            entry = target.entry(zone=f'z{number % 2 + 1}')
            entry['address'] = str(relay.address)
            self.store.put('servers', target.name, entry)
        self.store.put('op', 'config', make_manifest())

    async def start_hosts(self):
        first = int(NETWORK.rpartition('.')[2])
        for number in range(self.host_count):
            host = HostProcess(
                f'h{number + 1}',
                f'127.0.101.{first + number}',
                self.folder,
                self.store.server.address,
                domain='z1' if number < self.cut_count else 'z2',
                program=Path(BOUND_START),
            )
            self.hosts.append(host)
            host.start()
        for host in self.hosts:
            await host.wait_until_ready()

    async def play(self):
        began = await curio.clock()
        self.began = began + WARM_UP
        over = self.began + CUT
        async with curio.TaskGroup() as group:
            for host in self.hosts:
                await group.spawn(self.call_often, host, over)
            await curio.sleep(WARM_UP)
            self.lost.update(host.ip for host in self.hosts[: self.cut_count])

    async def call_often(self, host, over):
        client = HttpClient()
        number = 0
        async with curio.TaskGroup() as group:
            while await curio.clock() < over:
                path = PATHS[number % len(PATHS)]
                await group.spawn(self.call, client, host, path)
                number += 1
                await curio.sleep(PAUSE)

    async def call(self, client, host, path):
        sent_at = await curio.clock() - self.began
        request_id = uuid.uuid4().hex
        headers = {
            'host': AUTHORITY,
            'attempt-id': request_id,
            'deadline-ms': DEADLINE,
        }
        head = RequestHead('POST', path, encode_headers(headers))
        status = None
        try:
            response = await client.fetch(
                Address(host.ip, FRONT_PORT), head, b'b', CALL_TIMEOUTS
            )
            status = response.status
        except Exception:  # noqa: BLE001
            status = None
        self.seen.append(
            SeenRequest(request_id, host.name, path, sent_at, status)
        )

    def list_statuses(self, *, at_cut, after=0.0, until=CUT):
        """Return the statuses at hosts, cut off or not, of a period."""
        names = {host.name for host in self.hosts[: self.cut_count]}
        return [
            request.status
            for request in self.seen
            if (request.host in names) is at_cut
            and after <= request.sent_at < until
        ]

    def log_statuses(self):
        """Log what callers got; pytest shows it with --log-level=INFO."""
        for name, at_cut in (('cut', True), ('other', False)):
            early = self.list_statuses(at_cut=at_cut, until=CONTACT)
            late = self.list_statuses(at_cut=at_cut, after=CONTACT)
            logger.info('%s hosts, first 3 s: %s', name, Counter(early))
            logger.info('%s hosts, from 3 s on: %s', name, Counter(late))

    def find_broken(self):
        """Return what must not happen, however a path fails."""
        runs = [run[0] for target in self.targets for run in target.runs]
        broken = []
        for request in self.seen:
            count = runs.count(request.id)
            if count > 1 and request.path.startswith('/once/'):
                broken.append(f'ran {count} times: {request}')
            if count and request.status in NOT_RUN:
                broken.append(f'said not to have run: {request}')
        return broken


@pytest.mark.parametrize('keeps_open', [False, True], ids=['all', 'new'])
def test_callers_of_hosts_whose_connections_hang_are_served(
    tmp_path, keeps_open
):
    """A host took its silent targets for busy ones and never found the cut."""
    site = HangingSite(tmp_path, keeps_open)
    curio.run(site.run)
    site.log_statuses()
    at_cut = site.list_statuses(at_cut=True, after=CONTACT)
    at_others = site.list_statuses(at_cut=False, after=CONTACT)
    failed = [
        status for status in site.list_statuses(at_cut=True) if status != 200
    ]
    assert not site.find_broken()
    served = at_cut.count(200) / len(at_cut)
    served_at_others = at_others.count(200) / len(at_others)
    assert served >= served_at_others * MIN_RATIO
    first_tries = len(site.list_statuses(at_cut=True))
    assert len(failed) <= MAX_FAILED + MAX_FAILED_SHARE * first_tries
