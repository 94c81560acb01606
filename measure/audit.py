"""Incremental check of the members' tables against the members that really run: no I/O, no clock.

The ground truth is what the simulation did: which members run.  A pair (observer, subject) of running members
is right if the observer holds the subject as up (alive or suspect); a pair whose subject has stopped is right
if the observer does not.  Each reported change is counted in one step, so that the moment of convergence is
known to the microsecond without a look at all pairs; ``scan`` looks at all pairs and verifies the counts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from rushsaddle.fleet.members import Change, Members
from rushsaddle.fleet.wire import State

MAX_FALSE_ALIVE_US = 10_000_000  # updates still in transit hold a dead member as up for less than this


class Watch:
    """The time (microseconds) since which a figure has been at most ``most``; None while it is more."""

    def __init__(self, figure: Callable[[], int], most: int) -> None:
        self.figure = figure
        self.most = most
        self.since: int | None = None

    def look(self, now: int) -> None:
        if self.figure() > self.most:
            self.since = None
        elif self.since is None:
            self.since = now


class Audit:
    """Counts right and wrong pairs of members; members are numbered in the order of their first start."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}
        self.places: list[str] = []
        self.is_running: list[bool] = []
        self.held_by: list[int] = []  # by subject: running members that hold it as up
        self.live_held: list[int] = []  # by observer: running members that it holds as up
        self.running = 0
        self.live_pairs_held = 0  # pairs of running members whose observer holds the subject as up
        self.stale_pairs = 0  # pairs of a running observer and a stopped subject held as up
        self.died: dict[int, int] = {}  # by number of a stopped member: when it stopped
        self.detection_us: list[int] = []  # for each pair: from the stop until the subject is not held as up
        self.wrongly_dead: set[int] = set()  # running members that were held as dead
        self.wrong_changes = 0
        self.suspicions = 0  # of running members
        self.is_excused: Callable[[int, int], bool] | None = None  # by observer and subject: partitioned
        self.false_alive_since: dict[tuple[int, int], int] = {}  # stopped, but held as up again: since when
        self.longest_false_alive_us = 0
        self.resurrected: set[int] = set()
        self.watches: list[Watch] = []

    @property
    def missing_pairs(self) -> int:
        """Pairs of running members whose observer does not hold the subject as up."""
        return self.running * (self.running - 1) - self.live_pairs_held

    @property
    def wrong_pairs(self) -> int:
        return self.missing_pairs + self.stale_pairs

    def watch(self, now: int, figure: Callable[[], int], most: int = 0) -> Watch:
        watch = Watch(figure, most)
        watch.look(now)
        self.watches.append(watch)
        return watch

    def look(self, now: int) -> None:
        for watch in self.watches:
            watch.look(now)

    # ------------------------------------------------------------ what the simulation did

    def register(self, place: str) -> int:
        """The number of a member, which is assigned on first use; it need not run yet."""
        number = self.numbers.get(place)
        if number is None:
            number = self.numbers[place] = len(self.places)
            self.places.append(place)
            self.is_running.append(False)
            self.held_by.append(0)
            self.live_held.append(0)
        return number

    def started(self, place: str, now: int, holders: Iterable[str]) -> int:
        """A member has started; ``holders`` already hold it as up, from before a restart."""
        number = self.register(place)
        self.is_running[number] = True
        self.running += 1
        self.live_held[number] = 0
        self.died.pop(number, None)
        for holder in holders:
            by = self.numbers[holder]
            self.live_held[by] += 1
            self.live_pairs_held += 1
            self.stale_pairs -= 1
            self._lowered(by, number, now)
        self.look(now)
        return number

    def killed(self, place: str, now: int, held: Iterable[str], holders: Iterable[str]) -> None:
        """A member has stopped; it held ``held`` as up, and the running ``holders`` hold it as up."""
        number = self.numbers[place]
        self.is_running[number] = False
        self.running -= 1
        self.live_pairs_held -= self.live_held[number]
        for other in held:
            of = self.numbers[other]
            self.held_by[of] -= 1
            if not self.is_running[of]:
                self.stale_pairs -= 1
                self._lowered(number, of, now)
        for holder in holders:
            self.live_held[self.numbers[holder]] -= 1
            self.live_pairs_held -= 1
            self.stale_pairs += 1
        self.died[number] = now
        self.look(now)

    # ------------------------------------------------------------ what members report

    def changed(self, place: str, changes: Iterable[Change], now: int) -> None:
        """Count changes in the table of the member at ``place``; RuntimeError on an unknown subject."""
        numbers, by = self.numbers, self.numbers[place]
        for of_place, before, state in changes:
            of = numbers.get(of_place)
            if of is None:
                raise RuntimeError(f"{place} holds {of_place} as {state.name}, which never existed")
            was = before is State.ALIVE or before is State.SUSPECT
            now_up = state is State.ALIVE or state is State.SUSPECT
            if was is now_up:
                self.suspicions += state is State.SUSPECT and self.is_running[of]
                continue
            step = 1 if now_up else -1
            self.held_by[of] += step
            if self.is_running[of]:
                self.live_held[by] += step
                self.live_pairs_held += step
                if state is State.DEAD and not (self.is_excused and self.is_excused(by, of)):
                    self.wrong_changes += 1
                    self.wrongly_dead.add(of)
            else:
                self.stale_pairs += step
                if now_up:
                    self.false_alive_since[by, of] = now
                else:
                    self.detection_us.append(now - self.died[of])
                    self._lowered(by, of, now)
        self.look(now)

    def _lowered(self, by: int, of: int, now: int) -> None:
        since = self.false_alive_since.pop((by, of), None)
        if since is not None:
            self.longest_false_alive_us = max(self.longest_false_alive_us, now - since)
            if now - since > MAX_FALSE_ALIVE_US:
                self.resurrected.add(of)

    def resurrections(self, among: Iterable[str]) -> int:
        """How many of these stopped members were held as up again for too long, or still are."""
        chosen = {self.numbers[place] for place in among}
        return len(chosen & (self.resurrected | {of for _, of in self.false_alive_since}))

    # ------------------------------------------------------------ verification

    def scan(self, members: Mapping[str, Members]) -> None:
        """Look at all pairs; raises RuntimeError if the counts are wrong."""
        up_by, ghosts = [0] * len(self.places), 0
        if {self.numbers[place] for place in members} != {n for n, up in enumerate(self.is_running) if up}:
            raise RuntimeError("audit: the running members differ from those counted")
        for place, member in members.items():
            right = 0
            for other in member.up():
                of = self.numbers[other.place]
                up_by[of] += 1
                if self.is_running[of]:
                    right += 1
                else:
                    ghosts += 1
            if right != self.live_held[self.numbers[place]]:
                raise RuntimeError(f"audit: {place} holds {right} running as up, counted {self.live_held}")
        if up_by != self.held_by or ghosts != self.stale_pairs:
            raise RuntimeError(f"audit: {ghosts} stale pairs, counted {self.stale_pairs}")
