"""Lets the C library return the memory of freed bodies to the system."""

import ctypes

M_MMAP_THRESHOLD = -3  # a parameter of mallopt(3)
LARGE_BLOCK_BYTES = 128 * 1024


def map_large_blocks() -> bool:
    """Keep large blocks out of the heap, each in a mapping of its own.

    By default the C library raises the size from which it does so with each large
    block that is freed. Bodies then lie between smaller blocks, and the heap
    keeps their memory.

    Returns:
        Whether the C library can be told so.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    return bool(mallopt and mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
