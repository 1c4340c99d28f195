"""Messages exchanged with engines that generate tokens."""

from attrs import frozen


@frozen
class GenerationRequest:
    """A request to an engine to generate tokens.

    Attributes:
        request_id: Echoed in the response.
        prompt: Text before the first token.
        seed: Random seed; the same seed gives the same tokens.
        resume_from: Number of tokens already generated.
        priority: 0 for live requests, 1 for rollouts.
        kv_source: Address of an engine that holds the KV cache of the tokens
            generated so far; empty to recompute it.
    """

    request_id: str
    prompt: str
    max_tokens: int
    seed: int = 0
    resume_from: int = 0
    priority: int = 0
    kv_source: str = ''


@frozen
class GenerationCall:
    """The request body that a caller sends to an engine service."""

    prompt: str
    max_tokens: int = 64
    seed: int = 0


@frozen
class TokenChunk:
    """A chunk of consecutive tokens of a stream.

    Attributes:
        start: Index of the first token.
        version: Weight version that generated the tokens; None if the engine
            did not report one.
        done: Whether the stream is complete.
    """

    request_id: str
    start: int
    tokens: tuple[int, ...] = ()
    version: int | None = None
    done: bool = False


@frozen
class KvCacheEntry:
    """The KV cache that an engine retains for a stopped stream.

    Attributes:
        tokens: Number of tokens that the cache covers.
    """

    request_id: str
    tokens: int
