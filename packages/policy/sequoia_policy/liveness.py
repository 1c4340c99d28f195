"""Failure detection of hosts from the heartbeats in the shared table."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field, frozen

MIN_INTERVAL = timedelta(milliseconds=400)
HEARTBEATS_PER_SECOND = 250  # total of all hosts
MIN_FEED_INTERVAL = timedelta(milliseconds=50)
FEED_READS_PER_SECOND = 1200  # total of all hosts
FEEDS_PER_HOST = 3  # tables that each host follows
INTERVALS_TO_DEATH = 3.5
INTERVALS_OF_LEASE = 2.5  # less than INTERVALS_TO_DEATH
INTERVALS_OF_GAP = 3.0  # after a longer gap in reads, silence is not counted
FORGET_AFTER = timedelta(seconds=60)
ADOPTION_STAGGER = timedelta(milliseconds=200)


@frozen
class Heartbeat:
    """The row that a host rewrites periodically to show that it is alive.

    Attributes:
        host: Name of the host.
        boot: Differs with each start of the host's process.
        count: Increases with each heartbeat.
        draining: Whether the host is shutting down.
        domain: Failure domain of the host.
        address: Address for other hosts; empty if it accepts none.
    """

    host: str
    boot: str
    count: int
    draining: bool = False
    domain: str = ''
    address: str = ''

    @property
    def owner(self) -> str:
        """Name under which this process owns submissions and duties."""
        return name_owner(self.host, self.boot)


@define
class ObservedHeartbeat:
    """The newest heartbeat of a host and when it was first observed."""

    heartbeat: Heartbeat
    observed_at: timedelta


@frozen
class HeartbeatTiming:
    """Intervals and timeouts of heartbeats for a number of hosts.

    The interval grows with the number of hosts, so that heartbeats do not use
    up the write rate of the store.
    """

    hosts: int = 1

    @property
    def interval(self) -> timedelta:
        """Interval between two heartbeats of a host."""
        shared = timedelta(seconds=self.hosts / HEARTBEATS_PER_SECOND)
        return max(MIN_INTERVAL, shared)

    @property
    def feed_interval(self) -> timedelta:
        """Minimum interval between two reads of the changes of a table."""
        reads = self.hosts * FEEDS_PER_HOST
        return max(
            MIN_FEED_INTERVAL,
            timedelta(seconds=reads / FEED_READS_PER_SECOND),
        )

    @property
    def dead_after(self) -> timedelta:
        """Time without a heartbeat after which a host counts as dead."""
        return self.interval * INTERVALS_TO_DEATH

    @property
    def lease_length(self) -> timedelta:
        """Time after a heartbeat during which the host cannot count as dead."""
        return self.interval * INTERVALS_OF_LEASE

    @property
    def max_gap(self) -> timedelta:
        """Maximum time between two reads for silence to be counted."""
        return self.interval * INTERVALS_OF_GAP


def name_owner(host: str, boot: str) -> str:
    """Return the owner name of a process of a host."""
    return f'{host}/{boot}'


@define
class LivenessTable:
    """Newest heartbeats of all hosts, as read by one host.

    Silence counts only while this host can read the table. After a gap in
    reads the timeout restarts for all hosts that were alive before the gap.

    Attributes:
        observed: Newest heartbeats by host.
        last_read: When the table was last read; None if never.
    """

    observed: dict[str, ObservedHeartbeat] = field(factory=dict)
    last_read: timedelta | None = None

    @property
    def timing(self) -> HeartbeatTiming:
        """Timing for the number of known hosts."""
        return HeartbeatTiming(len(self.observed))

    def update(self, heartbeats: Iterable[Heartbeat], now: timedelta) -> None:
        """Apply a full read of the table."""
        if self.last_read is not None:
            if now - self.last_read > self.timing.max_gap:
                self.restart_timeouts(self.last_read, now)
        self.last_read = now
        for heartbeat in heartbeats:
            self.record(heartbeat, now)

    def record(self, heartbeat: Heartbeat, now: timedelta) -> None:
        """Record a heartbeat unless a newer one of the same boot is known."""
        known = self.observed.get(heartbeat.host)
        if known and known.heartbeat.boot == heartbeat.boot:
            if heartbeat.count <= known.heartbeat.count:
                return
        self.observed[heartbeat.host] = ObservedHeartbeat(heartbeat, now)

    def restart_timeouts(self, last_read: timedelta, now: timedelta) -> None:
        """Restart the timeout of hosts that were alive at the last read."""
        for observation in self.observed.values():
            if last_read - observation.observed_at <= self.timing.dead_after:
                observation.observed_at = now

    def is_dead(self, owner: str, now: timedelta) -> bool:
        """Return whether a process, given by its owner name, is dead."""
        host = owner.rpartition('/')[0]
        observation = self.observed.get(host)
        if observation is None:
            return self.last_read is not None
        if observation.heartbeat.owner != owner:
            return True
        return now - observation.observed_at > self.timing.dead_after

    def live_owners(self, now: timedelta) -> list[str]:
        """Return the owner names of live processes that are not draining."""
        return [
            observation.heartbeat.owner
            for observation in self.observed.values()
            if not observation.heartbeat.draining
            and now - observation.observed_at <= self.timing.dead_after
        ]

    def forget(self, host: str) -> None:
        """Remove a host from the table."""
        self.observed.pop(host, None)

    def list_expired(self, now: timedelta) -> list[str]:
        """Return the hosts whose heartbeats can be deleted."""
        return [
            host
            for host, observation in self.observed.items()
            if now - observation.observed_at > FORGET_AFTER
        ]
