"""Which hosts live, judged by the heartbeats that they leave in the table."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field, frozen

SHORTEST_PERIOD = timedelta(milliseconds=400)
HEARTBEATS_PER_SECOND = 250  # of all hosts together
SHORTEST_FEED_PERIOD = timedelta(milliseconds=50)
FEED_READS_PER_SECOND = 1200  # of all hosts together
FEEDS = 3  # tables that each host follows
PERIODS_TO_DEATH = 3.5
PERIODS_OF_LEASE = 2.5  # fewer than to death
PERIODS_OF_GAP = 3.0  # between two reads that count
FORGET_AFTER = timedelta(seconds=60)
ADOPTION_STEP = timedelta(milliseconds=200)


@frozen
class Heartbeat:
    """What a host writes to show that it lives.

    Attributes:
        host: Name of the host.
        boot: Differs with each start of the host's process.
        count: Grows with each heartbeat.
        draining: Whether the host is about to stop.
        domain: Failure domain of the host.
        address: Where other hosts reach it; empty if nowhere.
    """

    host: str
    boot: str
    count: int
    draining: bool = False
    domain: str = ''
    address: str = ''

    @property
    def owner(self) -> str:
        """The name under which this process owns things."""
        return name_owner(self.host, self.boot)


@define
class ObservedHeartbeat:
    """The newest heartbeat of a host and when it was first read."""

    heartbeat: Heartbeat
    since: timedelta


@frozen
class HeartbeatTiming:
    """How often hosts show that they live, and how long that holds.

    The more hosts there are the less often each writes, so that the store's
    rate of writes is not used up by heartbeats.
    """

    hosts: int = 1

    @property
    def period(self) -> timedelta:
        """Time between two heartbeats of a host."""
        shared = timedelta(seconds=self.hosts / HEARTBEATS_PER_SECOND)
        return max(SHORTEST_PERIOD, shared)

    @property
    def feed_period(self) -> timedelta:
        """Shortest time between two reads of the changes of a table."""
        reads = self.hosts * FEEDS
        return max(
            SHORTEST_FEED_PERIOD,
            timedelta(seconds=reads / FEED_READS_PER_SECOND),
        )

    @property
    def dead_after(self) -> timedelta:
        """Silence after which a host counts as dead."""
        return self.period * PERIODS_TO_DEATH

    @property
    def lease(self) -> timedelta:
        """Time from a heartbeat for which no host can count as dead."""
        return self.period * PERIODS_OF_LEASE

    @property
    def longest_gap(self) -> timedelta:
        """Time between two reads that count as one span."""
        return self.period * PERIODS_OF_GAP


def name_owner(host: str, boot: str) -> str:
    """Return the name of one process of a host."""
    return f'{host}/{boot}'


@define
class LivenessTable:
    """All heartbeats, as one host reads them.

    Time counts against a host only while this one reads the table: after a
    gap all hosts that lived before it have their full time again.
    """

    observed: dict[str, ObservedHeartbeat] = field(factory=dict)
    last_read: timedelta | None = None

    @property
    def timing(self) -> HeartbeatTiming:
        """How often heartbeats come with as many hosts as are known."""
        return HeartbeatTiming(len(self.observed))

    def update(self, heartbeats: Iterable[Heartbeat], now: timedelta) -> None:
        """Take a whole reading of the table."""
        if self.last_read is not None:
            if now - self.last_read > self.timing.longest_gap:
                self.restart(self.last_read, now)
        self.last_read = now
        for heartbeat in heartbeats:
            self.record(heartbeat, now)

    def record(self, heartbeat: Heartbeat, now: timedelta) -> None:
        """Take one heartbeat; older ones of the same boot count nothing."""
        known = self.observed.get(heartbeat.host)
        if known and known.heartbeat.boot == heartbeat.boot:
            if heartbeat.count <= known.heartbeat.count:
                return
        self.observed[heartbeat.host] = ObservedHeartbeat(heartbeat, now)

    def restart(self, last_read: timedelta, now: timedelta) -> None:
        """Give the hosts that lived at the last read their full time again."""
        for sighting in self.observed.values():
            if last_read - sighting.since <= self.timing.dead_after:
                sighting.since = now

    def is_dead(self, owner: str, now: timedelta) -> bool:
        """Tell whether the process called ``owner`` lives no more."""
        host = owner.rpartition('/')[0]
        sighting = self.observed.get(host)
        if sighting is None:
            return self.last_read is not None
        if sighting.heartbeat.owner != owner:
            return True
        return now - sighting.since > self.timing.dead_after

    def live_owners(self, now: timedelta) -> list[str]:
        """Return the processes that live and are not about to stop."""
        return [
            sighting.heartbeat.owner
            for sighting in self.observed.values()
            if not sighting.heartbeat.draining
            and now - sighting.since <= self.timing.dead_after
        ]

    def forget(self, host: str) -> None:
        """Forget a host."""
        self.observed.pop(host, None)

    def list_expired(self, now: timedelta) -> list[str]:
        """Return the hosts whose heartbeats can be removed."""
        return [
            host
            for host, sighting in self.observed.items()
            if now - sighting.since > FORGET_AFTER
        ]
