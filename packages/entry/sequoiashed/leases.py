"""The leases of the platform table as this host last read them."""

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
class LeaseStore:
    """Caches leases as last observed, and writes leases conditionally."""

    state: HostState
    observed: dict[str, ObservedLease] = field(factory=dict)

    def record_row(
        self, duty: str, row: Row | None, requested_at: timedelta
    ) -> None:
        """Record the row of a lease, as read at or after ``requested_at``."""
        previous = self.observed.get(duty)
        revision = row.revision if row else ABSENT
        if previous and previous.revision == revision:
            return
        lease = decode(row.body.encode(), Lease) if row else Lease(duty)
        self.observed[duty] = ObservedLease(lease, revision, requested_at)

    async def write(self, lease: Lease) -> bool:
        """Write a lease if its row is unchanged; return whether it was written."""
        write = RowWrite(
            lease_key(lease.duty),
            self.observed[lease.duty].revision,
            encode(lease).decode(),
        )
        try:
            response = await self.state.store.commit(write)
        except ServiceError as error:
            self.state.metrics.store_errors.labels('lease').inc()
            log.write(
                'failed to write the lease',
                duty=lease.duty,
                detail=error.detail,
            )
            return False
        row = response.rows[0]
        current = row if row.body else None
        self.record_row(lease.duty, current, self.state.clock.elapsed())
        return response.committed
