"""Selection of the target reports that a gossip message carries."""

from datetime import timedelta

from attrs import define, field

from sequoia_policy.targets import Report

SENDS_PER_REPORT = 6
REPORTS_PER_MESSAGE = 16
MAX_REPORT_AGE = timedelta(seconds=10)


@define
class ReportQueue:
    """Queues each new report for a limited number of sends, newest first.

    Attributes:
        sends_left: Remaining sends of the newest report, by target.
        newest: Newest report, by target.
    """

    sends_left: dict[str, int] = field(factory=dict)
    newest: dict[str, Report] = field(factory=dict)

    def add(self, report: Report) -> None:
        """Queue a report that this host did not know before."""
        self.newest[report.target] = report
        self.sends_left[report.target] = SENDS_PER_REPORT

    def list_leaving(self, now: timedelta) -> tuple[Report, ...]:
        """Return the newest reports of leaving targets.

        They are sent to other failure domains.
        """
        leaving = [
            report
            for report in self.newest.values()
            if report.leaving and now - report.origin < MAX_REPORT_AGE
        ]
        leaving.sort(key=lambda report: report.origin, reverse=True)
        return tuple(leaving[:REPORTS_PER_MESSAGE])

    def next_batch(self, now: timedelta) -> tuple[Report, ...]:
        """Return the reports for one message and count them as sent.

        Reports of leaving targets come first.
        """
        pending = [
            report
            for name, report in self.newest.items()
            if self.sends_left[name] and now - report.origin < MAX_REPORT_AGE
        ]
        pending.sort(
            key=lambda report: (report.leaving, report.origin),
            reverse=True,
        )
        chosen = pending[:REPORTS_PER_MESSAGE]
        for report in chosen:
            self.sends_left[report.target] -= 1
        return tuple(chosen)
