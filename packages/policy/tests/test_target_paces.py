"""Tests of the concurrency limit of targets, also under drawn loads.

The drawn loads run the choice of live requests, without a network, with and without
the limit. Print their figures with `python packages/policy/tests/test_target_paces.py`.
"""

import heapq
import itertools
import random
import sys
from collections import deque
from datetime import timedelta

import pytest
from attrs import define, field, frozen
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import Registration, TargetRegistry
from sequoia_policy.target_choices import choose_of_two, prefer_within_limits
from sequoia_policy.target_failures import record_target_failure
from sequoia_policy.target_paces import RESTART_WINDOW, PaceContext

NOW = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
SLOTS = 6
UNIT = 0.1  # seconds that a request takes at a free target
MAX_REFUSALS = 12
SPREAD = 0.4  # of the durations, lognormal
SLOW_SHARE = 0.15  # of the time
SEEDS = range(1, 7)


def register(registry, name, started_at=None):
    registry.register(
        Registration(name, 'pool', 'x:1', 'z1', slots=SLOTS), started_at
    )
    return registry.targets[name]


def test_targets_of_the_first_listing_have_no_limit():
    """Guards against a slow start of a whole fleet when a host starts."""
    registry = TargetRegistry()
    listed = [Registration(name, 'pool', 'x:1', 'z1') for name in 'ab']
    registry.replace_all(listed, NOW, SECOND)
    assert all(t.pace.limit is None for t in registry.targets.values())
    listed.append(Registration('c', 'pool', 'x:1', 'z1'))
    registry.replace_all(listed, NOW, SECOND)
    assert registry.targets['a'].pace.limit is None
    assert registry.targets['c'].pace.limit == 1


def test_limit_doubles_with_timely_responses_and_ends_at_the_slots():
    target = register(TargetRegistry(), 'a', NOW)
    limits = []
    while target.pace.limit is not None:
        limits.append(target.pace.limit)
        target.record_duration(UNIT, NOW)
    assert limits == list(range(1, SLOTS))


def test_late_responses_and_refusals_lower_the_limit_once():
    """Guards against one burst of late responses that lowers it many times."""
    registry = TargetRegistry()
    usual = register(registry, 'a')
    target = register(registry, 'b', NOW)
    usual.record_duration(UNIT, NOW)
    for _ in range(3):
        target.record_duration(UNIT, NOW)
    assert target.pace.limit == 4
    for _ in range(3):
        target.record_duration(UNIT * 4, NOW)
    assert target.pace.limit == 2
    refusal = ServiceError(Code.TARGET_REFUSED)
    record_target_failure(registry, target, refusal, NOW + SECOND)
    assert target.pace.limit == 1
    target.record_duration(UNIT, NOW + SECOND)
    assert target.pace.limit == 2
    target.record_duration(UNIT, NOW + SECOND)
    assert 2 < target.pace.limit < 3


def test_a_target_that_flaps_starts_later_each_time():
    registry = TargetRegistry(paces=PaceContext('host', lambda: 390))
    target = register(registry, 'a')
    now = NOW
    waits = []
    for _ in range(8):
        for failed_at in (now, now, now):  # one outage counts once
            target.record_unreachable(failed_at)
        waits.append(target.pace.opens_at - target.backoff_until)
        target.record_duration(UNIT, now)
        now += SECOND
    assert waits[:5] == sorted(set(waits[:5]))
    assert waits[5:] == waits[4:5] * 3
    target.record_unreachable(now + RESTART_WINDOW + 3 * SECOND)
    assert target.pace.restarts == 0


def test_hosts_send_their_first_requests_one_after_another():
    """Guards against 390 first requests to a target with six slots."""
    waits = []
    for host in range(390):
        context = PaceContext(f'host-{host}', lambda: 390)
        target = register(TargetRegistry(paces=context), 'a', NOW)
        waits.append(target.pace.opens_at - NOW)
    assert sum(wait == timedelta() for wait in waits) <= SLOTS
    assert sum(wait < timedelta(milliseconds=600) for wait in waits) < 60
    assert max(waits) < 1.5 * SECOND


@given(
    st.lists(st.tuples(st.booleans(), st.integers(0, SLOTS)), min_size=1),
    st.integers(0, 2000),
)
def test_limits_never_leave_a_request_without_a_target(states, elapsed):
    """Guards against limits that refuse, or hold back while nothing is free."""
    registry = TargetRegistry()
    for number, (is_new, running) in enumerate(states):
        name = f't{number}'
        register(registry, name, NOW if is_new else None).running = running
    usable = registry.find('pool')
    now = NOW + timedelta(milliseconds=elapsed)
    preferred = prefer_within_limits(usable, now)
    assert preferred
    free = [t for t in usable if t.pace.admits(t.running, now)]
    assert preferred == (free or usable)


def test_choices_are_unchanged_where_no_target_has_a_limit():
    """Guards against a change where targets neither start nor fail."""
    registry = TargetRegistry()
    targets = [register(registry, name) for name in 'abcdef']
    assert prefer_within_limits(targets, NOW) == targets


@frozen
class Server:
    """A target of a drawn load.

    Attributes:
        slow: Times at which it is slower, each with a factor.
        down: Times at which it cannot be reached.
        appears_at: When hosts are told of it; None if they know it.
    """

    name: str
    unit: float = UNIT
    slow: tuple[tuple[float, float, float], ...] = ()
    down: tuple[tuple[float, float], ...] = ()
    appears_at: float | None = None

    def factor(self, now):
        for start, end, factor in self.slow:
            if start <= now < end:
                return factor
        return 1

    def is_up(self, now):
        return not any(start <= now < end for start, end in self.down)


@define(eq=False)
class Request:
    host: int
    arrived: float
    tried: set = field(factory=set)
    refusals: int = 0
    target: object = None
    sent: float = 0


@define(eq=False)
class Load:
    """Hosts that send requests to servers with slots and a queue as long.

    Attributes:
        with_limits: Whether the hosts respect the limits of targets.
    """

    hosts: int
    servers: tuple
    rate: float
    until: float
    seed: int
    with_limits: bool
    now: float = 0
    events: list = field(factory=list)
    numbers: object = field(factory=itertools.count)
    running: dict = field(factory=dict)
    waiting: dict = field(factory=dict)
    registries: list = field(factory=list)
    durations: list = field(factory=list)
    refused: list = field(factory=list)
    rejections: int = 0
    rng: random.Random = field(init=False)
    by_name: dict = field(init=False)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.by_name = {server.name: server for server in self.servers}
        for number in range(self.hosts):
            context = PaceContext(f'host-{number}', lambda: self.hosts)
            self.registries.append(TargetRegistry(paces=context))
        for server in self.servers:
            self.running[server.name] = 0
            self.waiting[server.name] = deque()
            if server.appears_at is None:
                self.appear(server.name)
            else:
                self.call_at(server.appears_at, self.appear, server.name, True)
        time = 0
        while time < self.until:
            time += self.rng.expovariate(self.rate)
            request = Request(self.rng.randrange(self.hosts), time)
            self.call_at(time, self.send, request)

    def call_at(self, time, work, *arguments):
        heapq.heappush(self.events, (time, next(self.numbers), work, arguments))

    def run(self):
        while self.events:
            self.now, _number, work, arguments = heapq.heappop(self.events)
            work(*arguments)
        return self

    def appear(self, name, is_new=False):
        for registry in self.registries:
            register(registry, name, self.elapsed() if is_new else None)

    def elapsed(self):
        return timedelta(seconds=self.now)

    def send(self, request):
        registry = self.registries[request.host]
        now = self.elapsed()
        targets = registry.find('pool')
        usable = [target for target in targets if target.is_usable(now)]
        usable = usable or [t for t in targets if not t.unreachable]
        if not usable:
            self.refused.append(request)
            return
        untried = [t for t in usable if t.name not in request.tried]
        candidates = untried or usable
        if self.with_limits and not request.refusals:
            candidates = prefer_within_limits(candidates, now)
        target = choose_of_two(candidates, now, self.rng)
        request.target = target
        if not self.by_name[target.name].is_up(self.now):
            self.reject(request, Code.CONNECT_FAILED)
            return
        request.sent = self.now
        if self.running[target.name] < SLOTS:
            target.running += 1
            self.begin(request)
        elif len(self.waiting[target.name]) < SLOTS:
            target.running += 1
            self.waiting[target.name].append(request)
        else:
            self.rejections += 1
            request.refusals += 1
            self.reject(request, Code.TARGET_REFUSED)

    def reject(self, request, code):
        registry = self.registries[request.host]
        now = self.elapsed()
        failure = ServiceError(code)
        record_target_failure(registry, request.target, failure, now)
        request.tried.add(request.target.name)
        if request.refusals > MAX_REFUSALS:
            self.refused.append(request)
            return
        pause = 0.001
        usable = {t.name for t in registry.find('pool') if t.is_usable(now)}
        if code is Code.TARGET_REFUSED and usable <= request.tried:
            request.tried.clear()
            pause = 0.015
        self.call_at(self.now + pause, self.send, request)

    def begin(self, request):
        name = request.target.name
        self.running[name] += 1
        server = self.by_name[name]
        seconds = server.unit * server.factor(self.now)
        seconds *= self.rng.lognormvariate(0, SPREAD)
        self.call_at(self.now + seconds, self.finish, request)

    def finish(self, request):
        target = request.target
        self.running[target.name] -= 1
        if self.waiting[target.name]:
            self.begin(self.waiting[target.name].popleft())
        target.running -= 1
        target.record_duration(self.now - request.sent, self.elapsed())
        self.durations.append((request.arrived, self.now - request.arrived))

    def measure(self, start, end):
        """Return p50, p99 and p99.9 in seconds, and the number refused."""
        found = sorted(
            seconds
            for arrived, seconds in self.durations
            if start <= arrived < end
        )
        parts = [found[int(part * (len(found) - 1))] for part in PARTS]
        return (*parts, len(self.refused))


PARTS = (0.5, 0.99, 0.999)
P99 = 1  # columns of the figures
REFUSED = 3


def make_servers(count, *first):
    names = (f't{number}' for number in range(len(first), count))
    return (*first, *(Server(name) for name in names))


def make_varying(count, seed):
    """Return targets of three speeds, at times 2.5 times slower."""
    rng = random.Random(seed)
    return tuple(
        Server(
            f't{number}',
            UNIT * (0.7, 0.7, 1.7)[number % 3],
            tuple(
                (step * 0.6, step * 0.6 + 0.6, 2.5)
                for step in range(40)
                if rng.random() < SLOW_SHARE
            ),
        )
        for number in range(count)
    )


STARTS = Server('t0', slow=((2, 4, 4),), appears_at=2)
STARTS_FAST = Server('t0', appears_at=2)
RECOVERS = Server('t0', slow=((2.5, 4.5, 4),), down=((1, 2.5),))
FLAPS = Server(
    't0',
    slow=tuple((start, start + 1.2, 4) for start in range(1, 12, 2)),
    down=tuple((start - 0.7, start) for start in range(3, 12, 2)),
)
SLOW = tuple(Server(f't{number}', slow=((0, 99, 4),)) for number in range(2))

# name: hosts, servers by seed, requests a second, and the time that is measured
LOADS = {
    'starts, 1 host': (1, make_servers(5, STARTS), 180, (2, 5)),
    'starts, 10 hosts': (10, make_servers(5, STARTS), 180, (2, 5)),
    'starts, 390 hosts': (390, make_servers(20, STARTS), 700, (2, 5)),
    'starts fast, 10 hosts': (10, make_servers(5, STARTS_FAST), 180, (2, 5)),
    'starts, 10 hosts, full': (10, make_servers(5, STARTS), 270, (2, 5)),
    'starts, 390 hosts, full': (390, make_servers(20, STARTS), 1080, (2, 5)),
    'recovers, 10 hosts': (10, make_servers(5, RECOVERS), 180, (2.5, 5.5)),
    'flaps, 10 hosts': (10, make_servers(5, FLAPS), 180, (1, 12)),
    'tenth slow, 10 hosts': (10, make_servers(20, *SLOW), 700, (0, 6)),
    'varies, 10 hosts': (10, None, 550, (0, 10)),
    'varies, 87 hosts': (87, None, 550, (0, 10)),
}


def run_load(name, seed, with_limits):
    hosts, servers, rate, (start, end) = LOADS[name]
    servers = servers or make_varying(18, seed)
    load = Load(hosts, servers, rate, end + 0.5, seed, with_limits).run()
    return (*load.measure(start, end), load.rejections)


def average(name, with_limits, seeds=SEEDS):
    runs = [run_load(name, seed, with_limits) for seed in seeds]
    return [sum(column) / len(runs) for column in zip(*runs, strict=True)]


@pytest.mark.parametrize(
    ('name', 'max_ratio'),
    [
        ('starts, 10 hosts', 0.9),
        ('recovers, 10 hosts', 0.9),
        ('starts, 390 hosts', 0.9),
    ],
)
def test_limits_shorten_the_longest_waits_at_a_target_that_starts(
    name, max_ratio
):
    """Guards against a new or recovered target that is overloaded."""
    before = average(name, with_limits=False)[P99]
    after = average(name, with_limits=True)[P99]
    assert after < before * max_ratio


@pytest.mark.parametrize(
    'name', ['starts, 10 hosts, full', 'starts fast, 10 hosts']
)
def test_limits_cost_nothing_where_no_other_target_is_free(name):
    """Guards against limits that cause refusals or leave slots unused."""
    before = average(name, with_limits=False)[REFUSED]
    after = average(name, with_limits=True)[REFUSED]
    assert after <= before * 1.1


@pytest.mark.parametrize('name', ['tenth slow, 10 hosts', 'varies, 87 hosts'])
def test_limits_change_nothing_where_targets_neither_start_nor_fail(name):
    """Guards against a limit of a target that is only slow.

    The choice of two by measured durations copes with it; a limit brought no gain.
    """
    assert run_load(name, 1, with_limits=True) == run_load(
        name, 1, with_limits=False
    )


if __name__ == '__main__':
    for load_name in LOADS:
        for respects_limits in (False, True):
            p50, p99, p999, refused, rejected = average(
                load_name, respects_limits
            )
            sys.stdout.write(
                f'{load_name:24} limits {respects_limits!s:5}'
                f' p50 {p50 * 1000:4.0f} p99 {p99 * 1000:4.0f}'
                f' p99.9 {p999 * 1000:4.0f} ms'
                f' refused {refused:.1f} sent again {rejected:.0f}\n'
            )
