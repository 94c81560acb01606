"""When to call the list service again after a call or a watch has ended.  No I/O, no clock, no random source.

A change counts as known to the node ``LIST_PROPAGATION_US`` after the service had it and was reachable,
regardless of failed calls in between.  So each end of a call or watch sets a deadline by which the next call
must be answered, and the node keeps calling until it has received the list.
"""

from __future__ import annotations

from tansygw.lists import LIST_CALL_COST_US, LIST_PROPAGATION_US, LIST_QUEUE_TIMEOUT_US

NEW_SERVICE_US = 4_000_000  # by the protocol, a new service's list counts as known this long after the switch
BACKOFF_US = (200_000, 1_000_000)  # first and highest upper limit of the back-off; doubled each time
MIN_BACKOFF_US = 50_000  # lower limit of the back-off
LIST_CALL_TIMEOUT_US = 4_000_000  # covers the time queued at the service and leaves time for one more call


def backoff_us(failed: int, draw: float, maximum: int = BACKOFF_US[1]) -> int:
    """Back-off with jitter after ``failed`` consecutive failed calls; ``draw`` is from 0 to 1.

    All nodes learn of a new service at once, so those that fail together must not retry together.  The
    back-off is exponential, since a call that times out has used the service's capacity all the same.
    """
    maximum = max(MIN_BACKOFF_US, min(BACKOFF_US[0] << min(failed - 1, 8), maximum))
    return MIN_BACKOFF_US + int(draw * (maximum - MIN_BACKOFF_US))


class ListRetry:
    """Whether the list may be outdated, by when it must be current, and when to call for it again.

    ``pushed``: the service pushes lists to this node; ``grace_us``: time during which requests sent to a
    leaving next hop are tolerated; ``group_size``: number of nodes that call the service.
    """

    __slots__ = ("_fast_until_us", "_round_us", "failed", "known_by_us", "max_backoff_us", "pushed")

    def __init__(self, pushed: bool, grace_us: int, group_size: int) -> None:
        self.pushed = pushed
        # With pushed lists, what the agent receives after an outage counts as known at once: the next call
        # must be made and answered within the grace period for leaving next hops.
        self.max_backoff_us = min(BACKOFF_US[1], grace_us // 4) if pushed and grace_us > 0 else BACKOFF_US[1]
        self.failed = 0  # consecutive calls without a list
        self.known_by_us: int | None = None  # earliest time at which a missed change counts as known
        self._round_us = group_size * LIST_CALL_COST_US  # time for one call of every node
        self._fast_until_us = 0  # until then, calls are made at the fast rate whatever the outcome

    @property
    def outdated(self) -> bool:
        """The list may lack a change, so call without waiting for the decisions to ask."""
        return self.known_by_us is not None

    def list_received(self) -> None:
        """The list is current again."""
        self.failed = 0
        self.known_by_us = None

    def service_changed(self, now: int) -> None:
        """Another service took over: its whole list is new to this node."""
        self.failed = 0
        self._set_deadline(now + NEW_SERVICE_US)
        self._fast_until_us = now + NEW_SERVICE_US

    def connection_silent(self, since_us: int) -> None:
        """A watch or a call is dead: it has received nothing since ``since_us``."""
        self._set_deadline(since_us + LIST_PROPAGATION_US)

    def _set_deadline(self, known_by_us: int) -> None:
        self.known_by_us = known_by_us if self.known_by_us is None else min(self.known_by_us, known_by_us)

    def wait_us(self, now: int, service_reached: bool, draw: float) -> int:
        """Time until the next call, after a call or watch has ended.

        ``service_reached``: the call used the service's capacity.  The service may return with changes right
        after a failed call, so the next call is answered within ``LIST_PROPAGATION_US`` in any case.
        """
        self.failed += 1
        if self.pushed:
            return backoff_us(self.failed, draw, self.max_backoff_us)
        self._set_deadline(now + LIST_PROPAGATION_US)
        assert self.known_by_us is not None
        if now < self._fast_until_us or (self.failed > 1 and not service_reached):
            return backoff_us(self.failed, draw)  # an unreachable service has no load from it
        maximum = min(self._round_us << min(self.failed - 1, 8), LIST_PROPAGATION_US - LIST_QUEUE_TIMEOUT_US)
        if now < self.known_by_us - LIST_QUEUE_TIMEOUT_US:
            maximum = min(maximum, self.known_by_us - LIST_QUEUE_TIMEOUT_US - now)
        # The watches of all nodes may have died at once, so the first calls are spread evenly.  Calls that
        # fail again found the service overloaded: they are rarer, with jitter over half of the interval.
        share = draw if self.failed == 1 else (1.0 + draw) / 2
        return max(MIN_BACKOFF_US, int(share * maximum))
