"""Tests of socket options: small writes are sent at once."""

import curio
from sequoia_wire.clients import HttpClient, Timeouts
from sequoia_wire.messages import Address, RequestHead
from sequoia_wire.servers import HttpServer

NO_DELAY = (curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY)


async def read_options():
    seen = []

    async def note(exchange):
        seen.append(exchange.sock.getsockopt(*NO_DELAY))
        await exchange.respond(200)

    server = HttpServer(Address('127.0.0.1', 0), note)
    server.open()
    task = await curio.spawn(server.run, daemon=True)
    client = HttpClient()
    async with client.call(server.address, Timeouts()) as call:
        await call.send(RequestHead('GET', '/'))
        seen.append(call.connection.sock.getsockopt(*NO_DELAY))
    await client.close()
    await task.cancel()
    return seen


def test_both_sides_send_small_writes_at_once():
    assert all(curio.run(read_options))
