"""Decides which client accounts may use a submission."""

from attrs import define, field
from boltons.cacheutils import LRU
from sequoia_policy.errors import Code, ServiceError
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.fleet.ownership import OwnedSubmission, OwnershipTable
from sequoia_rollouts.submissions.archives import Archive

MAX_REMEMBERED = 4096  # submissions

log = Log('account')
FOREIGN_SUBMISSION = log.event(
    'submission of another account',
    'submission',
    'account',
    'code',
    kind=LogKind.FAILURE,
)


@define
class SubmissionAccess:
    """Compares the account of a call with that of a submission.

    A submission without an account is open to all callers: it was accepted
    through a public route, or before there were accounts.

    Attributes:
        accounts: Names of accounts by submission.
    """

    ownership: OwnershipTable
    archive: Archive
    accounts: LRU = field(factory=lambda: LRU(MAX_REMEMBERED))

    async def check(self, owned: OwnedSubmission, account: str | None) -> None:
        """Check that an account may use a submission.

        Args:
            owned: The submission.
            account: Name of the account, empty for a call without one; None if
                callers need no keys.

        Raises:
            ServiceError: With code UNKNOWN_STEP if it may not: the caller
                learns nothing of the submission. With another code if the store
                does not respond.
        """
        if account is None:
            return
        owner = await self._find_account(owned)
        if owner in {'', account}:
            return
        # An unknown submission is denied after a read of the store only.
        await self.ownership.read(owned.id)
        FOREIGN_SUBMISSION.write(
            submission=owned.id, account=account, code='foreign_submission'
        )
        raise ServiceError(Code.UNKNOWN_STEP, owned.id)

    async def _find_account(self, owned: OwnedSubmission) -> str:
        """Return the account of a submission, empty if it has none.

        A build without accounts drops the name when it rewrites the ownership;
        the specification is never rewritten.
        """
        known = owned.ownership.account or self.accounts.get(owned.id)
        if known is None:
            submission = await self.archive.read_submission(owned.id)
            known = submission.account
        self.accounts[owned.id] = known
        return known
