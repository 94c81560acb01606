"""The memory that large requests may take, by the limit of all of the node's processes together.

A large request reserves its memory before it is read, and is then read to its end; those that find no room
wait in order, while TCP flow control slows their senders.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .memory_usage import resident_bytes

SAMPLE_INTERVAL_US = 2_000  # the figure may be so old
RESERVED_SHARE = 8  # a part of the limit, one in so many, is kept free
MIN_RESERVED_BYTES = 4 * 2**20
# A part of the limit, one in so many, that large requests may take however much else is in use: processes
# without a single caller come close to a small limit.
FLOOR_SHARE = 32
LARGE_BYTES = 16 * 1024  # smaller requests, with their heads, reserve nothing


class Reservation:
    """The memory of one large request, from before it is read until it is answered or given up."""

    __slots__ = ("granted_us", "on_granted", "size", "unread")

    def __init__(self, size: int, on_granted: Callable[[], None]) -> None:
        self.size = size  # bytes
        self.unread = size  # of these, the ones that were not received yet
        self.on_granted = on_granted
        self.granted_us: int | None = None  # time of the grant

    @property
    def granted(self) -> bool:
        return self.granted_us is not None

    def receive(self, count: int) -> None:
        """Note that ``count`` more bytes were received, which the memory in use includes from now on."""
        self.unread = max(0, self.unread - count)


class MemoryBudget:
    """Grants reservations; ``limit_bytes`` returns the node's limit."""

    def __init__(self, now_us: Callable[[], int], limit_bytes: Callable[[], int]) -> None:
        self._now_us = now_us
        self._limit_bytes = limit_bytes
        self._sampled_us = 0
        self._used_bytes = 0  # at the latest sample
        self._granted: dict[Reservation, None] = {}
        self._waiting: dict[Reservation, None] = {}  # oldest first
        self.shortages = 0  # reservations that had to wait
        self.connections: Callable[[], int] = lambda: 0  # each may take ``LARGE_BYTES`` without a reservation
        self.other_processes: Callable[[], Iterable[int]] = lambda: ()  # ids of the node's other processes

    @property
    def is_short(self) -> bool:
        """Whether memory is short, so that what nobody reads or finishes is dropped."""
        return bool(self._waiting) or self._used() > self._usable_bytes

    @property
    def _usable_bytes(self) -> int:
        limit = self._limit_bytes()
        return limit - max(MIN_RESERVED_BYTES, limit // RESERVED_SHARE)

    def reserve(self, size: int, on_granted: Callable[[], None]) -> Reservation:
        """Ask for ``size`` bytes, which are granted at once or later; to be released in any case."""
        reservation = Reservation(size, on_granted)
        self._waiting[reservation] = None
        self.grant()
        self.shortages += not reservation.granted
        return reservation

    def release(self, reservation: Reservation) -> None:
        """End a reservation, granted or not."""
        self._waiting.pop(reservation, None)
        self._granted.pop(reservation, None)
        self.grant()

    def grant(self) -> None:
        """Grant waiting reservations in order, as far as there is memory."""
        while self._waiting:
            first = next(iter(self._waiting))
            if not self._fits(first.size):
                return
            del self._waiting[first]
            self._granted[first] = None
            first.granted_us = self._now_us()
            first.on_granted()

    def _fits(self, size: int) -> bool:
        granted = sum(reservation.size for reservation in self._granted)
        return granted + size <= self._limit_bytes() // FLOOR_SHARE or self.has_room(size)

    def has_room(self, size: int) -> bool:
        """Whether there is memory for so many bytes beside all that is in use or may still come."""
        coming = sum(reservation.unread for reservation in self._granted) + self.connections() * LARGE_BYTES
        return self._used() + coming + size <= self._usable_bytes

    def _used(self) -> int:
        """Resident memory of all processes of the node."""
        now = self._now_us()
        if now >= self._sampled_us + SAMPLE_INTERVAL_US:
            self._sampled_us = now
            self._used_bytes = resident_bytes() + sum(resident_bytes(pid) for pid in self.other_processes())
        return self._used_bytes
