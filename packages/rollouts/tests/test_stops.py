"""Tests of requests at a host that is stopped on purpose."""

from datetime import timedelta

import curio
import pytest
from attrs import define, evolve, field
from engine_standin import MODEL, SERVICE
from sequoia_policy.errors import ServiceError
from sequoia_wire.clients import HttpClient
from sites import SCORERS, make_manifest, open_site, wait_until

GRACE = timedelta(seconds=4)
NEVER = 60.0  # seconds; longer than any test
UNTIL_REFUSED = 1.7  # seconds after the signal; 0.4 of the grace and a margin
AT_ONCE = 0.2  # seconds
DEADLINE = '30000'  # milliseconds
LATE_REQUEST = (
    b'POST /once/a HTTP/1.1\r\nhost: site.example\r\nattempt-id: r1\r\n'
    b'deadline-ms: 30000\r\ncontent-length: 1\r\n\r\nx'
)
STREAM_ROUTE = {
    'name': 'stream',
    'host': 'site.example',
    'pathPrefix': '/stream/',
    'kind': 'streaming',
    'service': SERVICE,
    'timeoutMs': 30000,
    'targetLatencyMs': 500,
    'maxAttempts': 2,
}


def make_slow_manifest():
    """Return a manifest whose routes let requests take long."""
    manifest = make_manifest(4)
    routes = [{**route, 'timeoutMs': 30000} for route in manifest['routes']]
    return {**manifest, 'routes': [*routes, STREAM_ROUTE]}


@define(eq=False)
class StoppedSite:
    """A site whose first host is stopped, and what its callers saw.

    Attributes:
        ended: How each request ended: a status, or None if its connection was
            closed without a response; and when, in seconds from the signal on.
    """

    site: object
    ended: dict = field(factory=dict)
    stopped_at: timedelta | None = None
    tasks: list = field(factory=list)
    statuses: list = field(factory=list)
    late_response: bytes = b''

    @property
    def host(self):
        return self.site.hosts[0]

    def since_signal(self):
        return (self.host.clock.elapsed() - self.stopped_at).total_seconds()

    async def send(self, path, name):
        """Send a request from a caller of its own, in the background."""
        self.tasks.append(await curio.spawn(self._send, path, name))

    async def stop(self):
        """Stop the host as SIGTERM does; its process ends afterwards."""
        self.stopped_at = self.host.clock.elapsed()
        await self.host.shut_down()
        for connection in tuple(self.host.front.connections):
            await connection.task.cancel()

    async def join(self):
        for task in self.tasks:
            await task.join()

    async def _send(self, path, name):
        body = b'b'
        headers = {'deadline_ms': DEADLINE, 'model': MODEL}
        client, self.site.client = self.site.client, HttpClient()
        try:
            response = await self.site.call(
                self.host, 'POST', path, body, attempt_id=name, **headers
            )
        except ServiceError:
            status = None
        else:
            status = response.status
        self.site.client = client
        if self.stopped_at is not None:
            self.ended[name] = (status, self.since_signal())


def run_stopped(work, **options):
    """Run ``work`` on a site before its host is stopped; return the ends."""

    async def main():
        async with open_site(**options) as site:
            site.store.put('op', 'config', make_slow_manifest())
            host = site.hosts[0]
            await wait_until(lambda: host.directory.configuration.version == 4)
            host.settings = evolve(host.settings, stop_limit=GRACE)
            stopped = StoppedSite(site)
            later = await work(stopped)
            stopping = await curio.spawn(stopped.stop)
            if later:
                await later(stopped)
            await stopping.join()
            await stopped.join()
            return stopped

    return curio.run(main)


@pytest.mark.parametrize('path', ['/once/a', '/live/a', '/stream/a'])
def test_request_in_flight_at_the_end_is_answered(path):
    """Its connection was closed, so that nobody told what became of it."""

    async def work(stopped):
        stopped.site.scorers[0].delay = NEVER
        for engine in stopped.site.engines:
            engine.pace = NEVER
        await stopped.send(path, 'r1')
        await curio.sleep(0.2)

    stopped = run_stopped(work)
    status, seconds = stopped.ended['r1']
    assert status == 502
    assert seconds < GRACE.total_seconds()


def test_request_that_ends_within_the_grace_is_answered():
    async def work(stopped):
        stopped.site.scorers[0].delay = 3.4
        await stopped.send('/once/a', 'r1')
        await curio.sleep(0.2)

    assert run_stopped(work).ended['r1'][0] == 200


def test_request_received_late_is_refused_at_once_as_not_run():
    """Taken late in the grace, it was cut off at its end."""

    async def work(stopped):
        return send_late

    async def send_late(stopped):
        address = stopped.host.front.address
        await curio.sleep(UNTIL_REFUSED - 0.3)
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(LATE_REQUEST[:-1])
        await curio.sleep(0.4)
        await sock.sendall(LATE_REQUEST[-1:])
        async with curio.timeout_after(AT_ONCE):
            stopped.late_response = await sock.recv(1000)

    stopped = run_stopped(work)
    assert stopped.late_response.startswith(b'HTTP/1.1 503 ')
    assert b'retry-after: 0.1' in stopped.late_response.lower()
    assert not stopped.site.scorers[0].runs


def test_request_that_may_outlast_the_host_is_refused_at_once():
    """Others of its route take longer than the host has left."""

    async def work(stopped):
        stopped.site.scorers[0].delay = 3.0
        await stopped.send('/once/a', 'r0')
        await stopped.join()
        return send_at_once

    async def send_at_once(stopped):
        await curio.sleep(0.1)
        await stopped.send('/once/a', 'r1')
        await stopped.send('/live/a', 'r2')

    stopped = run_stopped(work)
    status, seconds = stopped.ended['r1']
    assert (status, len(stopped.site.scorers[0].runs)) == (503, 2)
    assert seconds < AT_ONCE
    assert stopped.ended['r2'][0] == 200


def test_begun_stream_does_not_look_complete_at_the_end():
    async def work(stopped):
        stopped.site.engines[0].pace = 0.5
        stopped.site.engines[0].words = 60
        await stopped.send('/stream/a', 'r1')
        await curio.sleep(0.7)

    assert run_stopped(work, engines=1).ended['r1'][0] is None


def test_failed_hand_over_cuts_off_no_request():
    """One exception in it ended the stop, and with it the process."""

    async def fail():
        raise LookupError('removed meanwhile')

    async def work(stopped):
        stopped.host.weights = Failing(fail)
        stopped.site.scorers[0].delay = 1.0
        await stopped.send('/once/a', 'r1')
        await curio.sleep(0.2)

    assert run_stopped(work).ended['r1'][0] == 200


@define
class Failing:
    release: object


def test_target_of_a_request_that_the_host_gave_up_is_not_blamed():
    async def work(stopped):
        stopped.site.scorers[0].delay = NEVER
        await stopped.send('/once/a', 'r1')
        await curio.sleep(0.2)

    site = run_stopped(work).site
    assert not site.store.find('crashes')
    (target,) = site.hosts[0].directory.registry.find(SCORERS)
    assert target.failures == 0


def test_submission_is_read_and_ended_until_the_last_second():
    async def work(stopped):
        assert (await stopped.site.submit(stopped.host)).status == 202
        return read_late

    async def read_late(stopped):
        stopped.statuses = []
        await curio.sleep(UNTIL_REFUSED - 0.3)
        for method in ('GET', 'DELETE'):
            response = await stopped.site.call(
                stopped.host, method, '/v1/lots/lot1'
            )
            stopped.statuses.append(response.status)

    assert run_stopped(work).statuses == [200, 200]
