"""Benchmark of gossip of membership and plan numbers, simulated.

Measured messages are encoded and decoded with the production codec; there is
no network.
"""

import random
import time
from collections.abc import Iterator
from datetime import timedelta

from attrs import define, field, frozen
from sequoia_policy.members import Member, MemberTable, OutgoingDigest
from sequoia_wire.frames import decode_thrift, encode_thrift
from sequoia_wire.peer_types import ttypes
from sequoia_wire.signatures import derive_key, open_datagram, seal_datagram
from sequoiashed.gossips import make_member_row

from sequoia_bench.figures import Figure

BENCH = 'gossip'
INTERVAL = timedelta(milliseconds=500)
KEY = derive_key('a secret of the bench')
WARM_UP_TICKS = 30
MEASURED_TICKS = 20
MAX_TICKS = 200
PLAN_POLL_SECONDS = 1.0
REPORTS_PER_MESSAGE = 16
POOLS_PER_MESSAGE = 10


@frozen
class GossipScenario:
    """Size of the simulated deployment."""

    hosts: int
    domains: int

    @property
    def case(self) -> str:
        """Label of the case in the output."""
        return f'{self.hosts} hosts in {self.domains} domains'


SCENARIOS = (
    GossipScenario(10, 1),
    GossipScenario(78, 1),
    GossipScenario(390, 5),
)


@define
class GossipSimulation:
    """Member tables of all hosts that exchange messages in memory."""

    scenario: GossipScenario
    rng: random.Random
    now: timedelta = field(factory=timedelta)
    tables: dict[str, MemberTable] = field(factory=dict)
    plan_numbers: dict[str, int] = field(factory=dict)
    sent_bytes: int = 0
    messages: int = 0
    codec_seconds: float = 0
    state_seconds: float = 0

    def __attrs_post_init__(self) -> None:
        """Create hosts that have each other as contacts from the hosts list."""
        members = [
            Member(
                f'entry-{number}',
                f'domain-{number % self.scenario.domains}',
                f'10.0.{number // 250}.{number % 250}:8082',
                f'10.0.{number // 250}.{number % 250}:8081',
                incarnation=1_790_000_000_000 + number,
            )
            for number in range(self.scenario.hosts)
        ]
        for member in members:
            table = MemberTable(member, self.rng, INTERVAL)
            self.tables[member.name] = table
            self.plan_numbers[member.name] = 1
            for other in members:
                table.add_contact(other)

    def tick(self, *, measure: bool = False) -> None:
        """Send and receive the messages of one gossip interval."""
        self.now += INTERVAL
        for table in tuple(self.tables.values()):
            started_at = time.process_time()
            batch = table.tick(self.now)
            self.state_seconds += time.process_time() - started_at
            for outgoing in batch:
                self._deliver(table.own_member.name, outgoing, measure=measure)

    def find_min_known(self) -> int:
        """Return the minimum number of own-domain hosts that a host knows."""
        return min(
            len(table.live_members(table.own_member.domain, self.now))
            for table in self.tables.values()
        )

    def poll_plan(
        self, number: int, connected_domains: tuple[str, ...]
    ) -> None:
        """Let a random share of the connected hosts read the plan number."""
        probability = INTERVAL.total_seconds() / PLAN_POLL_SECONDS
        for name, table in self.tables.items():
            is_connected = table.own_member.domain in connected_domains
            if is_connected and self.rng.random() < probability:
                self.plan_numbers[name] = number

    def _deliver(
        self, sender: str, outgoing: OutgoingDigest, *, measure: bool
    ) -> None:
        if measure:
            self._measure(outgoing)
        recipient = outgoing.recipient.name
        started_at = time.process_time()
        self.tables[recipient].receive(outgoing.digest, self.now)
        self.state_seconds += time.process_time() - started_at
        number = max(self.plan_numbers[sender], self.plan_numbers[recipient])
        self.plan_numbers[recipient] = number

    def _measure(self, outgoing: OutgoingDigest) -> None:
        started_at = time.process_time()
        message = make_message(outgoing)
        datagram = seal_datagram(KEY, encode_thrift(message))
        decode_thrift(open_datagram(KEY, datagram), ttypes.Gossip)
        self.codec_seconds += time.process_time() - started_at
        self.sent_bytes += len(datagram)
        self.messages += 1


def make_message(outgoing: OutgoingDigest) -> ttypes.Gossip:
    """Return a message of full size: digest, reports and pool summaries."""
    heartbeats = outgoing.digest.heartbeats
    return ttypes.Gossip(
        sender=outgoing.digest.sender,
        members=[make_member_row(row) for row in outgoing.digest.members],
        targets=list(make_target_rows()),
        pools=[
            ttypes.PoolRow('lm-pool', f'domain-{number}', 960, 500, 900)
            for number in range(POOLS_PER_MESSAGE)
        ],
        plan_number=120,
        plan_confirmed_age_ms=900,
        beat_keys=[row.key for row in heartbeats],
        beats=[row.heartbeat for row in heartbeats],
    )


def make_target_rows() -> Iterator[ttypes.TargetRow]:
    """Yield the target reports of a message."""
    for number in range(REPORTS_PER_MESSAGE):
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
    """Measure convergence, bytes and processor time in each scenario."""
    figures = []
    for scenario in SCENARIOS:
        simulation = GossipSimulation(scenario, random.Random(seed))
        domain_hosts = scenario.hosts // scenario.domains
        ticks = 0
        while simulation.find_min_known() < domain_hosts and ticks < MAX_TICKS:
            simulation.tick()
            ticks += 1
        figures.append(make_figure(scenario, 'all known after', ticks / 2, 's'))
        for _ in range(WARM_UP_TICKS):
            simulation.tick()
        simulation.state_seconds = 0
        for _ in range(MEASURED_TICKS):
            simulation.tick(measure=True)
        figures.extend(make_cost_figures(scenario, simulation))
        figures.extend(measure_plan(scenario, simulation))
    return figures


def make_cost_figures(
    scenario: GossipScenario, simulation: GossipSimulation
) -> list[Figure]:
    """Return the gossip cost of one host."""
    seconds = MEASURED_TICKS * INTERVAL.total_seconds()
    sent = simulation.sent_bytes / scenario.hosts / seconds
    cpu_seconds = (
        (simulation.codec_seconds + simulation.state_seconds)
        / scenario.hosts
        / seconds
    )
    return [
        make_figure(
            scenario,
            'message',
            simulation.sent_bytes / simulation.messages,
            'B',
        ),
        make_figure(scenario, 'sent by a host', sent, 'B/s'),
        make_figure(
            scenario, 'processor of a host', 100 * cpu_seconds, '% of a core'
        ),
    ]


def measure_plan(
    scenario: GossipScenario, simulation: GossipSimulation
) -> list[Figure]:
    """Measure the seconds until an edit reaches all hosts.

    With several failure domains, a second run disconnects the last one from
    the platform.
    """
    domains = tuple(f'domain-{index}' for index in range(scenario.domains))
    figures = [
        measure_propagation(
            scenario, simulation, 2, domains, 'edit known to all'
        )
    ]
    if scenario.domains > 1:
        name = 'edit known, a domain without platform'
        figures.append(
            measure_propagation(scenario, simulation, 3, domains[:-1], name)
        )
    return figures


def measure_propagation(
    scenario: GossipScenario,
    simulation: GossipSimulation,
    number: int,
    connected_domains: tuple[str, ...],
    name: str,
) -> Figure:
    """Measure the seconds until all hosts have a plan's number."""
    ticks = 0
    while min(simulation.plan_numbers.values()) < number and ticks < MAX_TICKS:
        simulation.poll_plan(number, connected_domains)
        simulation.tick()
        ticks += 1
    return make_figure(scenario, name, ticks * INTERVAL.total_seconds(), 's')


def make_figure(
    scenario: GossipScenario,
    name: str,
    amount: float,
    unit: str,
) -> Figure:
    """Return a figure of this benchmark."""
    return Figure(BENCH, scenario.case, name, amount, unit)
