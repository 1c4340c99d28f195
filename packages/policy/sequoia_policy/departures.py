"""Targets that said in a response that they leave."""

from attrs import define, field, frozen

MAX_PROCESSES = 10_000


@frozen
class TargetProcess:
    """One process of a target; another start of it is another process.

    Attributes:
        started_at: Start time in Unix milliseconds, 0 if unknown.
    """

    name: str
    started_at: int


@define
class Departures:
    """The processes that said so, oldest first.

    What a process said outlives its registration: one that expires and comes
    back, or that still says ``ready``, does not undo it.
    """

    processes: dict[TargetProcess, None] = field(factory=dict)

    def record(self, process: TargetProcess) -> bool:
        """Record that a process leaves; return whether that is new."""
        if process in self.processes:
            return False
        if len(self.processes) >= MAX_PROCESSES:
            self.processes.pop(next(iter(self.processes)))
        self.processes[process] = None
        return True

    def includes(self, process: TargetProcess) -> bool:
        """Return whether a process said that it leaves."""
        return process in self.processes
