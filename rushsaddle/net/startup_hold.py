"""Holds the requests that arrive before the process can serve, each no longer than its caller waits.

The system accepts connections from the moment a socket listens, so requests are read, and their time counts,
from then on.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from ..core.lifecycle import Lifecycle, Phase
from ..core.loop import Coroutine, Loop
from .leg import Leg

ANSWER_MARGIN_US = 100_000  # a held request is answered this long before its caller stops waiting


class HoldOutcome(Enum):
    """How the hold of a request ended."""

    SERVE = auto()  # the process can serve
    CALLER_LEFT = auto()
    REJECT = auto()  # its time is over, or the process ends before it could serve


class StartupHold:
    """The held requests; ``wake`` resumes the coroutine of a leg."""

    def __init__(self, loop: Loop, lifecycle: Lifecycle, wake: Callable[[Leg], None]) -> None:
        self.loop = loop
        self.lifecycle = lifecycle
        self.wake = wake
        self.ready_by_us = 0  # the process serves from then on at the latest
        self._held: dict[Leg, None] = {}
        lifecycle.watch(self._on_phase_change)

    def __len__(self) -> int:
        return len(self._held)

    @property
    def retry_after_us(self) -> int:
        """Time until the process can serve at the latest; 0 if it ends before."""
        if self.lifecycle.phase is Phase.ENDING:
            return 0
        return max(0, self.ready_by_us - self.loop.now_us())

    def hold(self, leg: Leg, until_us: int) -> Coroutine[HoldOutcome]:
        """Wait until the process can serve; ``until_us``: the caller waits until then."""
        self._held[leg] = None
        until = until_us - ANSWER_MARGIN_US
        try:
            while not self.lifecycle.started:
                if self.lifecycle.phase is Phase.ENDING or self.loop.now_us() >= until:
                    return HoldOutcome.REJECT
                if not (yield from leg.stream.wait_connected(until)):
                    return HoldOutcome.CALLER_LEFT
            return HoldOutcome.SERVE
        finally:
            del self._held[leg]

    def _on_phase_change(self) -> None:
        for leg in self._held:
            self.wake(leg)
