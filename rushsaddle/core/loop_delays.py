"""Detects delays of the event loop: long decision steps and late timers.

This process can make a request late only where one of the two is counted here.
"""

from __future__ import annotations

from collections.abc import Callable

from .log import Log

MIN_DELAY_US = 50_000  # shorter steps and timer delays are not counted
LOG_INTERVAL_US = 1_000_000


class LoopDelays:
    """Counts delays and logs them, at most once in ``LOG_INTERVAL_US``."""

    def __init__(self, log: Log, now_us: Callable[[], int]) -> None:
        self._log = log
        self._now_us = now_us
        self._logged_us = 0
        self._steps_us = 0  # time in slow steps since the last log line
        self._events = 0  # events handled in these steps
        self.slow_steps = 0
        self.longest_step_us = 0
        self.late_timers = 0
        self.latest_timer_us = 0

    def step(self, duration_us: int, events: int) -> None:
        """Record the duration of a decision step and the number of its events."""
        self.longest_step_us = max(self.longest_step_us, duration_us)
        if duration_us >= MIN_DELAY_US:
            self.slow_steps += 1
            self._steps_us += duration_us
            self._events += events
            self._log_delays()

    def timer(self, late_us: int) -> None:
        """Record the delay of a timer."""
        self.latest_timer_us = max(self.latest_timer_us, late_us)
        if late_us >= MIN_DELAY_US:
            self.late_timers += 1
            self._log_delays()

    def _log_delays(self) -> None:
        now = self._now_us()
        if now - self._logged_us < LOG_INTERVAL_US:
            return
        self._logged_us = now
        self._log.event(
            "event loop held up", slow_steps=self.slow_steps, in_steps_us=self._steps_us, events=self._events,
            longest_step_us=self.longest_step_us, late_timers=self.late_timers,
            latest_timer_us=self.latest_timer_us,
        )
        self._steps_us = self._events = 0
