"""What fronts and the waiting part hand each other: tickets, rules, and how a job is shown.  No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..core.transaction import Answer, Job, Transaction
from .plan import Job as Planned
from .plan import State, Why
from .records import Final

STATUS = {Why.UNMET: 424, Why.NEVER: 422, Why.FULL: 429, Why.HOPELESS: 503, Why.LATE: 504, Why.CANCELLED: 410,
          Why.ENDING: 503}


class Front(Protocol):
    """What only the protocol of a front knows."""

    def payload(self, packed: bytes) -> object:
        """The payload of a job whose content was kept."""

    def path(self, payload: object) -> bytes:
        """What routes are told apart by."""

    def status(self, answer: Answer) -> int:
        """The status that an answer has in this front's words, which are HTTP's."""


@dataclass(slots=True, frozen=True)
class Rules:
    """What the operator sets.  Times are microseconds."""

    most: int
    pace: bool
    reserve: float
    longest_us: int
    remember_us: int
    remember_most: int
    keep_us: int
    keep_most: int


class Ticket:
    """One waiting job of a front.  ``final`` is its answer; one that was released has ``transaction``."""

    __slots__ = ("final", "job", "kept", "lasts", "on_change", "payload", "retry_after_us", "transaction")

    def __init__(self, on_change: Callable[[], None], lasts: bool) -> None:
        self.on_change = on_change
        self.lasts = lasts  # it is for the store, which alone holds its body: that is read when it goes
        self.kept = False  # the store has it
        self.job: Job | None = None
        self.payload: object = None
        self.transaction: Transaction | None = None
        self.final: Final | None = None
        self.retry_after_us = 0


def nobody() -> None:
    """Nobody waits for this ticket."""


def ticket_of(job: Planned) -> Ticket:
    assert isinstance(job.what, Ticket)
    return job.what


def final_of(why: Why, now: int) -> Final:
    state = "cancelled" if why is Why.CANCELLED else "failed" if why is Why.LATE else "refused"
    return Final(state, STATUS[why], now, why=why.value)


def shown(job: Planned) -> dict[str, object]:
    ticket = ticket_of(job)
    released = job.state is State.RELEASED or ticket.final is not None
    return {
        "id": job.name, "state": "released" if released else "waiting",
        "due": job.due / 1e6 if job.due else None, "after": list(job.after), "give_up": job.give_up / 1e6,
        "status": None, "result": None,
    }
