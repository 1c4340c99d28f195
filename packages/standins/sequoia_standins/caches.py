"""KV caches of a stand-in engine: kept for some streams, and imported."""

from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.errors import ServiceError
from sequoia_wire.clients import HttpClient
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.generations import GenerationRequest, KvCacheEntry
from sequoia_wire.messages import RequestHead, parse_address

OK = 200
NOT_FOUND = 404
MOST_CACHES = 64  # streams whose cache an engine keeps
PREFIX = '/kv/'


@frozen
class CacheTraits:
    """What it costs to fill a KV cache.

    Attributes:
        compute_time: To compute the cache of a token.
        import_time: To import the cache of a token.
        import_setup: To open an import.
    """

    compute_time: timedelta = timedelta(microseconds=200)
    import_time: timedelta = timedelta(microseconds=20)
    import_setup: timedelta = timedelta(milliseconds=20)


@define
class CacheKeeper:
    """Keeps the caches of streams and fills those of resumed ones.

    Attributes:
        imported: Streams whose cache was imported.
        computed: Streams whose cache was computed again.
    """

    traits: CacheTraits = CacheTraits()
    held: dict[str, int] = field(factory=dict)
    imported: int = 0
    computed: int = 0
    client: HttpClient = field(factory=HttpClient)

    def keep(self, request_id: str, tokens: int) -> None:
        """Keep the cache of a stream, and drop those not used for longest."""
        self.held.pop(request_id, None)
        self.held[request_id] = tokens
        while len(self.held) > MOST_CACHES:
            self.held.pop(next(iter(self.held)))

    async def export(self, exchange: Exchange) -> None:
        """Answer what is held of a stream."""
        request_id = exchange.head.path.removeprefix(PREFIX)
        tokens = self.held.get(request_id)
        if tokens is None:
            await exchange.respond(NOT_FOUND)
            return
        await exchange.respond(OK, encode(KvCacheEntry(request_id, tokens)))

    async def fill(self, wanted: GenerationRequest) -> None:
        """Take the time that the cache of a resumed stream costs."""
        missing = wanted.resume_from
        if missing and wanted.kv_source:
            covered = min(missing, await self._import(wanted))
            missing -= covered
            self.imported += covered > 0
        self.computed += missing > 0
        pause = missing * self.traits.compute_time
        await curio.sleep(pause.total_seconds())

    async def _import(self, wanted: GenerationRequest) -> int:
        """Return the number of tokens whose cache was imported."""
        head = RequestHead('GET', f'{PREFIX}{wanted.request_id}')
        address = parse_address(wanted.kv_source)
        try:
            answer = await self.client.fetch(address, head)
        except ServiceError:
            return 0
        if answer.status != OK:
            return 0
        tokens = decode(answer.body, KvCacheEntry).tokens
        pause = self.traits.import_setup + tokens * self.traits.import_time
        await curio.sleep(pause.total_seconds())
        return tokens
