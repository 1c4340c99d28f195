"""Stand-in for the platform's API to order engines."""

import time

import curio
import orjson
from attrs import define, field, frozen
from sequoia_wire.messages import Address
from sequoia_wire.servers import HttpServer

OK, CONFLICT, TOO_MANY = 200, 409, 429


@frozen
class OrderCall:
    """A call to order engines, as it was received."""

    at: float
    holder: str
    fence: int
    domain: str
    count: int
    reclaimable: bool
    status: int


@define(eq=False)
class CapacityStandin:
    """Records the calls.

    Attributes:
        unavailable: Failure domains without engines.
        refusals: Number of further calls to refuse with 429.
        unanswered: Number of further calls that are carried out late, without
            a response.
        late: Seconds until these are carried out.
        numbers: Number in force by failure domain and kind.
    """

    calls: list = field(factory=list)
    unavailable: set = field(factory=set)
    refusals: int = 0
    unanswered: int = 0
    late: float = 1.5
    numbers: dict = field(factory=dict)
    server: HttpServer = field(init=False)

    def __attrs_post_init__(self):
        self.server = HttpServer(Address('127.0.104.1', 0), self.handle)

    async def handle(self, exchange):
        fields = orjson.loads(await exchange.read_body())
        status = self.find_status(fields['zone'])
        call = OrderCall(
            time.monotonic(),
            exchange.head.header('duty-holder'),
            int(exchange.head.header('fence-token')),
            fields['zone'],
            fields['groupCount'],
            fields.get('spot', False),
            status,
        )
        self.calls.append(call)
        if self.unanswered:
            self.unanswered -= 1
            await curio.sleep(self.late)
            self.execute(call)
            raise ConnectionAbortedError('response lost')
        self.execute(call)
        await exchange.respond(status, b'{}')

    def find_status(self, domain):
        if self.refusals:
            self.refusals -= 1
            return TOO_MANY
        return CONFLICT if domain in self.unavailable else OK

    def execute(self, call):
        if call.status == OK:
            self.numbers[call.domain, call.reclaimable] = call.count
