"""Prometheus metrics of a host, counted from its log events."""

from collections.abc import Mapping
from datetime import timedelta

from attrs import field, frozen
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from sequoia_wire.logs import OUTPUT, LogEvent

SECONDS_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)
SECONDS_FIELDS = ('seconds', 'waited', 'generated', 'rewarded', 'longest_gap')
UNKNOWN_AGE = -1.0


@frozen
class Metrics:
    """All metrics of a host, in a separate registry.

    Each log event is counted by its name and by its code if it has one, even
    if its line is not written. Durations in events fill histograms.
    """

    registry: CollectorRegistry = field(factory=CollectorRegistry)
    events: Counter = field(init=False)
    seconds: Histogram = field(init=False)
    ages: Gauge = field(init=False)
    owned: Gauge = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register all metrics."""
        self._register(
            'events',
            Counter(
                'sequoiashed_events',
                'Decisions and changes of belief.',
                ['event', 'code'],
                registry=self.registry,
            ),
        )
        self._register(
            'seconds',
            Histogram(
                'sequoiashed_event_seconds',
                'Durations that events tell.',
                ['event', 'span'],
                buckets=SECONDS_BUCKETS,
                registry=self.registry,
            ),
        )
        self._register(
            'ages',
            Gauge(
                'sequoiashed_belief_age_seconds',
                'Time since a belief was last confirmed, -1 if never.',
                ['belief'],
                registry=self.registry,
            ),
        )
        self._register(
            'owned',
            Gauge(
                'sequoiashed_submissions_owned',
                'Submissions that this host works on.',
                registry=self.registry,
            ),
        )

    def follow_events(self) -> None:
        """Count all events of this process from now on."""
        OUTPUT.observer = self.observe

    def observe(self, event: LogEvent, fields: Mapping[str, object]) -> None:
        """Count one event."""
        self.events.labels(event.name, fields.get('code', '')).inc()
        for name in SECONDS_FIELDS:
            seconds = fields.get(name)
            if isinstance(seconds, float):
                self.seconds.labels(event.name, name).observe(seconds)

    def set_age(self, belief: str, age: timedelta | None) -> None:
        """Set the time since a belief was last confirmed; None if never."""
        seconds = UNKNOWN_AGE if age is None else age.total_seconds()
        self.ages.labels(belief).set(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _register(self, name: str, metric: object) -> None:
        object.__setattr__(self, name, metric)
