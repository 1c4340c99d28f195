"""Shapes and process addresses of the two example deployments."""

from pathlib import Path
from types import MappingProxyType

from attrs import evolve, field, frozen
from sequoia_policy.plan_readers import read_plan
from sequoia_policy.plans import Plan
from sequoia_wire.messages import Address

from sequoia_standins.ports import find_free_address

EXAMPLES = Path(__file__).parents[3] / 'examples'
PEER_SECRET = 'demo-secret-of-all-hosts'
ORDER_SECRET = 'demo-secret-of-all-orders'
KEY_PREFIX = 'demo'


@frozen
class DemoEdit:
    """A text replacement in one section of the plan."""

    section: str
    before: str
    after: str


@frozen
class Shape:
    """Sizes and names of one deployment.

    Attributes:
        domains: Failure domains.
        engine_pool: Pool of the engines.
        engine_service: Service that the engines provide.
        plain_pool: Pool of the plain services.
        read_service: Service whose calls are safe to repeat.
        caller: Caller of the plain and engine services.
        label: Label of the calls of ``caller``.
        trainer: Trainer that the demo runs.
        trainer_label: Label of the trainer's steps.
        operators: Name of an operator for each plan section.
        demo_edit: Plan edit that the demo submits.
        hosts: Number of entry hosts.
        engines: Number of engines.
        plain_targets: Number of plain service targets.
        checks_fencing: Whether engines check fencing numbers of orders.
    """

    name: str
    domains: tuple[str, ...]
    engine_pool: str
    engine_service: str
    plain_pool: str
    read_service: str
    caller: str
    label: str
    trainer: str
    trainer_label: str
    operators: dict[str, str]
    demo_edit: DemoEdit
    hosts: int = 10
    engines: int = 5
    plain_targets: int = 3
    checks_fencing: bool = False

    @property
    def plan_file(self) -> Path:
        """Path of the example plan."""
        return EXAMPLES / f'{self.name}.yaml'

    @property
    def plan(self) -> Plan:
        """The parsed example plan."""
        return read_plan(self.plan_file.read_text()).plan


TAMSUI = Shape(
    name='tamsui',
    domains=('bali', 'danshui', 'sanzhi'),
    engine_pool='lm-pool',
    engine_service='lm',
    plain_pool='dispatch-app',
    read_service='tide-sync',
    caller='chief-app',
    label='village-report',
    trainer='dispatch-trainer',
    trainer_label='shift-outcome',
    operators={'platform': 'chen', 'dispatch': 'lin', 'training': 'wang'},
    demo_edit=DemoEdit('dispatch', 'deadline: 5s', 'deadline: 6s'),
)
CANTERBURY = Shape(
    name='canterbury',
    domains=('cathedral-sq', 'hagley', 'riccarton'),
    engine_pool='model-stable',
    engine_service='assistant',
    plain_pool='booking-desk',
    read_service='fare-check',
    caller='family-desk',
    label='family-booking',
    trainer='route-trainer',
    trainer_label='ride-question',
    operators={'platform': 'aroha', 'bookings': 'mere', 'assistants': 'tane'},
    demo_edit=DemoEdit('bookings', 'deadline: 5s', 'deadline: 6s'),
    checks_fencing=True,
)
SHAPES = MappingProxyType(
    {shape.name: shape for shape in (TAMSUI, CANTERBURY)},
)


@frozen
class HostEndpoints:
    """Addresses of one entry host.

    Attributes:
        advertised_peer: Relay address in front of ``peer``.
        advertised_gossip: Relay address in front of ``gossip``.
    """

    name: str
    domain: str
    http: Address = field(factory=find_free_address)
    peer: Address = field(factory=find_free_address)
    gossip: Address = field(factory=find_free_address)
    admin: Address = field(factory=find_free_address)
    advertised_peer: Address = field(factory=find_free_address)
    advertised_gossip: Address = field(factory=find_free_address)


@frozen
class TargetEndpoint:
    """Address of one target."""

    name: str
    pool: str
    domain: str
    address: Address


@frozen
class PlatformEndpoints:
    """Addresses of the platform stand-ins."""

    store: Address = field(factory=find_free_address)
    hosts_list: Address = field(factory=find_free_address)
    weight_store: Address = field(factory=find_free_address)


@frozen
class Layout:
    """Addresses of all processes of a deployment.

    Attributes:
        relayed_platforms: Relay addresses of the platform by failure domain;
            empty without a relay.
        relay: Control address of the relay.
    """

    shape: Shape
    hosts: tuple[HostEndpoints, ...]
    targets: tuple[TargetEndpoint, ...]
    platform: PlatformEndpoints = field(factory=PlatformEndpoints)
    relayed_platforms: dict[str, PlatformEndpoints] = field(factory=dict)
    relay: Address = field(factory=find_free_address)

    def platform_of(self, domain: str) -> PlatformEndpoints:
        """Return the platform addresses that a failure domain uses."""
        return self.relayed_platforms.get(domain, self.platform)

    def targets_of(self, pool: str) -> tuple[TargetEndpoint, ...]:
        """Return the targets of a pool."""
        return tuple(target for target in self.targets if target.pool == pool)


def add_relay(layout: Layout) -> Layout:
    """Return the layout with a relay in front of platform and hosts."""
    domains = layout.shape.domains
    return evolve(
        layout,
        relayed_platforms={domain: PlatformEndpoints() for domain in domains},
    )


def make_layout(shape: Shape) -> Layout:
    """Assign hosts and targets to the failure domains round-robin."""
    domains = shape.domains
    hosts = tuple(
        HostEndpoints(
            f'entry-{number}',
            domains[number % len(domains)],
        )
        for number in range(shape.hosts)
    )
    counts = (
        (shape.engine_pool, shape.engines),
        (shape.plain_pool, shape.plain_targets),
        ('scorer', len(domains)),
    )
    targets = tuple(
        TargetEndpoint(
            f'{pool}-{number}',
            pool,
            domains[number % len(domains)],
            find_free_address(),
        )
        for pool, count in counts
        for number in range(count)
    )
    return Layout(shape, hosts, targets)


def demo_key(kind: str, name: str) -> str:
    """Return the key of a caller, trainer or operator in the example plans."""
    return f'{KEY_PREFIX}-{kind}-{name}'
