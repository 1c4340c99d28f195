"""Stand-in for the platform's API, which judges the calls of hosts."""

import time

import orjson
from attrs import define, field
from sequoia_wire.messages import Address
from sequoia_wire.servers import HttpServer


@define
class ReceivedCall:
    """A call that was carried out or refused.

    Attributes:
        at: When it came, by the clock of the test.
        wall: When it came, in seconds since 1970.
    """

    path: str
    holder: str
    fence: int
    fields: dict
    status: int
    at: float = field(factory=time.monotonic)
    wall: float = field(factory=time.time)


@define(eq=False)
class ApiStandin:
    """Records calls, and fails as tests ask.

    Attributes:
        requires_fence: Whether a lower fencing token than before is refused.
        down: Status of every response while the API is down; 0 if it is up.
        to_refuse: Number of further calls to refuse with status 429.
        is_holding: Whether calls are neither carried out nor answered.
        held: The calls that were held.
        to_lose: Number of further calls that are carried out without a
            response.
    """

    address: Address = field(factory=lambda: Address('127.0.0.1', 0))
    requires_fence: bool = False
    down: int = 0
    to_refuse: int = 0
    to_lose: int = 0
    is_holding: bool = False
    held: list = field(factory=list)
    calls: list = field(factory=list)
    highest: dict = field(factory=dict)
    server: HttpServer = field(init=False)

    def __attrs_post_init__(self):
        self.server = HttpServer(self.address, self.handle)

    @property
    def accepted(self):
        return [call for call in self.calls if call.status == 200]

    def reports(self):
        """Return the distinct counts that were reported, by window."""
        found = {}
        for call in self.accepted:
            if call.path == '/usage':
                counts = found.setdefault(call.fields['window'], [])
                if call.fields['counts'] not in counts:
                    counts.append(call.fields['counts'])
        return found

    def find_status(self, path, fence):
        if self.down:
            return self.down
        if self.to_refuse:
            self.to_refuse -= 1
            return 429
        if self.requires_fence and fence < self.highest.get(path, 0):
            return 409
        self.highest[path] = max(fence, self.highest.get(path, 0))
        return 200

    async def handle(self, exchange):
        body = await exchange.read_body()
        head = exchange.head
        fence = int(head.header('fence-token'))
        holder = head.header('duty-holder')
        fields = orjson.loads(body)
        if self.is_holding:
            self.held.append(ReceivedCall(head.path, holder, fence, fields, 0))
            await exchange.sock.recv(1)  # returns when the sender gives up
            raise ConnectionAbortedError('held')
        status = self.find_status(head.path, fence)
        self.calls.append(
            ReceivedCall(head.path, holder, fence, fields, status)
        )
        if self.to_lose and status == 200:
            self.to_lose -= 1
            raise ConnectionAbortedError('response lost')
        await exchange.respond(status, b'{}')
