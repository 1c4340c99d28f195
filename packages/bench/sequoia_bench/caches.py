"""Benchmark of importing a KV cache against recomputing it.

The costs are those of the stand-in engines. Operators measure the break-even
of their own engines and set ``kv_break_even`` of the pool.
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
CACHE_TOKENS = (16, 64, 128, 256, 1024)
ROUNDS = 5
MILLISECONDS_PER_SECOND = 1000


async def time_fill(request: GenerationRequest) -> float:
    """Return the minimum time to fill a cache over several rounds, in ms."""
    clock = SystemClock()
    times = []
    for _ in range(ROUNDS):
        started_at = clock.elapsed()
        await KvCacheManager().fill(request)
        times.append((clock.elapsed() - started_at).total_seconds())
    return min(times) * MILLISECONDS_PER_SECOND


async def compare_fills() -> list[Figure]:
    """Measure the time to compute and to import a cache, by its size."""
    exporter = KvCacheManager()

    async def handle(exchange: Exchange) -> None:  # noqa: WPS430
        await exchange.read_body()
        await exporter.export(exchange)

    server = HttpServer(Address('127.0.0.1', 0), handle)
    server.open()
    task = await curio.spawn(server.run, daemon=True)
    figures = []
    for tokens in CACHE_TOKENS:
        exporter.store('stream', tokens)
        for case, source in (('compute', ''), ('import', str(server.address))):
            request = GenerationRequest(
                'stream',
                'prompt',
                2 * tokens,
                resume_from=tokens,
                kv_source=source,
            )
            duration = await time_fill(request)
            figures.append(
                Figure(BENCH, f'{tokens} tokens', case, duration, 'ms'),
            )
    await task.cancel()
    return figures


def measure_caches(_seed: int) -> list[Figure]:
    """Measure computing and importing of caches."""
    with curio.Kernel() as kernel:
        return kernel.run(compare_fills)
