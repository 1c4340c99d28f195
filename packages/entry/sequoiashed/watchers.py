"""Polls the hosts list and the status of watched targets."""

from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.errors import ServiceError
from sequoia_policy.members import Member
from sequoia_policy.pools import PoolSummary
from sequoia_policy.roles import Role
from sequoia_policy.targets import Report, Target, TargetState
from sequoia_policy.watches import WatchList
from sequoia_wire.calls import Timeouts
from sequoia_wire.codecs import decode
from sequoia_wire.logs import Log
from sequoia_wire.messages import RequestHead, encode_headers, parse_address
from sequoia_wire.platform_messages import HostsList, TargetStatus

from sequoiashed.states import HostState

ENTRY_POOL = 'entry'
FETCH_TIMEOUTS = Timeouts(timedelta(milliseconds=300), timedelta(seconds=1))
NOT_MODIFIED = 304
JITTER = 0.2  # fraction of the interval

log = Log('watch')


@define
class HostsReader:
    """Polls the platform's hosts list and applies changes to it."""

    state: HostState
    entity_tag: str = ''

    async def run(self) -> None:
        """Read the list at each interval until cancelled."""
        interval = self.state.settings.hosts_period.total_seconds()
        while True:
            await self.read_once()
            factor = self.state.rng.uniform(1 - JITTER, 1 + JITTER)
            await curio.sleep(interval * factor)

    async def read_once(self) -> None:
        """Read the list and apply it unless it is unchanged.

        A failed read is counted and logged, and the known hosts are kept.
        """
        headers = encode_headers({'if-none-match': self.entity_tag})
        head = RequestHead('GET', '/hosts', headers)
        address = self.state.settings.hosts_list
        try:
            response = await self.state.client.fetch(
                address,
                head,
                timeouts=FETCH_TIMEOUTS,
            )
            if response.status != NOT_MODIFIED:
                self._accept(decode(response.body, HostsList))
                self.entity_tag = response.head.header('etag') or ''
        except ServiceError as error:
            self.state.metrics.store_errors.labels('hosts').inc()
            log.write('hosts list could not be read', detail=error.detail)

    def _accept(self, hosts_list: HostsList) -> None:
        targets = []
        for host in hosts_list.hosts:
            if host.pool == ENTRY_POOL:
                self.state.members.add_contact(
                    Member(host.name, host.domain, host.gossip, host.peer),
                )
                continue
            target = Target(host.name, host.pool, host.domain, host.address)
            targets.append((target, host.leaving))
        for name in self.state.targets.accept_list(tuple(targets)):
            mark_leaving(self.state, name, 'hosts list')


def mark_leaving(state: HostState, name: str, source: str) -> None:
    """Stop new work to a target and queue its report for other hosts."""
    log.write('target is leaving', target=name, source=source)
    report = state.targets.mark_leaving(name, state.clock.elapsed())
    if report is not None:
        state.reports.add(report)


@define
class TargetWatcher:
    """Polls the targets assigned to this host and summarizes pools.

    Attributes:
        watches: Assigns targets to the live hosts of the failure domain.
    """

    state: HostState
    watches: WatchList = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without watched targets."""
        self.watches = WatchList(self.state.settings.name)

    async def run(self) -> None:
        """Poll the targets at each interval until cancelled."""
        interval = self.state.settings.watch_period.total_seconds()
        while True:
            for name in self._find_watched():
                await curio.spawn(
                    self._poll,
                    self.state.targets.states[name],
                    daemon=True,
                )
            self._summarize_pools()
            factor = self.state.rng.uniform(1 - JITTER, 1 + JITTER)
            await curio.sleep(interval * factor)

    def _find_watched(self) -> tuple[str, ...]:
        domain = self.state.settings.domain
        now = self.state.clock.elapsed()
        live = self.state.members.live_members(domain, now)
        targets = [
            target_state.target.name
            for target_state in self.state.targets.states.values()
            if target_state.target.domain == domain and not target_state.retired
        ]
        hosts = tuple(member.name for member in live)
        return self.watches.update(hosts, tuple(targets))

    async def _poll(self, target_state: TargetState) -> None:
        requested_at = self.state.clock.elapsed()
        try:
            status = await read_status(self.state, target_state.target)
        except ServiceError as error:
            target_state.record_failure(self.state.clock.elapsed())
            log.write(
                'target status request failed',
                target=target_state.target.name,
                detail=error.detail,
            )
            return
        report = make_report(status, requested_at)
        was_leaving = target_state.is_leaving
        if self.state.targets.accept_report(report):
            self.state.reports.add(report)
        if target_state.is_leaving and not was_leaving:
            log.write('target is leaving', target=status.name, source='itself')

    def _summarize_pools(self) -> None:
        now = self.state.clock.elapsed()
        domain = self.state.settings.domain
        for pool in self.state.plan.pools:
            usable = self.state.targets.usable(pool, domain, now)
            busy = sum(target.load() * target.slots for target in usable)
            slots = sum(target.slots for target in usable)
            self.state.pools.accept(
                PoolSummary(pool, domain, slots, round(busy), now),
            )


async def read_status(state: HostState, target: Target) -> TargetStatus:
    """Request the status of a target.

    Raises:
        ServiceError: If the request fails.
    """
    address = parse_address(target.address)
    head = RequestHead('GET', '/status')
    response = await state.client.fetch(address, head, timeouts=FETCH_TIMEOUTS)
    return decode(response.body, TargetStatus)


def make_report(status: TargetStatus, origin: timedelta) -> Report:
    """Return the report of a status that was requested at ``origin``."""
    return Report(
        status.name,
        status.incarnation,
        status.version,
        status.loaded,
        status.running,
        status.waiting,
        status.slots,
        status.leaving,
        origin,
        Role(status.role),
    )
