"""Orders one engine to a version, and watches it until it holds it."""

from collections.abc import Callable
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_wire.clients import Timeouts
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import Response, parse_address

from sequoia_rollouts.dialects import (
    EngineReport,
    PreparedCall,
    VersionOrder,
)
from sequoia_rollouts.directories import Directory
from sequoia_rollouts.notes import EngineNote, write_note
from sequoia_rollouts.senders import CONNECT_TIMEOUT, Sender
from sequoia_rollouts.stores import Store, Transaction

CALL_PATIENCE = timedelta(milliseconds=700)
LOAD_TIME = timedelta(milliseconds=950)  # before the first look at a load
LOAD_LOOK = timedelta(milliseconds=150)  # between later looks
ORDER_LIMIT = timedelta(seconds=8)  # after which an order is given up
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
class Wanted:
    """A version that an engine should move to."""

    model: str
    version: int


@frozen
class OrderPermit:
    """Under which right a host gives an order.

    Attributes:
        holder: Name of the host.
        fence: Grows with each host that takes the duty.
        keep_running: Whether runs may go on under the new version.
        is_valid: Tells whether the host still has the duty.
    """

    holder: str
    fence: int
    keep_running: bool
    is_valid: Callable[[], bool] = field(repr=False)


@define
class OrderSender:
    """Gives orders to engines and tells all hosts of them."""

    clock: Clock
    directory: Directory
    sender: Sender
    store: Store

    async def move(
        self,
        target: RegisteredTarget,
        wanted: Wanted,
        permit: OrderPermit,
    ) -> None:
        """Order an engine to a version and wait until it holds it.

        Raises:
            ServiceError: If the engine does not answer or refuses.
        """
        report = await self._read_report(target, wanted)
        if report.version_of(wanted.model) >= wanted.version:
            return
        if not report.busy and permit.is_valid():
            await self._tell(target, wanted, loading=True)
            await self._order(target, wanted, permit, report)
        report = await self._await_load(target, wanted)
        held = Wanted(wanted.model, report.version_of(wanted.model))
        await self._tell(target, held, loading=False)

    async def _await_load(
        self,
        target: RegisteredTarget,
        wanted: Wanted,
    ) -> EngineReport:
        """Return the first report after the engine has ended its order."""
        end = self.clock.elapsed() + ORDER_LIMIT
        await curio.sleep(LOAD_TIME.total_seconds())
        report = await self._read_report(target, wanted)
        while report.busy and self.clock.elapsed() < end:
            await curio.sleep(LOAD_LOOK.total_seconds())
            report = await self._read_report(target, wanted)
        return report

    async def _tell(
        self,
        target: RegisteredTarget,
        wanted: Wanted,
        *,
        loading: bool,
    ) -> None:
        """Tell all hosts that an engine starts or has ended a load.

        The note only helps to choose engines, so its loss does no harm.
        """
        note = EngineNote(wanted.model, wanted.version, loading)
        self.directory.take_note(target.name, note)
        transaction = Transaction((write_note(target.name, note),))
        try:
            await self.store.commit(transaction)
        except ServiceError as failure:
            NOTE_NOT_WRITTEN.write(
                target=target.name,
                detail=failure.detail,
            )

    async def _order(
        self,
        target: RegisteredTarget,
        wanted: Wanted,
        permit: OrderPermit,
        report: EngineReport,
    ) -> None:
        order = VersionOrder(
            target=target.name,
            model=wanted.model,
            version=wanted.version,
            keep_running=permit.keep_running,
            holder=permit.holder,
            fence=permit.fence,
            expected=report.orders,
        )
        answer = await self._call(
            target,
            self.sender.dialect.prepare_order(order),
        )
        ORDER_GIVEN.write(
            target=target.name,
            model=wanted.model,
            version=wanted.version,
            fence=permit.fence,
            expected=report.orders,
            status=answer.status,
        )
        if answer.status not in {OK, ACCEPTED}:
            raise ServiceError(Code.TARGET_REFUSED, f'status {answer.status}')

    async def _read_report(
        self,
        target: RegisteredTarget,
        wanted: Wanted,
    ) -> EngineReport:
        answer = await self._call(
            target,
            self.sender.dialect.prepare_report(target.name),
        )
        if answer.status != OK:
            raise ServiceError(Code.TARGET_REFUSED, f'status {answer.status}')
        report = self.sender.dialect.read_report(answer.body)
        target.record_version(wanted.model, report.version_of(wanted.model))
        return report

    async def _call(
        self, target: RegisteredTarget, call: PreparedCall
    ) -> Response:
        address = parse_address(target.registration.address)
        patience = Timeouts(CONNECT_TIMEOUT, CALL_PATIENCE)
        return await self.sender.client.fetch(
            address,
            call.head,
            call.body,
            patience,
        )
