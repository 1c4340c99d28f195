"""Failure detection of coordinators from the heartbeats in their leases."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field, frozen

from sequoia_policy.rates import MIN_HEARTBEAT_INTERVAL

INTERVALS_TO_DEATH = 3.5
INTERVALS_OF_LEASE = 2.5  # less than INTERVALS_TO_DEATH
INTERVALS_OF_GAP = 3.0  # after a longer gap in reads, silence is not counted
OBSERVER_READ_INTERVAL = timedelta(seconds=2)
# An observer counts a host as dead only after two reads without a heartbeat.
OBSERVER_READS_TO_DEATH = 1.75
OBSERVER_READS_OF_GAP = 1.5
FORGET_AFTER = timedelta(seconds=60)
ADOPTION_STAGGER = timedelta(milliseconds=200)


@frozen
class Heartbeat:
    """What a host writes periodically into its lease to show that it is alive.

    Attributes:
        host: Name of the host.
        boot: Differs with each start of the host's process.
        count: Increases with each heartbeat.
        draining: Whether the host is shutting down.
        domain: Failure domain of the host.
        address: Address for other hosts; empty if it accepts none.
        previous: The ``boot`` of the process of the same host from which this
            one took over the lease; empty if there was none.
        hosts: Number of hosts of the failure domain; 0 if not counted yet.
        wall_ahead: Seconds by which the host's wall clock is ahead of the
            store's clock; None where no part needs it.
    """

    host: str
    boot: str
    count: int
    draining: bool = False
    domain: str = ''
    address: str = ''
    previous: str = ''
    hosts: int = 0
    wall_ahead: float | None = None

    @property
    def owner(self) -> str:
        """Name under which this process owns submissions and duties."""
        return name_owner(self.host, self.boot)


NO_HEARTBEAT = Heartbeat('', '', 0)  # of a lease that nobody renews


@define
class ObservedHeartbeat:
    """The newest heartbeat of a host and when it was first observed.

    Attributes:
        replaced: Earlier boots of the host, which have ended.
    """

    heartbeat: Heartbeat
    observed_at: timedelta
    replaced: frozenset[str] = frozenset()


@frozen
class LivenessTiming:
    """Intervals and timeouts of failure detection.

    Attributes:
        interval: Interval between two heartbeats of a lease holder.
        observes_only: Whether this host holds no lease and reads seldom.
    """

    interval: timedelta = MIN_HEARTBEAT_INTERVAL
    observes_only: bool = False

    @property
    def read_interval(self) -> timedelta:
        """Interval between two reads of all leases."""
        return OBSERVER_READ_INTERVAL if self.observes_only else self.interval

    @property
    def dead_after(self) -> timedelta:
        """Time without a heartbeat after which a host counts as dead."""
        silence = self.interval * INTERVALS_TO_DEATH
        if self.observes_only:
            reads = OBSERVER_READ_INTERVAL * OBSERVER_READS_TO_DEATH
            return max(silence, reads)
        return silence

    @property
    def lease_length(self) -> timedelta:
        """Time after a heartbeat during which the host cannot count as dead."""
        return self.interval * INTERVALS_OF_LEASE

    @property
    def max_gap(self) -> timedelta:
        """Maximum time between two reads for silence to be counted."""
        gap = self.interval * INTERVALS_OF_GAP
        if self.observes_only:
            return max(gap, OBSERVER_READ_INTERVAL * OBSERVER_READS_OF_GAP)
        return gap


def name_owner(host: str, boot: str) -> str:
    """Return the owner name of a process of a host."""
    return f'{host}/{boot}'


@define
class LivenessTable:
    """Newest heartbeats of all lease holders, as read by one host.

    Silence counts only while this host can read the leases: up to one read
    interval after its last read. After a gap in reads the timeout restarts for
    all hosts that were alive before the gap. A process without a lease counts as dead only after the same timeout: it may
    have started after the last read.

    Attributes:
        observed: Newest heartbeats by host.
        missing_since: When a process without a lease was first asked for, by
            owner name.
        last_read: When the leases were last read; None if never.
    """

    timing: LivenessTiming = LivenessTiming(observes_only=True)
    observed: dict[str, ObservedHeartbeat] = field(factory=dict)
    missing_since: dict[str, timedelta] = field(factory=dict)
    last_read: timedelta | None = None

    def set_role(self, timing: LivenessTiming, now: timedelta) -> None:
        """Change the timing; timeouts restart for all hosts that are alive."""
        if timing == self.timing:
            return
        if self.last_read is not None:
            self._restart_timeouts(self.last_read, now)
        self.timing = timing

    def update(self, heartbeats: Iterable[Heartbeat], now: timedelta) -> None:
        """Apply a full read of the leases."""
        if self.last_read is not None:
            if now - self.last_read > self.timing.max_gap:
                self._restart_timeouts(self.last_read, now)
        self.last_read = now
        for heartbeat in heartbeats:
            if heartbeat != NO_HEARTBEAT:
                self.record(heartbeat, now)
        self._forget_expired(now)

    def record(self, heartbeat: Heartbeat, now: timedelta) -> None:
        """Record a heartbeat unless a newer one of the same boot is known."""
        known = self.observed.get(heartbeat.host)
        replaced = {heartbeat.previous}
        if known:
            if heartbeat.boot in known.replaced:
                return
            replaced |= known.replaced
            if known.heartbeat.boot != heartbeat.boot:
                replaced.add(known.heartbeat.boot)
            elif heartbeat.count <= known.heartbeat.count:
                return
        self.missing_since.pop(heartbeat.owner, None)
        self.observed[heartbeat.host] = ObservedHeartbeat(
            heartbeat, now, frozenset(replaced - {''})
        )

    def is_dead(self, owner: str, now: timedelta) -> bool:
        """Return whether a process, given by its owner name, is dead."""
        host, _separator, boot = owner.rpartition('/')
        observation = self.observed.get(host)
        if observation is not None:
            if observation.heartbeat.boot == boot:
                return self._is_silent(observation, now)
            if boot in observation.replaced:
                return True
        return self._is_missing(owner, now)

    def live_owners(self, now: timedelta) -> list[str]:
        """Return the owner names of live processes that are not draining."""
        return [
            observation.heartbeat.owner
            for observation in self.observed.values()
            if not observation.heartbeat.draining
            and not self._is_silent(observation, now)
        ]

    def _is_silent(
        self, observation: ObservedHeartbeat, now: timedelta
    ) -> bool:
        return (
            self._end_of_silence(now) - observation.observed_at
            > self.timing.dead_after
        )

    def _is_missing(self, owner: str, now: timedelta) -> bool:
        if self.last_read is None:
            return False
        since = self.missing_since.setdefault(owner, now)
        return self._end_of_silence(now) - since > self.timing.dead_after

    def _end_of_silence(self, now: timedelta) -> timedelta:
        """Return the time up to which silence counts."""
        if self.last_read is None:
            return now
        return min(now, self.last_read + self.timing.read_interval)

    def _restart_timeouts(self, last_read: timedelta, now: timedelta) -> None:
        """Restart the timeouts of hosts that were alive at the last read."""
        for observation in self.observed.values():
            if not self._is_silent(observation, last_read):
                observation.observed_at = now
        for owner, since in self.missing_since.items():
            if last_read - since <= self.timing.dead_after:
                self.missing_since[owner] = now

    def _forget_expired(self, now: timedelta) -> None:
        expired = [
            host
            for host, observation in self.observed.items()
            if now - observation.observed_at > FORGET_AFTER
        ]
        for host in expired:
            self.observed.pop(host)
        forgotten = [
            owner
            for owner, since in self.missing_since.items()
            if now - since > FORGET_AFTER
        ]
        for owner in forgotten:
            self.missing_since.pop(owner)
