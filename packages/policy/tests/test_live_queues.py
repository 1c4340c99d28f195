"""Tests of the queue of live requests, also under drawn loads.

The drawn loads run hosts and targets without a network, with the queue and as without
client accounts: up to 12 refusals with pauses. Print their figures with
`python packages/policy/tests/test_live_queues.py`.
"""

import heapq
import itertools
import random
import sys
from datetime import timedelta

import pytest
from attrs import define, field, frozen
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.live_queues import (
    MAX_RETRY_AFTER,
    MAX_WAIT,
    MAX_WAITING,
    MAX_WAITING_BYTES,
    LiveQueue,
    QueuedRequest,
    Refusal,
)

NOW = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
LATER = timedelta(seconds=10)
UNIT = 0.1  # seconds that a request takes
SPREAD = 0.4  # of the durations, lognormal
SLOTS = 6
TARGETS = 4
TICK = 0.015
MAX_REFUSALS = 12
TIMEOUT = 2.0
END = 8  # seconds of a drawn load
SMALL_ACCOUNTS = 70
SEEDS = (1, 2, 3)
HELD = 0.1  # seconds after which a refusal counts as late


def make_queue(rate=200):
    queue = LiveQueue(random.Random(1))
    for number in range(rate):  # in the last second
        at = NOW - SECOND + SECOND * number / rate
        queue.rate.record(timedelta(milliseconds=100), at)
    return queue


def make_request(account='a', priority=5, size=10, deadline=LATER):
    return QueuedRequest(account, priority, size, NOW + deadline)


def offer(queue, *requests, now=NOW):
    for request in requests:
        queue.offer(request, now)
    return requests


def pop_all(queue, now=NOW):
    popped = []
    while queue.count:
        request = queue.pop(now)
        queue.served.record(request.account, now)
        popped.append(request)
    return popped


def test_accounts_take_turns_whatever_they_have_waiting():
    """Guards against a burst that goes before another account's request."""
    queue = make_queue()
    burst = offer(queue, *(make_request('large') for _ in range(5)))
    (single,) = offer(queue, make_request('small'))
    popped = pop_all(queue)
    assert popped.index(single) <= 1
    assert [r for r in popped if r.account == 'large'] == list(burst)


def test_an_account_that_was_served_lately_goes_last():
    queue = make_queue()
    for _ in range(10):
        queue.served.record('large', NOW)
    offer(queue, make_request('large'), make_request('large'))
    small = make_request('small')
    assert queue.is_next(small, NOW)
    offer(queue, small)
    assert pop_all(queue)[0] is small


def test_the_more_urgent_goes_first():
    queue = make_queue()
    late, urgent = offer(
        queue, make_request(), make_request('served', priority=0)
    )
    for _ in range(10):
        queue.served.record('served', NOW)
    assert not queue.is_next(make_request('new'), NOW)
    assert pop_all(queue) == [urgent, late]


def test_the_newest_go_first_once_the_oldest_wait_too_long():
    """Guards against a queue in which every request is served too late."""
    queue = make_queue()
    old, new = offer(queue, make_request(), make_request())
    assert queue.pop(NOW) is old
    queue.offer(old, NOW)
    assert queue.pop(NOW + MAX_WAIT * 0.6) is new


def test_a_request_that_was_refused_again_keeps_its_place():
    queue = make_queue()
    first, second = offer(queue, make_request(), make_request())
    assert queue.pop(NOW) is first
    queue.offer(first, NOW)
    assert pop_all(queue) == [first, second]


def test_a_request_whose_response_would_be_late_does_not_wait():
    """Guards against requests that wait only to be refused."""
    queue = make_queue(rate=10)
    with pytest.raises(ServiceError) as refused:
        for _ in range(100):
            offer(queue, make_request())
    assert refused.value.code is Code.OVERLOADED
    assert refused.value.detail == Refusal.LATE.value
    assert queue.count == 5  # 0.4 s at 10 a second, after the first
    with pytest.raises(ServiceError):
        offer(queue, make_request('b', deadline=timedelta(milliseconds=150)))


def test_a_small_account_waits_beside_a_burst():
    """Guards against an estimate that counts all that wait before it."""
    queue = make_queue(rate=10)
    with pytest.raises(ServiceError):
        offer(queue, *(make_request('large') for _ in range(100)))
    offer(queue, make_request('small'))


def test_a_host_with_its_first_response_lets_requests_wait():
    """Guards against an estimate from one response after an idle time."""
    queue = make_queue(rate=0)
    queue.rate.record(SECOND / 10, NOW)
    offer(queue, *(make_request() for _ in range(5)))
    assert queue.count == 5


def test_retry_after_is_the_time_to_drain_and_spreads_callers():
    """Guards against callers that are refused at once and come back at once."""
    queue = make_queue(rate=10)
    offer(queue, *(make_request() for _ in range(5)))
    drained = timedelta(milliseconds=500)
    waits = [
        queue.make_refusal(Refusal.LATE, NOW).retry_after for _ in range(100)
    ]
    assert min(waits) >= drained
    assert max(waits) <= 2 * drained
    assert max(waits) - min(waits) > drained / 2
    idle = make_queue(rate=0)
    assert idle.make_refusal(Refusal.LATE, NOW).retry_after <= MAX_RETRY_AFTER


def test_a_full_queue_makes_room_for_an_account_with_few_requests():
    queue = make_queue(rate=10_000)
    burst = offer(queue, *(make_request('large') for _ in range(MAX_WAITING)))
    with pytest.raises(ServiceError) as refused:
        offer(queue, make_request('large'))
    assert refused.value.detail == Refusal.FULL.value
    small = make_request('small')
    assert queue.offer(small, NOW) is burst[-1]
    with pytest.raises(ServiceError):  # it is less urgent than all
        offer(queue, make_request('third', priority=9))


def test_requests_that_waited_too_long_are_refused_before_their_deadline():
    queue = make_queue()
    waiting, hurried = offer(
        queue, make_request(), make_request(deadline=SECOND / 2)
    )
    assert queue.pop_late(NOW + SECOND * 0.45) == [hurried]
    assert queue.pop_late(NOW + MAX_WAIT) == [waiting]
    assert not queue.count


def test_batches_grow_until_the_targets_refuse_again():
    """Guards against slots that stay free while requests wait."""
    queue = make_queue()
    offer(queue, *(make_request() for _ in range(20)))
    now = NOW
    sizes = []
    for _ in range(3):
        popped = queue.pop_batch(now)
        sizes.append(len(popped))
        now += SECOND / 10
    assert sizes == [1, 2, 4]
    queue.offer(popped[0], now)
    assert queue.pop_batch(now) == []
    assert queue.pop_batch(now + SECOND / 10) == [popped[0]]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['offer', 'pop', 'again', 'leave', 'late']),
            st.sampled_from('abc'),
            st.integers(0, 2),
            st.integers(0, MAX_WAITING_BYTES // 2),
            st.integers(0, 400),
        ),
        max_size=60,
    )
)
def test_each_request_leaves_the_queue_once_and_counts_hold(steps):
    """Guards against requests that are lost, doubled or never counted off."""
    queue = make_queue()
    waiting, popped = [], []
    now = NOW
    for step, account, priority, size, elapsed in steps:
        now += timedelta(milliseconds=elapsed)
        if step == 'offer' or (step == 'again' and popped):
            request = popped.pop() if step == 'again' else None
            request = request or make_request(account, priority, size)
            try:
                displaced = queue.offer(request, now)
            except ServiceError as error:
                assert error.code is Code.OVERLOADED
                continue
            waiting.append(request)
            if displaced:
                waiting.remove(displaced)
        elif step == 'pop' and queue.count:
            popped.append(queue.pop(now))
            waiting.remove(popped[-1])
        elif step == 'leave' and waiting:
            queue.withdraw(waiting.pop())
        elif step == 'late':
            for late in queue.pop_late(now):
                waiting.remove(late)
        assert queue.count == len(waiting)
        assert queue.size == sum(request.size for request in waiting)
        assert queue.count <= MAX_WAITING
        assert queue.size <= MAX_WAITING_BYTES
    assert sorted(map(id, pop_all(queue, now))) == sorted(map(id, waiting))


@define(eq=False)
class Call:
    """A request of a drawn load, and its outcome."""

    host: int
    account: str
    arrived: float
    queued: QueuedRequest
    tried: set = field(factory=set)
    refusals: int = 0
    error: ServiceError | None = None
    ended: float = 0


@frozen
class Draw:
    """Arrivals at hosts, and targets that leave.

    Attributes:
        rate: Requests a second of small accounts.
        burst: Requests a second of a large account from 2 to 6 s.
        shares: Weights of the hosts.
        leaving: Number of targets that are away from 3 to 5 s.
    """

    shares: tuple
    rate: float
    burst: float = 0
    leaving: int = 0

    def list_arrivals(self, rng):
        for account, rate, start, end in (
            ('small', self.rate, 0, END),
            ('large', self.burst, 2, 6),
        ):
            time = start
            while rate:
                time += rng.expovariate(rate)
                if time >= end:
                    break
                host = rng.choices(range(len(self.shares)), self.shares)[0]
                name = f'{account}{rng.randrange(SMALL_ACCOUNTS)}'
                yield time, host, 'large' if account == 'large' else name

    def is_up(self, target, now):
        return target >= self.leaving or not 3 <= now < 5


@define(eq=False)
class Load:
    """Hosts whose targets refuse what exceeds their slots."""

    draw: Draw
    seed: int
    with_queue: bool
    now: float = 0
    events: list = field(factory=list)
    numbers: object = field(factory=itertools.count)
    running: list = field(init=False)
    calls: dict = field(factory=dict)
    sends: int = 0
    rng: random.Random = field(init=False)
    queues: list = field(init=False)
    ticking: set = field(factory=set)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.running = [0] * TARGETS
        self.queues = [LiveQueue(self.rng) for _ in self.draw.shares]
        arrivals = self.draw.list_arrivals(random.Random(self.seed))
        for time, host, account in arrivals:
            deadline = timedelta(seconds=time + TIMEOUT)
            queued = QueuedRequest(account, 5, 1000, deadline)
            call = Call(host, account, time, queued)
            self.calls[queued] = call
            self.call_at(time, self.arrive, call)

    def call_at(self, time, work, *arguments):
        heapq.heappush(self.events, (time, next(self.numbers), work, arguments))

    def run(self):
        while self.events:
            self.now, _number, work, arguments = heapq.heappop(self.events)
            work(*arguments)
        return self

    def elapsed(self):
        return timedelta(seconds=self.now)

    def arrive(self, call):
        queue = self.queues[call.host]
        if queue.count and not queue.is_next(call.queued, self.elapsed()):
            self.enqueue(call)
        else:
            self.send(call)

    def send(self, call):
        untried = [
            target
            for target in range(TARGETS)
            if target not in call.tried and self.draw.is_up(target, self.now)
        ]
        if not untried:
            call.tried.clear()
            if self.with_queue:
                self.enqueue(call)
            else:
                self.call_at(self.now + TICK, self.send, call)
            return
        target = self.rng.choice(untried)
        self.sends += 1
        if self.running[target] < SLOTS:
            self.running[target] += 1
            seconds = UNIT * self.rng.lognormvariate(0, SPREAD)
            self.call_at(self.now + seconds, self.finish, call, target, seconds)
            return
        call.tried.add(target)
        call.refusals += 1
        if call.refusals > MAX_REFUSALS and not self.with_queue:
            self.refuse(call, ServiceError(Code.OVERLOADED))
        else:
            self.call_at(self.now + 0.001, self.send, call)

    def enqueue(self, call):
        queue = self.queues[call.host]
        try:
            displaced = queue.offer(call.queued, self.elapsed())
        except ServiceError as error:
            self.refuse(call, error)
            return
        if displaced:
            self.refuse(self.calls[displaced], ServiceError(Code.OVERLOADED))
        if call.host not in self.ticking:
            self.ticking.add(call.host)
            self.call_at(self.now + TICK, self.tick, call.host)

    def tick(self, host):
        queue = self.queues[host]
        for request in queue.pop_late(self.elapsed()):
            self.refuse(
                self.calls[request],
                queue.make_refusal(Refusal.WAITED, self.elapsed()),
            )
        for request in queue.pop_batch(self.elapsed()):
            self.send(self.calls[request])
        if queue.count:
            self.call_at(self.now + TICK, self.tick, host)
        else:
            self.ticking.discard(host)

    def finish(self, call, target, seconds):
        self.running[target] -= 1
        call.ended = self.now
        queue = self.queues[call.host]
        if not self.with_queue:
            return
        queue.served.record(call.account, self.elapsed())
        queue.rate.record(timedelta(seconds=seconds), self.elapsed())
        request = queue.pop(self.elapsed())
        if request is not None:
            self.send(self.calls[request])

    def refuse(self, call, error):
        call.error = error
        call.ended = self.now


HOSTS = (1,) * 8
LOADS = {
    'burst, 8 hosts': Draw(HOSTS, 105, burst=400),
    'burst, 69 hosts': Draw((1,) * 69, 105, burst=400),
    'load 0.83, 8 hosts': Draw(HOSTS, 200),
    'load 1.2, 8 hosts': Draw(HOSTS, 290),
    'two targets leave': Draw(HOSTS, 170, leaving=2),
    'unequal hosts, load 1.1': Draw((8, 8, 1, 1, 1, 1, 1, 1), 270),
}


def find_quantile(durations, part):
    found = sorted(durations) or [0]
    return found[int(part * (len(found) - 1))]


def measure(name, with_queue):
    """Return shares, waits and refusals of all seeds, by their names."""
    loads = [Load(LOADS[name], seed, with_queue).run() for seed in SEEDS]
    calls = [call for load in loads for call in load.calls.values()]
    served = [call for call in calls if not call.error]
    refused = [call for call in calls if call.error]
    parts = {'all': calls}
    parts['small'] = [call for call in calls if call.account != 'large']
    parts['large'] = [call for call in calls if call.account == 'large']
    hosts = {
        host: [call for call in calls if call.host == host]
        for host in range(len(LOADS[name].shares))
    }
    figures = {part: share_served(members) for part, members in parts.items()}
    shares = [share_served(members) for members in hosts.values()]
    waits = [call.ended - call.arrived for call in served]
    held = [call.ended - call.arrived for call in refused]
    return {
        **figures,
        'worst host': min(shares),
        'p50 ms': find_quantile(waits, 0.5) * 1000,
        'p99 ms': find_quantile(waits, 0.99) * 1000,
        'refused after p50 ms': find_quantile(held, 0.5) * 1000,
        'refused after 0.1 s': sum(held_for > HELD for held_for in held)
        / len(refused),
        'sends': sum(load.sends for load in loads),
    }


def share_served(calls):
    if not calls:
        return 1
    return sum(not call.error for call in calls) / len(calls)


@pytest.mark.parametrize(
    ('name', 'min_gain'), [('burst, 8 hosts', 0.2), ('burst, 69 hosts', 0.08)]
)
def test_a_burst_of_one_account_displaces_few_requests_of_others(
    name, min_gain
):
    """Guards against a small account that is refused beside a large one."""
    before = measure(name, with_queue=False)
    after = measure(name, with_queue=True)
    assert after['small'] > before['small'] + min_gain
    assert after['all'] > before['all']


@pytest.mark.parametrize(
    'name', ['load 0.83, 8 hosts', 'two targets leave', 'load 1.2, 8 hosts']
)
def test_more_is_served_with_a_queue(name):
    """Guards against slots that are free while requests wait."""
    before = measure(name, with_queue=False)
    after = measure(name, with_queue=True)
    assert after['all'] > before['all']
    assert after['refused after p50 ms'] < 1


if __name__ == '__main__':
    for load_name in LOADS:
        for has_queue in (False, True):
            shown = ', '.join(
                f'{name} {value:.4g}'
                for name, value in measure(load_name, has_queue).items()
            )
            sys.stdout.write(f'{load_name}, queue {has_queue}: {shown}\n')
