"""Settings of the C library's allocator."""

from __future__ import annotations

import ctypes
from contextlib import suppress

M_MMAP_THRESHOLD = -3  # of mallopt(3)
RETURNED_BYTES = 8 * 1024  # blocks of this size and more go back to the system once they are freed


def return_large_blocks() -> None:
    """Have large blocks returned to the system when they are freed.

    Otherwise the process keeps the peak of a crowd's bodies, which counts against the node's limit while its
    successor holds the same bodies.  No effect where the C library has no ``mallopt``.
    """
    with suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, RETURNED_BYTES)
