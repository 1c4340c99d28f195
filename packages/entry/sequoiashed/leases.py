"""The leases of the platform's table as this host last saw them."""

from datetime import timedelta

from attrs import define, field
from sequoia_policy.errors import ServiceError
from sequoia_policy.leases import Lease, ObservedLease
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import (
    ABSENT,
    Row,
    RowWrite,
)
from sequoia_wire.rows import lease_key

from sequoiashed.states import HostState

log = Log('lease')


@define
class LeaseBook:
    """Keeps sightings of leases, and writes leases conditionally."""

    state: HostState
    observed: dict[str, ObservedLease] = field(factory=dict)

    def see(self, duty: str, row: Row | None, asked: timedelta) -> None:
        """Take the row of a lease, as read at or after ``asked``."""
        known = self.observed.get(duty)
        revision = row.revision if row else ABSENT
        if known and known.revision == revision:
            return
        lease = decode(row.body.encode(), Lease) if row else Lease(duty)
        self.observed[duty] = ObservedLease(lease, revision, asked)

    async def write(self, lease: Lease) -> bool:
        """Write a lease if its row is as last seen; tell whether it was."""
        write = RowWrite(
            lease_key(lease.duty),
            self.observed[lease.duty].revision,
            encode(lease).decode(),
        )
        try:
            answer = await self.state.store.commit(write)
        except ServiceError as failure:
            self.state.metrics.store_errors.labels('lease').inc()
            log.write('not written', duty=lease.duty, detail=failure.detail)
            return False
        row = answer.rows[0]
        seen = row if row.body else None
        self.see(lease.duty, seen, self.state.clock.elapsed())
        return answer.committed
