"""KV caches of a stand-in engine: LRU retention and import."""

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
MAX_CACHES = 64  # streams whose cache an engine retains
KV_PREFIX = '/kv/'


@frozen
class CacheTraits:
    """Cost of filling a KV cache.

    Attributes:
        compute_time: Time to compute the cache of one token.
        import_time: Time to import the cache of one token.
        import_setup: Time to set up an import.
    """

    compute_time: timedelta = timedelta(microseconds=200)
    import_time: timedelta = timedelta(microseconds=20)
    import_setup: timedelta = timedelta(milliseconds=20)


@define
class KvCacheManager:
    """Retains the caches of streams and fills those of resumed streams.

    Attributes:
        cached_tokens: Number of cached tokens by request id, least recently
            used first.
        imported: Number of streams whose cache was imported at least in part.
        computed: Number of streams whose cache was recomputed at least in part.
    """

    traits: CacheTraits = CacheTraits()
    cached_tokens: dict[str, int] = field(factory=dict)
    imported: int = 0
    computed: int = 0
    client: HttpClient = field(factory=HttpClient)

    def store(self, request_id: str, tokens: int) -> None:
        """Retain the cache of a stream and evict the least recently used."""
        self.cached_tokens.pop(request_id, None)
        self.cached_tokens[request_id] = tokens
        while len(self.cached_tokens) > MAX_CACHES:
            self.cached_tokens.pop(next(iter(self.cached_tokens)))

    async def export(self, exchange: Exchange) -> None:
        """Respond with the cached tokens of a stream."""
        request_id = exchange.head.path.removeprefix(KV_PREFIX)
        tokens = self.cached_tokens.get(request_id)
        if tokens is None:
            await exchange.respond(NOT_FOUND)
            return
        await exchange.respond(OK, encode(KvCacheEntry(request_id, tokens)))

    async def fill(self, request: GenerationRequest) -> None:
        """Simulate the time to fill the cache of a resumed stream."""
        missing = request.resume_from
        if missing and request.kv_source:
            covered = min(missing, await self._import(request))
            missing -= covered
            self.imported += covered > 0
        self.computed += missing > 0
        duration = missing * self.traits.compute_time
        await curio.sleep(duration.total_seconds())

    async def _import(self, request: GenerationRequest) -> int:
        """Return the number of tokens imported; 0 if the import failed."""
        head = RequestHead('GET', f'{KV_PREFIX}{request.request_id}')
        address = parse_address(request.kv_source)
        try:
            response = await self.client.fetch(address, head)
        except ServiceError:
            return 0
        if response.status != OK:
            return 0
        tokens = decode(response.body, KvCacheEntry).tokens
        duration = self.traits.import_setup + tokens * self.traits.import_time
        await curio.sleep(duration.total_seconds())
        return tokens
