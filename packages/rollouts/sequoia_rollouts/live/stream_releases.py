"""Lets a stream begin and go on at one release, at whichever host it is resumed."""

from datetime import timedelta

import curio
from attrs import frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.release_splits import MAX_VIEW_AGE, Bucket, ReleaseSplit
from sequoia_policy.store_clocks import StoreClock
from sequoia_policy.verdicts import Verdict
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.live.live_attempts import RETRY_AFTER, LiveAttempts
from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.targets.release_splits import ReleaseSplits
from sequoia_rollouts.live.stream_records import StreamRecords

log = Log('stream')
RELEASE_FOUND = log.event(
    'release found', 'request_id', 'resumes', 'release', 'source'
)
RELEASE_UNKNOWN = log.event(
    'release unknown', 'request_id', 'resumes', 'detail', kind=LogKind.FAILURE
)


@frozen
class StreamReleases:
    """Finds the release of a stream before it is sent to an engine."""

    store_clock: StoreClock
    splits: ReleaseSplits
    records: StreamRecords

    async def prepare(self, attempts: LiveAttempts) -> None:
        """Set which release a stream may, or should, be sent to.

        Raises:
            ServiceError: As not run, if that is not known.
        """
        if not attempts.route.resumable:
            return
        split = await self.splits.find_or_create(attempts.service)
        if split is None:
            raise make_refusal('the split of the service is not known')
        if attempts.request.is_resumed:
            await self.splits.wait_until_listed()
            attempts.release = await self._find_release(split, attempts)
        else:
            bucket = self._find_bucket(split, attempts)
            attempts.preferred_release = self._choose_release(
                attempts.service, bucket
            )

    async def admit(self, attempts: LiveAttempts, release: str) -> bool:
        """Return whether a stream may begin at a release.

        It is recorded if its id does not tell the release. If it has another
        record or gets none, it is bound to the release of that or of its id.

        Raises:
            ServiceError: As not run, if there is no such release.
        """
        split = self.splits.find(attempts.service)
        if attempts.release or split is None:
            return True
        now = self._read_time()
        bucket = self._find_bucket(split, attempts)
        if self._is_too_new(attempts.service, release):
            unrecorded = bucket.find_unrecorded(now)
            if self._may_begin(attempts.service, unrecorded):
                attempts.release = unrecorded
                return False
        if not bucket.needs_record(release, now):
            return True
        stream_id = attempts.request.outgoing.id
        recorded = await self.records.write(stream_id, release)
        if recorded:
            attempts.release = recorded
            return recorded == release
        unrecorded = bucket.find_unrecorded(now)
        if bucket.needs_record(unrecorded, now):
            raise make_refusal('the release of the stream cannot be stored')
        attempts.release = unrecorded
        return False

    def remember(self, attempts: LiveAttempts, release: str) -> None:
        """Record that the first event of a stream came from a release."""
        if attempts.route.resumable and not attempts.request.is_resumed:
            self.records.remember(attempts.request.outgoing.id, release)

    def _choose_release(self, service: str, bucket: Bucket) -> str:
        """Return the release at which streams of a bucket begin now."""
        is_too_new = self._is_too_new(service, bucket.release)
        if is_too_new and self._may_begin(service, bucket.before):
            return bucket.before
        return bucket.release

    def _is_too_new(self, service: str, release: str) -> bool:
        """Return whether a host that resumes a stream may not know a release."""
        return not self.splits.is_settled(service, release)

    def _may_begin(self, service: str, release: str) -> bool:
        """Return whether streams may begin at a release that hosts know."""
        is_settled = self.splits.is_settled(service, release)
        return is_settled and self.splits.is_served(service, release)

    async def _find_release(
        self, split: ReleaseSplit, attempts: LiveAttempts
    ) -> str:
        origin = attempts.request.resumes
        release, source = self.records.own.get(origin, ''), 'memory'
        if not release:
            release, source = self._find_only_release(split, attempts), 'split'
        if not release:
            release = await self._read_release(split, attempts)
            source = 'store'
        RELEASE_FOUND.write(
            request_id=attempts.request.outgoing.id,
            resumes=origin,
            release=release,
            source=source,
        )
        return release

    def _find_only_release(
        self, split: ReleaseSplit, attempts: LiveAttempts
    ) -> str:
        """Return the release of all streams of a service; empty if unsure."""
        if not self.splits.follower.was_read_within(MAX_VIEW_AGE):
            return ''
        registered = self.splits.directory.registry.find(attempts.service)
        releases = {target.registration.release for target in registered}
        only = split.find_only_release(self._read_time())
        return only if releases <= {only} else ''

    async def _read_release(
        self, split: ReleaseSplit, attempts: LiveAttempts
    ) -> str:
        """Return the release of a stream by its record and its bucket.

        Raises:
            ServiceError: As not run, if it is not known.
        """
        origin = attempts.request.resumes
        if not origin:
            raise self._refuse(attempts, 'nothing tells where it began')
        if not self.splits.follower.was_read_within(MAX_VIEW_AGE):
            raise self._refuse(attempts, 'the splits are not confirmed')
        try:
            recorded = await self.records.read(origin)
        except (ServiceError, curio.TaskTimeout) as failure:
            raise self._refuse(attempts, repr(failure)) from failure
        return recorded or split.find(origin).find_unrecorded(self._read_time())

    def _refuse(self, attempts: LiveAttempts, detail: str) -> ServiceError:
        RELEASE_UNKNOWN.write(
            request_id=attempts.request.outgoing.id,
            resumes=attempts.request.resumes,
            detail=detail,
        )
        return make_refusal('the release of the stream is not known')

    def _find_bucket(
        self, split: ReleaseSplit, attempts: LiveAttempts
    ) -> Bucket:
        return split.find(attempts.request.outgoing.id)

    def _read_time(self) -> timedelta:
        return self.store_clock.read()


def build_stream_releases(
    clock: Clock, directory: Directory, ownership: OwnershipTable
) -> StreamReleases:
    """Create the service and what it reads from the store."""
    store = directory.store
    return StreamReleases(
        ownership.heartbeats.store_clock,
        ReleaseSplits(store, clock, directory, ownership),
        StreamRecords(store, clock, ownership.heartbeats),
    )


def make_refusal(detail: str) -> ServiceError:
    """Return the error for a stream whose release is not known."""
    return ServiceError(
        Code.NOT_READY,
        detail,
        verdict=Verdict.NOT_RUN,
        retry_after=RETRY_AFTER,
    )
