"""Numbers in messages of other processes."""

MAX_COUNT = 2**53 - 1  # the largest that every JSON decoder keeps exact
MAX_DIGITS = 16  # of MAX_COUNT


def parse_count(text: str) -> int | None:
    """Parse a decimal number from 0 to ``MAX_COUNT``; None if it is not one."""
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdecimal()):
        return None
    count = int(text)
    return count if count <= MAX_COUNT else None


def check_integer(number: object) -> int:
    """Return an integer from ``-MAX_COUNT`` to ``MAX_COUNT``.

    Raises:
        TypeError: If it is not an integer.
        ValueError: If it is out of range.
    """
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError(f'not an integer but {type(number).__name__}')
    if abs(number) > MAX_COUNT:
        raise ValueError('the integer is out of range')
    return number


def check_flag(flag: object) -> bool:
    """Return a truth value.

    Raises:
        TypeError: If it is none.
    """
    if not isinstance(flag, bool):
        raise TypeError(f'not a truth value but {type(flag).__name__}')
    return flag


def check_count(number: object, max_count: int = MAX_COUNT) -> int:
    """Return an integer from 0 to ``max_count``.

    Raises:
        TypeError: If it is not an integer.
        ValueError: If it is out of range.
    """
    count = check_integer(number)
    if not 0 <= count <= max_count:
        raise ValueError(f'{count} is not a number from 0 to {max_count}')
    return count
