"""The broadcast queue: which members' states go into the next message, by how often each was sent.  Pure.

Suspicions, deaths and refutations go first, as many as a message takes; then at most
``MAX_JOINS_PER_MESSAGE`` members that joined or came back, or ``MAX_JOINS_SMALL_FLEET`` in a small fleet.  Of
these ``MAX_QUEUED_JOINS`` are queued: anti-entropy spreads the others.  Within each kind the least sent go
first.

Bounds: picking k costs O(k + levels), where a broadcast has at most ``transmit_limit`` levels, 4 *
ceil(log10(N + 2)) for N members (SWIM, section 4.1); nothing is sorted.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_JOINS_PER_MESSAGE = 8
MAX_JOINS_SMALL_FLEET = 32  # in one message of a fleet of at most SMALL_FLEET members
SMALL_FLEET = 200  # members, up to which broadcasts alone reach all soon
MAX_QUEUED_JOINS = 512


class _SendCounts:
    """Places by how often each was sent."""

    __slots__ = ("_sent", "levels")

    def __init__(self) -> None:
        self.levels: list[OrderedDict[str, None]] = []
        self._sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def __contains__(self, place: str) -> bool:
        return place in self._sent

    def put(self, place: str, sent: int) -> None:
        self.drop(place)
        while len(self.levels) <= sent:
            self.levels.append(OrderedDict())
        self.levels[sent][place] = None
        self._sent[place] = sent

    def drop(self, place: str) -> None:
        sent = self._sent.pop(place, None)
        if sent is not None:
            del self.levels[sent][place]

    def take(self, limit: int, transmit_limit: int) -> list[str]:
        """The least sent places, each of which is counted as sent once more."""
        found: list[str] = []
        for level in self.levels:
            for place in level:
                if len(found) >= limit:
                    break
                found.append(place)
            if len(found) >= limit:
                break
        for place in found:
            sent = self._sent[place] + 1
            if sent < transmit_limit:
                self.put(place, sent)
            else:
                self.drop(place)
        return found


class BroadcastQueue:
    """The members whose state is broadcast; ``urgent`` ones before joins."""

    __slots__ = ("_joins", "_urgent")

    def __init__(self) -> None:
        self._urgent = _SendCounts()
        self._joins = _SendCounts()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._joins)

    def __contains__(self, place: str) -> bool:
        return place in self._urgent or place in self._joins

    def put(self, place: str, urgent: bool, sent: int = 0) -> None:
        """Queues a member's state, as if it had been sent ``sent`` times before."""
        self.drop(place)
        if urgent:
            self._urgent.put(place, sent)
        elif len(self._joins) < MAX_QUEUED_JOINS:
            self._joins.put(place, sent)

    def drop(self, place: str) -> None:
        """Removes a member's state, if queued."""
        self._urgent.drop(place)
        self._joins.drop(place)

    def drop_joins(self) -> None:
        """Removes all joins, once every member knows of them."""
        self._joins = _SendCounts()

    def pick(self, limit: int, transmit_limit: int, size: int) -> list[str]:
        """The places for a message with room for ``limit``, in a fleet of ``size``; counted as sent."""
        if limit <= 0:
            return []
        found = self._urgent.take(limit, transmit_limit) if len(self._urgent) else []
        if len(self._joins) and len(found) < limit:
            found += self._joins.take(
                min(MAX_JOINS_PER_MESSAGE if size > SMALL_FLEET else MAX_JOINS_SMALL_FLEET,
                    limit - len(found)),
                transmit_limit,
            )
        return found
