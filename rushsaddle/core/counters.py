"""Request counters of this process, from 0 at its start.

A request is taken once it was received completely, and ends exactly once: answered, deferred, errored, or
abandoned by its caller.  ``taken`` always equals the sum of these and of ``current``.
"""

from __future__ import annotations

from collections.abc import Callable

from tansygw.interface import CloseReason

from .log import Log
from .transaction import Transaction, Verdict

LOG_INTERVAL_US = 1_000_000  # between two lines on rejected input
REJECTION_STATUSES = (400, 404, 405, 408, 409, 411, 413, 431, 501, 503)


class ClassCounters:
    """Counters of one request class."""

    __slots__ = ("abandoned", "answered", "deferred", "errored", "taken")

    def __init__(self) -> None:
        self.taken = self.answered = self.deferred = self.errored = self.abandoned = 0

    @property
    def ended(self) -> int:
        """Requests that have ended."""
        return self.answered + self.deferred + self.errored + self.abandoned


class RequestCounters:
    """Counters of all classes, of sends and of requests closed without a worker's answer."""

    def __init__(self, classes: int) -> None:
        self.classes = [ClassCounters() for _ in range(classes)]
        self.sends = 0  # attempts written completely to next hops
        self.closed = dict.fromkeys(CloseReason, 0)  # requests closed without a worker's answer

    @property
    def current(self) -> int:
        """Requests in progress."""
        return sum(c.taken - c.ended for c in self.classes)

    def sent(self) -> None:
        """Count an attempt."""
        self.sends += 1

    def taken(self, cls: int) -> None:
        """Count a received request."""
        self.classes[cls].taken += 1

    def on_end(self, transaction: Transaction) -> None:
        """Count the end of a transaction: its final answer, or its caller's disconnection."""
        answer = transaction.answer
        if answer is not None and answer.reason is not None:
            self.closed[answer.reason] += 1
        self._end(transaction.job.cls, answer.verdict if answer is not None else None)

    def add_early_answer(self, cls: int, status: int) -> None:
        """Count a request that was answered with an HTTP status before it reached the decision module."""
        self.taken(cls)
        verdict = Verdict.SERVED if status < 300 else Verdict.BUSY if status in (429, 503) else Verdict.FAILED
        self._end(cls, verdict)

    def _end(self, cls: int, verdict: Verdict | None) -> None:
        counts = self.classes[cls]
        if verdict is Verdict.SERVED:
            counts.answered += 1
        elif verdict is Verdict.BUSY:
            counts.deferred += 1
        elif verdict is Verdict.FAILED:
            counts.errored += 1
        else:
            counts.abandoned += 1


class CallerCounters:
    """Counters of callers' connections, and of input that was answered before it became a request."""

    def __init__(self, log: Log, now_us: Callable[[], int]) -> None:
        self._log = log
        self._now_us = now_us
        self._logged_us = 0
        self._unlogged = 0  # rejections since the last line
        self.accepted = 0  # connections, those handed over by another process included
        self.evicted = 0  # connections closed to make room
        self.left = 0  # requests whose caller disconnected before they came whole or were sent
        self.rejected = dict.fromkeys(REJECTION_STATUSES, 0)

    def reject(self, status: int, reason: str, received_bytes: int, elapsed_us: int) -> None:
        """Count rejected input, and log it, at most one line in ``LOG_INTERVAL_US``.

        ``received_bytes``: of the connection, since it was accepted; ``elapsed_us``: of the time for the
        request.
        """
        self.rejected[status] = self.rejected.get(status, 0) + 1
        now = self._now_us()
        if now - self._logged_us < LOG_INTERVAL_US:
            self._unlogged += 1
            return
        self._logged_us = now
        self._log.event(
            "request rejected", status=status, reason=reason, received_bytes=received_bytes,
            elapsed_us=elapsed_us, unlogged=self._unlogged,
        )
        self._unlogged = 0
