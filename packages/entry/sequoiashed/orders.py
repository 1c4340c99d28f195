"""Sends signed orders to engines under a lease, and logs each order."""

from datetime import timedelta

from attrs import define
from sequoia_policy.errors import ServiceError
from sequoia_wire.calls import Timeouts
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log
from sequoia_wire.messages import RequestHead, parse_address
from sequoia_wire.orders import sign_order
from sequoia_wire.platform_messages import Order, TargetStatus

from sequoiashed.grants import Grant
from sequoiashed.states import HostState
from sequoiashed.watchers import make_report

ORDER_TIMEOUTS = Timeouts(timedelta(milliseconds=500), timedelta(seconds=30))
OK = 200

log = Log('orders')


@define
class OrderSender:
    """Sends orders, but none once the lease may have expired."""

    state: HostState

    async def send(self, grant: Grant, order: Order) -> None:
        """Send one order, and apply the status that the engine returns.

        Raises:
            ServiceError: If the engine did not respond.
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
        target_state = self.state.targets.states[order.engine]
        requested_at = self.state.clock.elapsed()
        response = await self.state.client.fetch(
            parse_address(target_state.target.address),
            RequestHead('POST', '/orders'),
            encode(signed),
            ORDER_TIMEOUTS,
        )
        if response.status != OK:
            return f'status_{response.status}'
        self._apply_status(decode(response.body, TargetStatus), requested_at)
        return 'obeyed'

    def _apply_status(
        self, status: TargetStatus, requested_at: timedelta
    ) -> None:
        report = make_report(status, requested_at)
        if self.state.targets.accept_report(report):
            self.state.reports.add(report)

    def _record(self, order: Order, outcome: str) -> None:
        """Write the order to the audit log and count it."""
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


ORDER_KINDS = ('load', 'activate', 'role', 'load_adapter', 'unload_adapter')


def find_kind(order: Order) -> str:
    """Return the name of the field that an order sets.

    Raises:
        ValueError: If it sets no field.
    """
    for kind in ORDER_KINDS:
        if getattr(order, kind) is not None:
            return kind
    raise ValueError('the order sets none of its fields')
