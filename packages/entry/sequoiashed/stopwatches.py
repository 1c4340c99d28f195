"""Measures service times of targets."""

from datetime import timedelta

from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.targets import TargetState

from sequoiashed.calls import RoutedCall


@define
class Stopwatch:
    """Measures the duration of one attempt of a call at a target.

    Attributes:
        wait_factor: Estimated latency at the start, in service times of the
            target; above 1 while all its slots are busy.
        first_token: Number of tokens that the call had at the start.
    """

    clock: Clock
    call: RoutedCall
    target: TargetState
    started_at: timedelta = field(init=False)
    wait_factor: float = field(init=False)
    first_token: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the stopwatch."""
        self.started_at = self.clock.elapsed()
        self.wait_factor = self.target.wait_factor()
        self.first_token = self.call.resume_from

    def stop(self) -> None:
        """Record the duration of a complete response with the target."""
        duration = self.clock.elapsed() - self.started_at
        units = 1
        if self.call.is_engine_call:
            units = self.call.resume_from - self.first_token
        self.target.record_service_time(duration, units, self.wait_factor)
