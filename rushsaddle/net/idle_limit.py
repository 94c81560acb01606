"""How long pooled connections to next hops are kept, by those that were reset.  No I/O, no clock."""

from __future__ import annotations

MIN_IDLE_LIMIT_US = 50_000  # lower bound of the idle limit
RESET_WINDOW_US = 5_000_000  # resets by two next hops within this time have a common cause
RAISE_INTERVAL_US = 10_000_000  # time after a change of the idle limit until it is doubled


class IdleLimit:
    """How long a connection may be idle and still be reused.

    A middlebox may drop idle connections far sooner than the settings say.  The next request is then reset,
    and it is unknown whether it ran: that loses the request, where a new connection costs milliseconds.  If
    connections to one next hop break, that host may have died; if to two, the network path drops them.
    """

    def __init__(self, max_us: int) -> None:
        self.max_us = self.limit_us = max_us
        self._last_reset: tuple[str, int, int] | None = None  # next hop, time, idle time
        self._changed_us = 0

    def connection_reset(self, uid: str, idle_us: int, now: int) -> bool:
        """A reused connection was reset before it answered; True if that has lowered the limit."""
        before, self._last_reset = self._last_reset, (uid, now, idle_us)
        if before is None or before[0] == uid or now - before[1] > RESET_WINDOW_US:
            return False
        limit = max(MIN_IDLE_LIMIT_US, min(idle_us, before[2]) // 2)
        self._changed_us = now
        lower = limit < self.limit_us
        self.limit_us = min(limit, self.limit_us)
        return lower

    def limit(self, now: int) -> int:
        """The idle limit now; doubled every ``RAISE_INTERVAL_US`` until it is back at its maximum."""
        if self.limit_us < self.max_us and now - self._changed_us > RAISE_INTERVAL_US:
            self._changed_us = now
            self.limit_us = min(self.max_us, 2 * self.limit_us)
        return self.limit_us
