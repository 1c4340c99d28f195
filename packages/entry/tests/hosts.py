"""Builders of entry host components with scripted dependencies."""

import random
from datetime import timedelta

import curio
from attrs import define, evolve, field
from sequoia_policy.budgets import RetryBudget
from sequoia_policy.errors import ServiceError
from sequoia_policy.members import Member, MemberTable
from sequoia_policy.placements import Placement
from sequoia_policy.plan_readers import read_plan
from sequoia_policy.plans import Plan, ServiceKind
from sequoia_policy.targets import Report, Target
from sequoia_standins.deployments import EXAMPLES
from sequoia_standins.fakes import MemoryStore
from sequoia_wire.clocks import SystemClock
from sequoia_wire.messages import Address
from sequoia_wire.servers import HttpServer
from sequoiashed.builders import make_router
from sequoiashed.calls import RoutedCall
from sequoiashed.settings import read_settings
from sequoiashed.states import HostState

BALI = 'bali'
POOL = 'lm-pool'
SECRET = 'a secret of all hosts'
ORDER_SECRET = 'a secret of all orders'


def make_settings(name='entry-1', domain=BALI, **texts):
    all_texts = {
        'name': name,
        'domain': domain,
        'peer_secret': SECRET,
        'order_secret': ORDER_SECRET,
        'store': '127.0.0.1:1',
        'hosts_list': '127.0.0.1:1',
        'weight_store': '127.0.0.1:1',
        'progress': '400ms',
        **texts,
    }
    return read_settings(all_texts)


def make_plan(number=1):
    text = (EXAMPLES / 'tamsui.yaml').read_text()
    return read_plan(text, number).plan


def make_state(name='entry-1', domain=BALI, store=None, clock=None, **texts):
    """Return the state of a host with a confirmed plan."""
    settings = make_settings(name, domain, **texts)
    rng = random.Random(1)
    own_member = Member(
        name,
        domain,
        str(settings.gossip),
        str(settings.peer),
        incarnation=1,
    )
    state = HostState(
        settings,
        clock or SystemClock(),
        rng,
        store or MemoryStore(),
        MemberTable(own_member, rng),
    )
    state.plan_state.accept(make_plan())
    state.plan_state.confirm(1, state.clock.elapsed())
    return state


def change_pool(state, **changes):
    """Put a plan with a changed pool in force."""
    plan = state.plan
    section = plan.sections['training']
    pool = evolve(section.pools[POOL], **changes)
    changed = evolve(section, pools={**section.pools, POOL: pool})
    sections = {**plan.sections, 'training': changed}
    assert state.plan_state.accept(Plan(sections, plan.number + 1))


def add_target(state, name, address, pool='dispatch-app', domain=BALI):
    """Add a live target with a fresh report to a host's table."""
    table = state.targets
    listed = [
        (target_state.target, False) for target_state in table.states.values()
    ]
    target = Target(name, pool, domain, str(address))
    table.accept_list((*listed, (target, False)))
    origin = state.clock.elapsed()
    table.accept_report(Report(name, 1, 1, 1, 0, 0, 32, False, origin))


def make_call(state, *, idempotent=False, engine=False, **changes):
    """Return a call that may be attempted three times."""
    fields = {
        'request_id': 'request-1',
        'service': 'service',
        'pool': 'lm-pool' if engine else 'dispatch-app',
        'kind': ServiceKind.ENGINE if engine else ServiceKind.PLAIN,
        'placement': Placement('village-report', frozenset((BALI, 'danshui'))),
        'caller': 'chief-app',
        'deadline': state.clock.elapsed() + timedelta(seconds=5),
        'body': b'{"prompt":"p","max_tokens":8}' if engine else b'body-end',
        'idempotent': idempotent,
        'max_attempts': 3,
        **changes,
    }
    return RoutedCall(**fields)


def make_test_router(state):
    return make_router(state, RetryBudget())


@define
class ListSink:
    """Collects a response; ``fails`` simulates a closed connection."""

    status: int = 0
    chunks: list[bytes] = field(factory=list)
    finished: bool = False
    fails: bool = False

    async def start(self, status, headers=()):
        if self.fails:
            raise ConnectionResetError
        self.status = status

    async def send(self, chunk):
        self.chunks.append(chunk)

    async def finish(self):
        self.finished = True

    @property
    def body(self):
        return b''.join(self.chunks)


async def run_call(state, call, sink=None):
    """Return the error of a failed call, None if it succeeds."""
    try:
        await make_test_router(state).run(call, sink or ListSink())
    except ServiceError as error:
        return error
    return None


async def listen(serve):
    """Serve connections on a free port; return its address and task."""
    sock = curio.network.tcp_server_socket('127.0.0.1', 0)
    host, port = sock._socket.getsockname()
    task = await curio.spawn(
        curio.network.run_server,
        sock,
        serve,
        daemon=True,
    )
    return Address(host, port), task


async def listen_http(handler):
    """Serve HTTP on a free port; return the address and the server task."""
    server = HttpServer(Address('127.0.0.1', 0), handler)
    server.open()
    task = await curio.spawn(server.run, daemon=True)
    return server.address, task
