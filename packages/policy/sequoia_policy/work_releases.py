"""Whether a host that reaches no target should own submissions and duties."""

from datetime import timedelta

from attrs import define

# A cut that ends sooner costs less than adoption by other hosts.
RELEASE_AFTER = timedelta(seconds=1)
RESUME_AFTER = timedelta(seconds=1)  # without any doubt about the path


@define
class WorkRelease:
    """For how long a host's path to targets has been cut, or in order.

    Attributes:
        is_released: Whether other hosts should own what this host owns.
        changed_at: When the path was first seen in the state that may end the
            current one; None if it is not in that state.
    """

    is_released: bool = False
    changed_at: timedelta | None = None

    def update(
        self, *, is_suspected: bool, is_cut: bool, now: timedelta
    ) -> bool:
        """Record the state of the path and return ``is_released``.

        A path that is suspected and not cut changes nothing.
        """
        may_change = not is_suspected if self.is_released else is_cut
        if not may_change:
            self.changed_at = None
            return self.is_released
        if self.changed_at is None:
            self.changed_at = now
        limit = RESUME_AFTER if self.is_released else RELEASE_AFTER
        if now - self.changed_at >= limit:
            self.is_released = not self.is_released
            self.changed_at = None
        return self.is_released
