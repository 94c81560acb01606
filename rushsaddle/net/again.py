"""When the list service is asked again after a call or a watch has ended.  No I/O, no clock, no own draw.

What the service has to tell counts as told at a time of its own, arrived or not: so long after a watch fell
silent, or after the node was sent to another service.  Until the list is heard the node asks by itself;
without such a time the decisions say when.
"""

from __future__ import annotations

# Both by the protocol, arrived or not:
TOLD_US = 6_000_000  # what a silent watch or call misses counts as told so long after it fell silent
MOVE_US = 4_000_000  # what a new service has to tell counts so long after the configuration named it
TURN_US = 1_000_000  # a call may wait so long for its turn at the service: it must begin sooner by that
AGAIN_US = (200_000, 1_000_000)  # again after at most so long at first, doubled each time up to the second
AGAIN_LEAST_US = 50_000  # ... and never sooner
LATE_MOST_US = 8_000_000  # an overbooked service: all that fail come again within at most this


def again_us(failed: int, draw: float, most: int = AGAIN_US[1]) -> int:
    """How long to wait after so many calls in a row that failed; ``draw`` is from 0 to 1.

    All nodes are told of the move at once: those that fail together must not come back together, and less
    often each time, for a call that waits too long has cost the service its turn all the same.
    """
    most = max(AGAIN_LEAST_US, min(AGAIN_US[0] << min(failed - 1, 8), most))
    return AGAIN_LEAST_US + int(draw * (most - AGAIN_LEAST_US))


class Again:
    """What is missing of the list, since when, and when to ask for it again."""

    __slots__ = ("_hurry_us", "failed", "most_us", "pushed", "told_us")

    def __init__(self, pushed: bool, grace_us: int) -> None:
        self.pushed = pushed
        # Where lists are pushed, what the agent gets when it is back counts at once: the next call must come
        # and be answered within the time in which sends to who leaves are forgiven.
        self.most_us = min(AGAIN_US[1], grace_us // 4) if pushed and grace_us > 0 else AGAIN_US[1]
        self.failed = 0  # calls in a row without a list
        self.told_us: int | None = None  # when what is missing counts as told
        self._hurry_us = 0  # until then the service is asked at the quick pace, whatever it answers

    @property
    def missing(self) -> bool:
        """The list lacks something that will count as told: no waiting for the decisions to ask."""
        return self.told_us is not None

    def heard(self) -> None:
        """The list is as the service tells it."""
        self.failed = 0
        self.told_us = None

    def moved(self, now: int) -> None:
        """Another service counts: whatever it tells is new."""
        self.failed = 0
        self._due(now + MOVE_US)
        self._hurry_us = now + MOVE_US

    def silent(self, since_us: int) -> None:
        """A watch, or a call, has said nothing since then: it is dead."""
        self._due(since_us + TOLD_US)

    def _due(self, told_us: int) -> None:
        self.told_us = told_us if self.told_us is None else min(self.told_us, told_us)

    def wait_us(self, now: int, reached: bool, draw: float) -> int | None:
        """After a call or watch that ended without more: how long until the next; None where the decisions
        say when.  ``reached``: it has cost the service a turn."""
        self.failed += 1
        if self.pushed:
            return again_us(self.failed, draw, self.most_us)
        if self.told_us is None:
            return None
        if now < self._hurry_us:
            return again_us(self.failed, draw)
        if self.failed == 1:  # all watches may have died in one instant: over the time there is, no longer
            return max(AGAIN_LEAST_US, int(draw * (self.told_us - TURN_US - now)))
        if not reached:  # it costs the service nothing, and the way may be open again at any moment
            return again_us(self.failed, draw)
        return max(AGAIN_LEAST_US, int(draw * min(AGAIN_US[1] << min(self.failed - 1, 8), LATE_MOST_US)))
