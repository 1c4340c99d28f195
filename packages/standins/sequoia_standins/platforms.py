"""Stand-ins for the hosts list and the weight store."""

import hashlib
from collections import deque
from datetime import timedelta

from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.messages import encode_headers
from sequoia_wire.platform_messages import HostsList, PublishedWeights

OK = 200
NOT_MODIFIED = 304
POST = 'POST'


@define
class HostsStandin:
    """Serves a stale copy of the hosts list.

    Attributes:
        lag: Delay until a published list is served.
        pending: Published lists with the times from which they are served.
    """

    lag: timedelta = timedelta(seconds=2)
    clock: Clock = field(factory=SystemClock)
    served: HostsList = HostsList()
    pending: deque[tuple[timedelta, HostsList]] = field(factory=deque)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request; a POST replaces the list after the lag."""
        body = await exchange.read_body()
        now = self.clock.elapsed()
        if exchange.head.method == POST:
            self.pending.append((now + self.lag, decode(body, HostsList)))
        while self.pending and self.pending[0][0] <= now:
            self.served = self.pending.popleft()[1]
        # The first list is served at once.
        if not self.served.hosts and self.pending:
            self.served = self.pending[0][1]
        body = encode(self.served)
        etag = hashlib.sha256(body).hexdigest()
        headers = encode_headers({'etag': etag})
        if exchange.head.header('if-none-match') == etag:
            await exchange.respond(NOT_MODIFIED, b'', headers)
            return
        await exchange.respond(OK, body, headers)


@define
class WeightsStandin:
    """Serves the newest weight version of each pool."""

    newest_versions: dict[str, int] = field(factory=dict)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request; a POST publishes a version."""
        body = await exchange.read_body()
        if exchange.head.method == POST:
            published = decode(body, PublishedWeights)
            self.newest_versions[published.pool] = published.version
        pool = exchange.head.path.rpartition('/')[2]
        version = self.newest_versions.get(pool, 0)
        await exchange.respond(OK, encode(PublishedWeights(pool, version)))
