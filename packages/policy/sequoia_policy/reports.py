"""Which reports of targets a gossip message carries."""

from datetime import timedelta

from attrs import define, field

from sequoia_policy.targets import Report

SENDS_PER_REPORT = 6
REPORTS_PER_MESSAGE = 16
OLDEST_REPORT = timedelta(seconds=10)


@define
class ReportQueue:
    """Passes on each new report a bounded number of times, newest first."""

    sends_left: dict[str, int] = field(factory=dict)
    newest: dict[str, Report] = field(factory=dict)

    def add(self, report: Report) -> None:
        """Queue a report that was news to this host."""
        self.newest[report.target] = report
        self.sends_left[report.target] = SENDS_PER_REPORT

    def list_leaving(self, now: timedelta) -> tuple[Report, ...]:
        """Return the newest leaving targets, for other failure domains."""
        leaving = [
            report
            for report in self.newest.values()
            if report.leaving and now - report.origin < OLDEST_REPORT
        ]
        leaving.sort(key=lambda report: report.origin, reverse=True)
        return tuple(leaving[:REPORTS_PER_MESSAGE])

    def next_batch(self, now: timedelta) -> tuple[Report, ...]:
        """Return the reports for one message, and count them as sent."""
        pending = [
            report
            for name, report in self.newest.items()
            if self.sends_left[name] and now - report.origin < OLDEST_REPORT
        ]
        pending.sort(
            key=lambda report: (report.leaving, report.origin),
            reverse=True,
        )
        chosen = pending[:REPORTS_PER_MESSAGE]
        for report in chosen:
            self.sends_left[report.target] -= 1
        return tuple(chosen)
