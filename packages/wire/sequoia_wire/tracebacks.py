"""Frees what the frames of a handled exception hold."""

import traceback


def release_frames(error: BaseException | None) -> None:
    """Clear the finished frames that an exception and its causes have passed.

    An exception that the event loop raises in a task refers to itself through
    the frame that raised it. The frames it has passed, and the bodies in them,
    would live until the next full garbage collection.
    """
    seen: set[int] = set()
    while error is not None and id(error) not in seen:
        seen.add(id(error))
        traceback.clear_frames(error.__traceback__)
        error = error.__cause__ or error.__context__
