"""Prometheus metrics of the daemon."""

from attrs import field, frozen
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

CALL_SECONDS_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)


@frozen
class Metrics:
    """All metrics, in a registry separate from the process-wide one."""

    registry: CollectorRegistry = field(factory=CollectorRegistry)
    answered: Counter = field(init=False)
    refused: Counter = field(init=False)
    retried: Counter = field(init=False)
    forwarded: Counter = field(init=False)
    claims: Counter = field(init=False)
    call_seconds: Histogram = field(init=False)
    attempts: Counter = field(init=False)
    samples: Counter = field(init=False)
    orders: Counter = field(init=False)
    gossip_bytes: Counter = field(init=False)
    gossip_dropped: Counter = field(init=False)
    store_errors: Counter = field(init=False)
    plan_number: Gauge = field(init=False)
    members_alive: Gauge = field(init=False)
    duties_held: Gauge = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register all metrics."""
        self._add_counter('answered', 'Calls answered.', 'service')
        self._add_counter('refused', 'Calls refused.', 'code', 'verdict')
        self._add_counter('retried', 'Attempts repeated.', 'code')
        self._add_counter('forwarded', 'Calls passed to a peer.', 'domain')
        self._add_counter('claims', 'Claims of idempotency keys.', 'outcome')
        self._add_counter('attempts', 'Attempts of samples.', 'outcome')
        self._add_counter(
            'samples', 'Samples by what became of them.', 'outcome'
        )
        self._add_counter('orders', 'Orders to engines.', 'kind', 'outcome')
        self._add_counter('gossip_bytes', 'Bytes of gossip.', 'direction')
        self._add_counter('gossip_dropped', 'Gossip not understood.', 'code')
        self._add_counter('store_errors', 'Failed calls of the store.', 'part')
        self._add_gauge('plan_number', 'Number of the plan in force.')
        self._add_gauge('members_alive', 'Live hosts of the failure domain.')
        self._add_gauge('duties_held', 'Duties that this host holds.')
        seconds = Histogram(
            'sequoiashed_call_seconds',
            'Time from the head of a call to its answer.',
            ['service'],
            buckets=CALL_SECONDS_BUCKETS,
            registry=self.registry,
        )
        object.__setattr__(self, 'call_seconds', seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _add_counter(self, name: str, help_text: str, *labels: str) -> None:
        counter = Counter(
            f'sequoiashed_{name}',
            help_text,
            labels,
            registry=self.registry,
        )
        object.__setattr__(self, name, counter)

    def _add_gauge(self, name: str, help_text: str) -> None:
        gauge = Gauge(f'sequoiashed_{name}', help_text, registry=self.registry)
        object.__setattr__(self, name, gauge)
