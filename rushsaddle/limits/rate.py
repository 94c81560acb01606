"""Rate limit by GCRA in its virtual scheduling form: one timestamp per key, no refill.

Source: ITU-T I.371, Annex A.  Times are in microseconds on the caller's clock.  While the clock stands still
only the burst is admitted; a clock that steps back admits nothing twice.
"""

from __future__ import annotations


class RateLimiter:
    """Admits ``rate`` requests per second and up to ``burst`` of them at once."""

    __slots__ = ("arrival_us", "burst", "interval_us", "tolerance_us")

    def __init__(self, rate: float, burst: int) -> None:
        self.interval_us = 1e6 / rate
        self.burst = burst
        self.tolerance_us = (burst - 1) * self.interval_us  # how early a request may arrive
        self.arrival_us = 0.0  # theoretical arrival time of the next request

    def wait_us(self, now: int) -> int:
        """Time until the next request is admitted; 0: now."""
        early = self.arrival_us - self.tolerance_us - now
        return -int(-early // 1) if early > 0 else 0

    def take(self, now: int) -> None:
        """Count an admitted request."""
        self.arrival_us = max(self.arrival_us, float(now)) + self.interval_us

    def with_rate(self, rate: float, burst: int, now: int) -> RateLimiter:
        """A limiter with a new rate that owes as many requests as before, so that no reload opens a burst."""
        new = RateLimiter(rate, burst)
        ahead = max(0.0, self.arrival_us - now) / self.interval_us
        full = ahead >= self.burst - 1
        new.arrival_us = now + new.interval_us * (
            max(ahead, burst - 1.0) if full else min(ahead, float(burst))
        )
        return new
