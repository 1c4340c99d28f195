"""Interface to the API of the platform, which one host calls at a time."""

from collections.abc import Mapping
from typing import Protocol

from attrs import frozen


@frozen
class DutyPermit:
    """Authority under which a host calls the API.

    Attributes:
        holder: Name of the host.
        fence: Grows with each host that acquires the duty.
    """

    holder: str
    fence: int


@frozen
class UsageReport:
    """What the requests of client accounts began to run in one window.

    Attributes:
        window: Number of the window.
        counts: Requests by name of the client account.
    """

    window: int
    counts: Mapping[str, int]


@frozen
class CapacityOrder:
    """The number of targets that a service should have in a failure domain.

    Attributes:
        reclaimable: Whether it is the number of the cheaper targets, which the
            platform may take away with short notice.
    """

    service: str
    domain: str
    count: int
    reclaimable: bool = False


class PlatformApi(Protocol):
    """Calls of the API; a call without a response may still be carried out."""

    async def report_usage(
        self, report: UsageReport, permit: DutyPermit
    ) -> None:
        """Report the usage of a window.

        Raises:
            ServiceError: If the API did not accept it; with code
                STORE_CONFLICT if it has seen a higher fencing token. The
                verdict is NOT_RUN only if it was not carried out.
        """

    async def order_targets(
        self, order: CapacityOrder, permit: DutyPermit
    ) -> None:
        """Order a number of targets.

        Raises:
            ServiceError: If the API did not accept it; with code
                STORE_CONFLICT if it has seen a higher fencing token or has no
                such targets. The verdict is NOT_RUN only if it was not carried
                out.
        """
