"""Sends and receives gossip over UDP."""

from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.members import (
    MemberHeartbeat,
    Digest,
    Member,
    OutgoingDigest,
)
from sequoia_policy.pools import PoolSummary
from sequoia_policy.roles import Role
from sequoia_policy.targets import Report
from sequoia_wire.frames import (
    decode_thrift,
    encode_thrift,
    open_datagram,
    seal_datagram,
)
from sequoia_wire.logs import Log
from sequoia_wire.messages import parse_address
from sequoia_wire.peer_types import ttypes

from sequoiashed.plans import PlanFollower
from sequoiashed.states import HostState

MILLISECOND = timedelta(milliseconds=1)
LARGEST_DATAGRAM = 65507  # bytes
UNCONFIRMED = -1
JITTER = 0.2  # share of the period
POOL_ROWS = 8  # summaries a message

log = Log('gossip')


@define
class Gossiper:
    """Tells other hosts what this one knows, and learns from them."""

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
        """Send messages each period until cancelled."""
        period = self.state.settings.gossip_period.total_seconds()
        while True:
            for sending in self.state.members.tick(self.state.clock.elapsed()):
                await self._send(sending)
            self._count_alive()
            spread = self.state.chance.uniform(1 - JITTER, 1 + JITTER)
            await curio.sleep(period * spread)

    async def run_receiver(self) -> None:
        """Take messages until cancelled."""
        assert self.sock
        while True:
            datagram, _peer = await self.sock.recvfrom(LARGEST_DATAGRAM)
            self._count_bytes('received', datagram)
            try:
                await self._receive(datagram)
            except (ServiceError, ValueError) as failure:
                self._count_dropped(failure)

    async def _send(self, sending: OutgoingDigest) -> None:
        assert self.sock
        message = self._make_message(sending)
        payload = encode_thrift(message)
        datagram = seal_datagram(self.state.peer_key, payload)
        address = parse_address(sending.recipient.gossip)
        self._count_bytes('sent', datagram)
        try:
            await self.sock.sendto(datagram, (address.host, address.port))
        except OSError as failure:
            log.write('message not sent', error=str(failure))

    async def _receive(self, datagram: bytes) -> None:
        payload = open_datagram(self.state.peer_key, datagram)
        message = decode_thrift(payload, ttypes.Gossip)
        now = self.state.clock.elapsed()
        members = tuple(read_member(row) for row in message.members)
        digest = Digest(message.sender, members, read_beats(message))
        self.state.members.receive(digest, now)
        for target in message.targets:
            self._accept_report(read_report(target, now))
        for pool in message.pools:
            self.state.pools.accept(read_pool(pool, now))
        await self._hear_plan(message, members, now)

    def _accept_report(self, report: Report) -> None:
        if self.state.targets.accept_report(report):
            self.state.reports.add(report)

    async def _hear_plan(
        self,
        message: ttypes.Gossip,
        members: tuple[Member, ...],
        now: timedelta,
    ) -> None:
        confirmed = None
        if message.plan_confirmed_age_ms != UNCONFIRMED:
            confirmed = now - message.plan_confirmed_age_ms * MILLISECOND
        for member in members:
            if member.name == message.sender:
                await self.follower.hear(
                    member,
                    message.plan_number,
                    confirmed,
                )

    def _make_message(self, sending: OutgoingDigest) -> ttypes.Gossip:
        now = self.state.clock.elapsed()
        own = self.state.settings
        if sending.recipient.domain == own.domain:
            reports = self.state.reports.next_batch(now)
        else:
            reports = self.state.reports.list_leaving(now)
        pools = list(self.state.pools.summaries.values())
        pools.sort(key=lambda row: row.origin, reverse=True)
        return ttypes.Gossip(
            sender=own.name,
            members=[make_member_row(row) for row in sending.digest.members],
            targets=[make_target_row(report, now) for report in reports],
            pools=[make_pool_row(row, now) for row in pools[:POOL_ROWS]],
            plan_number=self.state.plan_state.number,
            plan_confirmed_age_ms=self._confirmed_age(now),
            beat_keys=[beat.key for beat in sending.digest.heartbeats],
            beats=[beat.heartbeat for beat in sending.digest.heartbeats],
        )

    def _confirmed_age(self, now: timedelta) -> int:
        confirmed = self.state.plan_state.confirmed_at
        if confirmed is None:
            return UNCONFIRMED
        return (now - confirmed) // MILLISECOND

    def _count_dropped(self, failure: ServiceError | ValueError) -> None:
        code = Code.BAD_REQUEST
        if isinstance(failure, ServiceError):
            code = failure.code
        self.state.metrics.gossip_dropped.labels(code.value.label).inc()

    def _count_bytes(self, direction: str, datagram: bytes) -> None:
        counter = self.state.metrics.gossip_bytes.labels(direction)
        counter.inc(len(datagram))

    def _count_alive(self) -> None:
        now = self.state.clock.elapsed()
        domain = self.state.settings.domain
        alive = self.state.members.live_members(domain, now)
        self.state.metrics.members_alive.set(len(alive))


def read_beats(message: ttypes.Gossip) -> tuple[MemberHeartbeat, ...]:
    """Return the heartbeats of a message."""
    return tuple(map(MemberHeartbeat, message.beat_keys, message.beats))


def read_member(row: ttypes.MemberRow) -> Member:
    """Return the member that a row describes."""
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
    """Return the row of a member."""
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
    """Return the report that a row carries, on this host's clock."""
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
    """Return the row of a report, with its age."""
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
    """Return the summary that a row carries, on this host's clock."""
    origin = now - row.age_ms * MILLISECOND
    return PoolSummary(row.pool, row.domain, row.slots, row.busy, origin)


def make_pool_row(summary: PoolSummary, now: timedelta) -> ttypes.PoolRow:
    """Return the row of a summary, with its age."""
    return ttypes.PoolRow(
        summary.pool,
        summary.domain,
        summary.slots,
        summary.busy,
        (now - summary.origin) // MILLISECOND,
    )
