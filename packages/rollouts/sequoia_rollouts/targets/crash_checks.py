"""Asks whether a target that broke off a connection has ended.

A connection that is reset looks the same whether its target crashed, something
between reset it, or this host is cut off from all targets.
"""

import enum
import random
from datetime import timedelta

from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_wire.calls import Timeouts, limit_call_time
from sequoia_wire.clients import HttpClient
from sequoia_wire.logs import Log
from sequoia_wire.messages import parse_address

from sequoia_rollouts.targets.dialects import PreparedCall
from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.targets.senders import (
    MAX_CONTROL_BYTES,
    MISDIRECTED_STATUS,
    Sender,
)

ASK_TIMEOUT = timedelta(milliseconds=150)
REUSE_FOR = timedelta(
    milliseconds=200
)  # of an answer, by requests reset together
OTHERS = 2  # targets that are asked whether this host reaches any

log = Log('target')
TARGET_ASKED = log.event('target asked', 'target', 'found')


class Found(enum.Enum):
    """What a target that is asked for its health shows.

    Attributes:
        ALIVE: The process that was asked runs.
        REPLACED: Another process has its address.
        ACCEPTED: It accepted the connection and sent no byte in time: it has no
            slot for its health, or the path loses all bytes.
        SILENT: Nothing, or its connection broke off.
    """

    ALIVE = 'alive'
    REPLACED = 'replaced'
    ACCEPTED = 'accepted'
    SILENT = 'silent'


def make_asking_client() -> HttpClient:
    """Return a client that opens a connection for each question."""
    return HttpClient(idle_limit=0, max_body_bytes=MAX_CONTROL_BYTES)


@define(eq=False)
class CrashCheck:
    """Tells crashed targets from connections that were reset.

    Attributes:
        client: Opens a connection each time: an open one may be silent for good.
        asked: What each target showed last and when, by name.
    """

    clock: Clock
    directory: Directory
    sender: Sender
    rng: random.Random
    client: HttpClient = field(factory=make_asking_client)
    asked: dict[str, tuple[timedelta, Found]] = field(factory=dict)

    async def has_ended(self, target: RegisteredTarget) -> bool:
        """Return whether a target that broke off a connection has crashed.

        One that is silent has crashed only if another target responds.
        """
        found = await self.ask(target)
        if found is not Found.SILENT:
            return found is Found.REPLACED
        others = self.choose_targets(target)
        for other in others:
            if await self.ask(other) is not Found.SILENT:
                return True
        return not others

    def choose_targets(
        self, besides: RegisteredTarget | None = None
    ) -> list[RegisteredTarget]:
        """Return a few random targets."""
        registered = self.directory.registry.targets.values()
        others = [other for other in registered if other is not besides]
        return self.rng.sample(others, min(OTHERS, len(others)))

    async def ask(self, target: RegisteredTarget) -> Found:
        """Return what a target shows now, or showed a moment ago."""
        now = self.clock.elapsed()
        asked_at, found = self.asked.get(target.name, (now, None))
        if found is not None and now - asked_at < REUSE_FOR:
            return found
        found = await self._send(target, self._prepare(target))
        self._forget(now)
        self.asked[target.name] = (now, found)
        self._record(target, found, now)
        TARGET_ASKED.write(target=target.name, found=found.value)
        return found

    def _record(
        self, target: RegisteredTarget, found: Found, sent_at: timedelta
    ) -> None:
        path = self.directory.registry.path
        now = self.clock.elapsed()
        if found is Found.SILENT:
            path.record_failure(target.name, now)
        elif found is Found.ACCEPTED:
            path.record_accepted(target.name, now)
        else:
            path.record_response(sent_at, now)

    def _prepare(self, target: RegisteredTarget) -> PreparedCall:
        """Return a request that needs no slot at an engine."""
        service = self.directory.configuration.find_service(
            target.registration.service
        )
        dialect = self.sender.dialect
        if service is None or service.models:
            return dialect.prepare_report(target.name)
        return dialect.prepare_health(target.name, service.health_path)

    async def _send(
        self, target: RegisteredTarget, prepared: PreparedCall
    ) -> Found:
        address = parse_address(target.registration.address)
        timeouts = Timeouts(ASK_TIMEOUT, ASK_TIMEOUT)
        async with self.client.call(address, timeouts) as call:
            try:
                async with limit_call_time(call, ASK_TIMEOUT):
                    head = await call.send(prepared.head, prepared.body)
                    await call.read_body()
            except ServiceError as failure:
                if failure.code is not Code.TARGET_STALLED or not call.sent:
                    return Found.SILENT
                return Found.ACCEPTED
        if head.status == MISDIRECTED_STATUS:
            return Found.REPLACED
        return Found.ALIVE

    def _forget(self, now: timedelta) -> None:
        self.asked = {
            name: (asked_at, found)
            for name, (asked_at, found) in self.asked.items()
            if now - asked_at < REUSE_FOR
        }
