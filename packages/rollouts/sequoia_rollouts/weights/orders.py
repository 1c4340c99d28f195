"""Orders an engine to load a version and polls it until the load ends."""

from collections.abc import Callable
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_wire.calls import Timeouts
from sequoia_wire.clients import HttpClient
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import Response, parse_address

from sequoia_rollouts.targets.dialects import (
    EngineReport,
    PreparedCall,
    VersionOrder,
)
from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.storage.notes import EngineNote, write_note
from sequoia_rollouts.targets.senders import CONNECT_TIMEOUT, Sender
from sequoia_rollouts.storage.stores import Store, Transaction

CALL_TIMEOUT = timedelta(milliseconds=700)
EXPECTED_LOAD_TIME = timedelta(milliseconds=950)  # the first poll follows it
LOAD_POLL_INTERVAL = timedelta(milliseconds=150)  # between further polls
ORDER_TIMEOUT = timedelta(seconds=8)
OK = 200
ACCEPTED = 202

log = Log('weights')
ORDER_GIVEN = log.event(
    'order given', 'target', 'model', 'version', 'fence', 'expected', 'status'
)
NOTE_NOT_WRITTEN = log.event(
    'note not written', 'target', 'detail', kind=LogKind.FAILURE
)


@frozen
class DesiredVersion:
    """A version that an engine should load."""

    model: str
    version: int


@frozen
class OrderPermit:
    """Authority under which a host sends an order.

    Attributes:
        holder: Name of the host.
        fence: Grows with each host that acquires the duty.
        keep_running: Whether runs may continue under the new version.
        is_valid: Returns whether the host still owns the duty.
    """

    holder: str
    fence: int
    keep_running: bool
    is_valid: Callable[[], bool] = field(repr=False)


@define
class OrderSender:
    """Sends orders to engines and announces them to all hosts."""

    clock: Clock
    directory: Directory
    sender: Sender
    store: Store

    async def update_engine(
        self,
        target: RegisteredTarget,
        desired: DesiredVersion,
        permit: OrderPermit,
    ) -> None:
        """Order an engine to load a version and wait until the load ends.

        Raises:
            ServiceError: If the engine does not respond or refuses.
        """
        report = await self._read_report(target, desired)
        if report.version_of(desired.model) >= desired.version:
            return
        if not report.busy and not target.is_leaving and permit.is_valid():
            await self._announce(target, desired, loading=True)
            if not permit.is_valid():
                return  # lost while it was announced
            await self._send_order(target, desired, permit, report)
        report = await self._wait_for_load(target, desired)
        loaded = DesiredVersion(desired.model, report.version_of(desired.model))
        await self._announce(target, loaded, loading=False)

    async def _wait_for_load(
        self,
        target: RegisteredTarget,
        desired: DesiredVersion,
    ) -> EngineReport:
        """Poll an engine until its order ends or ``ORDER_TIMEOUT`` has elapsed.

        Returns:
            The newest report.
        """
        deadline = self.clock.elapsed() + ORDER_TIMEOUT
        await curio.sleep(EXPECTED_LOAD_TIME.total_seconds())
        report = await self._read_report(target, desired)
        while report.busy and self.clock.elapsed() < deadline:
            await curio.sleep(LOAD_POLL_INTERVAL.total_seconds())
            report = await self._read_report(target, desired)
        return report

    async def _announce(
        self,
        target: RegisteredTarget,
        announced: DesiredVersion,
        *,
        loading: bool,
    ) -> None:
        """Announce to all hosts that an engine starts or has ended a load.

        The note only helps to choose engines, so its loss is harmless.
        """
        note = EngineNote(announced.model, announced.version, loading)
        self.directory.apply_engine_note(target.name, note)
        transaction = Transaction((write_note(target.name, note),))
        try:
            await self.store.commit(transaction)
        except ServiceError as failure:
            NOTE_NOT_WRITTEN.write(
                target=target.name,
                detail=failure.detail,
            )

    async def _send_order(
        self,
        target: RegisteredTarget,
        desired: DesiredVersion,
        permit: OrderPermit,
        report: EngineReport,
    ) -> None:
        order = VersionOrder(
            target=target.name,
            model=desired.model,
            version=desired.version,
            keep_running=permit.keep_running,
            holder=permit.holder,
            fence=permit.fence,
            expected=report.orders,
        )
        response = await self._call(
            self.sender.order_client,
            target,
            self.sender.dialect.prepare_order(order),
        )
        ORDER_GIVEN.write(
            target=target.name,
            model=desired.model,
            version=desired.version,
            fence=permit.fence,
            expected=report.orders,
            status=response.status,
        )
        if response.status not in {OK, ACCEPTED}:
            raise ServiceError(
                Code.TARGET_REFUSED,
                f'order refused with status {response.status}',
            )

    async def _read_report(
        self,
        target: RegisteredTarget,
        desired: DesiredVersion,
    ) -> EngineReport:
        response = await self._call(
            self.sender.report_client,
            target,
            self.sender.dialect.prepare_report(target.name),
        )
        if response.status != OK:
            raise ServiceError(
                Code.TARGET_REFUSED,
                f'report request refused with status {response.status}',
            )
        report = self.sender.dialect.read_report(response.body)
        target.record_version(desired.model, report.version_of(desired.model))
        return report

    async def _call(
        self, client: HttpClient, target: RegisteredTarget, call: PreparedCall
    ) -> Response:
        address = parse_address(target.registration.address)
        timeouts = Timeouts(CONNECT_TIMEOUT, CALL_TIMEOUT)
        response = await client.fetch(
            address,
            call.head,
            call.body,
            timeouts,
        )
        labels = self.sender.dialect.read_labels(response.head)
        self.sender.check_leaving(target, response.head, labels)
        return response
