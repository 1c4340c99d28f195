"""Finds out whether this host reaches targets, with probes and with its peers."""

import uuid
from collections.abc import Callable
from datetime import timedelta

import curio
from attrs import define, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.target_paths import TargetPath
from sequoia_wire.calls import Timeouts
from sequoia_wire.clients import HttpClient
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import Address, RequestHead

from sequoia_rollouts.fleet.peer_keys import KeyRing
from sequoia_rollouts.targets.crash_checks import CrashCheck, Found

QUERY_PATH = '/target-path'
OK = 200
POLL_INTERVAL = timedelta(milliseconds=20)
MAX_TARGETS = 4  # that a peer is asked about
MAX_PEERS = 2  # that are asked at a time
CONNECT_TIMEOUT = timedelta(milliseconds=300)
RESPONSE_TIMEOUT = timedelta(milliseconds=500)
REACHED = frozenset((Found.ALIVE, Found.REPLACED))

log = Log('live')
PATH_SUSPECTED = log.event(
    'path to targets suspected', 'targets', kind=LogKind.FAILURE
)
TARGETS_LOST = log.event('targets lost', 'targets', kind=LogKind.FAILURE)
TARGETS_REACHED = log.event('targets reached again')
PEER_REPORT = log.event('peer reached targets', 'peer', 'targets', 'detail')
PATH_QUERY_IGNORED = log.event(
    'path query ignored', 'detail', kind=LogKind.FAILURE
)


@frozen
class PathQuery:
    """Asks a peer whether it reaches targets.

    Attributes:
        nonce: Random text that the reply repeats.
        targets: Names of the targets.
    """

    nonce: str
    targets: tuple[str, ...]


@frozen
class PathReply:
    """What a peer reached at the time of the query.

    Attributes:
        nonce: That of the query.
        reached: Names of the targets that responded to the peer.
    """

    nonce: str
    reached: tuple[str, ...]


@define(eq=False)
class PathCheck:
    """Probes targets, and asks peers about those that are silent here.

    Attributes:
        path: What the requests of this host have met.
        find_peers: Returns a number of peers to ask.
        client: Sends to other hosts.
        logged: The state of the path in the log: suspected, and cut.
    """

    clock: Clock
    path: TargetPath
    crash_check: CrashCheck
    key_ring: KeyRing
    find_peers: Callable[[int], list[Address]]
    client: HttpClient
    logged: tuple[bool, bool] = (False, False)

    def make_reporter(self) -> 'PathReporter':
        """Return what tells other hosts which targets this host reaches."""
        return PathReporter(self.crash_check, self.key_ring)

    async def run(self) -> None:
        """Probe targets whenever that is due, until cancelled."""
        while True:
            await curio.sleep(POLL_INTERVAL.total_seconds())
            now = self.clock.elapsed()
            if self.path.is_probe_due(now):
                self.path.probed_at = now
                await self._probe()
            self._log_state()

    async def _probe(self) -> None:
        await self._ask_targets(self.crash_check.choose_targets())
        self._log_state()
        if self.path.is_suspected and not self.path.is_cut:
            await self._ask_peers()

    async def _ask_targets(self, targets: list[RegisteredTarget]) -> None:
        """Probe targets at the same time, as each may take the whole timeout."""
        async with curio.TaskGroup() as group:
            for target in targets:
                await group.spawn(self.crash_check.ask, target)

    async def _ask_peers(self) -> None:
        """Ask peers whether they reach the targets that fail here."""
        names = sorted(self.path.failed | self.path.silent)
        targets = tuple(
            self.crash_check.rng.sample(names, min(MAX_TARGETS, len(names)))
        )
        async with curio.TaskGroup() as group:
            for address in self.find_peers(MAX_PEERS):
                await group.spawn(self._ask_peer, address, targets)

    async def _ask_peer(
        self, address: Address, targets: tuple[str, ...]
    ) -> None:
        reached: tuple[str, ...] = ()
        detail = ''
        try:
            reached = await self._fetch_report(address, targets)
        except ServiceError as failure:
            detail = str(failure)
        self.path.record_peer_report(reached)
        PEER_REPORT.write(peer=str(address), targets=reached, detail=detail)

    async def _fetch_report(
        self, address: Address, targets: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Return the targets that a peer reached.

        Raises:
            ServiceError: If the peer does not tell; older builds do not.
        """
        query = PathQuery(uuid.uuid4().hex, targets)
        response = await self.client.fetch(
            address,
            RequestHead('POST', QUERY_PATH),
            self.key_ring.seal(encode(query)),
            Timeouts(CONNECT_TIMEOUT, RESPONSE_TIMEOUT),
        )
        if response.status != OK:
            raise ServiceError(
                Code.WRONG_ANSWER,
                f'peer responded with status {response.status}',
            )
        reply = decode(self.key_ring.open(response.body), PathReply)
        if reply.nonce != query.nonce:
            raise ServiceError(Code.WRONG_ANSWER, 'reply to another query')
        return reply.reached

    def _log_state(self) -> None:
        """Log each change of the path's state."""
        was_suspected, was_cut = self.logged
        path = self.path
        self.logged = (path.is_suspected, path.is_cut)
        targets = sorted(path.failed | path.silent)
        if path.is_suspected and not was_suspected:
            PATH_SUSPECTED.write(targets=targets)
        if path.is_cut and not was_cut:
            TARGETS_LOST.write(targets=targets)
        elif was_suspected and not path.is_suspected:
            TARGETS_REACHED.write()


@frozen
class PathReporter:
    """Tells other hosts which targets this host reaches."""

    crash_check: CrashCheck
    key_ring: KeyRing

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one query."""
        body = await exchange.read_body()
        try:
            query = decode(self.key_ring.open(body), PathQuery)
        except ServiceError as failure:
            PATH_QUERY_IGNORED.write(detail=failure.detail)
            await exchange.respond(failure.code.value.status)
            return
        reply = PathReply(query.nonce, await self._find_reached(query.targets))
        await exchange.respond(OK, self.key_ring.seal(encode(reply)))

    async def _find_reached(self, names: tuple[str, ...]) -> tuple[str, ...]:
        registered = self.crash_check.directory.registry.targets
        targets = [
            registered[name]
            for name in names[:MAX_TARGETS]
            if name in registered
        ]
        async with curio.TaskGroup() as group:
            for target in targets:
                await group.spawn(self._reaches, target)
        return tuple(name for name in group.results if name)

    async def _reaches(self, target: RegisteredTarget) -> str:
        """Return the name of a target that responds, else an empty text."""
        found = await self.crash_check.ask(target)
        return target.name if found in REACHED else ''
