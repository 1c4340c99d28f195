"""Tests against request smuggling through bodies, lengths and headers."""

import curio
import pytest
from sequoia_standins.fakes import exchange_bytes
from sites import AUTHORITY, open_site, wait_until

HOST = f'host: {AUTHORITY}\r\n'
HIDDEN = (
    f'POST /live/hidden HTTP/1.1\r\n{HOST}attempt-id: hidden\r\n'
    'content-length: 0\r\n\r\n'
)
CHUNKED_END = '0\r\n\r\n'


def make_request(headers, body, path='/live/seen'):
    head = f'POST {path} HTTP/1.1\r\n{HOST}attempt-id: seen\r\n{headers}\r\n'
    return f'{head}{body}'.encode('latin-1')


def send(request):
    """Return the response bytes and the requests that the target received."""

    async def main():
        async with open_site() as site:
            response = await exchange_bytes(
                site.hosts[0].front.address,
                request,
            )
            await curio.sleep(0.05)
            return response, site.scorers[0].requests

    return curio.run(main)


@pytest.mark.parametrize(
    'headers',
    [
        f'content-length: {len(CHUNKED_END)}\r\ntransfer-encoding: chunked\r\n',
        'transfer-encoding: chunked\r\ncontent-length: 400\r\n',
        'transfer-encoding: identity, chunked\r\n',
        'transfer-encoding: xchunked\r\n',
        'transfer-encoding : chunked\r\n',
        'transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n',
        'content-length: 5\r\ncontent-length: 90\r\n',
        'content-length: +5\r\n',
        'content-length: 5, 90\r\n',
        'content-length: -1\r\n',
        'x: a\rcontent-length: 90\r\n',
    ],
)
def test_a_request_with_ambiguous_framing_is_rejected_and_runs_nothing(headers):
    response, requests = send(make_request(headers, CHUNKED_END + HIDDEN))
    assert b' 400 ' in response or b' 501 ' in response
    assert requests == []


def test_a_request_inside_a_body_is_not_run():
    headers = f'connection: close\r\ncontent-length: {len(HIDDEN)}\r\n'
    response, requests = send(make_request(headers, HIDDEN))
    assert response.count(b'HTTP/1.1') == 1
    assert [request.id for request in requests] == ['seen']
    assert requests[0].body == HIDDEN.encode()


def test_a_request_inside_a_chunk_is_not_run():
    chunk = f'{len(HIDDEN):x};note=1\r\n{HIDDEN}\r\n{CHUNKED_END}'
    headers = 'connection: close\r\ntransfer-encoding: chunked\r\n'
    response, requests = send(make_request(headers, chunk))
    assert response.count(b'HTTP/1.1') == 1
    assert [request.id for request in requests] == ['seen']
    assert requests[0].body == HIDDEN.encode()


def test_bytes_after_a_rejected_request_are_not_parsed_as_a_request():
    response, requests = send(
        make_request('content-length: 9\r\n', f'short{HIDDEN}', '/nowhere/'),
    )
    assert b' 404 ' in response
    assert requests == []


def test_method_path_query_and_body_reach_the_target_unchanged():
    path = '/live/a%2Fb/../c//d?x=%20&y=1+2;z'
    body = ''.join(chr(code) for code in range(256))
    headers = f'connection: close\r\ncontent-length: {len(body)}\r\n'
    _response, requests = send(make_request(headers, body, path))
    assert requests[0].method == 'POST'
    assert requests[0].target == path
    assert requests[0].body == body.encode('latin-1')


def test_hop_by_hop_headers_are_not_forwarded():
    headers = (
        'content-length: 0\r\nconnection: close, X-Hop\r\n'
        'x-hop: 1\r\nx-end: 2\r\nte: trailers\r\nkeep-alive: timeout=9\r\n'
    )
    _response, requests = send(make_request(headers, ''))
    names = {name for name, _text in requests[0].headers}
    assert names.isdisjoint({b'x-hop', b'te', b'keep-alive', b'connection'})
    assert b'x-end' in names


def test_a_body_over_the_limit_is_rejected_and_runs_nothing():
    async def main():
        async with open_site() as site:
            host = site.hosts[0]
            await wait_until(lambda: host.front.limits.body_bytes == 1000000)
            responses = [
                await exchange_bytes(
                    host.front.address,
                    make_request(headers, body),
                )
                for headers, body in (
                    ('content-length: 1000001\r\n', ''),
                    (
                        'transfer-encoding: chunked\r\n',
                        f'f4241\r\n{"x" * 1000001}\r\n{CHUNKED_END}',
                    ),
                )
            ]
            return responses, site.scorers[0].requests

    responses, requests = curio.run(main)
    assert all(b' 413 ' in response for response in responses)
    assert requests == []
