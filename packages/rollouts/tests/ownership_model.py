"""A model of hosts that own submissions, driven by the shipped decisions.

Leases, heartbeats, the ownership table, adoption, the duty to order and the
preconditions are the product's, and so are counting and reporting of usage. The
store, the clocks, the runners, the API and the network are modelled. After each tick the promises to callers are checked.
"""

import random
from collections import Counter
from datetime import UTC, datetime, timedelta

from attrs import define, evolve, field
from fleet_simulation import BoundedStore, ManualClock
from sequoia_policy import preconditions
from sequoia_policy.accounts import (
    Account,
    ConfigurationAge,
    check_age,
    check_known,
)
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.submissions import Ownership
from sequoia_policy.usage_windows import UsageTiming
from sequoia_policy.verdicts import Verdict
from sequoia_rollouts.process import sweepers
from sequoia_rollouts.weights import weight_managers
from sequoia_rollouts.submissions.adoptions import Adopter
from sequoia_rollouts.fleet.duty_holders import DutyHolder
from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.fleet.lease_keepers import LeaseKeeper
from sequoia_rollouts.fleet.own_leases import OwnLease
from sequoia_rollouts.fleet.ownership import OwnedSubmission, OwnershipTable
from sequoia_rollouts.storage.stores import (
    ABSENT,
    Changes,
    Committer,
    ConflictError,
    Guard,
    Row,
    RowPage,
    Transaction,
)
from sequoia_rollouts.usage.counters import make_counter
from sequoia_rollouts.usage.reporters import UsageReporter
from sequoia_rollouts.usage.usage_rows import DUTY
from sequoia_rollouts.usage.writers import UsageWriter
from sequoia_rollouts.storage.tables import (
    read_ownership,
    submission_key,
    write_ownership,
)

TICK = timedelta(milliseconds=100)
CANCEL = timedelta(seconds=3)  # in which an end takes effect
CALM = timedelta(seconds=3)  # without disruption before a bound holds
RECOVERY = timedelta(seconds=15)  # until every open submission is run again
ORDER_LEASE = timedelta(seconds=3)
REVOCATION = timedelta(
    seconds=5
)  # until a key that was taken away opens nothing
FEED_INTERVAL = timedelta(milliseconds=500)
CALL_TIMEOUT = timedelta(milliseconds=900)
CLOCK_AHEAD = timedelta(hours=2)  # of the store
CLOCK_ERROR = timedelta(seconds=2)  # of a time of acceptance
COMMIT_TIMEOUT = timedelta(seconds=1)
DOMAIN = 'z'
USAGE = UsageTiming(timedelta(seconds=1), timedelta(seconds=5))
USAGE_WRITES = timedelta(milliseconds=500)
USAGE_SHARE = 0.3  # of the ticks in which a host counts a request
CALL_INTERVAL = timedelta(milliseconds=100)
CLOCK_MARGIN = timedelta(milliseconds=100)  # of a time that hosts agree on
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class BrokenPromiseError(AssertionError):
    """A promise to callers was broken."""


@define(eq=False)
class ModelStore(BoundedStore):
    """A store with a feed, a clock of its own and lost answers.

    Attributes:
        history: Changed rows, oldest first.
        to_lose: Number of further calls whose answer is lost.
        loses_duty: Whether the answer to the next write of a duty is lost; its
            writer waits for it for a while.
    """

    history: list = field(factory=list)
    to_lose: int = 0
    loses_duty: bool = False

    async def commit(self, transaction):
        before = dict(self.rows)
        version = await super().commit(transaction)
        for write in transaction.writes:
            if before.get(write.key) != self.rows.get(write.key):
                row = Row(write.key, version, write.body)
                self.history.append(row)
        if self.loses_duty and 'duty/' in transaction.writes[0].key.key:
            self.loses_duty = False
            self.clock.now += CALL_TIMEOUT
            self.to_lose = 1
        self._lose()
        return version

    async def read(self, row_range):
        page = await super().read(row_range)
        self._lose()
        end = row_range.end or '\U0010ffff'
        rows = tuple(
            row for row in page.rows if row_range.start <= row.key.key < end
        )
        return RowPage(rows, self.version, self.clock.now + CLOCK_AHEAD)

    async def follow(self, table, after, timeout):
        found = {
            row.key: row
            for row in self.history
            if row.version > after and row.key.table == table
        }
        self._lose()
        return Changes(tuple(found.values()), self.version)

    def _lose(self):
        if self.to_lose:
            self.to_lose -= 1
            raise ServiceError(
                Code.STORE_UNAVAILABLE,
                'response lost',
                verdict=Verdict.MAY_HAVE_RUN,
            )


@define(eq=False)
class HostStore:
    """The store as one host reaches it, or does not."""

    store: ModelStore
    is_cut: bool = False

    def __getattr__(self, name):
        if self.is_cut:
            raise ServiceError(
                Code.STORE_UNAVAILABLE, 'cut', verdict=Verdict.NOT_RUN
            )
        return getattr(self.store, name)


@define(eq=False)
class HostClock:
    """The clocks of one host.

    Attributes:
        error: What its wall clock shows too much.
    """

    clock: ManualClock
    error: timedelta = timedelta()

    def elapsed(self):
        return self.clock.now

    def now(self):
        return EPOCH + self.clock.now + self.error


@define(eq=False)
class ModelApi:
    """The platform's API, which does not check fencing tokens.

    Attributes:
        reports: Counts of each window, as first reported.
        is_down: Whether it carries out no call.
        to_lose: Number of further calls whose response is lost.
        last_call: Holder, fencing token and time of the last call.
    """

    clock: ManualClock
    counts: Counter
    reports: dict = field(factory=dict)
    is_down: bool = False
    to_lose: int = 0
    last_call: tuple | None = None

    async def report_usage(self, report, permit):
        self.counts['calls of the API'] += 1
        if self.is_down:
            raise ServiceError(Code.OVERLOADED, 'down', verdict=Verdict.NOT_RUN)
        self.check(report, permit)
        if self.to_lose:
            self.to_lose -= 1
            raise ServiceError(Code.TARGET_BROKE, 'response lost')
        self.counts['reports'] += 1

    def check(self, report, permit):
        known = self.reports.setdefault(report.window, dict(report.counts))
        if known != report.counts:
            raise BrokenPromiseError('two reports for a window')
        if self.last_call:
            holder, fence, at = self.last_call
            if permit.fence < fence:
                raise BrokenPromiseError('a lower token after a higher one')
            if holder != permit.holder and self.clock.now - at < ORDER_LEASE:
                raise BrokenPromiseError('two hosts report within the lease')
        self.last_call = (permit.holder, permit.fence, self.clock.now)


@define
class Work:
    """A submission as its caller knows it.

    Attributes:
        configuration: Version under which it was accepted.
        ended_at: When the end was acknowledged; None if it was not.
    """

    id: str
    route: str
    configuration: int
    ended_at: timedelta | None = None


@define
class Key:
    """A key of a caller, and the versions that list it.

    Attributes:
        since: First version that lists it.
        until: First version that does not list it any more; None if all do.
        taken_at: When that version came into force.
    """

    since: int
    until: int | None = None
    taken_at: timedelta = timedelta()

    def is_listed(self, version):
        if version < self.since:
            return False
        return self.until is None or version < self.until


@define
class NoLoads:
    """A planner that plans nothing: the model orders whenever a host may."""

    service: object

    def plan(self):
        return ()


@define
class ModelService:
    name: str = 's'


@define(eq=False)
class ModelHost:
    """One process: the product's decisions and a modelled runner.

    Attributes:
        running: Ownerships of the submissions that it runs, by id.
        configuration: Version that it has; 0 before the first.
        disturbed_at: When a disruption of it last ended.
        paused_until: Until when it does not run.
        blind_until: Until when the answers with configurations are lost.
        confirmed_at: When it last read the configuration.
        failed_read_at: When it last could not read it; None if it always could.
    """

    name: str
    store: HostStore
    clock: ManualClock
    rng: random.Random
    api: ModelApi
    heartbeats: HeartbeatService = field(init=False)
    keeper: LeaseKeeper = field(init=False)
    table: OwnershipTable = field(init=False)
    adopter: Adopter = field(init=False)
    manager: weight_managers.WeightManager = field(init=False)
    own_clock: HostClock = field(init=False)
    writer: UsageWriter = field(init=False)
    reporter: UsageReporter = field(init=False)
    running: dict = field(factory=dict)
    configuration: int = 0
    disturbed_at: timedelta = timedelta()
    paused_until: timedelta = timedelta()
    blind_until: timedelta = timedelta()
    confirmed_at: timedelta = timedelta()
    failed_read_at: timedelta | None = None
    due: dict = field(factory=dict)

    def __attrs_post_init__(self):
        own = OwnLease(self.clock, self.name, DOMAIN)
        boot = f'{self.rng.getrandbits(48):012x}'  # the same in each run
        own.heartbeat = evolve(own.heartbeat, boot=boot)
        self.heartbeats = HeartbeatService(self.store, self.clock, own)
        self.keeper = LeaseKeeper(
            self.heartbeats, self.store, self.clock, self.rng
        )
        self.table = OwnershipTable(
            self.store,
            self.clock,
            self.heartbeats,
            self.apply_change,
            lambda name, note: None,
        )
        self.table.follower.find_feed_interval = timedelta
        self.adopter = Adopter(self.table)
        self.manager = weight_managers.WeightManager(
            self.clock,
            None,
            DutyHolder(
                self.clock,
                self.table,
                Committer(self.store, self.clock),
                'weights/pool',
                ORDER_LEASE,
            ),
            None,
            NoLoads(ModelService()),
        )
        self.make_usage()

    def make_usage(self):
        self.own_clock = HostClock(self.clock)
        counter = make_counter(self.own_clock, self.heartbeats.store_clock)
        counter.timing = USAGE
        self.writer = UsageWriter(
            self.own_clock,
            self.store,
            self.heartbeats,
            counter,
            USAGE,
            self.rng,
        )
        committer = Committer(self.store, self.clock)
        self.reporter = UsageReporter(
            self.own_clock,
            counter.true_clock,
            USAGE,
            DutyHolder(self.clock, self.table, committer, DUTY, ORDER_LEASE),
            committer,
            self.api,
            CALL_INTERVAL,
        )

    async def apply_change(self, owned):
        """Start or stop a runner, as the product's handler does."""
        is_owner = owned.ownership.owner == self.heartbeats.owner
        if owned.ownership.ended or not is_owner:
            self.running.pop(owned.id, None)
        else:
            self.running[owned.id] = owned.ownership

    async def run_due(self, model):
        """Do what is due, in random order."""
        if self.clock.now < self.paused_until:
            return
        acts = [
            lambda: model.call(self),
            self.read_leases,
            self.renew,
            self.follow,
            self.adopt,
            self.manage,
            self.write_usage,
            self.report_usage,
        ]
        self.rng.shuffle(acts)
        for act in acts:
            try:
                await act()
            except ServiceError:
                model.counts['calls that failed'] += 1
        is_reached = not self.store.is_cut and not model.store.to_lose
        if is_reached and self.clock.now >= self.blind_until:
            self.configuration = model.configuration
            self.confirmed_at = self.clock.now
        else:
            self.failed_read_at = self.clock.now
        if self.rng.random() < USAGE_SHARE:
            self.writer.counter.record('a', self.clock.now)
            model.check_window(self)
        for submission_id in tuple(self.running):
            model.run_item(self, submission_id)
        owned = self.table.duties.get(self.manager.duty.name)
        if owned and owned.owner == self.heartbeats.owner:
            if self.manager.duty.may_act(owned):
                model.order(self)

    def find_age(self):
        """Return how current its configuration is."""
        now = self.clock.now
        failed_at = self.failed_read_at
        return ConfigurationAge(
            now - self.confirmed_at,
            None if failed_at is None else now - failed_at,
        )

    def is_due(self, name, interval):
        if self.clock.now < self.due.get(name, timedelta()):
            return False
        self.due[name] = self.clock.now + interval
        return True

    async def read_leases(self):
        if self.is_due('read', self.heartbeats.find_read_interval()):
            await self.heartbeats.read()

    async def renew(self):
        if self.is_due('renew', self.keeper.find_interval()):
            await self.keeper.step()

    async def follow(self):
        follower = self.table.follower
        if not follower.is_active():
            follower.version = None
        elif self.is_due('follow', FEED_INTERVAL):
            await follower.step()

    async def adopt(self):
        if not self.store.is_cut:
            for submission_id in self.adopter._find_adoptable():
                await self.adopter._adopt(submission_id)

    async def manage(self):
        if not self.store.is_cut:
            await self.manager.step()

    async def write_usage(self):
        if self.is_due('usage', USAGE_WRITES):
            self.writer.compare_clocks()
            await self.writer.flush()

    async def report_usage(self):
        if not self.store.is_cut:
            await self.reporter.step()


@define(eq=False)
class OwnershipModel:
    """Hosts, their callers, and what was promised to these.

    Attributes:
        routes: Routes by version of the configuration.
        keys: Keys of callers, oldest first.
        orders: When which process last ordered.
        counts: How often each act and disruption happened.
    """

    seed: int
    size: int = 4
    clock: ManualClock = field(factory=ManualClock)
    rng: random.Random = field(init=False)
    store: ModelStore = field(init=False)
    hosts: dict = field(factory=dict)
    work: dict = field(factory=dict)
    routes: dict = field(factory=lambda: {1: frozenset(('r0',))})
    keys: list = field(factory=lambda: [Key(1), Key(1)])
    last_order: tuple | None = None
    counts: Counter = field(factory=Counter)
    api: ModelApi = field(init=False)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.store = ModelStore(self.clock, self.rng)
        self.api = ModelApi(self.clock, self.counts)
        for number in range(self.size):
            self.start(f'h{number}')

    @property
    def configuration(self):
        return max(self.routes)

    def start(self, name):
        host = ModelHost(
            name, HostStore(self.store), self.clock, self.rng, self.api
        )
        host.disturbed_at = self.clock.now
        self.hosts[name] = host

    async def run(self, duration):
        end = self.clock.now + duration
        while self.clock.now < end:
            self.clock.now += TICK
            hosts = list(self.hosts.values())
            self.rng.shuffle(hosts)
            for host in hosts:
                await host.run_due(self)

    async def accept(self, host, route):
        """Accept a submission as the product's handler does."""
        if host.store.is_cut or not host.configuration:
            return
        if route not in self.routes[host.configuration]:
            return
        await host.heartbeats.refresh()
        try:
            accepted = host.heartbeats.store_clock.read()
        except ServiceError:
            self.counts['refused without clock'] += 1
            return
        work = Work(f'w{len(self.work)}', route, host.configuration)
        ownership = Ownership(
            host.table.choose_owner(work.id),
            1,
            accepted=accepted,
            configuration_version=host.configuration,
        )
        write = write_ownership(work.id, ownership)
        transaction = Transaction((write,), (Guard(write.key, ABSENT),))
        try:
            version = await Committer(self.store, self.clock).commit(
                transaction, COMMIT_TIMEOUT
            )
        except ServiceError:
            return
        self.work[work.id] = work
        self.counts['accepted'] += 1
        self.check_time(ownership)
        await host.table.record(OwnedSubmission(work.id, ownership, version))

    async def call(self, host):
        """Let callers with each key call a host."""
        if not host.configuration:
            return
        for key in self.keys:
            is_listed = key.is_listed(host.configuration)
            account = Account('a') if is_listed else None
            age = host.find_age()
            try:
                check_known(account, age)
                check_age(age, None)
            except ServiceError as refusal:
                if refusal.code is Code.UNKNOWN_CALLER:
                    self.check_denied(key)
            else:
                self.check_accepted(host, key)

    def take_key(self):
        """Take the oldest key away that is left, and add one."""
        version = self.configuration + 1
        self.routes[version] = self.routes[self.configuration]
        listed = [key for key in self.keys if key.until is None]
        listed[0].until = version
        listed[0].taken_at = self.clock.now
        self.keys.append(Key(version))

    def check_denied(self, key):
        self.counts['keys denied'] += 1
        if all(key.is_listed(version) for version in self.routes):
            raise BrokenPromiseError('a key is denied that every version has')

    def check_accepted(self, host, key):
        self.counts['keys accepted'] += 1
        if key.until is None or self.clock.now < key.taken_at + REVOCATION:
            return
        failed_at = host.failed_read_at
        if failed_at is None or self.clock.now > failed_at + CALM:
            raise BrokenPromiseError('a key opens after it was taken away')

    async def end(self, work):
        """End a submission at the store, as any host does."""
        key = submission_key(work.id)
        row = self.store.rows[key]
        ended = evolve(read_ownership(row.body), ended=True)
        transaction = Transaction(
            (write_ownership(work.id, ended),), (Guard(key, row.version),)
        )
        try:
            await Committer(self.store, self.clock).commit(
                transaction, COMMIT_TIMEOUT
            )
        except (ServiceError, ConflictError):
            return
        work.ended_at = self.clock.now
        self.counts['ended'] += 1

    def run_item(self, host, submission_id):
        """Send an item, wait, or give it up, as the product's runner does."""
        ownership = host.running[submission_id]
        if not host.table.is_confirmed():
            self.counts['waited for owner'] += 1
            return
        if not preconditions.may_judge_route(
            host.configuration, ownership.configuration_version
        ):
            self.counts['waited for configuration'] += 1
            return
        work = self.work.get(submission_id)
        if work is None:
            return  # its acceptance was not acknowledged
        if work.route not in self.routes.get(host.configuration, ()):
            host.running.pop(submission_id)
            self.check_dead(work)
            return
        self.counts['sent'] += 1
        self.check_sent(host, work)

    def order(self, host):
        """Order an engine, as a host does that may."""
        self.counts['orders'] += 1
        if self.last_order:
            name, last_at = self.last_order
            if name != host.name and self.clock.now - last_at < ORDER_LEASE:
                raise BrokenPromiseError('two hosts order within the lease')
        self.last_order = (host.name, self.clock.now)

    def check_window(self, host):
        """Check that a step of its wall clock does not move its counts."""
        true_clock = host.writer.counter.true_clock
        if not true_clock.is_shared:
            return
        self.counts['windows checked'] += 1
        error = true_clock.convert(self.clock.now) - self.clock.now
        if abs(error) > CLOCK_MARGIN:
            raise BrokenPromiseError('a request is counted in another window')

    def check_time(self, ownership):
        true_now = self.clock.now + CLOCK_AHEAD
        if abs(ownership.accepted - true_now) > CLOCK_ERROR:
            raise BrokenPromiseError('a wrong time of acceptance was stored')
        owned = OwnedSubmission('', ownership, 1)
        if sweepers.is_expired(owned, true_now):
            raise BrokenPromiseError('a new submission is to be removed')

    def check_dead(self, work):
        self.counts['dead'] += 1
        later = range(work.configuration, self.configuration + 1)
        if not any(work.route not in self.routes[number] for number in later):
            raise BrokenPromiseError('an item is dead though its route stays')

    def check_sent(self, host, work):
        if work.ended_at is None:
            return
        calm_at = host.disturbed_at + CALM
        if self.clock.now > max(work.ended_at + CANCEL, calm_at):
            raise BrokenPromiseError('an item is sent after the end')

    def disturb(self, name, hosts):
        self.counts[name] += 1
        for host in hosts:
            host.disturbed_at = self.clock.now

    async def settle(self):
        """Heal everything; check that each open submission is run once."""
        self.store.to_lose = 0
        self.api.is_down = False
        self.api.to_lose = 0
        for host in self.hosts.values():
            host.store.is_cut = False
            host.paused_until = timedelta()
            host.blind_until = timedelta()
        self.disturb('healed', self.hosts.values())
        await self.run(RECOVERY)
        routes = self.routes[self.configuration]
        for work in self.work.values():
            if work.ended_at is None and work.route in routes:
                self.check_runs(work)

    def check_runs(self, work):
        if submission_key(work.id) not in self.store.rows:
            raise BrokenPromiseError('a submission is lost')
        runners = [
            host.name for host in self.hosts.values() if work.id in host.running
        ]
        given_up = any(
            work.route not in routes
            for version, routes in self.routes.items()
            if version >= work.configuration
        )
        if len(runners) != 1 and not given_up:
            raise BrokenPromiseError(f'{work.id} is run by {runners}')
