"""Which release of its engines serves a stream, as far as its id tells.

Engines of several releases may serve one service, and a stream goes on only at the
release that began it. Any host has to know that release, also after the host that
began the stream has ended. Each stream belongs to one of a fixed number of buckets
by its id, and a bucket names the release of its streams. Hosts share the buckets.
Only a stream that begins at another release than its bucket tells needs a record of
its own, and for some time after a change of the bucket that is each stream that
begins at the new release.
"""

import zlib
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta

from attrs import field, frozen

BUCKETS = 64
# After which no caller resumes a stream. A stream without a record is taken to be
# of the release before the last change of its bucket for so long.
STREAM_MEMORY = timedelta(seconds=60)
# For which hosts may begin streams as before a change, since they may not know it.
CHANGE_GRACE = timedelta(seconds=10)
# Of a host's view of the buckets, to resume a stream by them.
MAX_VIEW_AGE = timedelta(seconds=3)
# For which no stream begins at a new release, as long as another serves. A host whose
# view is not too old knows the release when a stream of it is resumed.
SETTLING_TIME = MAX_VIEW_AGE + timedelta(milliseconds=500)
CLOCK_ERROR = timedelta(
    seconds=2
)  # between two hosts' views of the store's clock
TOLERANCE = 2  # buckets that a release may have above its share


@frozen
class Bucket:
    """The release of the streams of one bucket.

    Attributes:
        release: Release at which new streams begin.
        before: Release of older streams without a record; empty if there was
            none.
        changed_at: When ``release`` last changed, by the clock of the store.
    """

    release: str
    before: str = ''
    changed_at: timedelta = timedelta()

    def find_unrecorded(self, now: timedelta) -> str:
        """Return the release of the streams that have no record."""
        if self.before and now < self.changed_at + STREAM_MEMORY:
            return self.before
        return self.release

    def needs_record(self, release: str, now: timedelta) -> bool:
        """Return whether a stream that begins at a release needs a record."""
        if not self.before:
            return release != self.release
        if release == self.before and now < self.changed_at + CHANGE_GRACE:
            return False
        is_forgotten = now >= self.changed_at + STREAM_MEMORY + CLOCK_ERROR
        return release != self.release or not is_forgotten

    def change(self, release: str, now: timedelta) -> 'Bucket':
        """Return the bucket with another release for new streams."""
        return Bucket(release, self.find_unrecorded(now), now)


@frozen
class ReleaseSplit:
    """The buckets of a service."""

    buckets: tuple[Bucket, ...] = field()

    @buckets.validator
    def check_buckets(self, _attribute: object, buckets: object) -> None:
        """Check that there is a bucket.

        Raises:
            ValueError: If there is none.
        """
        if not buckets:
            raise ValueError('a split has at least one bucket')

    def find(self, stream_id: str) -> Bucket:
        """Return the bucket of a stream."""
        return self.buckets[zlib.crc32(stream_id.encode()) % len(self.buckets)]

    def find_named_at(self) -> dict[str, timedelta]:
        """Return when each release was first named, by the store's clock.

        It is zero for a release that buckets have named for an unknown time.
        """
        named_at: dict[str, timedelta] = {}
        for bucket in self.buckets:
            if bucket.before:
                named_at[bucket.before] = timedelta()
            known = named_at.get(bucket.release, bucket.changed_at)
            named_at[bucket.release] = min(known, bucket.changed_at)
        return named_at

    def find_only_release(self, now: timedelta) -> str:
        """Return the release of all streams; empty if there are several."""
        releases = {bucket.release for bucket in self.buckets}
        releases |= {bucket.find_unrecorded(now) for bucket in self.buckets}
        return releases.pop() if len(releases) == 1 else ''


def make_split(slots: Mapping[str, int]) -> ReleaseSplit:
    """Return the first split of a service.

    Args:
        slots: Slots of the engines of each release, at least of one.
    """
    releases = [
        release
        for release, count in sorted(share_buckets(slots, BUCKETS).items())
        for _ in range(count)
    ]
    return ReleaseSplit(tuple(Bucket(release) for release in releases))


def update_split(
    split: ReleaseSplit, slots: Mapping[str, int], now: timedelta
) -> ReleaseSplit:
    """Return a split by the slots of each release; the same if it still fits.

    As few buckets as possible change.

    Args:
        split: The split so far.
        slots: Slots of the engines of each release, at least of one.
        now: Time by the clock of the store.
    """
    wanted = share_buckets(slots, len(split.buckets))
    counts = Counter(bucket.release for bucket in split.buckets)
    if all(
        release in wanted and counts[release] <= wanted[release] + TOLERANCE
        for release in counts
    ):
        return split
    buckets = list(split.buckets)
    for position, bucket in enumerate(buckets):
        if counts[bucket.release] > wanted.get(bucket.release, 0):
            release = find_neediest(wanted, counts)
            counts[bucket.release] -= 1
            counts[release] += 1
            buckets[position] = bucket.change(release, now)
    return ReleaseSplit(tuple(buckets))


def find_neediest(wanted: Mapping[str, int], counts: Mapping[str, int]) -> str:
    """Return the release that lacks the most buckets."""
    missing = {
        release: count - counts[release] for release, count in wanted.items()
    }
    return max(sorted(missing), key=missing.__getitem__)


def share_buckets(slots: Mapping[str, int], count: int) -> dict[str, int]:
    """Divide a number of buckets by slots; each release gets at least one.

    Args:
        slots: Slots of the engines of each release.
        count: Number of buckets.
    """
    total = sum(slots.values())
    shares = {
        release: max(1, count * size // total)
        for release, size in slots.items()
    }
    largest = max(sorted(slots), key=lambda release: slots[release])
    shares[largest] += count - sum(shares.values())
    return shares
