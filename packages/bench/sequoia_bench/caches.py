"""Measures importing a KV cache against computing it again.

The costs are those of the stand-in engines; operators take their own engines'
break-even and set ``kv_break_even`` of the pool.
"""

import curio
from sequoia_standins.caches import KvCacheManager
from sequoia_wire.clocks import SystemClock
from sequoia_wire.exchanges import Exchange
from sequoia_wire.generations import GenerationRequest
from sequoia_wire.messages import Address
from sequoia_wire.servers import HttpServer

from sequoia_bench.figures import Figure

BENCH = 'caches'
TOKENS = (16, 64, 128, 256, 1024)
ROUNDS = 5
MILLISECONDS = 1000


async def time_fill(wanted: GenerationRequest) -> float:
    """Return the milliseconds until a cache is filled, the best of some."""
    clock = SystemClock()
    times = []
    for _ in range(ROUNDS):
        started = clock.elapsed()
        await KvCacheManager().fill(wanted)
        times.append((clock.elapsed() - started).total_seconds())
    return min(times) * MILLISECONDS


async def compare() -> list[Figure]:
    """Return the time to fill a cache in both ways, by its size."""
    holder = KvCacheManager()

    async def handle(exchange: Exchange) -> None:  # noqa: WPS430
        await exchange.read_body()
        await holder.export(exchange)

    server = HttpServer(Address('127.0.0.1', 0), handle)
    server.open()
    task = await curio.spawn(server.run, daemon=True)
    figures = []
    for tokens in TOKENS:
        holder.store('stream', tokens)
        for case, source in (('compute', ''), ('import', str(server.address))):
            wanted = GenerationRequest(
                'stream',
                'prompt',
                2 * tokens,
                resume_from=tokens,
                kv_source=source,
            )
            took = await time_fill(wanted)
            figures.append(
                Figure(BENCH, f'{tokens} tokens', case, took, 'ms'),
            )
    await task.cancel()
    return figures


def measure_caches(_seed: int) -> list[Figure]:
    """Return the figures of both ways."""
    with curio.Kernel() as kernel:
        return kernel.run(compare)
