"""Measures how fast a target answers."""

from datetime import timedelta

from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.targets import TargetState

from sequoiashed.calls import RoutedCall


@define
class Stopwatch:
    """Times one attempt of a call at a target."""

    clock: Clock
    call: RoutedCall
    target: TargetState
    started: timedelta = field(init=False)
    factor: float = field(init=False)
    first_token: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start."""
        self.started = self.clock.elapsed()
        self.factor = self.target.wait_factor()
        self.first_token = self.call.resume_from

    def stop(self) -> None:
        """Tell the target's state how long a whole answer took."""
        took = self.clock.elapsed() - self.started
        units = 1
        if self.call.is_engine_call:
            units = self.call.resume_from - self.first_token
        self.target.record_service_time(took, units, self.factor)
