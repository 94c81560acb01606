"""When a process that was told to end must have answered, by the time at which it may be killed.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

# SIGKILL comes no sooner after SIGTERM than the longest deadline, capped at the first, plus the second.
KILL_MAX_DEADLINE_US = 3_000_000
KILL_GRACE_US = 700_000
KILL_MARGIN_US = 200_000  # requests after SIGTERM are answered this long before SIGKILL


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """Times of a shutdown, in microseconds; ``answer_by_us`` and ``serve_until_us`` count from the signal."""

    answer_by_us: int  # deadline of requests that arrive after the signal
    serve_until_us: int  # a process without a successor serves until then: callers may have no other node

    @classmethod
    def from_signal(cls, signalled_us: int, longest_deadline_us: int) -> ShutdownSchedule:
        """The schedule after a signal to end; ``longest_deadline_us``: of all request classes."""
        left_us = min(longest_deadline_us, KILL_MAX_DEADLINE_US) + KILL_GRACE_US - KILL_MARGIN_US
        # Accept requests for half of that time; the rest is for those in progress by then.
        return cls(signalled_us + left_us, signalled_us + left_us // 2)
