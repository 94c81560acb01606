"""What protocol front ends and deferred jobs share: handles, options and the JSON form of a job.  No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..core.transaction import Answer, Job, Transaction
from .records import FinalAnswer
from .scheduler import EndReason, State
from .scheduler import Job as ScheduledJob

STATUS = {
    EndReason.DEPENDENCY_FAILED: 424, EndReason.UNSATISFIABLE: 422, EndReason.QUEUE_FULL: 429,
    EndReason.DEADLINE_UNREACHABLE: 503, EndReason.TIMED_OUT: 504, EndReason.CANCELLED: 410,
    EndReason.SHUTTING_DOWN: 503,
}


class JobCodec(Protocol):
    """The parts of a stored job that depend on the front end's protocol."""

    def payload(self, packed: bytes) -> object:
        """Decode the payload of a stored job."""

    def path(self, payload: object) -> bytes:
        """The path by which limits choose a route."""

    def status(self, answer: Answer) -> int:
        """The HTTP status of an answer."""


@dataclass(slots=True, frozen=True)
class DeferralOptions:
    """The operator's settings of [waiting].  Times are in microseconds."""

    max_jobs: int
    pace: bool
    reserve: float
    max_wait_us: int
    outcome_retention_us: int
    max_outcomes: int
    answer_retention_us: int
    max_stored_answers: int


class JobHandle:
    """A front end's handle of one deferred job.

    ``final`` is set once the job has its answer here, ``transaction`` once it was released.
    """

    __slots__ = ("durable", "final", "job", "on_change", "payload", "retry_after_us", "stored", "transaction")

    def __init__(self, on_change: Callable[[], None], durable: bool) -> None:
        self.on_change = on_change
        self.durable = durable  # only the store holds its body, which is read when the job is released
        self.stored = False
        self.job: Job | None = None
        self.payload: object = None
        self.transaction: Transaction | None = None
        self.final: FinalAnswer | None = None
        self.retry_after_us = 0


def no_op() -> None:
    """The ``on_change`` callback of a handle that no caller waits for."""


def handle_of(job: ScheduledJob) -> JobHandle:
    """The handle that was submitted as the context of a job."""
    assert isinstance(job.context, JobHandle)
    return job.context


def final_answer(reason: EndReason, now: int) -> FinalAnswer:
    """The final answer of a job that ended without being released."""
    state = (
        "cancelled" if reason is EndReason.CANCELLED
        else "failed" if reason is EndReason.TIMED_OUT else "refused"
    )
    return FinalAnswer(state, STATUS[reason], now, reason=reason.value)


def describe_job(job: ScheduledJob) -> dict[str, object]:
    """The JSON form of a job without an answer; times in seconds since the Unix epoch."""
    handle = handle_of(job)
    released = job.state is State.RELEASED or handle.final is not None
    return {
        "id": job.name, "state": "released" if released else "waiting",
        "due": job.due_us / 1e6 if job.due_us else None, "after": list(job.after),
        "give_up": job.give_up_us / 1e6, "status": None, "result": None,
    }
