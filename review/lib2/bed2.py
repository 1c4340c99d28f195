# flake8: noqa
"""What the cases 6 to 10 add to the test bed of the first review.

A plain or model server can be cut off from single hosts: each host sees its own
address of each server in the store, so that the path of one host can be cut.
"""

import asyncio
import base64
import contextlib
import json
import logging
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
import bed as b

# Tasks that are cancelled at the end of a case are no errors.
logging.getLogger('asyncio').setLevel(logging.CRITICAL)


PAGE_BYTES = 1_000_000  # of the rows in one answer of the store


class PathStore(b.Store):
    """A store that names each host its own address of each server.

    down: Whether all calls are answered with 503.
    lose_share: Share of the writes of progress that get no answer and are
        carried out late.
    late_s: Least and most seconds after which they are.
    rng: Draws both.
    paths: Address of a server for a host, by the names of both.
    """

    def __init__(self, bed):
        super().__init__(bed)
        self.down = False
        self.paths = {}
        self.lose_share = 0
        self.late_s = (0, 0)
        self.rng = None

    async def handle(self, request, host):
        if self.down:
            await request.connection.send(b.encode_response(503))
            return True
        if self.lose_share and request.path == '/v1/rows-tx':
            fields = json.loads(request.body)
            tables = {row['table'] for row in fields['setKeys']}
            if tables == {'progress'} and self.rng.random() < self.lose_share:
                self.bed.spawn(self.perform_late(host, fields))
                raise b.Silence
        return await super().handle(request, host=HostName(host))

    async def perform_late(self, host, fields):
        delay = self.rng.uniform(*self.late_s)
        tables = sorted({row['table'] for row in fields['setKeys']})
        self.bed.note(f'store: a write of {host} to {tables} is lost')
        await asyncio.sleep(delay)
        status, _ = self.transact(fields)
        self.bed.note(
            f'store: the write of {host} to {tables} is carried out after '
            f'{delay:.1f} s -> {status}'
        )

    def read(self, fields):
        content = limit_page(super().read(fields))
        host = current_host()
        return {
            **content,
            'rows': [self.translate(host, row) for row in content['rows']],
        }

    async def feed(self, fields):
        host = current_host()
        status, content = await super().feed(fields)
        rows = [self.translate(host, row) for row in content['rows']]
        return status, {**content, 'rows': rows}

    def translate(self, host, row):
        address = self.paths.get((host, row['key']))
        if row['table'] != 'servers' or not row.get('value') or not address:
            return row
        entry = json.loads(base64.b64decode(row['value']))
        entry['address'] = address
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        return {**row, 'value': value}


def limit_page(content):
    """Return the first rows of a page, 1 MB at most, but one at least."""
    size = 0
    for count, row in enumerate(content['rows']):
        size += len(row.get('value') or '')
        if count and size > PAGE_BYTES:
            return {'rows': content['rows'][:count], 'hasMore': True}
    return content


class HostName(str):
    """The name of the host whose call a task serves."""

    def __new__(cls, name):
        asyncio.current_task().host_name = str(name)
        return super().__new__(cls, name)


def current_host():
    return getattr(asyncio.current_task(), 'host_name', '')


class Path_:
    """The path from one host to one server: a listener that can be closed."""

    def __init__(self, bed, host, target):
        self.bed = bed
        self.host = host
        self.target = target
        self.address = ''
        self.listener = None
        self.writers = set()

    async def open(self):
        host, _, port = self.address.rpartition(':')
        self.listener = await asyncio.start_server(
            self.serve,
            host or f'{self.bed.network}.1',
            int(port or 0),
            backlog=512,
        )
        self.address = '{}:{}'.format(
            *self.listener.sockets[0].getsockname()[:2]
        )
        self.bed.store.paths[self.host.name, self.target.name] = self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.target.serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def cut(self):
        """Refuse new connections and reset the open ones."""
        self.listener.close()
        for writer in tuple(self.writers):
            writer.transport.abort()


class PathBed(b.Bed):
    """A bed whose store and paths are those above."""

    def __init__(self, folder):
        super().__init__(folder)
        self.store = PathStore(self)
        self.paths = []

    async def open_paths(self):
        """Open a path from each host to each server."""
        for host in self.hosts:
            for target in self.targets:
                path = Path_(self, host, target)
                await path.open()
                self.paths.append(path)

    def cut(self, host):
        for path in self.paths:
            if path.host is host:
                path.cut()
        self.note(f'{host.name} is cut off from all servers')

    async def heal(self, host):
        for path in self.paths:
            if path.host is host:
                await path.open()
        self.note(f'{host.name} reaches all servers again')


def run_case(folder, play):
    """Play a case on a bed with paths."""
    b.Bed = PathBed
    b.run_case(folder, play)


class WordyEngine(b.Engine):
    """A model engine whose events have texts of some size."""

    def __init__(self, *arguments, event_bytes=100, **options):
        super().__init__(*arguments, **options)
        self.event_bytes = event_bytes

    async def run(self, request):
        def lengthen(event):
            return event + b'x' * self.event_bytes

        with changed_events(request.connection, lengthen):
            await super().run(request)


class TaggedEngine(b.Engine):
    """A model engine whose events name their run.

    Each entry of ``runs`` has the number of the run.

    gaps_s: Least and most time between two events.
    """

    count = 0

    def __init__(self, *arguments, gaps_s, **options):
        self.gaps_s = gaps_s
        super().__init__(*arguments, **options)

    @property
    def gap_s(self):
        return random.uniform(*self.gaps_s)

    @gap_s.setter
    def gap_s(self, _unused):
        """Ignore the constant time of the engines of the first review."""

    def begin(self, request):
        run = super().begin(request)
        TaggedEngine.count += 1
        run['number'] = TaggedEngine.count
        request.number = run['number']
        return run

    async def run(self, request):
        def add_number(event):
            return event + f'-{request.number}'.encode()

        with changed_events(request.connection, add_number):
            await super().run(request)


@contextlib.contextmanager
def changed_events(connection, change):
    """Change the last line of each event that a connection sends."""
    send = connection.send

    async def send_changed(content):
        if b'\ndata: word-' in content:
            _, _, rest = content.partition(b'\r\n')
            event = change(rest[: rest.rindex(b'\n\n')]) + b'\n\n'
            content = b'%x\r\n%b\r\n' % (len(event), event)
        await send(content)

    connection.send = send_changed
    try:
        yield
    finally:
        connection.send = send


def read_memory_mb(pid):
    """Return the resident memory of a process in MB."""
    try:
        text = Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024 / 1_000_000
    return 0.0


class MemoryWatch:
    """Kills a process that exceeds its memory and starts it again.

    The platform does both: "A process that exceeds `memoryMb` is killed", and a
    process that is killed "is restarted after a short delay".

    killed: Name of the host and its memory in MB, for each kill.
    """

    RESTART_S = 1.0

    def __init__(self, bed, hosts, limit_mb):
        self.bed = bed
        self.hosts = hosts
        self.limit_mb = limit_mb
        self.killed = []
        self.peak = {host.name: 0 for host in hosts}

    async def run(self):
        while True:
            for host in self.hosts:
                self.check(host)
            await asyncio.sleep(0.02)

    def check(self, host):
        if host.process.poll() is not None:
            return
        used = round(read_memory_mb(host.process.pid))
        self.peak[host.name] = max(self.peak[host.name], used)
        if used > self.limit_mb:
            host.process.kill()
            self.killed.append((host.name, used))
            self.bed.note(
                f'{host.name}: killed at {used} MB, its limit is '
                f'{self.limit_mb} MB'
            )
            self.bed.spawn(self.restart(host))

    async def restart(self, host):
        await asyncio.sleep(self.RESTART_S)
        await host.end()
        host.start()

    def count(self):
        """Return how often each host was killed."""
        names = [name for name, _used in self.killed]
        return {name: names.count(name) for name in sorted(set(names))}
