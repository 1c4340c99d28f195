"""Registered targets, with the measurements of one host."""

from collections.abc import Iterable, Sequence
from datetime import timedelta

from attrs import Factory, define, field, frozen

from sequoia_policy.announcements import (
    Announcements,
    AnnouncementTable,
    TargetProcess,
)
from sequoia_policy.choices import rank_names
from sequoia_policy.permits import Urgency
from sequoia_policy.target_paces import (
    PaceContext,
    TargetPace,
    UsualDuration,
)
from sequoia_policy.target_paths import TargetPath

MIN_BACKOFF = timedelta(milliseconds=250)
MAX_BACKOFF = timedelta(seconds=2)
UNREACHABLE_BACKOFF = timedelta(seconds=1)
MAX_DOUBLINGS = 3
SMOOTHING = 0.3  # weight of the newest sample in the moving average
MAX_DURATION_AGE = timedelta(seconds=4)


@frozen
class ModelVersion:
    """The version of one model that a target has loaded."""

    model: str
    version: int


@frozen
class Registration:
    """The row of a target in the shared table.

    Attributes:
        name: Usually differs after a restart of the target.
        domain: Failure domain.
        started_at: Start time in Unix milliseconds, 0 if unknown.
        leaving: Whether the target refuses new work.
        versions: Model versions that the target has loaded.
        release: Version of the target's software; empty if unknown.
        reclaimable: Whether the platform may take the target away with short
            notice.
        leaves_in: Time that remains to a target that leaves; None if unknown.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int = 1
    started_at: int = 0
    leaving: bool = False
    versions: tuple[ModelVersion, ...] = ()
    release: str = ''
    reclaimable: bool = False
    leaves_in: timedelta | None = None

    @property
    def process(self) -> TargetProcess:
        """The process of the target."""
        return TargetProcess(self.name, self.started_at)

    def version_of(self, model: str) -> int | None:
        """Return the registered version of a model, None if there is none."""
        for loaded in self.versions:
            if loaded.model == model:
                return loaded.version
        return None


@define(eq=False)
class RegisteredTarget:
    """A registered target with the measurements of this host.

    Attributes:
        running: Requests of this host in flight.
        seconds_per_unit: Moving average of the duration of a unit of work.
        measured_at: When ``seconds_per_unit`` was last updated.
        unreachable: Whether the last attempt could not connect.
        expires_at: When a target that is no longer registered is removed;
            None while it is registered.
        newest_versions: Newest versions in responses or reports, by model.
        loading_until: Time until which the engine starts no new run, by
            model.
        no_permit_until: Time until which the target's limit leaves no permit.
        announced: What this process announced in its responses.
        pace: How many requests this host prefers to have in flight there.
    """

    registration: Registration
    running: int = 0
    seconds_per_unit: float | None = None
    measured_at: timedelta = timedelta()
    failures: int = 0
    backoff_until: timedelta = timedelta()
    unreachable: bool = False
    expires_at: timedelta | None = None
    newest_versions: dict[str, int] = field(factory=dict)
    loading_until: dict[str, timedelta] = field(factory=dict)
    no_permit_until: dict[Urgency, timedelta] = field(factory=dict)
    announced: Announcements = field(factory=Announcements)
    pace: TargetPace = field(
        default=Factory(
            lambda target: TargetPace(target.name, target.slots),
            takes_self=True,
        )
    )

    @property
    def name(self) -> str:
        """The name of the target."""
        return self.registration.name

    @property
    def slots(self) -> int:
        """Maximum number of concurrent requests, at least 1."""
        return max(1, self.registration.slots)

    @property
    def is_leaving(self) -> bool:
        """Whether its registration or a response says that it leaves."""
        return self.registration.leaving or self.announced.leaving

    def is_usable(self, now: timedelta) -> bool:
        """Return whether new work may be sent to the target."""
        return not self.is_leaving and now >= self.backoff_until

    def is_open(self, urgency: Urgency, now: timedelta) -> bool:
        """Return whether a request may be sent to the target now."""
        if not self.is_usable(now):
            return False
        return now >= self.no_permit_until.get(urgency, now)

    def is_reachable(self, urgency: Urgency, now: timedelta) -> bool:
        """Return whether it may take a request now, though it backs off."""
        if self.is_leaving or self.unreachable:
            return False
        return now >= self.no_permit_until.get(urgency, now)

    def find_wait(self, urgency: Urgency, now: timedelta) -> timedelta:
        """Return the time until the target may take a new request."""
        free_at = self.no_permit_until.get(urgency, now)
        return max(self.backoff_until, free_at) - now

    def version_of(self, model: str) -> int:
        """Return the newest observed version of a model, 0 if none."""
        registered = self.registration.version_of(model) or 0
        return max(registered, self.newest_versions.get(model, 0))

    def is_loading(self, model: str, now: timedelta) -> bool:
        """Return whether the engine is loading a version of a model."""
        return now < self.loading_until.get(model, timedelta())

    def record_loading(self, model: str, until: timedelta) -> None:
        """Record until when the engine is loading a version of a model."""
        self.loading_until[model] = until

    def record_version(self, model: str, version: int) -> None:
        """Record an observed version of a model."""
        self.newest_versions[model] = max(
            version, self.newest_versions.get(model, 0)
        )

    def record_duration(self, seconds: float, now: timedelta) -> None:
        """Record the duration of a unit of work, and end the backoff."""
        self.failures = 0
        self.unreachable = False
        self.backoff_until = min(self.backoff_until, now)
        known = self.known_seconds(now)
        if known is None:
            self.seconds_per_unit = seconds
        else:
            self.seconds_per_unit = known + SMOOTHING * (seconds - known)
        self.measured_at = now
        self.pace.record_duration(seconds, now)

    def known_seconds(self, now: timedelta) -> float | None:
        """Return the average duration, None if it is outdated."""
        if now - self.measured_at > MAX_DURATION_AGE:
            return None
        return self.seconds_per_unit

    def record_failure(self, now: timedelta) -> None:
        """Back off exponentially after consecutive failures."""
        doublings = min(self.failures, MAX_DOUBLINGS)
        backoff = min(MAX_BACKOFF, MIN_BACKOFF * (1 << doublings))
        self.failures += 1
        self.backoff_until = now + backoff

    def record_unreachable(self, now: timedelta) -> None:
        """Back off after the target could not be connected to."""
        self.record_failure(now)
        self.unreachable = True
        self.back_off(now, UNREACHABLE_BACKOFF)
        self.pace.start(self.backoff_until)

    def back_off(self, now: timedelta, duration: timedelta) -> None:
        """Send no new work for at least ``duration``."""
        self.backoff_until = max(self.backoff_until, now + duration)

    def estimate(self, now: timedelta, default_seconds: float) -> float:
        """Estimate the seconds per unit of work of one more request."""
        seconds = self.known_seconds(now)
        if seconds is None:
            seconds = default_seconds
        return seconds * (1 + self.running / self.slots)


@define
class TargetRegistry:
    """Registered targets, and expired ones within their grace period.

    Attributes:
        targets: All targets by name.
        services: The same targets by service and name.
        rankings: Targets of a service in the order of a key, by both.
        expiring: Names of the targets within their grace period.
        announcements: What all processes announced in their responses.
        path: Whether this host reaches any target.
        paces: What the paces of all targets share.
        usual_durations: Durations at all targets of a service, by service.
    """

    targets: dict[str, RegisteredTarget] = field(factory=dict)
    services: dict[str, dict[str, RegisteredTarget]] = field(factory=dict)
    rankings: dict[tuple[str, str], list[RegisteredTarget]] = field(
        factory=dict
    )
    expiring: set[str] = field(factory=set)
    announcements: AnnouncementTable = field(factory=AnnouncementTable)
    path: TargetPath = field(factory=TargetPath)
    paces: PaceContext = field(factory=PaceContext)
    usual_durations: dict[str, UsualDuration] = field(factory=dict)

    def register(
        self, registration: Registration, started_at: timedelta | None = None
    ) -> bool:
        """Apply a registration.

        Args:
            registration: The registration.
            started_at: Time of the start if the process is not known yet; None
                if it may have run for long.

        Returns:
            Whether it changed anything.
        """
        known = self.targets.get(registration.name)
        if known is None or not is_same_process(
            known.registration, registration
        ):
            self._discard(registration.name)
            added = self._add(registration)
            if started_at is not None:
                added.pace.start(started_at)
            return True
        is_changed = (
            known.expires_at is not None or known.registration != registration
        )
        known.registration = registration
        known.expires_at = None
        self.expiring.discard(registration.name)
        return is_changed

    def remove(self, name: str, now: timedelta, grace: timedelta) -> None:
        """Remove a target once ``grace`` has passed, at once if it is zero.

        The grace period keeps a target whose registration expired because of
        a store outage.
        """
        known = self.targets.get(name)
        if known is None:
            return
        if known.expires_at is None:
            known.expires_at = now + grace
            self.expiring.add(name)
        self.expire(now)

    def replace_all(
        self,
        registrations: Iterable[Registration],
        now: timedelta,
        grace: timedelta,
    ) -> None:
        """Apply a full listing; remove missing targets after ``grace``."""
        present = set()
        # The targets of the first listing may have run for long.
        started_at = now if self.targets else None
        for registration in registrations:
            present.add(registration.name)
            self.register(registration, started_at)
        missing = sorted(self.targets.keys() - present)
        for name in missing:
            self.remove(name, now, grace)

    def expire(self, now: timedelta) -> None:
        """Remove the targets whose grace period is over."""
        for name in tuple(self.expiring):
            expires_at = self.targets[name].expires_at
            if expires_at is not None and expires_at <= now:
                self._discard(name)

    def find(self, service: str) -> list[RegisteredTarget]:
        """Return all targets of a service."""
        return list(self.services.get(service, {}).values())

    def find_open(
        self, service: str, urgency: Urgency, now: timedelta
    ) -> list[RegisteredTarget]:
        """Return the targets of a service that may take a request now."""
        self.expire(now)
        found = self.find(service)
        return [target for target in found if target.is_open(urgency, now)]

    def is_current(self, target: RegisteredTarget) -> bool:
        """Return whether no other process of a target's name is known."""
        known = self.targets.get(target.name, target)
        return is_same_process(known.registration, target.registration)

    def rank(self, service: str, key: str) -> Sequence[RegisteredTarget]:
        """Return all targets of a service in the rendezvous order of a key.

        Hosts that use the same key get the same order. A target that comes or
        goes does not change the order of the others.
        """
        ranking = self.rankings.get((service, key))
        if ranking is None:
            by_name = self.services.get(service, {})
            ranking = [by_name[name] for name in rank_names(key, list(by_name))]
            self.rankings[service, key] = ranking
        return ranking

    def _add(self, registration: Registration) -> RegisteredTarget:
        target = RegisteredTarget(registration)
        service = registration.service
        target.announced = self.announcements.find(registration.process)
        target.pace.context = self.paces
        target.pace.usual = self.usual_durations.setdefault(
            service, UsualDuration()
        )
        self.targets[target.name] = target
        self.services.setdefault(service, {})[target.name] = target
        self._forget_rankings(service)
        return target

    def _discard(self, name: str) -> None:
        target = self.targets.pop(name, None)
        self.expiring.discard(name)
        if target is None:
            return
        service = target.registration.service
        self.services[service].pop(name)
        self._forget_rankings(service)

    def _forget_rankings(self, service: str) -> None:
        for ranked_service, key in tuple(self.rankings):
            if ranked_service == service:
                self.rankings.pop((ranked_service, key))


def is_same_process(known: Registration, registration: Registration) -> bool:
    """Return whether two registrations of a name are of one process."""
    if known.service != registration.service:
        return False
    if known.release != registration.release:
        return False
    return known.started_at == registration.started_at
