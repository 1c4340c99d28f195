"""State shared by all components of the daemon."""

import random

from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.members import MemberTable
from sequoia_policy.plan_states import PlanState
from sequoia_policy.plans import Plan
from sequoia_policy.pools import PoolTable
from sequoia_policy.reports import ReportQueue
from sequoia_policy.target_tables import TargetTable
from sequoia_wire.clients import HttpClient
from sequoia_wire.signatures import derive_key
from sequoia_wire.stores import Store

from sequoiashed.metrics import Metrics
from sequoiashed.settings import Settings


@define
class HostState:
    """Settings, clients and the state that the host has learned.

    Attributes:
        draining: Whether the host is shutting down and reports not ready.
        closed: Whether the host refuses new calls.
        peer_key: Key that signs messages between hosts.
    """

    settings: Settings
    clock: Clock
    rng: random.Random
    store: Store
    members: MemberTable
    client: HttpClient = field(factory=HttpClient)
    metrics: Metrics = field(factory=Metrics)
    plan_state: PlanState = field(factory=PlanState)
    targets: TargetTable = field(factory=TargetTable)
    pools: PoolTable = field(factory=PoolTable)
    reports: ReportQueue = field(factory=ReportQueue)
    draining: bool = False
    closed: bool = False
    peer_key: bytes = field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Derive the peer key from the shared secret."""
        self.peer_key = derive_key(self.settings.peer_secret)

    @property
    def plan(self) -> Plan:
        """The plan in force."""
        return self.plan_state.plan

    @property
    def accepts_calls(self) -> bool:
        """Whether the host has a plan and is not closed."""
        return bool(self.plan_state.number) and not self.closed

    @property
    def is_ready(self) -> bool:
        """Whether the host has a plan, knows targets and is not draining."""
        if self.draining or not self.plan_state.number:
            return False
        return bool(self.targets.states)
