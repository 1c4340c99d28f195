"""Exchanges membership, target and pool state with other hosts over UDP."""

from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.members import (
    Digest,
    Member,
    MemberHeartbeat,
    OutgoingDigest,
)
from sequoia_policy.pools import PoolSummary
from sequoia_policy.roles import Role
from sequoia_policy.targets import Report
from sequoia_wire.frames import decode_thrift, encode_thrift
from sequoia_wire.logs import Log
from sequoia_wire.messages import parse_address
from sequoia_wire.peer_types import ttypes
from sequoia_wire.signatures import open_datagram, seal_datagram

from sequoiashed.plans import PlanFollower
from sequoiashed.states import HostState

MILLISECOND = timedelta(milliseconds=1)
MAX_DATAGRAM_BYTES = 65507  # maximum UDP payload over IPv4
UNCONFIRMED = -1  # sent as the age of a plan that was never confirmed
JITTER = 0.2  # fraction of the interval
MAX_POOL_ROWS = 8  # per message

log = Log('gossip')


@define
class Gossiper:
    """Sends the state that this host knows and applies received messages."""

    state: HostState
    follower: PlanFollower
    sock: curio.io.Socket | None = field(default=None)

    def open(self) -> None:
        """Bind the UDP address."""
        address = self.state.settings.gossip
        self.sock = curio.socket.socket(
            curio.socket.AF_INET,
            curio.socket.SOCK_DGRAM,
        )
        self.sock.bind((address.host, address.port))

    async def run_sender(self) -> None:
        """Send messages at each interval until cancelled."""
        interval = self.state.settings.gossip_period.total_seconds()
        while True:
            for outgoing in self.state.members.tick(self.state.clock.elapsed()):
                await self._send(outgoing)
            self._update_live_count()
            factor = self.state.rng.uniform(1 - JITTER, 1 + JITTER)
            await curio.sleep(interval * factor)

    async def run_receiver(self) -> None:
        """Apply received messages until cancelled."""
        assert self.sock
        while True:
            datagram, _peer = await self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            self._count_bytes('received', datagram)
            try:
                await self._receive(datagram)
            except (ServiceError, ValueError) as error:
                self._count_dropped(error)

    async def _send(self, outgoing: OutgoingDigest) -> None:
        assert self.sock
        message = self._make_message(outgoing)
        payload = encode_thrift(message)
        datagram = seal_datagram(self.state.peer_key, payload)
        address = parse_address(outgoing.recipient.gossip)
        self._count_bytes('sent', datagram)
        try:
            await self.sock.sendto(datagram, (address.host, address.port))
        except OSError as error:
            log.write('gossip message could not be sent', error=str(error))

    async def _receive(self, datagram: bytes) -> None:
        payload = open_datagram(self.state.peer_key, datagram)
        message = decode_thrift(payload, ttypes.Gossip)
        now = self.state.clock.elapsed()
        members = tuple(read_member(row) for row in message.members)
        digest = Digest(message.sender, members, read_heartbeats(message))
        self.state.members.receive(digest, now)
        for target in message.targets:
            self._accept_report(read_report(target, now))
        for pool in message.pools:
            self.state.pools.accept(read_pool(pool, now))
        await self._handle_plan(message, members, now)

    def _accept_report(self, report: Report) -> None:
        if self.state.targets.accept_report(report):
            self.state.reports.add(report)

    async def _handle_plan(
        self,
        message: ttypes.Gossip,
        members: tuple[Member, ...],
        now: timedelta,
    ) -> None:
        confirmed_at = None
        if message.plan_confirmed_age_ms != UNCONFIRMED:
            confirmed_at = now - message.plan_confirmed_age_ms * MILLISECOND
        for member in members:
            if member.name == message.sender:
                await self.follower.handle_peer_plan(
                    member,
                    message.plan_number,
                    confirmed_at,
                )

    def _make_message(self, outgoing: OutgoingDigest) -> ttypes.Gossip:
        now = self.state.clock.elapsed()
        settings = self.state.settings
        if outgoing.recipient.domain == settings.domain:
            reports = self.state.reports.next_batch(now)
        else:
            reports = self.state.reports.list_leaving(now)
        pools = list(self.state.pools.summaries.values())
        pools.sort(key=lambda summary: summary.origin, reverse=True)
        return ttypes.Gossip(
            sender=settings.name,
            members=[make_member_row(row) for row in outgoing.digest.members],
            targets=[make_target_row(report, now) for report in reports],
            pools=[
                make_pool_row(summary, now) for summary in pools[:MAX_POOL_ROWS]
            ],
            plan_number=self.state.plan_state.number,
            plan_confirmed_age_ms=self._confirmed_age_ms(now),
            beat_keys=[known.key for known in outgoing.digest.heartbeats],
            beats=[known.heartbeat for known in outgoing.digest.heartbeats],
        )

    def _confirmed_age_ms(self, now: timedelta) -> int:
        confirmed_at = self.state.plan_state.confirmed_at
        if confirmed_at is None:
            return UNCONFIRMED
        return (now - confirmed_at) // MILLISECOND

    def _count_dropped(self, error: ServiceError | ValueError) -> None:
        code = Code.BAD_REQUEST
        if isinstance(error, ServiceError):
            code = error.code
        self.state.metrics.gossip_dropped.labels(code.value.label).inc()

    def _count_bytes(self, direction: str, datagram: bytes) -> None:
        counter = self.state.metrics.gossip_bytes.labels(direction)
        counter.inc(len(datagram))

    def _update_live_count(self) -> None:
        now = self.state.clock.elapsed()
        domain = self.state.settings.domain
        live = self.state.members.live_members(domain, now)
        self.state.metrics.members_alive.set(len(live))


def read_heartbeats(message: ttypes.Gossip) -> tuple[MemberHeartbeat, ...]:
    """Decode the heartbeats of a message."""
    return tuple(map(MemberHeartbeat, message.beat_keys, message.beats))


def read_member(row: ttypes.MemberRow) -> Member:
    """Decode a member from its row."""
    return Member(
        row.name,
        row.domain,
        row.gossip,
        row.peer,
        row.incarnation,
        row.heartbeat,
        row.plan_number,
        row.draining,
    )


def make_member_row(member: Member) -> ttypes.MemberRow:
    """Encode a member as a row."""
    return ttypes.MemberRow(
        member.name,
        member.domain,
        member.gossip,
        member.peer,
        member.incarnation,
        member.heartbeat,
        member.plan_number,
        member.draining,
    )


def read_report(row: ttypes.TargetRow, now: timedelta) -> Report:
    """Decode a report; its age becomes a time of this host's clock."""
    return Report(
        row.name,
        row.incarnation,
        row.version,
        row.loaded,
        row.running,
        row.waiting,
        row.slots,
        row.leaving,
        now - row.age_ms * MILLISECOND,
        Role(row.role),
    )


def make_target_row(report: Report, now: timedelta) -> ttypes.TargetRow:
    """Encode a report as a row that carries its age at ``now``."""
    return ttypes.TargetRow(
        report.target,
        report.incarnation,
        report.version,
        report.loaded,
        report.running,
        report.waiting,
        report.slots,
        report.leaving,
        (now - report.origin) // MILLISECOND,
        report.role.value,
    )


def read_pool(row: ttypes.PoolRow, now: timedelta) -> PoolSummary:
    """Decode a pool summary; its age becomes a time of this host's clock."""
    origin = now - row.age_ms * MILLISECOND
    return PoolSummary(row.pool, row.domain, row.slots, row.busy, origin)


def make_pool_row(summary: PoolSummary, now: timedelta) -> ttypes.PoolRow:
    """Encode a pool summary as a row that carries its age at ``now``."""
    return ttypes.PoolRow(
        summary.pool,
        summary.domain,
        summary.slots,
        summary.busy,
        (now - summary.origin) // MILLISECOND,
    )
