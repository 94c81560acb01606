"""What a dispatcher knows of one worker: its entry in the list, its newest figures, own traffic, health.

Facts only; who may get work, and who gets it, is decided in decide.py.
"""

from __future__ import annotations

from collections import deque
from math import isfinite
from typing import Any

from .interface import Report, Settings
from .pace import Pace
from .peers import key_of

Attempt = Any  # the decisions' own record of one, which knows its worker in turn

LAG = 1.0  # a new figure is taken to be this share of the usual report spacing old when first seen
PACE_KEEP = 0.9  # a worker's pace is that of about its last ten jobs: slowness comes and goes
SLOTS_MOST = 10_000.0  # no machine has more slots: such a figure would stand as T_j and open a cold budget


def number(value: Any) -> float | None:
    """A figure of a report, or None where it makes no sense."""
    if isinstance(value, (int, float)) and isfinite(value) and value >= 0:
        return float(value)
    return None


class Worker:
    """What this dispatcher knows of one worker."""

    __slots__ = ("asked", "blocked", "cell", "cold_credit", "cold_from", "cold_paid", "delta", "down",
                 "errors", "faults", "figures", "free", "heard", "hint", "key", "kind", "listed", "live",
                 "lost_at", "memory", "moves", "name", "out", "pace", "past", "probing", "proofs", "ready",
                 "retry_at", "risk_at", "seats", "seen", "started_us", "strikes", "total", "trial", "waiting",
                 "well_at", "zone")

    def __init__(self, name: str) -> None:
        self.name = name
        self.key = key_of(name)
        self.zone = self.kind = self.cell = 0
        self.hint = 1.0
        self.ready = False
        self.listed = False  # discovery names it, ready or not
        self.live = True
        self.started_us = 0
        self.cold_from: int | None = None  # when it started, while it may be cold
        self.cold_credit = 0.0  # slot time that may be sent to it while it is cold
        self.cold_paid: int | None = None  # up to when the credit is counted
        # the newest figures
        self.figures: Report | None = None
        self.heard: int | None = None  # when the newest figures came
        self.seen: int | None = None  # when they were first seen
        self.free = 0.0  # slots free; below 0, slots' worth of jobs that wait there
        self.blocked = 0  # it turned a job away: nothing more until then
        self.memory: float | None = None
        self.total = 0.0  # T_j: the largest free-slot figure it has reported
        self.seats = 0.0  # the most jobs it held while it had room: beyond this they wait
        self.asked = False  # a check is out
        self.probing = False  # its checks go on: one is out, or due
        # own traffic
        self.out = 0.0  # slots of own attempts out
        self.moves: deque[tuple[int, float]] = deque()  # own slots taken and given back since the figures
        self.delta = 0.0
        self.waiting: dict[Attempt, None] = {}  # own attempts without a start note, oldest first
        # health
        self.pace = Pace(PACE_KEEP)
        self.faults = 0
        self.past = 0  # faults before it was trusted again
        self.well_at = 0  # when that was
        self.proofs = 0  # successes that are still wanted before it is trusted again
        self.errors = 0.0  # a second, by its newest report
        self.retry_at = 0  # left out until then
        self.risk_at = 0  # ... by jobs that must not run twice
        self.strikes = 0  # jobs that broke off or found no connection since the last success
        self.lost_at: int | None = None  # since when no connection was to be had
        self.down = False  # ... for so long that it may come back cold
        self.trial: Attempt | None = None

    def learn(self, report: Report, now: int, spacing: float) -> bool:
        """Take the figures of a report; True where they are new."""
        self.errors = number(report.get("eps")) or 0.0
        if report == self.figures:
            self.heard = now
            return False
        free, util = number(report.get("free_slots")), number(report.get("util"))
        if free is not None and free > SLOTS_MOST:
            free = None
        if free is None and util is None:
            return False
        self.figures = report
        self.heard = self.seen = now
        if free is not None:
            self.total = max(self.total, free)
            held, queued = number(report.get("inflight")), number(report.get("queue"))
            if held is not None and free >= 1.0:
                self.seats = max(self.seats, held + free)
            if queued is None and held is not None:
                queued = held - max(self.seats, self.total)
            self.free = free - queued if free < 0.5 and queued is not None and queued > 0 else free
        else:  # no slot totals: count in shares of the most that it was seen to hold
            self.total = max(self.total, self.out, number(report.get("inflight")) or 0.0, 1.0)
            self.free = (1.0 - min(util or 0.0, 1.0)) * self.total
        self.memory = number(report.get("free_memory"))
        taken = now - LAG * spacing
        moves = self.moves
        while moves and moves[0][0] < taken:
            self.delta -= moves.popleft()[1]
        return True

    def moved(self, now: int, slots: float) -> None:
        """Own slots taken (or given back, if negative) since the figures were taken."""
        self.out += slots
        self.moves.append((now, slots))
        self.delta += slots
        if len(self.moves) > 256:
            self.delta -= self.moves.popleft()[1]

    def forget(self) -> None:
        """A new process: the old figures and faults say nothing of it."""
        self.figures = None
        self.heard = self.seen = None
        self.memory = None
        self.faults = self.past = self.proofs = self.strikes = 0
        self.lost_at = None
        self.errors = 0.0
        self.down = False
        self.trial = None

    def capacity(self, now: int, settings: Settings) -> float:
        """The least share of its full capacity that it must have by now."""
        rules = settings.rules
        if self.cold_from is None or rules.cold_us <= 0:
            return 1.0
        share = rules.cold_share + (1.0 - rules.cold_share) * max(0, now - self.cold_from) / rules.cold_us
        if share >= 1.0:
            self.cold_from = None
            return 1.0
        return share
