"""Splits the platform's call rates among all hosts."""

from datetime import timedelta

from attrs import frozen

MIN_FEED_INTERVAL = timedelta(milliseconds=50)
FEEDS_PER_HOST = 3  # tables that a host follows
FEED_READS_PER_SECOND = 1200  # maximum of all hosts, whatever the store allows
QUARANTINE_READS_PER_SECOND = 400  # of all hosts
MIN_QUARANTINE_INTERVAL = timedelta(milliseconds=500)
FEED_SHARE = 0.6  # of the store's reads; the rest is for results and listings
MIN_HEARTBEAT_INTERVAL = timedelta(milliseconds=400)
PERMIT_SHARE = 0.25  # of the store's writes, for limits that targets name
RECORD_SHARE = 0.25  # of the store's writes, for streams between two releases
HEARTBEAT_SHARE = 0.5  # of the writes of the partition that holds the leases
# Assumed until the number of hosts is known, so that a fleet that starts at
# once does not exceed the rates.
UNKNOWN_FLEET_SIZE = 200
MAX_FLEET_SIZE = 10_000  # a larger number of hosts is an error of its writer


@frozen
class StoreRates:
    """Calls per second that the store accepts from all hosts together.

    Attributes:
        partition_writes: Transactions per second of one partition.
    """

    reads: float = 2000
    partition_writes: float = 150
    writes: float = 800

    def find_feed_interval(self, hosts: int) -> timedelta:
        """Return the minimum time between two reads of a table's changes.

        Args:
            hosts: Number of hosts; 0 if it is unknown.
        """
        reads = estimate_fleet_size(hosts) * FEEDS_PER_HOST
        limit = min(FEED_READS_PER_SECOND, self.reads * FEED_SHARE)
        return max(MIN_FEED_INTERVAL, timedelta(seconds=reads / limit))

    def find_quarantine_interval(self, hosts: int) -> timedelta:
        """Return the minimum time between two reads of crashing requests.

        Args:
            hosts: Number of hosts; 0 if it is unknown.
        """
        reads = estimate_fleet_size(hosts)
        return max(
            MIN_QUARANTINE_INTERVAL,
            timedelta(seconds=reads / QUARANTINE_READS_PER_SECOND),
        )

    def find_permit_rate(self, limits: float, hosts: int) -> float:
        """Return the permit transactions per second that one host may make.

        Usually a few hosts send most requests to limited targets. While the
        limits are small, they bound the transactions of all hosts.

        Args:
            limits: Requests per second that the limited targets take.
            hosts: Number of hosts; 0 if it is unknown.
        """
        total = self.writes * PERMIT_SHARE
        if limits <= total:
            return total
        return total / estimate_fleet_size(hosts)

    def find_record_rate(self, hosts: int) -> float:
        """Return the records of streams per second that one host may write.

        Args:
            hosts: Number of hosts; 0 if it is unknown.
        """
        return self.writes * RECORD_SHARE / estimate_fleet_size(hosts)

    def find_heartbeat_interval(self, leases: int) -> timedelta:
        """Return the interval between two heartbeats of a lease holder."""
        limit = self.partition_writes * HEARTBEAT_SHARE
        return max(MIN_HEARTBEAT_INTERVAL, timedelta(seconds=leases / limit))


def estimate_fleet_size(hosts: int) -> int:
    """Return the number of hosts to share rates among.

    Args:
        hosts: Number of hosts; 0 or less if it is unknown.
    """
    return hosts if hosts > 0 else UNKNOWN_FLEET_SIZE
