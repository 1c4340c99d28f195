"""Reads results from their owner while the store is away.

The owner has the results that it has stored in memory. A host that knows the
owner asks it; any other host asks a coordinator, which knows all owners.
"""

import random
import uuid
from collections.abc import Awaitable, Callable
from datetime import timedelta

from attrs import define, evolve, field, frozen
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.submissions import ItemResult
from sequoia_wire.calls import Timeouts
from sequoia_wire.clients import HttpClient
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import Address, RequestHead, parse_address

from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.fleet.peer_keys import KeyRing
from sequoia_rollouts.submissions.result_pages import ResultPage

PATH = '/results'
OK = 200
CONNECT_TIMEOUT = timedelta(milliseconds=300)
RESPONSE_TIMEOUT = timedelta(milliseconds=400)  # on top of the time to wait
MAX_COORDINATORS = 2  # asked one after the other if the owner is not known

log = Log('peers')
RESULTS_NOT_READ = log.event(
    'results not read', 'submission', 'peer', 'detail', kind=LogKind.FAILURE
)
RESULTS_NOT_SENT = log.event('results not sent', 'detail', kind=LogKind.FAILURE)


@frozen
class PageQuery:
    """Asks for the results of a submission from a position on.

    Attributes:
        wait: How long to wait for a result.
        nonce: Random text that the response repeats.
        is_forwarded: Whether the receiver must not ask another host.
    """

    submission: str
    after: int
    wait: timedelta
    nonce: str
    is_forwarded: bool = False


@frozen
class PageReply:
    """The stored results of a submission from a position on.

    Attributes:
        account: Client account of the submission, empty for none; None if the
            sender does not tell.
    """

    nonce: str
    total: int
    results: tuple[ItemResult, ...] = field(repr=False)
    account: str | None = None


@define(eq=False)
class PeerReader:
    """Asks other hosts for results."""

    ownership: OwnershipTable
    key_ring: KeyRing
    rng: random.Random
    client: HttpClient = field(factory=HttpClient)

    async def read(
        self, submission_id: str, after: int, wait: timedelta
    ) -> ResultPage:
        """Return results that the owner has stored.

        Raises:
            ServiceError: If no host that responds knows them.
        """
        query = PageQuery(submission_id, after, wait, uuid.uuid4().hex)
        return await self.ask(query)

    async def ask(self, query: PageQuery) -> ResultPage:
        """Ask the owner, or coordinators that may know it.

        Raises:
            ServiceError: If no host that responds knows the results.
        """
        failure = ServiceError(Code.STORE_UNAVAILABLE, 'no peer is known')
        for address in self._list_peers(query):
            try:
                return await self._fetch(address, query)
            except ServiceError as error:
                failure = error
                RESULTS_NOT_READ.write(
                    submission=query.submission,
                    peer=str(address),
                    detail=str(error),
                )
        raise failure

    def _list_peers(self, query: PageQuery) -> list[Address]:
        """Return the owner if it is known, else some coordinators."""
        heartbeats = self.ownership.heartbeats
        peers = [
            lease.heartbeat
            for lease in heartbeats.leases.values()
            if lease.heartbeat.address
            and lease.heartbeat.owner != heartbeats.owner
        ]
        owned = self.ownership.submissions.get(query.submission)
        chosen = [
            peer
            for peer in peers
            if owned and peer.owner == owned.ownership.owner
        ]
        if not chosen and not query.is_forwarded:
            self.rng.shuffle(peers)
            domain = heartbeats.own.domain
            peers.sort(key=lambda peer: peer.domain != domain)
            chosen = peers[:MAX_COORDINATORS]
        return [parse_address(peer.address) for peer in chosen]

    async def _fetch(self, address: Address, query: PageQuery) -> ResultPage:
        progress = query.wait + RESPONSE_TIMEOUT
        response = await self.client.fetch(
            address,
            RequestHead('POST', PATH),
            self.key_ring.seal(encode(query)),
            Timeouts(CONNECT_TIMEOUT, progress),
        )
        if response.status != OK:
            raise ServiceError(
                Code.STORE_UNAVAILABLE,
                f'peer responded with status {response.status}',
            )
        reply = decode(self.key_ring.open(response.body), PageReply)
        if reply.nonce != query.nonce:
            raise ServiceError(Code.WRONG_ANSWER, 'reply to another query')
        return ResultPage(
            reply.total, query.after, reply.results, reply.account
        )


@define(eq=False)
class PeerReadServer:
    """Responds to the queries of other hosts.

    Attributes:
        find_page: Returns stored results of a submission that this host owns;
            None if it does not own it.
    """

    key_ring: KeyRing
    reader: PeerReader
    find_page: Callable[[str, int, timedelta], Awaitable[ResultPage | None]]

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one query."""
        try:
            sealed = await self._respond(await exchange.read_body())
        except ServiceError as error:
            RESULTS_NOT_SENT.write(detail=str(error))
            await exchange.respond(error.code.value.status)
        else:
            await exchange.respond(OK, sealed)

    async def _respond(self, body: bytes) -> bytes:
        query = decode(self.key_ring.open(body), PageQuery)
        page = await self.find_page(query.submission, query.after, query.wait)
        if page is None:
            if query.is_forwarded:
                raise ServiceError(Code.UNKNOWN_STEP, query.submission)
            page = await self.reader.ask(evolve(query, is_forwarded=True))
        reply = PageReply(query.nonce, page.total, page.results, page.account)
        return self.key_ring.seal(encode(reply))
