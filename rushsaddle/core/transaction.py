"""Transactions, each from the last byte of a request to its one final answer, and their branches.

Independent of any protocol: ``payload`` is opaque here and only read by the code that sends it to a
next hop.  ``on_answer`` notifies the code that received the request of the final answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from weakref import ref

from tansygw.interface import (
    DEFAULT_POLICY,
    NEVER_RAN,
    AttemptEnded,
    AttemptProgress,
    CloseReason,
    EarlierAttempt,
    Event,
    Outcome,
    Progress,
    Report,
    RequestAbandoned,
)


class Verdict(Enum):
    """The kinds of final answers."""

    SERVED = "served"
    BUSY = "busy"  # a busy answer: the caller may safely retry
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer of a transaction."""

    verdict: Verdict
    result: bytes = b""
    retry_after_us: int = 0
    late: bool = False  # FAILED: the deadline had passed
    request_rejected: bool = False  # FAILED: a next hop rejected the request as invalid
    reason: CloseReason | None = None  # set where it ended without a next hop's answer


@dataclass(slots=True, frozen=True)
class Job:
    """The properties of a request that the decision module uses; see ``RequestArrived``."""

    cls: int
    slots: float = 1.0
    memory: float = 0.0
    tenant: int = 0
    key: str = ""
    repeat: bool = False
    expected_us: int = 0
    has_dedup_key: bool = True  # next hops that drop duplicates can recognize one of it


class Branch:
    """One attempt at a next hop, which ends with exactly one outcome."""

    __slots__ = (
        "_on_cancel",
        "_transaction",
        "begin_by_us",
        "cancelled",
        "number",
        "outcome",
        "started_us",
        "until_us",
        "worker",
    )

    def __init__(
        self, transaction: Transaction, number: int, worker: str, now: int, until_us: int,
        begin_by_us: int | None = None,
    ) -> None:
        self._transaction = ref(transaction)  # weak: a cycle would keep the request's body until a collection
        self.number = number
        self.worker = worker
        self.started_us = now
        self.until_us = until_us
        self.begin_by_us = begin_by_us  # it must not be written later
        self.cancelled = False
        self.outcome: Outcome | None = None
        self._on_cancel: Callable[[], None] = lambda: None

    @property
    def transaction(self) -> Transaction:
        """The transaction of this branch, which exists at least as long as the branch has no outcome."""
        transaction = self._transaction()
        assert transaction is not None
        return transaction

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Set the callback that makes the sender check this branch again."""
        self._on_cancel = callback

    def cancel(self) -> None:
        """Cancel the branch where it has no outcome yet."""
        if self.outcome is None:
            self.cancelled = True
            self._on_cancel()

    def on_transaction_end(self) -> None:
        """Notify the sender that the transaction has ended, so that an unwritten branch is not written."""
        if self.outcome is None:
            self._on_cancel()

    def may_begin(self, now: int) -> bool:
        """True where it may still be written: the transaction is open and a duplicate would be dropped."""
        late = self.begin_by_us is not None and now >= self.begin_by_us
        return not (self.cancelled or self.transaction.ended or late)

    def report_progress(self, progress: Progress, value: float) -> None:
        """Pass a progress notification to the decision module."""
        transaction = self.transaction
        event = AttemptProgress(transaction.number, self.number, self.worker, progress, value)
        transaction.emit(event)

    def end(self, now: int, outcome: Outcome, report: Report | None = None, result: bytes = b"") -> None:
        """Set the outcome; the first success immediately becomes the final answer."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        transaction = self.transaction
        transaction.open_branches -= 1
        if outcome is Outcome.SUCCESS:
            transaction.finish(Answer(Verdict.SERVED, result))
        transaction.emit(AttemptEnded(
            transaction.number, self.number, self.worker, outcome, now - self.started_us,
            transaction.ended, report,
        ))


class Transaction:
    """One request with its branches and its final answer."""

    __slots__ = (
        "__weakref__",
        "answer",
        "branches",
        "deadline_us",
        "earlier",
        "emit",
        "ended",
        "gate",
        "job",
        "name",
        "number",
        "on_answer",
        "on_end",
        "open_branches",
        "payload",
        "permit",
        "policy",
        "received_us",
    )

    def __init__(
        self, number: int, name: str, job: Job, payload: object, received_us: int, deadline_us: int,
        emit: Callable[[Event], None], on_answer: Callable[[], None],
        on_end: Callable[[Transaction], None] | None = None,
    ) -> None:
        self.number = number  # its id in the decision module
        self.name = name  # its id from the caller
        self.job = job
        self.payload = payload
        self.received_us = received_us
        self.deadline_us = deadline_us
        self.emit = emit
        self.on_answer = on_answer
        self.on_end = on_end
        self.gate: Callable[[Branch], None] | None = None  # gets each branch before it is sent
        self.earlier: tuple[EarlierAttempt, ...] = ()
        self.policy = DEFAULT_POLICY
        self.permit: object = None  # of the limiter that admitted it
        self.branches: list[Branch] = []
        self.open_branches = 0  # number of branches without an outcome
        self.answer: Answer | None = None
        self.ended = False  # answered, or abandoned by the caller

    def branch(
        self, worker: str, timeout_us: int, now: int, begin_by_us: int | None = None
    ) -> Branch:
        """Create a branch; branches are numbered in the order of their sends."""
        until = self.deadline_us
        if timeout_us:
            until = min(until, now + timeout_us)
        branch = Branch(self, len(self.branches), worker, now, until, begin_by_us)
        self.branches.append(branch)
        self.open_branches += 1
        return branch

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt of this or an earlier process may have run."""
        return bool(self.earlier) or any(branch.outcome not in NEVER_RAN for branch in self.branches)

    def finish(self, answer: Answer) -> None:
        """Set the final answer; later ones are ignored."""
        if not self.ended:
            self.ended = True
            self.answer = answer
            self.on_answer()
            self._end()

    def abandon(self) -> None:
        """End the transaction without an answer after the caller disconnected."""
        if not self.ended:
            self.ended = True
            self.emit(RequestAbandoned(self.number))
            self._end()

    def _end(self) -> None:
        for branch in self.branches:
            branch.on_transaction_end()
        if self.on_end is not None:
            self.on_end(self)
