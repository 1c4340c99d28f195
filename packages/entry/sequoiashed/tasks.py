"""A set of tasks that are cancelled with their owner."""

from collections.abc import Awaitable, Callable

import curio
from attrs import define, field


@define
class TaskSet:
    """Runs tasks and cancels those still running when it exits."""

    tasks: set[curio.Task] = field(factory=set)

    async def __aenter__(self) -> 'TaskSet':
        """Return the set itself."""
        return self

    async def __aexit__(self, *failure: object) -> None:
        """Cancel all tasks that are still running."""
        for task in tuple(self.tasks):
            await task.cancel()

    async def spawn(
        self,
        function: Callable[..., Awaitable[None]],
        *arguments: object,
    ) -> curio.Task:
        """Start a task, and drop those that have ended."""
        self.tasks = {task for task in self.tasks if not task.terminated}
        task = await curio.spawn(function, *arguments, daemon=True)
        self.tasks.add(task)
        return task
