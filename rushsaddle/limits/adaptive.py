"""Adaptive concurrency limit: AIMD on the ratio of measured to usual latency.

Durations within one class differ tenfold, so a single slow answer proves nothing; a smoothed ratio does.
The limit shrinks at most once per round (the duration of a usual answer), grows by one per round, and only
while it is used.
"""

from __future__ import annotations

INITIAL_LIMIT = 16.0
MIN_LIMIT = 2.0
HEADROOM = 1.0  # the limit shrinks above a latency ratio of 1 + HEADROOM
DECREASE_FACTOR = 0.85
RATIO_SMOOTHING = 0.1  # weight of the newest answer in the ratio
WARMUP_ANSWERS = 50  # answers whose plain mean is the first usual latency
USUAL_SMOOTHING = 0.01  # weight of the newest answer in the usual latency
OVERLOAD_SMOOTHING = 0.00005  # the same at a raised ratio: an overload must not soon become the usual
MIN_UTILIZATION = 0.7  # the limit does not grow below this utilization, which proves nothing


class AdaptiveLimit:
    """The concurrency limit of one class or route; times in microseconds."""

    __slots__ = ("answer_count", "bound", "last_decrease_us", "max_bound", "ratio", "usual_us")

    def __init__(self, usual_us: float, max_bound: float = 100_000.0) -> None:
        self.usual_us = usual_us
        self.max_bound = max_bound
        self.bound = min(INITIAL_LIMIT, max_bound)
        self.answer_count = 0
        self.ratio = 1.0
        self.last_decrease_us = 0

    def on_answer(self, now: int, duration_us: float, in_flight: int, served: bool) -> None:
        """Update after the answer of an admitted request, which ``in_flight`` still includes."""
        if served:
            self.answer_count += 1
            step = USUAL_SMOOTHING if self.ratio <= 1.0 + HEADROOM / 2 else OVERLOAD_SMOOTHING
            if self.answer_count <= WARMUP_ANSWERS:
                step = 1.0 / self.answer_count
            self.usual_us = max(1.0, self.usual_us + step * (duration_us - self.usual_us))
            self.ratio += RATIO_SMOOTHING * (min(10.0, duration_us / self.usual_us) - self.ratio)
        else:
            self.ratio += RATIO_SMOOTHING * (2.0 * (1.0 + HEADROOM) - self.ratio)
        if self.ratio > 1.0 + HEADROOM:
            if now - self.last_decrease_us >= self.usual_us:
                self.last_decrease_us = now
                self.bound = max(MIN_LIMIT, self.bound * DECREASE_FACTOR)
        elif in_flight >= MIN_UTILIZATION * self.bound:
            self.bound = min(self.max_bound, self.bound + 1.0 / self.bound)

    @property
    def limit(self) -> int:
        """The number of requests allowed in flight."""
        return int(self.bound)
