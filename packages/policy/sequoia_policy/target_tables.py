"""All targets that a host knows, and news about them."""

from collections.abc import Callable
from datetime import timedelta

from attrs import define, evolve, field

from sequoia_policy.step_versions import EngineVersions
from sequoia_policy.targets import (
    UNKNOWN_INCARNATION,
    Report,
    Target,
    TargetState,
)


def make_order(name: str) -> Report:
    """Return a report that only says that a target leaves."""
    return Report(
        name,
        UNKNOWN_INCARNATION,
        0,
        0,
        0,
        0,
        1,
        leaving=True,
        origin=timedelta(),
    )


def accept_order(state: TargetState, report: Report) -> bool:
    """Take an order that names no incarnation; tell if it is news."""
    if state.is_leaving or not report.leaving:
        return False
    state.mark_leaving()
    return True


@define
class TargetTable:
    """All targets that a host knows, by name.

    Attributes:
        on_report: Called with a target after each newer report of it.
    """

    states: dict[str, TargetState] = field(factory=dict)
    on_report: list[Callable[[TargetState], None]] = field(factory=list)

    def accept_list(
        self,
        listed: tuple[tuple[Target, bool], ...],
    ) -> tuple[str, ...]:
        """Take a hosts list of targets, each with whether it leaves.

        A target that is missing gets no new work. Late news cannot bring a
        leaving target back: that takes a report of a new incarnation.

        Returns:
            Names of the targets that this list marked as leaving.
        """
        present = set()
        marked = []
        for target, leaving in listed:
            present.add(target.name)
            state = self.states.setdefault(target.name, TargetState(target))
            state.target = target
            state.retired = False
            if leaving and not state.listed_leaving:
                state.mark_leaving()
                marked.append(target.name)
            state.listed_leaving = leaving
        for name, known in self.states.items():
            known.retired = name not in present
        return tuple(marked)

    def accept_report(self, report: Report) -> bool:
        """Take a report of a known target; tell whether it was news."""
        state = self.states.get(report.target)
        if state is None:
            return False
        if report.incarnation == UNKNOWN_INCARNATION:
            return accept_order(state, report)
        if not state.accept(report):
            return False
        for observer in self.on_report:
            observer(state)
        return True

    def mark_leaving(self, name: str, now: timedelta) -> Report | None:
        """Stop new work to a target until it starts again.

        Returns:
            The report that tells other hosts so; None if the target is not
            known. Without a report of the target it names no incarnation,
            and stands for the one that each host knows.
        """
        state = self.states.get(name)
        if state is None:
            return None
        state.mark_leaving()
        known = state.report or make_order(name)
        marked = evolve(known, leaving=True, origin=now)
        if state.report:
            state.report = marked
        return marked

    def find(self, pool: str, domain: str) -> list[TargetState]:
        """Return the targets of a pool in a failure domain, by name."""
        found = [
            state
            for state in self.states.values()
            if state.target.pool == pool and state.target.domain == domain
        ]
        return sorted(found, key=lambda state: state.target.name)

    def find_versions(self, pool: str) -> EngineVersions:
        """Return the versions of a pool's engines, as far as reported."""
        reports = [
            state.report
            for state in self.states.values()
            if state.target.pool == pool and state.report
        ]
        held = [max(report.loaded, report.version) for report in reports]
        used = [report.version for report in reports]
        return EngineVersions(max(held, default=0), max(used, default=0))

    def usable(
        self,
        pool: str,
        domain: str,
        now: timedelta,
    ) -> list[TargetState]:
        """Return the targets that may get new work."""
        found = self.find(pool, domain)
        return [state for state in found if state.is_usable(now)]
