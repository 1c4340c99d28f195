"""Targets that registered themselves, and what a host learned of each."""

import random
from collections.abc import Collection, Iterable
from datetime import timedelta

from attrs import define, field, frozen

FIRST_PAUSE = timedelta(milliseconds=250)
LONGEST_PAUSE = timedelta(seconds=2)
UNREACHABLE_PAUSE = timedelta(seconds=1)
MOST_DOUBLINGS = 3
SMOOTHING = 0.3  # weight of the newest duration
FORGET_AFTER = timedelta(seconds=4)  # age at which a duration counts no more
SLOW_FACTOR = 3  # times the usual duration
UNKNOWN_SECONDS = 0.05  # assumed duration of an unknown target


@frozen
class ModelVersion:
    """The version of one model that a target holds."""

    model: str
    version: int


@frozen
class Registration:
    """What a target says of itself in the shared table.

    Attributes:
        name: Changes with most starts of a target.
        domain: Failure domain.
        born: Start of the target in Unix milliseconds, 0 if unknown.
        leaving: Whether it wants no new work.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int = 1
    born: int = 0
    leaving: bool = False
    versions: tuple[ModelVersion, ...] = ()

    def version_of(self, model: str) -> int | None:
        """Return the version of a model, or None."""
        for held in self.versions:
            if held.model == model:
                return held.version
        return None


@define(eq=False)
class RegisteredTarget:
    """A registered target with this host's own observations.

    Attributes:
        running: Own requests under way.
        seconds: Smoothed duration of a unit of work.
        measured: When ``seconds`` was last updated.
        unreachable: Whether the last try found nobody at its address.
        lapsed: When its registration went; None while it is registered.
        newest: Versions seen in answers or reports, by model.
        loading: Until when the engine takes no new run, by model.
    """

    registration: Registration
    running: int = 0
    seconds: float | None = None
    measured: timedelta = timedelta()
    failures: int = 0
    paused_until: timedelta = timedelta()
    unreachable: bool = False
    lapsed: timedelta | None = None
    newest: dict[str, int] = field(factory=dict)
    loading: dict[str, timedelta] = field(factory=dict)

    @property
    def name(self) -> str:
        """The name of the target."""
        return self.registration.name

    @property
    def slots(self) -> int:
        """Requests that the target runs at a time, at least 1."""
        return max(1, self.registration.slots)

    def is_usable(self, now: timedelta) -> bool:
        """Tell whether new work may be sent."""
        return not self.registration.leaving and now >= self.paused_until

    def version_of(self, model: str) -> int:
        """Return the newest version of a model that was seen, 0 if none."""
        registered = self.registration.version_of(model) or 0
        return max(registered, self.newest.get(model, 0))

    def is_loading(self, model: str, now: timedelta) -> bool:
        """Tell whether the engine is busy loading a version of a model."""
        return now < self.loading.get(model, timedelta())

    def record_loading(self, model: str, until: timedelta) -> None:
        """Remember that the engine loads a version of a model."""
        self.loading[model] = until

    def record_version(self, model: str, version: int) -> None:
        """Remember a version that the target showed."""
        self.newest[model] = max(version, self.newest.get(model, 0))

    def record_duration(self, seconds: float, now: timedelta) -> None:
        """Learn how long a unit of work takes."""
        self.failures = 0
        self.unreachable = False
        self.paused_until = min(self.paused_until, now)
        known = self.known_seconds(now)
        if known is None:
            self.seconds = seconds
        else:
            self.seconds = known + SMOOTHING * (seconds - known)
        self.measured = now

    def known_seconds(self, now: timedelta) -> float | None:
        """Return the smoothed duration, None if it is too old."""
        if now - self.measured > FORGET_AFTER:
            return None
        return self.seconds

    def record_failure(self, now: timedelta) -> None:
        """Pause the target, longer after each failure in a row."""
        doublings = min(self.failures, MOST_DOUBLINGS)
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * (1 << doublings))
        self.failures += 1
        self.paused_until = now + pause

    def record_unreachable(self, now: timedelta) -> None:
        """Pause a target at whose address nobody answers."""
        self.record_failure(now)
        self.unreachable = True
        self.pause(now, UNREACHABLE_PAUSE)

    def pause(self, now: timedelta, pause: timedelta) -> None:
        """Send no new work for a while."""
        self.paused_until = max(self.paused_until, now + pause)

    def estimate(self, now: timedelta, usual: float) -> float:
        """Estimate the duration of one more request."""
        seconds = self.known_seconds(now)
        if seconds is None:
            seconds = usual
        return seconds * (1 + self.running / self.slots)


@define
class TargetRegistry:
    """All targets that are registered, or were until a moment ago."""

    targets: dict[str, RegisteredTarget] = field(factory=dict)

    def register(self, registration: Registration) -> bool:
        """Take a registration; tell whether it says anything new."""
        known = self.targets.get(registration.name)
        if known is None or known.registration.born != registration.born:
            self.targets[registration.name] = RegisteredTarget(registration)
            return True
        is_news = known.lapsed is not None or known.registration != registration
        known.registration = registration
        known.lapsed = None
        return is_news

    def remove(self, name: str, now: timedelta, grace: timedelta) -> None:
        """Drop a target, after ``grace`` if that is not zero."""
        known = self.targets.get(name)
        if known is None:
            return
        if known.lapsed is None:
            known.lapsed = now + grace
        self.expire(now)

    def replace_all(
        self,
        registrations: Iterable[Registration],
        now: timedelta,
        grace: timedelta,
    ) -> None:
        """Take a whole listing; what is not in it lapses."""
        present = set()
        for registration in registrations:
            present.add(registration.name)
            self.register(registration)
        gone = sorted(self.targets.keys() - present)
        for name in gone:
            self.remove(name, now, grace)

    def expire(self, now: timedelta) -> None:
        """Drop the targets whose grace is over."""
        gone = [
            name
            for name, target in self.targets.items()
            if target.lapsed is not None and target.lapsed <= now
        ]
        for name in gone:
            self.targets.pop(name, None)

    def find(self, service: str) -> list[RegisteredTarget]:
        """Return all targets of a service."""
        return [
            target
            for target in self.targets.values()
            if target.registration.service == service
        ]

    def usable(self, service: str, now: timedelta) -> list[RegisteredTarget]:
        """Return the targets of a service that may get new work."""
        self.expire(now)
        found = self.find(service)
        return [target for target in found if target.is_usable(now)]


def find_usual(targets: Collection[RegisteredTarget], now: timedelta) -> float:
    """Return the median of the known durations."""
    durations = [target.known_seconds(now) for target in targets]
    known = sorted(one for one in durations if one is not None)
    return known[len(known) // 2] if known else UNKNOWN_SECONDS


def keep_near(
    usable: list[RegisteredTarget],
    domain: str,
    now: timedelta,
) -> list[RegisteredTarget]:
    """Return the targets of a failure domain that are not slow, or all.

    A host that keeps to few targets keeps few connections, and its requests
    stay in its failure domain.
    """
    longest = find_usual(usable, now) * SLOW_FACTOR
    near = [
        target
        for target in usable
        if target.registration.domain == domain
        and target.estimate(now, 0) <= longest
    ]
    return near or usable


def choose_of_two(
    usable: list[RegisteredTarget],
    now: timedelta,
    chance: random.Random,
) -> RegisteredTarget:
    """Return the better of two random targets.

    Many hosts that know only their own requests would all choose the same
    best target; two random candidates keep them apart.
    """
    usual = find_usual(usable, now)
    candidates = chance.sample(usable, min(2, len(usable)))
    return min(
        candidates,
        key=lambda target: target.estimate(now, usual),
    )
