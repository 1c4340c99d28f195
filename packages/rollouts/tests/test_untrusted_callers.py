"""Real processes outlive crowds of untrusted callers within their memory.

The crowds and bounds were fixed before the product bounded anything.
"""

import base64
import logging
import uuid
from contextlib import asynccontextmanager

import curio
import orjson
import pytest
from attrs import define
from crowds import Crowd, Usage, make_chunked, make_sized, make_whole
from engine_standin import EngineStandin, PlainStandin
from host_processes import FRONT_PORT, HostProcess
from sequoia_wire.clients import HttpClient
from sequoia_wire.messages import Address, RequestHead, encode_headers
from sites import AUTHORITY, CALL_TIMEOUTS, make_lot, make_manifest
from store_standin import StoreStandin

MIB = 1024 * 1024
MEMORY = 160_000_000  # bytes
DESCRIPTORS = 300
BODY_LIMIT = 8 * MIB
CALLERS = 60
SENDING_TIMEOUT = 8.0  # seconds
ANSWER_TIMEOUT = 10.0  # seconds
RESPONSE = bytes(BODY_LIMIT)
IP = '127.0.105.{number}'
LOGGER = logging.getLogger(__name__)


@define(eq=False)
class LargeStandin(PlainStandin):
    """A plain server with long responses, except for ordinary requests."""

    async def serve(self, exchange):
        headers = self.make_label_headers(exchange.head.header('attempt-id'))
        body = RESPONSE if exchange.head.path == '/live/large' else b'small'
        await exchange.respond(200, body, headers)


@define(eq=False)
class HostUnderTest:
    """A host in a process of its own, and what it uses."""

    process: HostProcess
    usage: Usage
    crowds: list

    async def gather(self, *shapes, settle=0.5, **options):
        """Let crowds call at once; return when they have sent all they can.

        Args:
            shapes: What makes a request, and how many callers send it.
            settle: Seconds to wait after that, such as for responses.
            options: Of the crowd.
        """
        crowd = Crowd(self.process.ip, FRONT_PORT, **options)
        for make, count in shapes:
            for number in range(count):
                task = await curio.spawn(crowd.call, number, make)
                self.crowds.append(task)
        total = sum(count for _make, count in shapes)
        async with curio.ignore_after(SENDING_TIMEOUT):
            while crowd.done < total:
                await curio.sleep(0.02)
        await curio.sleep(settle)

    async def is_answered(self):
        """Return whether an ordinary request is answered, by any attempt."""
        async with curio.ignore_after(ANSWER_TIMEOUT):
            while await self.call('/live/small', b'small') != 200:
                await curio.sleep(0.1)
            return True
        return False

    async def call(self, path, body):
        headers = {
            'host': AUTHORITY,
            'attempt-id': uuid.uuid4().hex,
            'deadline-ms': '8000',
        }
        head = RequestHead('POST', path, encode_headers(headers))
        try:
            response = await HttpClient().fetch(
                Address(self.process.ip, FRONT_PORT), head, body, CALL_TIMEOUTS
            )
        except Exception:  # noqa: BLE001
            return None
        return response.status

    def check(self):
        """Check that the process lives within its memory."""
        assert self.process.process.poll() is None
        peak = self.usage.read_peak() + self.usage.queued
        LOGGER.info(
            'peak %d kB, of it queued %d kB; %d descriptors',
            peak // 1000,
            self.usage.queued // 1000,
            self.usage.descriptors,
        )
        assert peak <= MEMORY


def make_config():
    manifest = make_manifest(5)
    manifest['limits']['maxBodyBytes'] = BODY_LIMIT
    live = manifest['routes'][1]
    manifest['routes'].append(
        {
            **live,
            'name': 'stream',
            'pathPrefix': '/stream/',
            'service': 'pool',
            'kind': 'streaming',
            'timeoutMs': 30000,
        }
    )
    return manifest


@asynccontextmanager
async def run_host(folder, number, **limits):
    """Run one host in a process of its own, and all that it talks to."""
    store, server = StoreStandin(), LargeStandin('p0')
    engine = EngineStandin('e0', words=256, word_bytes=65536, pace=0)
    standins = (store, server, engine)
    async with curio.TaskGroup(wait=None) as group:
        for standin in standins:
            standin.server.limits = type(standin.server.limits)(
                body_bytes=BODY_LIMIT
            )
            standin.server.open()
            await group.spawn(standin.server.run)
        for target in (server, engine):
            store.put('servers', target.name, target.entry())
        store.put('op', 'config', make_config())
        process = HostProcess(
            'h1',
            IP.format(number=number),
            folder,
            store.server.address,
            options={'limits.memoryMb': '160', **limits},
        )
        process.start()
        usage = Usage(process.process.pid, process.ip, FRONT_PORT)
        host = HostUnderTest(process, usage, [])
        await group.spawn(usage.follow)
        try:
            await process.wait_until_ready()
            yield host
        finally:
            process.kill()
            for task in host.crowds:
                await task.cancel()


def run(folder, number, *shapes, limits=None, **options):
    """Return the host after a crowd and an ordinary request."""

    async def main():
        async with run_host(folder, number, **(limits or {})) as host:
            await host.gather(*shapes, **options)
            host.usage.measure()
            answered = await host.is_answered()
            host.usage.measure()
            LOGGER.info('ordinary request answered: %s', answered)
            host.check()
            assert answered
            return host

    return curio.run(main)


def test_bodies_that_stop_before_their_end(tmp_path):
    """Sixty bodies of 8 MiB took 519 MB."""
    run(tmp_path, 1, (make_sized(BODY_LIMIT), CALLERS))


def test_bodies_in_pieces_that_stop_before_their_end(tmp_path):
    """Bodies that arrive slowly were collected until all memory was used."""
    run(tmp_path, 2, (make_sized(BODY_LIMIT), CALLERS), pause=0.005)


def test_large_chunks_that_stop_before_their_end(tmp_path):
    """Chunked bodies declare no length; they were collected without a bound."""
    run(tmp_path, 3, (make_chunked(BODY_LIMIT, 65536), CALLERS))


def test_tiny_chunks_that_stop_before_their_end(tmp_path):
    """Parsing chunks of 64 bytes left no time for ordinary requests."""
    run(tmp_path, 4, (make_chunked(2 * MIB, 64), CALLERS))


def test_callers_that_do_not_read_their_responses(tmp_path):
    """Each held a whole response of 8 MiB."""
    run(tmp_path, 5, (make_whole('/live/large'), CALLERS), receive_buffer=4096)


def test_callers_that_do_not_read_their_streams(tmp_path):
    """A stream must not be read from the engine faster than it is sent."""
    run(tmp_path, 6, (make_whole('/stream/x'), CALLERS), receive_buffer=4096)


def make_large_lot():
    lot = make_lot(4)
    for request in lot['requests']:
        request['body'] = base64.b64encode(bytes(MIB)).decode()
    return orjson.dumps(lot)


def test_submissions_sent_at_once(tmp_path):
    """Decoding a submission holds its body several times."""
    run(tmp_path, 7, (make_whole('/train/x', make_large_lot()), 12))


def test_submissions_that_stop_before_their_end(tmp_path):
    """Bodies of submissions are read as others are."""
    run(tmp_path, 8, (make_sized(BODY_LIMIT, '/train/x'), CALLERS))


def test_two_shapes_at_once(tmp_path):
    """Large bodies and tiny chunks use memory and time together."""
    run(
        tmp_path,
        9,
        (make_sized(BODY_LIMIT), CALLERS // 2),
        (make_chunked(2 * MIB, 64), CALLERS // 2),
    )


def test_connections_without_a_request(tmp_path):
    """Half-open connections took the descriptors of targets and the store."""
    host = run(
        tmp_path,
        10,
        (lambda number: (b'POST /li', b''), DESCRIPTORS * 2),
        limits={'limits.maxFds': str(DESCRIPTORS)},
    )
    assert host.usage.descriptors <= DESCRIPTORS


@pytest.mark.parametrize('path', ['/live/whole', '/live/large'])
def test_one_large_request_is_served(tmp_path, path):
    """A single request within the limits must not be refused for its size."""

    async def main():
        async with run_host(tmp_path, 11) as host:
            return await host.call(path, bytes(BODY_LIMIT))

    assert curio.run(main) == 200
