"""Stand-ins of the hosts list and the weight store."""

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
    """Serves the hosts list as it was some time ago."""

    lag: timedelta = timedelta(seconds=2)
    clock: Clock = field(factory=SystemClock)
    served: HostsList = HostsList()
    pending: deque[tuple[timedelta, HostsList]] = field(factory=deque)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request; a POST replaces the list after the lag."""
        body = await exchange.read_body()
        now = self.clock.elapsed()
        if exchange.head.method == POST:
            self.pending.append((now + self.lag, decode(body, HostsList)))
        while self.pending and self.pending[0][0] <= now:
            self.served = self.pending.popleft()[1]
        if not self.served.hosts and self.pending:
            self.served = self.pending[0][1]
        body = encode(self.served)
        tag = hashlib.sha256(body).hexdigest()
        headers = encode_headers({'etag': tag})
        if exchange.head.header('if-none-match') == tag:
            await exchange.respond(NOT_MODIFIED, b'', headers)
            return
        await exchange.respond(OK, body, headers)


@define
class WeightsStandin:
    """Serves the newest version of each pool's weights."""

    newest: dict[str, int] = field(factory=dict)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request; a POST publishes a version."""
        body = await exchange.read_body()
        if exchange.head.method == POST:
            published = decode(body, PublishedWeights)
            self.newest[published.pool] = published.version
        pool = exchange.head.path.rpartition('/')[2]
        version = self.newest.get(pool, 0)
        await exchange.respond(OK, encode(PublishedWeights(pool, version)))
