"""The ids of requests that must not run again: open ones, and those that may have run lately.  No I/O.

A client or a proxy may send a request again under its id after it left, or at another process of this node.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

RETENTION_US = 60_000_000  # how long an id is remembered; copies of a request come within seconds
MAX_REMEMBERED = 16_384  # ids; beyond that the oldest are forgotten


class RememberedIds:
    """Ids, each for ``RETENTION_US``, the newest ``MAX_REMEMBERED`` of them."""

    def __init__(self, now_us: Callable[[], int]) -> None:
        self._now_us = now_us
        self._until_us: dict[str, int] = {}  # oldest first

    def __contains__(self, name: str) -> bool:
        until = self._until_us.get(name)
        return until is not None and self._now_us() < until

    def __iter__(self) -> Iterator[str]:
        return iter(self._until_us)

    def add(self, name: str) -> None:
        """Remember an id from now on."""
        now, ids = self._now_us(), self._until_us
        ids.pop(name, None)
        ids[name] = now + RETENTION_US
        while len(ids) > MAX_REMEMBERED or ids[next(iter(ids))] <= now:
            del ids[next(iter(ids))]

    def discard(self, name: str) -> None:
        """Forget an id."""
        self._until_us.pop(name, None)


class Claim:
    """An id that is about to be used here, until the other processes of this node have answered."""

    __slots__ = ("on_settled", "refused", "unanswered")

    def __init__(self, on_settled: Callable[[], None]) -> None:
        self.on_settled = on_settled
        self.refused = False
        self.unanswered = 0  # processes that were asked

    @property
    def settled(self) -> bool:
        """Whether there is nothing more to wait for."""
        return self.refused or self.unanswered <= 0

    def answer(self, granted: bool) -> None:
        """Take the answer of one process."""
        self.unanswered -= 1
        self.refused = self.refused or not granted
        self.on_settled()


class RequestIds:
    """Ids in use here, and remembered ones, those of other processes of this node included.

    An id is claimed before a request that must not run twice is sent on: the other processes refuse it where
    they have it. If two claim it in the same moment, the older process has it.
    """

    def __init__(self, now_us: Callable[[], int]) -> None:
        self._open: dict[str, bool] = {}  # whether a second run would do harm
        self._ran = RememberedIds(now_us)  # may have run here
        self._elsewhere = RememberedIds(now_us)  # another process of this node has them, or has run them
        self._claims: dict[str, Claim] = {}
        self.ask: Callable[[str], int] = lambda name: 0  # asks other processes; returns how many will answer
        self.on_taken: Callable[[str], None] = lambda name: None  # an id that must not run twice is open
        self.on_released: Callable[[str], None] = lambda name: None  # it has not run, and may come again

    def take(self, name: str, once: bool) -> None:
        """Open an id; ``once``: a second run of it would do harm."""
        self._open[name] = once
        claimed = self._claims.pop(name, None) is not None
        if once and not claimed:
            self.on_taken(name)

    def claim(self, name: str, on_settled: Callable[[], None]) -> Claim:
        """Ask the other processes for an id, which is then taken or withdrawn."""
        claim = self._claims[name] = Claim(on_settled)
        claim.unanswered = self.ask(name)
        return claim

    def withdraw(self, name: str) -> None:
        """End the claim, if any, of an id that is not used here; if it was refused, others use it."""
        claim = self._claims.pop(name, None)
        if claim is not None and not claim.refused:
            self.on_released(name)

    def answered(self, name: str, granted: bool) -> None:
        """Another process has answered the claim of an id."""
        if name in self._claims:
            self._claims[name].answer(granted)

    def asked(self, name: str, by_older: bool) -> bool:
        """Whether another process may use an id that it claims; ``by_older``: it is older than this one."""
        claim = self._claims.get(name)
        if name in self._open or self.has_run(name) or (claim is not None and not by_older):
            return False
        if claim is not None:
            claim.answer(granted=False)
        self._elsewhere.add(name)
        return True

    def release(self, name: str, may_have_run: bool) -> None:
        """End the use of an id, and remember it if it may have run and must not run again."""
        if not self._open.pop(name):
            return
        if may_have_run:
            self._ran.add(name)
        else:
            self.on_released(name)

    def is_open(self, name: str) -> bool:
        """Whether the request is in progress here, or about to be."""
        return name in self._open or name in self._claims

    def has_run(self, name: str) -> bool:
        """Whether the request may have run lately, or is in progress at another process of this node."""
        return name in self._ran or name in self._elsewhere

    def taken_elsewhere(self, names: Iterable[str]) -> None:
        """Another process of this node has these requests, or they may have run there."""
        for name in names:
            self._elsewhere.add(name)

    def released_elsewhere(self, name: str) -> None:
        """Another process of this node has not run this request, and has it no more."""
        self._elsewhere.discard(name)

    def known(self) -> list[str]:
        """All ids that must not run again and that other processes may not know."""
        return [*self._ran, *(name for name, once in self._open.items() if once)]
