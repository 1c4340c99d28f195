"""Gives signed orders to engines under a lease, and logs each."""

from datetime import timedelta

from attrs import define
from sequoia_policy.errors import ServiceError
from sequoia_wire.clients import Timeouts
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log
from sequoia_wire.messages import RequestHead, parse_address
from sequoia_wire.orders import sign_order
from sequoia_wire.platform_messages import Order, TargetStatus

from sequoiashed.grants import Grant
from sequoiashed.states import HostState
from sequoiashed.watchers import make_report

PATIENCE = Timeouts(timedelta(milliseconds=500), timedelta(seconds=30))
OK = 200

log = Log('orders')


@define
class OrderSender:
    """Sends orders; nothing is sent once the lease may have lapsed."""

    state: HostState

    async def give(self, grant: Grant, order: Order) -> None:
        """Give one order; the engine's next status shows what came of it.

        Raises:
            ServiceError: If the engine gave no answer.
        """
        try:
            outcome = await self._send(grant, order)
        except ServiceError:
            self._record(order, 'no_answer')
            raise
        self._record(order, outcome)

    async def _send(self, grant: Grant, order: Order) -> str:
        if not grant.may_act():
            return 'lapsed'
        signed = sign_order(order, self.state.settings.order_secret)
        known = self.state.targets.states[order.engine]
        asked = self.state.clock.elapsed()
        answer = await self.state.client.fetch(
            parse_address(known.target.address),
            RequestHead('POST', '/orders'),
            encode(signed),
            PATIENCE,
        )
        if answer.status != OK:
            return f'status_{answer.status}'
        self._accept(decode(answer.body, TargetStatus), asked)
        return 'obeyed'

    def _accept(self, status: TargetStatus, asked: timedelta) -> None:
        report = make_report(status, asked)
        if self.state.targets.accept_report(report):
            self.state.reports.add(report)

    def _record(self, order: Order, outcome: str) -> None:
        """Keep the order in the audit log and count it."""
        kind = find_kind(order)
        log.write(
            'order given',
            engine=order.engine,
            kind=kind,
            wanted=str(getattr(order, kind)),
            fencing=order.fencing,
            plan=self.state.plan_state.number,
            outcome=outcome,
        )
        self.state.metrics.orders.labels(kind, outcome).inc()


KINDS = ('load', 'activate', 'role', 'load_adapter', 'unload_adapter')


def find_kind(order: Order) -> str:
    """Return the name of the field that an order sets.

    Raises:
        ValueError: If it sets none.
    """
    for kind in KINDS:
        if getattr(order, kind) is not None:
            return kind
    raise ValueError('an order that wants nothing')
