"""Queues of the requests that wait for permits of one target."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import curio
from attrs import define, field
from sequoia_policy.permits import Urgency


@define(eq=False)
class PermitQueue:
    """The requests of this host that wait for permits of one target.

    One of them at a time calls the store, and takes permits for all.

    Attributes:
        waiting: Number of waiting requests.
        granted: Number of permits taken and not used.
    """

    lock: curio.Lock = field(factory=curio.Lock)
    waiting: Counter[Urgency] = field(factory=Counter)
    granted: Counter[Urgency] = field(factory=Counter)

    @asynccontextmanager
    async def join(self, urgency: Urgency) -> AsyncIterator[None]:
        """Wait for the turn of a request."""
        self.waiting[urgency] += 1
        try:
            async with self.lock:
                yield
        finally:
            self.waiting[urgency] -= 1
            if not self.waiting[urgency]:
                self.granted[urgency] = 0

    def use_granted(self, urgency: Urgency) -> bool:
        """Use a permit that was taken for the waiting requests, if any."""
        if not self.granted[urgency]:
            return False
        self.granted[urgency] -= 1
        return True
