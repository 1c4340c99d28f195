"""Tables, partitions, keys and encoding of the rows that the service stores."""

import zlib

from attrs import frozen
from cattrs.gen import make_dict_unstructure_fn, override
from sequoia_policy.liveness import Heartbeat
from sequoia_policy.submissions import ItemResult, Ownership, Submission
from sequoia_wire.codecs import converter, decode, encode

from sequoia_rollouts.storage.stores import RowKey, RowRange, RowWrite

OWNERSHIP = 'ownership'
SPECIFICATIONS = 'specifications'
RESULTS = 'results'
PROGRESS = 'progress'
COORDINATORS = 'coordinators'  # one partition: a read shows one moment
KEYS = 'keys'
HOSTS = 'hosts'  # a partition per failure domain
PARTITIONS = tuple(f's{number:02d}' for number in range(16))
MAX_ROW_BYTES = 45000  # raw bytes; longer content is split over rows
SUBMISSION_PREFIX = 'submission/'
DUTY_PREFIX = 'duty/'
AFTER_SLASH = '0'  # follows '/' in byte order; ends a range of keys

# Heartbeats are written and read all the time; most deployments have no use for
# this field.
converter.register_unstructure_hook(
    Heartbeat,
    make_dict_unstructure_fn(
        Heartbeat, converter, wall_ahead=override(omit_if_default=True)
    ),
)


@frozen
class Duty:
    """Ownership of a task that only one host may perform at a time."""

    owner: str


def find_partition(name: str) -> str:
    """Return the partition that holds all rows of a submission or duty."""
    return PARTITIONS[zlib.crc32(name.encode()) % len(PARTITIONS)]


def submission_key(submission_id: str) -> RowKey:
    """Return the key of a submission's ownership."""
    partition = find_partition(submission_id)
    return RowKey(OWNERSHIP, partition, f'{SUBMISSION_PREFIX}{submission_id}')


def duty_key(name: str) -> RowKey:
    """Return the key of a duty's ownership."""
    return RowKey(OWNERSHIP, find_partition(name), f'{DUTY_PREFIX}{name}')


def lease_key(name: str) -> RowKey:
    """Return the key of a coordinator lease."""
    return RowKey(COORDINATORS, '', name)


def peer_keys_key() -> RowKey:
    """Return the key of the secrets that all hosts share."""
    return RowKey(KEYS, '', 'peers')


def member_key(domain: str, host: str) -> RowKey:
    """Return the key of a host's announcement."""
    return RowKey(HOSTS, domain, host)


def read_ownership(body: bytes) -> Ownership:
    """Decode the ownership of a submission.

    Raises:
        ServiceError: If it cannot be decoded.
    """
    return decode(body, Ownership)


def read_duty(body: bytes) -> Duty:
    """Decode the ownership of a duty.

    Raises:
        ServiceError: If it cannot be decoded.
    """
    return decode(body, Duty)


def read_heartbeat(body: bytes) -> Heartbeat:
    """Decode a heartbeat.

    Raises:
        ServiceError: If it cannot be decoded.
    """
    return decode(body, Heartbeat)


def write_ownership(submission_id: str, ownership: Ownership) -> RowWrite:
    """Return the write of a submission's ownership."""
    return RowWrite(submission_key(submission_id), encode(ownership))


def write_specification(submission: Submission) -> tuple[RowWrite, ...]:
    """Return the writes that store a submission's specification."""
    return split_content(
        SPECIFICATIONS,
        submission.id,
        submission.id,
        encode(submission),
    )


def write_result(
    submission_id: str,
    position: int,
    item_result: ItemResult,
) -> tuple[RowWrite, ...]:
    """Return the writes that store the result at a position."""
    return split_content(
        RESULTS,
        submission_id,
        f'{submission_id}/{position:06d}',
        encode(item_result),
    )


def split_content(
    table: str,
    submission_id: str,
    prefix: str,
    content: bytes,
) -> tuple[RowWrite, ...]:
    """Split content over rows of at most MAX_ROW_BYTES."""
    partition = find_partition(submission_id)
    starts = range(0, max(1, len(content)), MAX_ROW_BYTES)
    return tuple(
        RowWrite(
            RowKey(table, partition, f'{prefix}/{number:04d}'),
            content[start : start + MAX_ROW_BYTES],
        )
        for number, start in enumerate(starts)
    )


def specification_range(submission_id: str) -> RowRange:
    """Return the key range of a submission's specification."""
    return RowRange(
        SPECIFICATIONS,
        find_partition(submission_id),
        f'{submission_id}/',
        f'{submission_id}{AFTER_SLASH}',
    )


def results_range(submission_id: str, after: int = 0) -> RowRange:
    """Return the key range of a submission's results from a position on."""
    return RowRange(
        RESULTS,
        find_partition(submission_id),
        f'{submission_id}/{after:06d}/',
        f'{submission_id}{AFTER_SLASH}',
    )


def progress_key(
    submission_id: str,
    item_id: str,
    restart: int,
    start: int,
) -> RowKey:
    """Return the key of an item's events from a position on."""
    return RowKey(
        PROGRESS,
        find_partition(submission_id),
        f'{submission_id}/{item_id}/{restart:04d}/{start:06d}',
    )


def progress_range(submission_id: str) -> RowRange:
    """Return the key range of the saved events of a submission's items."""
    return RowRange(
        PROGRESS,
        find_partition(submission_id),
        f'{submission_id}/',
        f'{submission_id}{AFTER_SLASH}',
    )
