# flake8: noqa
"""Test bed of the review: store, engines and clients around the real hosts.

Everything but the hosts is a small stand-in of this file, written from the
pages and with the standard library alone. A case starts the hosts with the
command of the deploy file, plays one disruption and checks one rule from what
clients, engines and the store have seen.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ('python3', 'platform/start.py')  # of deploy/system.toml
FRONT_PORT, READY_PORT, CONTROL_PORT = 8161, 8167, 8166
INTERNAL_PORTS = '7720,7735'
METRICS_PORT = 9464
MAX_SECONDS = 110
BROKEN, HELD, NOT_RUN = 1, 0, 2
AUTHORITY = 'ficu95.example'
READ_S, TRANSACTION_S = 0.004, 0.008  # time of a call of the store
FEED_POLL_S = 0.003


class CannotRunError(Exception):
    """The case could not be set up, so that it shows nothing."""


class Silence(Exception):
    """The answer is lost: its connection delivers nothing further."""


def find_network():
    """Return the first two numbers of an unused 127.a.b.0/24."""
    rng = random.Random()
    for _ in range(50):
        prefix = f'127.{rng.randrange(16, 250)}.{rng.randrange(1, 250)}'
        try:
            for number in range(1, 40):
                for port in (FRONT_PORT, METRICS_PORT):
                    with socket.socket() as sock:
                        sock.bind((f'{prefix}.{number}', port))
        except OSError:
            continue
        return prefix
    raise CannotRunError('no free loopback network')


class Request:
    """One HTTP request as a stand-in received it."""

    def __init__(self, method, target, headers, body, connection):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.connection = connection
        self.arrived = 0.0

    @property
    def path(self):
        return self.target.partition('?')[0]

    @property
    def query(self):
        return {
            name: texts[0]
            for name, texts in parse_qs(
                urlsplit(self.target).query, keep_blank_values=True
            ).items()
        }


async def read_message(reader):
    """Read the first line, the headers and the body of an HTTP message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif first.startswith('HTTP/'):
        body = await reader.read()
    return first, headers, body


def encode_response(status, headers=(), body=b''):
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in dict(headers).items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Connection:
    """A connection that a stand-in has accepted."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.late = b''  # sent before the next response

    async def send(self, content):
        self.writer.write(content)
        await self.writer.drain()


class Server:
    """A small HTTP server; subclasses answer in ``handle``."""

    def __init__(self, bed):
        self.bed = bed
        self.listeners = []

    async def listen(self, address, **extra):
        async def serve(reader, writer):
            await self.serve(reader, writer, **extra)

        listener = await asyncio.start_server(serve, address, 0, backlog=512)
        self.listeners.append(listener)
        return '{}:{}'.format(*listener.sockets[0].getsockname()[:2])

    async def serve(self, reader, writer, **extra):
        connection = Connection(reader, writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(' ')
                request = Request(method, target, headers, body, connection)
                request.arrived = self.bed.now()
                if not await self.handle(request, **extra):
                    return
        except Silence:
            await asyncio.sleep(MAX_SECONDS)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Store(Server):
    """The platform's store.

    Each host has an address of its own, so that a case can tell the hosts'
    calls apart.

    lose: Called with the host, the request and its fields; returns whether the
        answer is lost after the call was performed.
    turned_away: Hosts that get no response.
    """

    def __init__(self, bed):
        super().__init__(bed)
        self.rows = {}
        self.history = []  # (version, name, value), in order of version
        self.version = 1
        self.changed = asyncio.Event()
        self.clock_start_ms = 50_000
        self.started = time.monotonic()
        self.lose = lambda host, request, fields: False
        self.turned_away = set()
        self.answers = {}  # by host
        self.lost = {}

    def now_ms(self):
        return self.clock_start_ms + round(
            (time.monotonic() - self.started) * 1000
        )

    def put(self, table, key, fields, part=''):
        self.version += 1
        body = base64.b64encode(json.dumps(fields).encode()).decode()
        self._write((table, part, key), body)
        self._notify()

    def remove(self, table, key, part=''):
        self.version += 1
        self._write((table, part, key), None)
        self._notify()

    def find(self, table, prefix=''):
        """Return the decoded rows of a table, by key."""
        return {
            key: json.loads(base64.b64decode(value))
            for (name, _part, key), (value, _version) in self.rows.items()
            if name == table and key.startswith(prefix)
        }

    def _write(self, name, value):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.history.append((self.version, name, value))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, host):
        fields = json.loads(request.body) if request.body else request.query
        if host in self.turned_away:
            raise Silence
        if request.path == '/v1/rows-tx':
            await asyncio.sleep(TRANSACTION_S)
            status, content = self.transact(fields)
        elif request.path == '/v1/rows-get':
            await asyncio.sleep(READ_S)
            status, content = 200, self.read(fields)
        elif request.path == '/v1/rows-feed':
            await asyncio.sleep(READ_S)
            status, content = await self.feed(fields)
        else:
            status, content = 404, {}
        if host in self.turned_away:
            raise Silence
        self.answers[host] = self.answers.get(host, 0) + 1
        if self.lose(host, request, fields):
            self.lost[host] = self.lost.get(host, 0) + 1
            self.bed.note(
                f'store: answer to {host} is lost: {request.path} '
                f'{describe_call(fields)}'
            )
            raise Silence
        content = {'ver': self.version, 'nowMs': self.now_ms(), **content}
        await request.connection.send(
            encode_response(status, body=json.dumps(content).encode())
        )
        return True

    def transact(self, fields):
        guards = {name_of(row): row['ver'] for row in fields['expectedRev']}
        if any(self._version_of(name) != ver for name, ver in guards.items()):
            rows = [self._encode(name) for name in guards]
            return 412, {'rows': rows}
        self.version += 1
        for row in fields.get('setKeys', ()):
            self._write(name_of(row), row['value'])
        for row in fields.get('remove', ()):
            self._write(name_of(row), None)
        self._notify()
        return 200, {'ver': self.version}

    def read(self, fields):
        wanted = (fields['table'], fields.get('part', ''))
        start, end = fields.get('from', ''), fields.get('to')
        names = sorted(
            name
            for name in self.rows
            if name[:2] == wanted
            and name[2] >= start
            and (end is None or name[2] < end)
        )
        return {
            'rows': [self._encode(name) for name in names[:500]],
            'hasMore': len(names) > 500,
        }

    async def feed(self, fields):
        after = int(fields['after'])
        deadline = time.monotonic() + int(fields['waitMs']) / 1000
        while True:
            changed = self.changed
            first = bisect.bisect_right(
                self.history, after, key=lambda change: change[0]
            )
            found = {}
            for version, name, value in self.history[first:]:
                if name[0] == fields['table']:
                    found.pop(name, None)
                    found[name] = self._encode_change(version, name, value)
            if found:
                return 200, {'rows': list(found.values())}
            left = deadline - time.monotonic()
            if left <= 0:
                return 200, {'rows': []}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def _version_of(self, name):
        return self.rows[name][1] if name in self.rows else 0

    def _encode(self, name):
        table, part, key = name
        fields = {'table': table, 'part': part, 'key': key, 'ver': 0}
        if name in self.rows:
            fields['value'], fields['ver'] = self.rows[name]
        return fields

    def _encode_change(self, version, name, value):
        table, part, key = name
        fields = {'table': table, 'part': part, 'key': key, 'ver': version}
        if value is None:
            return {**fields, 'tombstone': True}
        return {**fields, 'value': value}


def name_of(row):
    return row['table'], row.get('part', ''), row['key']


def describe_call(fields):
    if 'setKeys' in fields:
        return ' '.join(
            f'{row["table"]}/{row["key"]}'
            for row in (*fields['setKeys'], *fields.get('remove', ()))
        )
    return f'table={fields.get("table")} part={fields.get("part", "")}'


class Target(Server):
    """A server that registers itself: a plain one, or a model engine.

    slots: Requests that run at a time; queue: requests that wait.
    runs: One entry for each request that began to run.
    """

    def __init__(self, bed, name, service, zone, slots, queue=24):
        super().__init__(bed)
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self.beats = 0
        self.born = round(time.time() * 1000)
        self.address = ''
        self.runs = []
        self.free = asyncio.Condition()

    async def open(self):
        self.address = await self.listen(f'{self.bed.network}.1')
        self.register()
        self.bed.spawn(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    def register(self):
        self.beats += 1
        self.bed.store.put('servers', self.name, self.entry())

    def entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': self.beats,
            'born': self.born,
        }

    def labels(self, request):
        request_id = request.headers.get('attempt-id', '')
        return {
            'Attempt-Id': request_id,
            'Server-Stamp': f'{self.name}.{len(self.runs)}.{request_id[:8]}',
        }

    async def handle(self, request):
        expected = request.headers.get('expect-instance')
        if expected not in (None, self.name):
            await self.refuse(request, 421)
            return True
        if request.path == '/v1/report':
            await request.connection.send(
                encode_response(200, body=json.dumps(self.report()).encode())
            )
            return True
        if request.path == '/v1/order':
            return await self.order(request)
        return await self.admit(request)

    async def refuse(self, request, status=503):
        headers = {
            'Attempt-Id': request.headers.get('attempt-id', ''),
            'Not-Run': '1',
        }
        await request.connection.send(encode_response(status, headers))

    async def admit(self, request):
        """Run the request once a slot is free, or refuse it."""
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                await self.refuse(request)
                return True
            if not await self.wait_for_slot(request):
                return False
        self.running += 1
        try:
            return await self.run_until_close(request)
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify()

    async def wait_for_slot(self, request):
        """Wait in the queue; return False if the caller has left."""
        self.waiting += 1
        try:
            async with self.free:
                while self.running >= self.slots:
                    await self.free.wait()
        finally:
            self.waiting -= 1
        return not request.connection.reader.at_eof()

    async def run_until_close(self, request):
        """Run a request; drop it when its connection closes."""
        work = asyncio.ensure_future(self.run(request))
        gone = asyncio.ensure_future(wait_for_close(request.connection))
        try:
            await asyncio.wait(
                (work, gone), return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                work.result()
                return True
            return False
        finally:
            for task in (work, gone):
                task.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)

    def begin(self, request):
        run = {
            'at': self.bed.now(),
            'arrived': request.arrived,
            'id': request.headers.get('attempt-id', ''),
            'target': self.name,
            'after': request.headers.get('last-event-id', ''),
        }
        self.runs.append(run)
        self.bed.note(
            f'{self.name}: runs {run["id"]}'
            + (f' after event {run["after"]}' if run['after'] else '')
        )
        return run

    async def run(self, request):
        raise NotImplementedError

    def report(self):
        return {}

    async def order(self, request):
        await request.connection.send(encode_response(400))
        return True


async def wait_for_close(connection):
    """Return once the peer has closed; a next request isn't consumed."""
    while not connection.reader.at_eof():
        await asyncio.sleep(0.01)


class PlainServer(Target):
    """A plain server that answers after some milliseconds of work."""

    def __init__(self, *arguments, work_s=0.03, **options):
        super().__init__(*arguments, **options)
        self.work_s = work_s

    async def run(self, request):
        self.begin(request)
        await asyncio.sleep(self.work_s)
        response = encode_response(200, self.labels(request), b'done')
        await request.connection.send(response)


class Engine(Target):
    """A model engine: streams of events, reports and orders of versions."""

    def __init__(
        self,
        *arguments,
        models=('m0',),
        events=5,
        gap_s=0.05,
        load_s=0.9,
        fenced=True,
        **options,
    ):
        super().__init__(*arguments, **options)
        self.versions = dict.fromkeys(models, 1)
        self.events = events
        self.gap_s = gap_s
        self.load_s = load_s
        self.fenced = fenced
        self.fence = 0
        self.seq = 0
        self.busy_until = 0.0
        self.orders = []

    def entry(self):
        return {**super().entry(), 'stage': 'both', 'models': self.models()}

    def models(self):
        return [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.versions.items()
        ]

    def report(self):
        return {
            'stage': 'both',
            'models': self.models(),
            'busy': self.bed.now() < self.busy_until,
            'seq': self.seq,
            'numWaiting': self.waiting,
            'numRunning': self.running,
            'kvUsed': 0,
            'kvTotal': 90000,
            'handles': 0,
        }

    async def order(self, request):
        order = json.loads(request.body)
        status = self.judge_order(order)
        self.orders.append({'at': self.bed.now(), 'status': status, **order})
        self.bed.note(
            f'{self.name}: order of {order["holder"]} fence {order["fence"]}:'
            f' {order["model"]} version {order["version"]} -> {status}'
        )
        if status == 202:
            self.seq += 1
            self.busy_until = self.bed.now() + self.load_s
            self.bed.spawn(self.load(order))
        await request.connection.send(encode_response(status))
        return True

    def judge_order(self, order):
        if self.fenced and order['fence'] < self.fence:
            return 412
        self.fence = max(self.fence, order['fence'])
        if self.bed.now() < self.busy_until:
            return 409
        if order.get('expectedRev', self.seq) != self.seq:
            return 409
        if self.versions.get(order['model']) == order['version']:
            return 200
        return 202

    async def load(self, order):
        await asyncio.sleep(self.load_s)
        self.versions[order['model']] = order['version']
        self.register()

    async def run(self, request):
        self.begin(request)
        model = request.headers.get('model', 'm0')
        first = int(request.headers.get('last-event-id') or 0) + 1
        version = self.versions.get(model, 1)
        headers = {
            **self.labels(request),
            'Content-Type': 'text/event-stream',
            'Weight-Versions': version,
        }
        lines = ['HTTP/1.1 200 X', 'Transfer-Encoding: chunked']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        send = request.connection.send
        await send('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            text = f'id: {number}\ndata: word-{number}\n\n'
            if self.versions.get(model, 1) != version:
                version = self.versions[model]
                text = f'weight-versions: {version}\n{text}'
            await send(f'{len(text):x}\r\n{text}\r\n'.encode())
        await send(b'0\r\n\r\n')


class Host:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, bed, name, zone, ip, store, changes):
        self.bed = bed
        self.name = name
        self.ip = ip
        self.process = None
        self.processes = []  # all that were ever started
        self.log = bed.folder / f'{name}.log'
        self.settings = bed.folder / f'{name}.conf'
        fields = {
            'node': name,
            'role': 'entry',
            'machineClass': 'edge',
            'serves': 'edge',
            'ip': ip,
            'zone': zone,
            'region': 'tamsui',
            'listen.front': f'{ip}:{FRONT_PORT}',
            'listen.ready': f'{ip}:{READY_PORT}',
            'listen.control': f'{ip}:{CONTROL_PORT}',
            'internalPorts': INTERNAL_PORTS,
            'limits.cpuShare': '0.717',
            'limits.cores': '3',
            'limits.memoryMb': '300',
            'limits.maxFds': '8200',
            'bounds.contactMs': '3000',
            'bounds.drainMs': '2000',
            'bounds.graceS': '8',
            'bounds.requireFence': 'true',
            'bounds.leaseMs': '3000',
            'bounds.thawSlackMs': '300',
            'platform.address': store,
            'platform.form': 'table',
            'platform.writesPerS': '800',
            'platform.readsPerS': '2000',
            'platform.partWritesS': '150',
            **changes,
        }
        self.settings.write_text(
            ''.join(f'{key}={text}\n' for key, text in fields.items())
        )

    def start(self):
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment['SEQUOIASHED_SETTINGS'] = str(self.settings)
        environment['PYTHONPATH'] = 'target/deps'
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        if self.process and self.process.poll() is None:
            raise CannotRunError(f'{self.name} runs already')
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.processes.append(self.process)
        self.bed.note(f'{self.name}: process starts')

    def signal(self, number):
        self.bed.note(f'{self.name}: {signal.Signals(number).name}')
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self):
        """Wait until the process has ended."""
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def is_ready(self):
        if self.process.poll() is not None:
            raise CannotRunError(f'{self.name} ended: {self.log_tail()}')
        try:
            status, _, _ = await self.bed.call(
                f'{self.ip}:{READY_PORT}', 'GET', '/v1/ready', wait_s=0.5
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return status == 200

    def log_tail(self):
        return self.log.read_text(errors='replace')[-300:]

    def log_lines(self, *words):
        """Return the lines of the log that hold one of the words."""
        lines = self.log.read_text(errors='replace').splitlines()
        return [line for line in lines if any(word in line for word in words)]


class Bed:
    """The stand-ins and hosts of one case, and its record."""

    def __init__(self, folder):
        self.case_folder = folder
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.record = (folder / 'record.txt').open('w')
        self.started = time.monotonic()
        self.network = find_network()
        self.store = Store(self)
        self.hosts = []
        self.targets = []
        self.tasks = set()
        self.note(f'trouble: {"on" if self.trouble else "off"}')

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.record.write(f'{self.now():8.3f} {text}\n')
        self.record.flush()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def add_host(self, name, zone, **changes):
        number = len(self.hosts) + 2
        store = await self.store.listen(f'{self.network}.1', host=name)
        changes = {
            key.replace('__', '.'): text for key, text in changes.items()
        }
        host = Host(
            self, name, zone, f'{self.network}.{number}', store, changes
        )
        self.hosts.append(host)
        return host

    async def add_target(self, target):
        await target.open()
        self.targets.append(target)
        return target

    async def start_hosts(self, seconds=20):
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await self.wait_until(host.is_ready, seconds, f'{host.name} ready')
        zones = len(self.store.find('coordinators'))
        self.note(f'all hosts are ready; {zones} coordinators')

    async def wait_until(self, condition, seconds, what):
        deadline = self.now() + seconds
        while True:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            if self.now() > deadline:
                raise CannotRunError(f'waited {seconds} s in vain: {what}')
            await asyncio.sleep(0.01)

    def find_host(self, owner):
        """Return the host of the name under which a process owns work."""
        name = owner.rpartition('/')[0]
        return next((host for host in self.hosts if host.name == name), None)

    async def call(
        self, address, method, target, headers=(), body=b'', wait_s=5.0
    ):
        """Send one request on a new connection; return the whole answer."""
        host, _, port = address.rpartition(':')
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                fields = {
                    'Host': AUTHORITY,
                    'Content-Length': str(len(body)),
                    **dict(headers),
                }
                lines = [f'{method} {target} HTTP/1.1']
                lines += [f'{name}: {text}' for name, text in fields.items()]
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
                first, answered, content = await read_message(reader)
                return int(first.split()[1]), answered, content
            finally:
                writer.close()

    async def call_front(self, host, method, target, headers=(), body=b'', **k):
        """Call a host as a client does and record the answer."""
        address = f'{host.ip}:{FRONT_PORT}'
        try:
            answer = await self.call(
                address, method, target, headers, body, **k
            )
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            self.note(f'client: {method} {target} at {host.name}: {error!r}')
            return 0, {}, b''
        self.note(f'client: {method} {target} at {host.name} -> {answer[0]}')
        return answer

    async def submit(self, hosts, batch_id, body, path='/pule252/', tries=5):
        """Submit a batch submission at one host after the other."""
        headers = {'Attempt-Id': batch_id, 'Content-Type': 'application/json'}
        for number in range(tries):
            host = hosts[number % len(hosts)]
            status, _, _ = await self.call_front(
                host,
                'POST',
                f'{path}{batch_id}',
                headers,
                json.dumps(body).encode(),
            )
            if status == 202:
                return host
            await asyncio.sleep(0.3)
        raise CannotRunError(f'{batch_id} was not accepted')

    async def read_page(self, host, batch_id, after=0):
        """Return the status and the page of results from a position on."""
        status, _, content = await self.call_front(
            host, 'GET', f'/v1/lots/{batch_id}?after={after}'
        )
        return status, json.loads(content) if status == 200 else None

    async def read_results(self, hosts, batch_id, seconds):
        """Read all results, as far as they are there after some seconds."""
        found = []
        total = None
        deadline = self.now() + seconds
        number = 0
        while self.now() < deadline and (total is None or len(found) < total):
            host = hosts[number % len(hosts)]
            number += 1
            status, page = await self.read_page(host, batch_id, len(found))
            if page:
                total = page['total']
                found.extend(page['results'])
            if status == 404:
                return 404, found
            await asyncio.sleep(0.4)
        return 200, found

    async def close(self):
        processes = [p for host in self.hosts for p in host.processes]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        for task in tuple(self.tasks):
            task.cancel()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_manifest(version, routes, services):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 33554432,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


def make_rollout_route(service, **changes):
    return {
        'name': 'rollout',
        'host': AUTHORITY,
        'pathPrefix': '/pule252/',
        'kind': 'rollout',
        'service': service,
        'timeoutMs': 10000,
        'targetLatencyMs': 500,
        'dueMs': 7500,
        'maxAttempts': 3,
        'maxAgeS': 40,
        'priority': 1,
        'sticky': True,
        'resumable': True,
        **changes,
    }


def make_live_route(service, prefix, kind='idempotent', **changes):
    return {
        'name': prefix.strip('/'),
        'host': AUTHORITY,
        'pathPrefix': prefix,
        'kind': kind,
        'service': service,
        'timeoutMs': 2000,
        'targetLatencyMs': 150,
        'maxAttempts': 4,
        'priority': 2,
        **changes,
    }


def make_engine_service(name, models):
    return {
        'name': name,
        'healthPath': '/health',
        'maxConns': 140,
        'engine': {'models': [{'name': model} for model in models]},
    }


def make_plain_service(name):
    return {'name': name, 'healthPath': '/health', 'maxConns': 100}


def make_batch(batch_id, model, groups, size, step=0, scorer=None):
    """Return a batch submission of some groups of items."""
    requests = []
    for number in range(groups * size):
        item = {
            'id': f'{batch_id[:8]}{number:08x}',
            'path': f'/pule252/3/{number:04x}',
            'headers': {'Model': model, 'Token-Count': '271,100'},
            'body': base64.b64encode(b'prompt').decode(),
            'tokens': 371,
            'group': f'g{number // size}',
        }
        if scorer:
            item['scorer'] = {
                'id': f'5c0e{batch_id[:4]}{number:08x}',
                'host': AUTHORITY,
                'path': f'{scorer}{number:04x}',
                'body': '',
            }
        requests.append(item)
    return {
        'step': step,
        'model': model,
        'minVersion': 0,
        'groupCount': groups,
        'requests': requests,
    }


def run_case(folder, play):
    """Play a case and exit with 1 (broken), 0 (held) or 2 (could not run)."""

    async def main():
        bed = Bed(folder)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                broken = await play(bed)
            status = BROKEN if broken else HELD
            for line in broken:
                bed.note(f'BROKEN: {line}')
            bed.note('verdict: broken' if broken else 'verdict: held')
        except Exception as error:
            bed.note(f'verdict: could not run: {error!r}')
            broken, status = [repr(error)], NOT_RUN
        except asyncio.CancelledError:
            broken, status = ['cancelled'], NOT_RUN
        finally:
            keep = os.environ.get('REVIEW_LOGS')
            if keep:
                shutil.copytree(bed.folder, keep, dirs_exist_ok=True)
            await bed.close()
        for line in broken[:5]:
            print(line)
        print({1: 'broken', 0: 'held', 2: 'could not run'}[status])
        return status

    sys.exit(asyncio.run(main()))
