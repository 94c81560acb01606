"""Limits log lines about faults of other members, so that a flood of faults does not flood the log.  No I/O.

Bound: one line a minute for each reason, ``MAX_REASONS`` lines a minute in all.
"""

from __future__ import annotations

REPEAT_INTERVAL_US = 60_000_000
MAX_REASONS = 16


class LogLimiter:
    """Counts suppressed lines, so that the next line can report their number."""

    __slots__ = ("_logged", "suppressed")

    def __init__(self) -> None:
        self.suppressed = 0
        self._logged: dict[str, int] = {}  # time of the last line, by reason

    def due(self, now: int, reason: str) -> int | None:
        """The number of lines suppressed since the last one logged; None if this one is suppressed, too."""
        logged = self._logged
        at = logged.get(reason)
        if at is None and len(logged) >= MAX_REASONS:
            self._logged = logged = {
                r: since for r, since in logged.items() if now - since < REPEAT_INTERVAL_US
            }
        if len(logged) >= MAX_REASONS if at is None else now - at < REPEAT_INTERVAL_US:
            self.suppressed += 1
            return None
        logged[reason] = now
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed
