"""Accepts submissions, runs those of this host, and ends them."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

import curio
from attrs import define, evolve, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.submissions import Ownership, Submission
from sequoia_policy.verdicts import Verdict
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.submissions.access import SubmissionAccess
from sequoia_rollouts.submissions.acceptances import (
    ACCEPT_TIMEOUT,
    AcceptanceWriter,
)
from sequoia_rollouts.submissions.adoptions import Adopter
from sequoia_rollouts.submissions.archives import Archive, StoredSubmission
from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.submissions.dependencies import RunnerDependencies
from sequoia_rollouts.fleet.ownership import OwnedSubmission, OwnershipTable
from sequoia_rollouts.submissions.recorders import Recorder
from sequoia_rollouts.submissions.runners import Acceptance, SubmissionRunner
from sequoia_rollouts.storage.stores import (
    RETRY_AFTER,
    Committer,
    ConflictError,
    Guard,
    Store,
    Transaction,
)
from sequoia_rollouts.storage.tables import (
    submission_key,
    write_ownership,
    write_specification,
)

END_TIMEOUT = timedelta(milliseconds=2500)
START_BACKOFF = timedelta(milliseconds=200)

log = Log('submission')
SUBMISSION_ACCEPTED = log.event(
    'submission accepted', 'submission', 'items', 'step', 'owner'
)
SUBMISSION_ENDED = log.event('submission ended', 'submission')
CANNOT_START_YET = log.event(
    'cannot start yet', 'submission', 'detail', kind=LogKind.FAILURE
)


@define
class SubmissionHandler:
    """Accepts submissions, runs those that this host owns, and ends them.

    Attributes:
        may_start_items: Returns whether this host keeps its work. While it gives
            its submissions to other hosts, it starts no further items.
        runners: Runners of the submissions that run on this host, by id.
        starting: Ids of the submissions whose runner is being started.
    """

    store: Store
    clock: Clock
    directory: Directory
    dependencies: RunnerDependencies
    ownership: OwnershipTable
    may_start_items: Callable[[], bool]
    runners: dict[str, SubmissionRunner] = field(factory=dict)
    starting: set[str] = field(factory=set)
    archive: Archive = field(init=False)
    access: SubmissionAccess = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the archive on the same store."""
        self.archive = Archive(self.store)
        self.access = SubmissionAccess(self.ownership, self.archive)

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """What must run for submissions to change hosts."""
        return self.ownership.follower.run, Adopter(self.ownership).run

    async def accept(self, submission: Submission) -> None:
        """Store a submission; return once it is durable.

        Raises:
            ServiceError: If the submission could not be stored; the verdict is
                NOT_RUN only if none of its items will run.
        """
        if submission.id in self.ownership.submissions:
            await self._check_same_account(submission)
            return
        owned = await self._store_submission(submission)
        if owned is None:
            await self._check_same_account(submission)
            return
        await self.ownership.record(owned)
        SUBMISSION_ACCEPTED.write(
            submission=submission.id,
            items=len(submission.items),
            step=submission.step,
            owner=owned.ownership.owner,
        )

    async def end(self, submission_id: str, account: str | None = None) -> None:
        """End a submission; return once the store has recorded it.

        Args:
            submission_id: The submission.
            account: Client account of the caller, empty for a caller without
                one; None if callers need no keys.

        Raises:
            ServiceError: If the store did not record it, or with code
                UNKNOWN_STEP if the submission is not the account's.
        """
        deadline = self.clock.elapsed() + END_TIMEOUT
        owned = await self.find(submission_id)
        await self.access.check(owned, account)
        while not owned.ownership.ended:
            ended = evolve(owned.ownership, ended=True)
            owned = await self._write_end(owned, ended, deadline)

    async def find(self, submission_id: str) -> OwnedSubmission:
        """Return a submission's ownership, from the store if not known here."""
        known = self.ownership.submissions.get(submission_id)
        if known:
            return known
        known = await self.ownership.read(submission_id)
        if known is None:
            raise ServiceError(Code.UNKNOWN_STEP, submission_id)
        return known

    async def apply_ownership_change(self, owned: OwnedSubmission) -> None:
        """Start or stop the runner of a submission whose ownership changed."""
        runner = self.runners.get(owned.id)
        owned_here = owned.ownership.owner == self.ownership.heartbeats.owner
        if owned.ownership.ended or not owned_here:
            if runner:
                self.runners.pop(owned.id, None)
                await runner.stop()
        elif runner:
            runner.recorder.version = owned.version
        elif owned.id not in self.starting:
            self.starting.add(owned.id)
            await curio.spawn(self._start, owned, daemon=True)

    async def _start(self, owned: OwnedSubmission) -> None:
        try:
            while not await self._try_start(owned.id):
                await curio.sleep(START_BACKOFF.total_seconds())
        finally:
            self.starting.discard(owned.id)

    async def _try_start(self, submission_id: str) -> bool:
        """Start a submission unless its ownership was lost in the meantime.

        Returns:
            Whether the start is finished; False if the store could not be
            read, so that the start must be retried.
        """
        if not self.ownership.is_owned_here(submission_id):
            return True
        try:
            stored = await self.archive.read_stored_submission(submission_id)
        except ServiceError as failure:
            CANNOT_START_YET.write(
                submission=submission_id,
                detail=failure.detail,
            )
            return False
        if self.ownership.is_owned_here(submission_id):
            await self._run(stored)
        return True

    async def _run(self, stored: StoredSubmission) -> None:
        submission = stored.submission
        owned = self.ownership.submissions[submission.id]
        recorder = Recorder(
            Committer(self.store, self.clock),
            submission,
            owned.version,
            self.ownership.resolve_conflict,
            list(stored.results),
        )
        age = stored.now - owned.ownership.accepted
        acceptance = Acceptance(
            self.clock.elapsed() - age,
            owned.ownership.configuration_version,
        )
        runner = SubmissionRunner(
            self.dependencies,
            submission,
            recorder,
            acceptance,
            stored.generations,
            is_confirmed=self.ownership.is_confirmed,
            count_later_steps=partial(self._count_later_steps, submission),
            may_start_items=self.may_start_items,
        )
        self.runners[submission.id] = runner
        await runner.start()

    def _count_later_steps(self, submission: Submission) -> int:
        """Return how many later steps of a model must wait for one.

        A step that is late already delays no other.
        """
        later = sum(
            other.submission.model == submission.model
            and other.submission.step > submission.step
            for other in self.runners.values()
        )
        runner = self.runners.get(submission.id)
        if later and runner and not runner.is_late:
            return later
        return 0

    async def _check_same_account(self, submission: Submission) -> None:
        """Check that a stored submission is of the account that sends it.

        Raises:
            ServiceError: With code NOT_READY if another account uses its id; the
                verdict is NOT_RUN only then.
        """
        if self.directory.configuration.accounts is None:
            return
        try:
            owned = await self.find(submission.id)
            await self.access.check(owned, submission.account)
        except ServiceError as failure:
            is_foreign = failure.code is Code.UNKNOWN_STEP
            raise ServiceError(
                Code.NOT_READY,
                failure.detail,
                verdict=Verdict.NOT_RUN if is_foreign else Verdict.MAY_HAVE_RUN,
                retry_after=RETRY_AFTER,
            ) from failure

    async def _store_submission(
        self, submission: Submission
    ) -> OwnedSubmission | None:
        """Store a new submission; return None if it was already stored."""
        await self.ownership.heartbeats.refresh()
        specification = write_specification(submission)
        ownership = Ownership(
            self.ownership.choose_owner(submission.model or submission.path),
            len(submission.items),
            len(specification),
            accepted=self.ownership.heartbeats.store_clock.read(),
            model=submission.model,
            min_version=submission.min_version,
            newest_version=self.directory.newest_version(submission.model),
            configuration_version=self.directory.configuration.version,
            account=submission.account,
        )
        writer = AcceptanceWriter(
            self.clock,
            Committer(self.store, self.clock),
            submission,
            ownership,
            specification,
            self.clock.elapsed() + ACCEPT_TIMEOUT,
        )
        version = await writer.write()
        if version is None:
            return None
        return OwnedSubmission(submission.id, ownership, version)

    async def _write_end(
        self,
        owned: OwnedSubmission,
        ended: Ownership,
        deadline: timedelta,
    ) -> OwnedSubmission:
        transaction = Transaction(
            (write_ownership(owned.id, ended),),
            (Guard(submission_key(owned.id), owned.version),),
        )
        committer = Committer(self.store, self.clock)
        remaining = deadline - self.clock.elapsed()
        try:
            version = await committer.commit(transaction, remaining)
        except ConflictError as conflict:
            known = await self.ownership.resolve_conflict(owned.id, conflict)
            if known is None:
                raise ServiceError(Code.UNKNOWN_STEP, owned.id) from conflict
            return known
        changed = OwnedSubmission(owned.id, ended, version)
        await self.ownership.record(changed)
        SUBMISSION_ENDED.write(submission=owned.id)
        return changed
