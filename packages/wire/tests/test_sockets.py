"""Tests of socket options: Nagle's algorithm is disabled."""

import curio
from sequoia_wire.clients import HttpClient, Timeouts
from sequoia_wire.messages import Address, RequestHead
from sequoia_wire.servers import HttpServer

NO_DELAY = (curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY)


async def read_options():
    options = []

    async def record_option(exchange):
        options.append(exchange.sock.getsockopt(*NO_DELAY))
        await exchange.respond(200)

    server = HttpServer(Address('127.0.0.1', 0), record_option)
    server.open()
    task = await curio.spawn(server.run, daemon=True)
    client = HttpClient()
    async with client.call(server.address, Timeouts()) as call:
        await call.send(RequestHead('GET', '/'))
        options.append(call.connection.sock.getsockopt(*NO_DELAY))
    await client.close()
    await task.cancel()
    return options


def test_tcp_nodelay_is_set_on_both_sides():
    assert all(curio.run(read_options))
