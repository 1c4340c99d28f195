"""A problem of a plan, with its line and path."""

from attrs import evolve, frozen


@frozen
class Problem:
    """An error in a plan.

    Attributes:
        line: Line number in the text, from 1.
        path: Keys from the root, joined by dots.
        message: What is wrong and which values are allowed.
    """

    line: int
    path: str
    message: str

    @property
    def section(self) -> str:
        """Name of the section with the problem; empty for the whole plan."""
        names = self.path.split('.')
        return names[1] if len(names) > 1 else ''

    def locate(self, lines: dict[str, int]) -> 'Problem':
        """Return the problem with the line of its path or nearest known parent."""
        path = self.path
        while path not in lines:
            path = path.rpartition('.')[0]
            if not path:
                return self
        return evolve(self, line=lines[path])

    def __str__(self) -> str:
        """Return the line, path and message in one line of text."""
        return f'line {self.line}, {self.path}: {self.message}'
