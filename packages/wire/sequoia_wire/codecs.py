"""JSON codec of typed messages."""

from datetime import timedelta
from typing import TypeVar

import cattrs
from cattrs.preconf.orjson import make_converter
from sequoia_policy.errors import Code, ServiceError

from sequoia_wire.numbers import check_flag, check_integer

Message = TypeVar('Message')
# A number of seconds may exceed what a duration can hold, and a text may be
# nested too deeply; a list in the place of a mapping has no items.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
    AttributeError,
    cattrs.BaseValidationError,
)

converter = make_converter()
converter.register_unstructure_hook(timedelta, timedelta.total_seconds)
converter.register_structure_hook(
    timedelta,
    lambda seconds, _kind: timedelta(seconds=seconds),
)
converter.register_structure_hook(
    int, lambda number, _kind: check_integer(number)
)
converter.register_structure_hook(bool, lambda flag, _kind: check_flag(flag))


def encode(message: object) -> bytes:
    """Encode an attrs message as JSON."""
    return converter.dumps(message)


def decode(encoded: bytes, kind: type[Message]) -> Message:
    """Decode JSON to ``kind``.

    Raises:
        ServiceError: With code BAD_REQUEST if the JSON is malformed or does
            not match ``kind``.
    """
    try:
        return converter.loads(encoded, kind)
    except DECODE_ERRORS as error:
        raise ServiceError(
            Code.BAD_REQUEST,
            f'the JSON is not a valid {kind.__name__}',
        ) from error
