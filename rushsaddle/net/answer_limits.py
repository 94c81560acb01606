"""Bounds of one answer of a next hop: its bytes, its progress, and the interim answers before it.  No I/O."""

from __future__ import annotations

from .http import MAX_BODY_BYTES

MAX_LINE_BYTES = 8 * MAX_BODY_BYTES  # JSON may escape one byte of a result as six
MAX_ANSWER_BYTES = 2 * MAX_LINE_BYTES  # of a whole answer: the result and all progress lines before it
FULL_ANSWER_BYTES = 2 * MAX_BODY_BYTES  # more only with many escapes or progress lines
MAX_INTERIM_ANSWERS = 16
PROGRESS_BURST = 16  # reports at once, as a connection may have been held up
PROGRESS_PER_S = 16  # reports on average; they come once a second


class BadAnswer(Exception):
    """The next hop's answer is malformed or exceeds a bound."""


class AnswerLimits:
    """What has come of one answer; ``received``: bytes received on the connection before it."""

    __slots__ = ("_began_us", "_interim", "_progress", "_received")

    def __init__(self, received: int, now_us: int) -> None:
        self._received = received
        self._began_us = now_us
        self._progress = self._interim = 0

    def exceeded(self, received: int) -> bool:
        """Whether the answer is longer than any may be; ``received``: bytes on the connection so far."""
        return received - self._received > MAX_ANSWER_BYTES

    def check_bytes(self, received: int, memory_is_short: bool) -> None:
        """Raises BadAnswer if the answer is too long."""
        if self.exceeded(received):
            raise BadAnswer(f"answer longer than {MAX_ANSWER_BYTES} bytes")
        if memory_is_short and received - self._received > FULL_ANSWER_BYTES:
            raise BadAnswer("no memory for an answer longer than a full one")

    def takes_progress(self, now_us: int) -> bool:
        """Whether another report of progress is passed on; those beyond the bound say nothing new."""
        if self._progress >= PROGRESS_BURST + (now_us - self._began_us) * PROGRESS_PER_S // 1_000_000:
            return False
        self._progress += 1
        return True

    def count_interim(self) -> None:
        """Count an interim answer; raises BadAnswer if there are too many."""
        self._interim += 1
        if self._interim > MAX_INTERIM_ANSWERS:
            raise BadAnswer("too many interim answers")
