"""Runs membership and plan numbers in a loop, with the shipped codec."""

import random
import time
from collections.abc import Iterator
from datetime import timedelta

from attrs import define, field, frozen
from sequoia_policy.members import Member, MemberTable, OutgoingDigest
from sequoia_wire.frames import (
    decode_thrift,
    derive_key,
    encode_thrift,
    open_datagram,
    seal_datagram,
)
from sequoia_wire.peer_types import ttypes
from sequoiashed.gossips import make_member_row

from sequoia_bench.figures import Figure

BENCH = 'gossip'
PERIOD = timedelta(milliseconds=500)
KEY = derive_key('a secret of the bench')
WARM_UP = 30  # ticks
MEASURED = 20  # ticks
LONGEST = 200  # ticks
PLAN_POLL = 1.0  # seconds
REPORTS = 16
POOLS = 10


@frozen
class GossipShape:
    """Sizes of one run."""

    hosts: int
    domains: int

    @property
    def case(self) -> str:
        """Name of the run."""
        return f'{self.hosts} hosts in {self.domains} domains'


SHAPES = (GossipShape(10, 1), GossipShape(78, 1), GossipShape(390, 5))


@define
class GossipLoop:
    """All hosts' tables, exchanging messages without a network."""

    shape: GossipShape
    chance: random.Random
    now: timedelta = field(factory=timedelta)
    tables: dict[str, MemberTable] = field(factory=dict)
    numbers: dict[str, int] = field(factory=dict)
    size: int = 0
    messages: int = 0
    codec_seconds: float = 0
    state_seconds: float = 0

    def __attrs_post_init__(self) -> None:
        """Create hosts that know each other from the hosts list."""
        members = [
            Member(
                f'entry-{number}',
                f'domain-{number % self.shape.domains}',
                f'10.0.{number // 250}.{number % 250}:8082',
                f'10.0.{number // 250}.{number % 250}:8081',
                incarnation=1_790_000_000_000 + number,
            )
            for number in range(self.shape.hosts)
        ]
        for member in members:
            table = MemberTable(member, self.chance, PERIOD)
            self.tables[member.name] = table
            self.numbers[member.name] = 1
            for other in members:
                table.add_contact(other)

    def tick(self, *, measure: bool = False) -> None:
        """Let every host send and receive the messages of one period."""
        self.now += PERIOD
        for table in tuple(self.tables.values()):
            started = time.process_time()
            sendings = table.tick(self.now)
            self.state_seconds += time.process_time() - started
            for sending in sendings:
                self._deliver(table.own_member.name, sending, measure=measure)

    def count_known(self) -> int:
        """Return the fewest live hosts of its domain that a host knows."""
        return min(
            len(table.live_members(table.own_member.domain, self.now))
            for table in self.tables.values()
        )

    def poll_plan(self, number: int, platform: tuple[str, ...]) -> None:
        """Let some hosts of a failure domain read the newest number."""
        share = PERIOD.total_seconds() / PLAN_POLL
        for name, table in self.tables.items():
            reaches = table.own_member.domain in platform
            if reaches and self.chance.random() < share:
                self.numbers[name] = number

    def _deliver(
        self, name: str, sending: OutgoingDigest, *, measure: bool
    ) -> None:
        if measure:
            self._measure(sending)
        receiver = sending.recipient.name
        started = time.process_time()
        self.tables[receiver].receive(sending.digest, self.now)
        self.state_seconds += time.process_time() - started
        number = max(self.numbers[name], self.numbers[receiver])
        self.numbers[receiver] = number

    def _measure(self, sending: OutgoingDigest) -> None:
        started = time.process_time()
        message = make_message(sending)
        datagram = seal_datagram(KEY, encode_thrift(message))
        decode_thrift(open_datagram(KEY, datagram), ttypes.Gossip)
        self.codec_seconds += time.process_time() - started
        self.size += len(datagram)
        self.messages += 1


def make_message(sending: OutgoingDigest) -> ttypes.Gossip:
    """Return a full message: digest, reports and summaries of pools."""
    beats = sending.digest.heartbeats
    return ttypes.Gossip(
        sender=sending.digest.sender,
        members=[make_member_row(row) for row in sending.digest.members],
        targets=list(make_target_rows()),
        pools=[
            ttypes.PoolRow('lm-pool', f'domain-{number}', 960, 500, 900)
            for number in range(POOLS)
        ],
        plan_number=120,
        plan_confirmed_age_ms=900,
        beat_keys=[beat.key for beat in beats],
        beats=[beat.heartbeat for beat in beats],
    )


def make_target_rows() -> Iterator[ttypes.TargetRow]:
    """Yield the rows of a message's reports."""
    for number in range(REPORTS):
        yield ttypes.TargetRow(
            f'lm-pool-{number}',
            1_790_000_000_000,
            120,
            120,
            12,
            3,
            16,
            leaving=False,
            age_ms=700,
        )


def measure_gossip(seed: int) -> list[Figure]:
    """Return convergence, bytes and processor time for each size."""
    figures = []
    for shape in SHAPES:
        loop = GossipLoop(shape, random.Random(seed))
        own = shape.hosts // shape.domains
        ticks = 0
        while loop.count_known() < own and ticks < LONGEST:
            loop.tick()
            ticks += 1
        figures.append(make_figure(shape, 'all known after', ticks / 2, 's'))
        for _ in range(WARM_UP):
            loop.tick()
        loop.state_seconds = 0
        for _ in range(MEASURED):
            loop.tick(measure=True)
        figures.extend(describe_cost(shape, loop))
        figures.extend(measure_plan(shape, loop))
    return figures


def describe_cost(shape: GossipShape, loop: GossipLoop) -> list[Figure]:
    """Return what gossip costs one host."""
    seconds = MEASURED * PERIOD.total_seconds()
    sent = loop.size / shape.hosts / seconds
    used = (loop.codec_seconds + loop.state_seconds) / shape.hosts / seconds
    return [
        make_figure(shape, 'message', loop.size / loop.messages, 'B'),
        make_figure(shape, 'sent by a host', sent, 'B/s'),
        make_figure(shape, 'processor of a host', 100 * used, '% of a core'),
    ]


def measure_plan(shape: GossipShape, loop: GossipLoop) -> list[Figure]:
    """Return the seconds until an edit is known to all hosts.

    In the second run the last failure domain does not reach the platform.
    """
    domains = tuple(f'domain-{place}' for place in range(shape.domains))
    figures = [spread_number(shape, loop, 2, domains, 'edit known to all')]
    if shape.domains > 1:
        name = 'edit known, a domain without platform'
        figures.append(spread_number(shape, loop, 3, domains[:-1], name))
    return figures


def spread_number(
    shape: GossipShape,
    loop: GossipLoop,
    number: int,
    platform: tuple[str, ...],
    name: str,
) -> Figure:
    """Return the seconds until all hosts have a plan's number."""
    ticks = 0
    while min(loop.numbers.values()) < number and ticks < LONGEST:
        loop.poll_plan(number, platform)
        loop.tick()
        ticks += 1
    return make_figure(shape, name, ticks * PERIOD.total_seconds(), 's')


def make_figure(
    shape: GossipShape,
    name: str,
    amount: float,
    unit: str,
) -> Figure:
    """Return a figure of this bench."""
    return Figure(BENCH, shape.case, name, amount, unit)
