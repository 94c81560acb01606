"""How many more slots released jobs may take now: the pace of release, without I/O, clock or threads.

What all others hold at the senders is told by their reports, late: slots in all, less those free, less what
our released jobs held when the reports were made.  What is then left, less a reserve for fresh traffic, is
ours to fill; how fast we fill it is bounded by our share of the nodes, for others see the same room.  Over
that lies a bound of its own that grows by served jobs and halves on refused ones: reports can be old, and
senders that hang go on claiming room.  Where no figures come it is the only bound.

Times are microseconds, slots the senders' own units.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

START = 4.0  # slots that released jobs may take before anything is known
LEAST = 2.0  # ... and at the least: a job of two slots must be able to go
GROWTH = 1.0  # slots that the bound grows by for each slot served, until it was halved once
LOSS = 0.5  # what a refused job leaves of the bound
LATE_LOSS = 0.9  # ... and one that ended late: a sender that hangs is no sign of a crowd
SMOOTH = 0.1  # weight of the newest observation in running means
FALL = 0.2  # what others hold is believed to shrink so much more slowly than to grow
STALE = 4.0  # a sender that was not heard for so many usual spacings counts for nothing
SPACING_US = 1_000_000.0  # between reports of a sender, before it is known
SAMPLE_US = 50_000  # between notes of how much released jobs held
SAMPLES = 64
RISE = 0.25  # answers that take long, often behind a sender in trouble, say so much less of running times
BEST_KEEP = 0.98  # what is left of the best rate seen ...
BEST_US = 2_000_000  # ... after each of these
SWEEP_US = 500_000  # between looks for senders that are silent


class Heard:
    """The newest figures of one sender."""

    __slots__ = ("at", "free", "total")

    def __init__(self) -> None:
        self.free = 0.0
        self.total = 0.0
        self.at = -1  # not heard


class Room:
    """One node's view.  ``usual_us``: running time by class, before it is known; ``reserve``: share of all
    slots that is left to fresh traffic; ``nodes``: how many nodes share the senders."""

    def __init__(self, usual_us: Sequence[float], reserve: float, nodes: int) -> None:
        self.reserve = reserve
        self.nodes = max(1, nodes)
        self.out = 0.0  # slots of released jobs that have no answer yet
        self.open = 0.0  # slots of all jobs of this node that have no answer yet, fresh ones too
        self.bound = START
        self._run = list(usual_us)
        self._slow_start = True
        self._lost_at = 0
        self._senders: dict[str, Heard] = {}
        self._total = 0.0  # of all that are heard
        self._free = 0.0
        self._others = 0.0  # slots held by everything but released jobs, a running mean
        self._spacing = SPACING_US
        self._samples: deque[tuple[int, float]] = deque([(0, 0.0)], SAMPLES)
        self._fill = 0.0  # slots that may be taken until more reports come
        self._best = 0.0
        self._best_at = 0
        self._swept_at = 0

    # ------------------------------------------------------------ what is told

    def listed(self, senders: Iterable[str], complete: bool) -> None:
        """These take new work; with ``complete`` no others do."""
        names = set(senders)
        for name in names:
            self._senders.setdefault(name, Heard())
        if complete:
            for name in [n for n in self._senders if n not in names]:
                self.unlisted(name)

    def unlisted(self, sender: str) -> None:
        """It drains or is gone: its room is not ours to take."""
        heard = self._senders.pop(sender, None)
        if heard is not None:
            self._total -= heard.total if heard.at >= 0 else 0.0
            self._free -= heard.free if heard.at >= 0 else 0.0

    def report(self, now: int, sender: str, free: float) -> None:
        """The free slots of one sender's newest report."""
        heard = self._senders.get(sender)
        if heard is None or not 0.0 <= free < 1e9:
            return
        if heard.at >= 0:
            self._total -= heard.total
            self._free -= heard.free
            self._spacing += SMOOTH * (min(now - heard.at, 8 * SPACING_US) - self._spacing)
        heard.at, heard.free = now, free
        heard.total = max(heard.total, free)
        self._total += heard.total
        self._free += heard.free
        # Released jobs that no sender has begun yet are no room: own fresh ones are counted, not inferred.
        others = max(self.open - self.out, self._total - self._free - self._held(now))
        step = min(1.0, SMOOTH * 10 / max(1, len(self._senders)))
        if others < self._others:
            step *= FALL
        self._others += step * (others - self._others)
        # Our share of what is free, dealt out as the reports come in.
        share = self._free / self.nodes
        self._fill = min(share, self._fill + share / max(1, len(self._senders)))

    def run(self, cls: int, took_us: float) -> None:
        """A job of this class was served in this time."""
        step = SMOOTH if took_us < self._run[cls] else SMOOTH * RISE
        self._run[cls] += step * (min(took_us, 2.0 * self._run[cls]) - self._run[cls])

    def served(self, now: int, slots: float) -> None:
        """A released job was served."""
        self._back(now, slots)
        if self.out + slots >= self.bound / 2:  # a bound that is not used shows nothing
            self.bound += GROWTH * slots if self._slow_start else slots / max(1.0, self.bound)
        if self._total:
            self.bound = min(self.bound, max(START, self._total))

    def refused(self, now: int, slots: float) -> None:
        """A released job found no room: the pace was too high."""
        self._loss(now, slots, LOSS)
        self._slow_start = False

    def late(self, now: int, slots: float) -> None:
        """A released job failed or was given up; its sender may have been silent."""
        self._loss(now, slots, LATE_LOSS)

    # ------------------------------------------------------------ what is asked

    def run_us(self, cls: int) -> float:
        """The usual running time of a class."""
        return self._run[cls]

    def fits(self, now: int, slots: float) -> bool:
        """One more job of this size may be released.  One that is larger than all there is may go alone."""
        return self.out <= 0.0 or self.out + slots <= self._cap(now)

    def take(self, now: int, slots: float) -> None:
        self._note(now)
        self.out += slots
        self._fill -= slots

    def give_back(self, now: int, slots: float) -> None:
        """A job that was to go did not: nothing is learnt of the pace."""
        self._back(now, slots)

    def best(self, now: int) -> float:
        """The most slots that released jobs could have had at once in the last seconds; 0: not known."""
        while self._best_at + BEST_US < now and self._best > 0.0:
            if self._best_at + 100 * BEST_US < now:
                self._best_at, self._best = now, 0.0
                break
            self._best_at += BEST_US
            self._best *= BEST_KEEP
        seen = max(self.out, self._total - self._others) if self._total else 0.0
        if seen > self._best:
            self._best, self._best_at = seen, now
        return self._best

    def figures(self) -> dict[str, float]:
        """For people: slots in all and free as reported, held by others, taken, and the bound."""
        figures = {
            "total": self._total, "free": self._free, "others": self._others, "out": self.out,
            "bound": self.bound, "fill": self._fill,
        }
        return {name: round(value, 1) for name, value in figures.items()}

    def _cap(self, now: int) -> float:
        if now - self._swept_at > SWEEP_US:
            self._sweep(now)
        if self._total <= 0.0:
            return self.bound
        ours = self._total * (1.0 - self.reserve) - self._others
        return max(LEAST, min(self.bound, ours, self.out + max(0.0, self._fill)))

    # ------------------------------------------------------------ the rest

    def _sweep(self, now: int) -> None:
        self._swept_at = now
        before = now - STALE * self._spacing
        for heard in self._senders.values():
            if 0 <= heard.at < before:
                self._total -= heard.total
                self._free -= heard.free
                heard.at = -1

    def _back(self, now: int, slots: float) -> None:
        self._note(now)
        self.out = max(0.0, self.out - slots)
        self._fill += slots  # what we give back is ours to take again before reports tell of it

    def _loss(self, now: int, slots: float, keep: float) -> None:
        """A crowd that was released together is refused together: one loss in the time of a round."""
        self._back(now, slots)
        if now - self._lost_at > self._spacing:
            self._lost_at = now
            self.bound = max(LEAST, self.bound * keep)

    def _note(self, now: int) -> None:
        if now - self._samples[-1][0] >= SAMPLE_US:
            self._samples.append((now, self.out))

    def _held(self, now: int) -> float:
        """What released jobs held when the reports that come now were made: half a spacing ago."""
        then = now - self._spacing / 2
        held = 0.0
        for at, out in reversed(self._samples):
            held = out
            if at <= then:
                break
        return min(held, self.out) if now - self._samples[-1][0] > self._spacing else held
