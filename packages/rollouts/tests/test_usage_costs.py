"""What usage reports cost at the largest deployment that is designed for.

``pytest -rP`` prints the figures.
"""

import random
import sys
import time
from datetime import timedelta

import curio
import pytest
from attrs import define, field
from fleet_simulation import BoundedStore, ManualClock
from ownership_model import HostClock
from sequoia_policy.store_clocks import StoreClock
from sequoia_policy.usage_windows import UsageTiming
from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.fleet.own_leases import OwnLease
from sequoia_rollouts.fleet.ownership import OwnedDuty
from sequoia_rollouts.storage.stores import Committer, RowWrite, Transaction
from sequoia_rollouts.storage.tables import duty_key
from sequoia_rollouts.usage.counters import make_counter
from sequoia_rollouts.usage.reporters import UsageReporter
from sequoia_rollouts.usage.usage_rows import DUTY
from sequoia_rollouts.usage.writers import UsageWriter

TIMING = UsageTiming(timedelta(seconds=5), timedelta(seconds=10))
START = timedelta(seconds=1_800_000_000)
TICK = timedelta(milliseconds=50)
WINDOWS = 6
ACCOUNTS = 80
REQUESTS = 6500  # per second
ENVELOPE = 60  # bytes of the names and punctuation of a row in JSON
MAX_PARTITION_WRITES = 150  # per second
MAX_HOST_BYTES = 14_000  # per second


@define(eq=False)
class CountingStore(BoundedStore):
    """Counts bytes as they are sent: rows in JSON with base64."""

    written: int = 0
    sent: int = 0
    busiest: dict = field(factory=dict)

    async def commit(self, transaction):
        part = transaction.writes[0].key.part
        second = (part, int(self.clock.now.total_seconds()))
        self.busiest[second] = self.busiest.get(second, 0) + 1
        for write in transaction.writes:
            self.written += measure(write.key, write.body)
        return await super().commit(transaction)

    async def read(self, row_range):
        page = await super().read(row_range)
        end = row_range.end or '\U0010ffff'
        rows = tuple(
            row for row in page.rows if row_range.start <= row.key.key < end
        )
        self.sent += sum(measure(row.key, row.body) for row in rows)
        return type(page)(rows, page.version, page.now)


def measure(key, body):
    encoded = (len(body or b'') + 2) // 3 * 4
    return encoded + len(key.key) + len(key.table) + ENVELOPE


@define
class FixedDuty:
    """A duty that this host owns all the time."""

    owned: OwnedDuty
    host: str = 'h0'

    async def step(self):
        return self.owned

    def may_act(self, owned):
        return True

    def may_act_now(self):
        return True


@define
class AcceptingApi:
    sums: dict = field(factory=dict)

    async def report_usage(self, report, permit):
        self.sums[report.window] = sum(report.counts.values())


@define(eq=False)
class CostModel:
    hosts: int
    rng: random.Random = field(factory=lambda: random.Random(1))
    steady: ManualClock = field(factory=lambda: ManualClock(START))
    clock: HostClock = field(init=False)
    store: CountingStore = field(init=False)
    writers: list = field(factory=list)
    due: list = field(factory=list)
    api: AcceptingApi = field(factory=AcceptingApi)
    counted: dict = field(factory=dict)
    write_seconds: float = 0
    report_seconds: float = 0
    report_writes: int = 0
    report_bytes: int = 0

    def __attrs_post_init__(self):
        self.clock = HostClock(self.steady)
        self.store = CountingStore(self.steady, self.rng)
        for number in range(self.hosts):
            own = OwnLease(self.clock, f'host{number:04d}', 'z')
            heartbeats = HeartbeatService(self.store, self.clock, own)
            counter = make_counter(self.clock, StoreClock(self.clock))
            counter.timing = TIMING
            self.writers.append(
                UsageWriter(
                    self.clock,
                    self.store,
                    heartbeats,
                    counter,
                    TIMING,
                    self.rng,
                )
            )
            self.due.append(self.find_next())

    def find_next(self):
        return TIMING.find_next_write(self.clock.elapsed(), self.rng.random())

    async def make_reporter(self):
        key = duty_key(DUTY)
        version = await self.store.commit(
            Transaction((RowWrite(key, b'{"owner":"h0"}'),))
        )
        return UsageReporter(
            self.clock,
            self.writers[0].counter.true_clock,
            TIMING,
            FixedDuty(OwnedDuty(DUTY, 'h0', version)),
            Committer(self.store, self.clock),
            self.api,
            timedelta(seconds=1),
        )

    async def run(self):
        reporter = await self.make_reporter()
        self.store.written = 0
        end = START + TIMING.length * WINDOWS
        while self.clock.elapsed() < end + TIMING.limit:
            self.steady.now += TICK
            if self.clock.elapsed() < end:
                self.count_requests()
            await self.write_due()
            await self.report(reporter)

    def count_requests(self):
        now = self.clock.elapsed()
        for _ in range(round(REQUESTS * TICK.total_seconds())):
            # A few accounts are large.
            account = min(ACCOUNTS - 1, int(self.rng.paretovariate(0.6)) - 1)
            writer = self.rng.choice(self.writers)
            writer.counter.record(f'tenant{account:03d}', now)
            window = TIMING.find_window(now)
            self.counted[window] = self.counted.get(window, 0) + 1

    async def write_due(self):
        started = time.process_time()
        for number, writer in enumerate(self.writers):
            if self.clock.elapsed() >= self.due[number]:
                assert await writer.flush()
                self.due[number] = self.find_next()
        self.write_seconds += time.process_time() - started

    async def report(self, reporter):
        before = (self.store.transactions, self.store.written)
        started = time.process_time()
        await reporter.step()
        self.report_seconds += time.process_time() - started
        self.report_writes += self.store.transactions - before[0]
        self.report_bytes += self.store.written - before[1]


@pytest.mark.parametrize('hosts', [69, 390])
def test_reports_stay_within_the_rates_of_the_store(hosts):
    model = CostModel(hosts)
    curio.run(model.run)
    seconds = WINDOWS * TIMING.length.total_seconds()
    host_writes = model.store.transactions - model.report_writes
    host_bytes = (model.store.written - model.report_bytes) / hosts / seconds
    figures = {
        'row writes a second, all hosts': host_writes / seconds,
        'bytes a second written by a host': host_bytes,
        'transactions a second of the holder': model.report_writes / seconds,
        'bytes a second written by the holder': model.report_bytes / seconds,
        'reads a second of the holder': model.store.reads / seconds,
        'bytes a second read by the holder': model.store.sent / seconds,
        'most transactions of a partition in a second': max(
            model.store.busiest.values()
        ),
        'CPU of a host, 1e-6 cores': model.write_seconds
        / seconds
        / hosts
        * 1e6,
        'CPU of the holder, 1e-6 cores': model.report_seconds / seconds * 1e6,
    }
    for name, figure in figures.items():
        sys.stdout.write(f'{hosts} hosts: {name}: {figure:.1f}\n')
    for window, count in model.counted.items():
        assert model.api.sums[window] == count
    assert host_writes / seconds <= hosts * 2 / 5 + 1
    assert host_bytes < MAX_HOST_BYTES / 10
    assert model.store.refused == 0
    assert max(model.store.busiest.values()) <= MAX_PARTITION_WRITES
