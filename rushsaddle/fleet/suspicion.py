"""When a suspect is declared dead: earlier the more members accuse it, later after a local stall.  Pure.

Deadlines are kept in a heap in local running time (``now - shift``): a stall moves all of them in O(1), a new
suspicion or accuser costs O(log S) for S suspects.  Outdated heap items are skipped when they come up; the
heap is rebuilt once over three quarters of it are outdated (amortised O(1) each).
Source: Lifeguard (Dadgar, Phillips, Currey 2018).
"""

from __future__ import annotations

from collections.abc import Iterable, KeysView
from heapq import heapify, heappop, heappush

CONFIRMATIONS = 2  # further accusers that shorten a suspicion to its minimum


class SuspicionTimers:
    """The suspects, with their accusers and deadlines."""

    __slots__ = ("_accusations", "_heap", "_shift", "min_us")

    def __init__(self, min_us: int) -> None:
        self.min_us = min_us
        self._accusations: dict[str, tuple[int, ...]] = {}  # start of the suspicion, then the accusers
        self._heap: list[tuple[int, str]] = []  # deadline (local running time), place
        self._shift = 0

    @property
    def places(self) -> KeysView[str]:
        return self._accusations.keys()

    def __len__(self) -> int:
        return len(self._accusations)

    def stalled(self, late: int) -> None:
        """Postpones all deadlines by a stall of this process."""
        self._shift += late

    def begin(self, place: str, now: int) -> None:
        """Starts, or restarts, the suspicion of a member."""
        self._accusations[place] = (now - self._shift,)

    def end(self, place: str) -> None:
        """Ends a suspicion: the member has refuted, left or died."""
        self._accusations.pop(place, None)

    def last_accuser(self, place: str) -> int:
        """The checksum of the last accuser; 0 if none is known."""
        found = self._accusations.get(place, ())
        return found[-1] if len(found) > 1 else 0

    def accuse(self, place: str, accuser: int, size: int) -> bool:
        """Adds an accuser in a fleet of ``size``; returns whether it is new and still shortens the time."""
        found = self._accusations[place]
        if accuser in found[1:] or len(found) > CONFIRMATIONS + 1:
            return False
        self._accusations[place] = (*found, accuser)
        self._push(place, size)
        return True

    def reschedule(self, size: int) -> None:
        """Recomputes all deadlines, as the size of a small fleet affects them."""
        for place in self._accusations:
            self._push(place, size)

    def due(self, now: int, size: int, limit: int) -> Iterable[str]:
        """Suspects whose time is up, to be ended one by one; one that is not ended comes up again, once for
        each accuser.  At most ``limit`` heap items are examined."""
        local = now - self._shift
        for _ in range(limit):
            if not self._heap or self._heap[0][0] > local:
                return
            _, place = heappop(self._heap)
            if place not in self._accusations:
                continue
            deadline = self._deadline(place, size)
            if deadline <= local:
                yield place
            else:
                heappush(self._heap, (deadline, place))

    @property
    def next_deadline_us(self) -> int | None:
        return self._heap[0][0] + self._shift if self._heap else None

    def _push(self, place: str, size: int) -> None:
        heappush(self._heap, (self._deadline(place, size), place))
        if len(self._heap) > 4 * (CONFIRMATIONS + 1) * len(self._accusations) + 1024:
            self._heap = [(self._deadline(suspect, size), suspect) for suspect in self._accusations]
            heapify(self._heap)

    def _deadline(self, place: str, size: int) -> int:
        """The end of the time to refute, in local running time."""
        since, *accusers = self._accusations[place]
        wanted = max(0, min(CONFIRMATIONS, size - 2))
        missing = max(0, wanted + 1 - len(accusers))
        return since + (self.min_us * (2 + missing) // 2 if wanted else self.min_us)
