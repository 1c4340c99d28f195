"""Adopts submissions without a live owner."""

from datetime import timedelta

import curio
from attrs import frozen
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.fleet.ownership import OwnershipTable

ADOPTION_INTERVAL = timedelta(milliseconds=50)

log = Log('owner')
SUBMISSION_ADOPTED = log.event('submission adopted', 'submission', 'before')
NOT_ADOPTED = log.event(
    'not adopted', 'submission', 'detail', kind=LogKind.FAILURE
)


@frozen
class Adopter:
    """Makes this host the owner of submissions without a live one."""

    ownership: OwnershipTable

    async def run(self) -> None:
        """Adopt until cancelled."""
        while True:
            await curio.sleep(ADOPTION_INTERVAL.total_seconds())
            for submission_id in self._find_adoptable():
                await self._adopt(submission_id)

    def _find_adoptable(self) -> list[str]:
        turns = self.ownership.turns
        adoptable = []
        for submission_id, owned in self.ownership.submissions.items():
            unowned = turns.is_unowned(owned.ownership.owner)
            if owned.ownership.ended or not unowned:
                turns.record_owned(submission_id)
            elif turns.has_come(submission_id):
                adoptable.append(submission_id)
        return adoptable

    async def _adopt(self, submission_id: str) -> None:
        owned = self.ownership.submissions.get(submission_id)
        if owned is None:
            return  # removed while others were adopted
        try:
            changed = await self.ownership.change_owner(
                owned, self.ownership.heartbeats.owner
            )
        except ServiceError as failure:
            NOT_ADOPTED.write(submission=submission_id, detail=failure.detail)
            return
        if changed:
            SUBMISSION_ADOPTED.write(
                submission=submission_id,
                before=owned.ownership.owner,
            )
