"""Tracks which next hops are leaving, and since when, so that an older list does not bring them back.

No I/O and no clock.  A next hop that is draining or gone stays so until a list reinstates it: a list that is
not older than the newest one received, or one with a later start of the next hop than the one that left.
"""

from __future__ import annotations

from dataclasses import replace

from tansygw.interface import WorkerEntry, WorkerState

from .list_entries import Address

Entries = list[tuple[WorkerEntry, Address]]

MAX_DEPARTED = 8_192  # bounds the memory; the longest departed are dropped first


class Departures:
    """The next hops that are leaving or gone, according to the lists of one service."""

    def __init__(self) -> None:
        self.ready: dict[str, int] = {}  # by uid: its last start
        self.departed: dict[str, tuple[int, int]] = {}  # by uid: when it was learned, and of which start
        self.newest = 0  # version of the service's newest list

    def reset_version(self) -> None:
        """Forget the newest version after a change of service: each numbers its lists on its own."""
        self.newest = 0

    def apply_list(self, now: int, entries: Entries, whole: bool, version: int) -> Entries:
        """Record a list; return its entries, with stale ones corrected to DRAINING.

        ``whole``: the list names all next hops, so absent ones have left.
        """
        older = version < self.newest
        self.newest = max(self.newest, version)
        corrected: Entries = []
        named = set()
        for entry, address in entries:
            uid, started = entry.worker, entry.started_us
            named.add(uid)
            before = self.departed.get(uid)
            if entry.state is not WorkerState.READY:
                self._left(uid, now, max(started, before[1] if before is not None else 0))
            elif older and before is not None and started <= before[1]:
                entry = replace(entry, state=WorkerState.DRAINING, started_us=before[1])
            else:
                self.departed.pop(uid, None)
                self.ready[uid] = started
            corrected.append((entry, address))
        if whole and not older:
            for uid in [uid for uid in self.ready if uid not in named]:
                self._left(uid, now, self.ready[uid])
        return corrected

    def departed_since(self, uid: str) -> int | None:
        """Return when the departure of a next hop was learned, or None where it is not leaving."""
        departure = self.departed.get(uid)
        return None if departure is None else departure[0]

    def _left(self, uid: str, now: int, started: int) -> None:
        self.ready.pop(uid, None)
        first = self.departed.get(uid)
        if first is None and len(self.departed) >= MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]
        self.departed[uid] = (now if first is None else first[0], started)
