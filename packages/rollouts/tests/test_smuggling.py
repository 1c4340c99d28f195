"""Tests that no target runs what a client hid inside another request."""

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
    """Return the answer's bytes and the ids that ran."""

    async def main():
        async with open_site() as site:
            answer = await exchange_bytes(
                site.hosts[0].front.address,
                request,
            )
            await curio.sleep(0.05)
            return answer, site.scorers[0].requests

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
def test_a_body_of_unclear_length_runs_nothing(headers):
    answer, requests = send(make_request(headers, CHUNKED_END + HIDDEN))
    assert b' 400 ' in answer or b' 501 ' in answer
    assert requests == []


def test_what_looks_like_a_request_in_a_body_is_a_body():
    headers = f'connection: close\r\ncontent-length: {len(HIDDEN)}\r\n'
    answer, requests = send(make_request(headers, HIDDEN))
    assert answer.count(b'HTTP/1.1') == 1
    assert [request.id for request in requests] == ['seen']
    assert requests[0].body == HIDDEN.encode()


def test_what_looks_like_a_request_in_a_chunk_is_a_body():
    chunk = f'{len(HIDDEN):x};note=1\r\n{HIDDEN}\r\n{CHUNKED_END}'
    headers = 'connection: close\r\ntransfer-encoding: chunked\r\n'
    answer, requests = send(make_request(headers, chunk))
    assert answer.count(b'HTTP/1.1') == 1
    assert [request.id for request in requests] == ['seen']
    assert requests[0].body == HIDDEN.encode()


def test_bytes_after_a_refused_request_are_not_read_as_the_next():
    answer, requests = send(
        make_request('content-length: 9\r\n', f'short{HIDDEN}', '/nowhere/'),
    )
    assert b' 404 ' in answer
    assert requests == []


def test_method_path_query_and_body_reach_the_target_unchanged():
    path = '/live/a%2Fb/../c//d?x=%20&y=1+2;z'
    body = ''.join(chr(code) for code in range(256))
    headers = f'connection: close\r\ncontent-length: {len(body)}\r\n'
    _answer, requests = send(make_request(headers, body, path))
    assert requests[0].method == 'POST'
    assert requests[0].target == path
    assert requests[0].body == body.encode('latin-1')


def test_headers_of_one_connection_stay_there():
    headers = (
        'content-length: 0\r\nconnection: close, X-Hop\r\n'
        'x-hop: 1\r\nx-end: 2\r\nte: trailers\r\nkeep-alive: timeout=9\r\n'
    )
    _answer, requests = send(make_request(headers, ''))
    names = {name for name, _text in requests[0].headers}
    assert names.isdisjoint({b'x-hop', b'te', b'keep-alive', b'connection'})
    assert b'x-end' in names


def test_a_body_over_the_limit_is_refused_unread():
    async def main():
        async with open_site() as site:
            host = site.hosts[0]
            await wait_until(lambda: host.front.limits.body_bytes == 1000000)
            answers = [
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
            return answers, site.scorers[0].requests

    answers, requests = curio.run(main)
    assert all(b' 413 ' in answer for answer in answers)
    assert requests == []
