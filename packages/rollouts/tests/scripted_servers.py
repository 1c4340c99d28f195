"""Servers that answer requests with prepared bytes and close."""

import curio
from attrs import define, field
from engine_standin import MODEL, SCORERS, SERVICE


@define
class ScriptedRequest:
    """A request that a scripted server has read."""

    id: str
    path: str
    resume_after: int


@define(eq=False)
class ScriptedServer:
    """A server whose answers are taken from a script, in order of arrival.

    Attributes:
        script: Functions from a request to the bytes of its answer; the last
            one answers all further requests. Servers may share a script.
        requests: All requests that servers with this script have read.
    """

    name: str
    script: list
    requests: list = field(factory=list)
    service: str = SERVICE
    port: int = 0

    async def open(self, group):
        sock = curio.tcp_server_socket('127.0.0.1', 0)
        self.port = sock.getsockname()[1]
        await group.spawn(curio.network.run_server, sock, self.serve)

    def entry(self):
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 3,
            'born': 1,
            'models': [{'name': MODEL, 'version': 1, 'adapters': []}],
        }

    async def serve(self, client, _address):
        request = await read_request(client)
        if request is None:
            return
        self.requests.append(request)
        answer = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        await client.sendall(answer(request))


async def read_request(client):
    received = b''
    while b'\r\n\r\n' not in received:
        chunk = await client.recv(65536)
        if not chunk:
            return None
        received += chunk
    head, _end, body = received.partition(b'\r\n\r\n')
    first, *lines = head.decode().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines)
    while len(body) < int(headers.get('content-length', 0)):
        body += await client.recv(65536)
    return ScriptedRequest(
        headers.get('attempt-id', ''),
        first.split(' ')[1],
        int(headers.get('last-event-id', 0)),
    )


def make_head(request, status='200 OK', **headers):
    """Return a head with the labels of a server; an empty text removes one."""
    texts = {
        'attempt-id': request.id,
        'server-stamp': 'scripted.stamp',
        'content-type': 'text/event-stream',
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }
    lines = [f'{name}: {text}' for name, text in texts.items() if text]
    return '\r\n'.join((f'HTTP/1.1 {status}', *lines, '\r\n')).encode()


def make_events(request, last):
    first = request.resume_after + 1
    return [
        f'id: {number}\ndata: {request.id}-{number}\n\n'.encode()
        for number in range(first, last + 1)
    ]


def make_chunk(content):
    return b'%x\r\n%b\r\n' % (len(content), content)


def answer_in_chunks(request, *contents, whole=True, **headers):
    head = make_head(request, transfer_encoding='chunked', **headers)
    chunks = [make_chunk(content) for content in contents if content]
    return b''.join((head, *chunks, b'0\r\n\r\n' if whole else b''))


def answer_until_close(request, *contents, **headers):
    return b''.join((make_head(request, **headers), *contents))


SCORER = {'service': SCORERS}
