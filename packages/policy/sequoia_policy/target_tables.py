"""Table of the targets known to a host, updated from lists and reports."""

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


def make_leave_order(name: str) -> Report:
    """Return a report that only marks a target as leaving."""
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


def apply_leave_order(state: TargetState, report: Report) -> bool:
    """Apply a leave order without an incarnation.

    Returns:
        Whether it changed the state of the target.
    """
    if state.is_leaving or not report.leaving:
        return False
    state.mark_leaving()
    return True


@define
class TargetTable:
    """Targets known to a host, by name.

    Attributes:
        on_report: Callbacks, called with a target after each newer report.
    """

    states: dict[str, TargetState] = field(factory=dict)
    on_report: list[Callable[[TargetState], None]] = field(factory=list)

    def accept_list(
        self,
        listed: tuple[tuple[Target, bool], ...],
    ) -> tuple[str, ...]:
        """Apply the targets of a hosts list.

        A missing target gets no new work. Delayed updates cannot bring a
        leaving target back; only a report of a newer incarnation can.

        Args:
            listed: Targets, each with whether it is leaving.

        Returns:
            Names of the targets that this list newly marked as leaving.
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
        """Apply a report; return whether it changed a known target."""
        state = self.states.get(report.target)
        if state is None:
            return False
        if report.incarnation == UNKNOWN_INCARNATION:
            return apply_leave_order(state, report)
        if not state.apply_report(report):
            return False
        for callback in self.on_report:
            callback(state)
        return True

    def mark_leaving(self, name: str, now: timedelta) -> Report | None:
        """Stop sending new work to a target until it restarts.

        Returns:
            The report to send to other hosts; None if the target is unknown.
            It has no incarnation if this host has no report of the target;
            each host then applies it to the incarnation that it knows.
        """
        state = self.states.get(name)
        if state is None:
            return None
        state.mark_leaving()
        known = state.report or make_leave_order(name)
        report = evolve(known, leaving=True, origin=now)
        if state.report:
            state.report = report
        return report

    def find(self, pool: str, domain: str) -> list[TargetState]:
        """Return the targets of a pool in a failure domain, sorted by name."""
        found = [
            state
            for state in self.states.values()
            if state.target.pool == pool and state.target.domain == domain
        ]
        return sorted(found, key=lambda state: state.target.name)

    def find_versions(self, pool: str) -> EngineVersions:
        """Return the newest reported versions of a pool's engines."""
        reports = [
            state.report
            for state in self.states.values()
            if state.target.pool == pool and state.report
        ]
        loaded = [max(report.loaded, report.version) for report in reports]
        in_use = [report.version for report in reports]
        return EngineVersions(max(loaded, default=0), max(in_use, default=0))

    def usable(
        self,
        pool: str,
        domain: str,
        now: timedelta,
    ) -> list[TargetState]:
        """Return the targets that new work may be sent to."""
        found = self.find(pool, domain)
        return [state for state in found if state.is_usable(now)]
