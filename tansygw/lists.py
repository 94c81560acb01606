"""When a dispatcher subscribes to the worker list.  No I/O, no clock and no random numbers of its own."""

from __future__ import annotations

from .interface import Settings

LIST_CALL_COST_US = 120_000  # time of the list service that one call may cost, as the whole group calls it
LIST_QUEUE_TIMEOUT_US = 1_000_000  # longest wait of a call in the service's queue, whatever its limit
# By the protocol a change counts as known this long after the service has it, delivered or not.
LIST_PROPAGATION_US = 6_000_000


class ListSubscription:
    """Whether the dispatcher is subscribed or subscribing, and when it may try next."""

    __slots__ = ("failures", "group_calls_us", "max_age_us", "subscribed", "tick_us")

    def __init__(self, settings: Settings) -> None:
        self.max_age_us = settings.rules.must_ask_in_us
        self.tick_us = settings.tick_us
        self.group_calls_us = float(settings.group_size * LIST_CALL_COST_US)  # one call of every dispatcher
        self.subscribed = False
        self.failures = 0

    @property
    def startup_spread_us(self) -> float:
        """The span over which the first calls are spread, since after a mass restart all dispatchers call.

        Calls that fit into the queue time-out need no spreading.  However large the group, the span is at
        most half of ``max_age_us``: after ``max_age_us`` without a call every older change counts as known,
        without grace, even a worker's departure whose return has not been listed yet.  The other half is for
        the start of the process, counted from its first instant, and for the call's wait in the service's
        queue.
        However long ``max_age_us``, the call and its queue time end within ``LIST_PROPAGATION_US``.
        """
        return min(
            self.group_calls_us - LIST_QUEUE_TIMEOUT_US,
            self.max_age_us / 2,
            LIST_PROPAGATION_US - LIST_QUEUE_TIMEOUT_US,
        )

    def start(self) -> bool:
        """Mark the subscription as started; return False where it already was."""
        before, self.subscribed = self.subscribed, True
        return not before

    def on_list(self) -> None:
        """Reset the backoff after a list was received."""
        self.failures = 0

    def on_failure(self, draw: float) -> float:
        """Return the backoff in microseconds after a failed call or a dropped subscription.

        ``draw`` is a random number from 0 to 1, for the jitter.  A call that timed out in the queue has cost
        the service its time all the same: if all that failed called again at once, the service would be busy
        only with calls that have been abandoned.
        """
        self.subscribed = False
        backoff: float = max(self.max_age_us / 8, self.group_calls_us) * 2**self.failures
        self.failures = min(self.failures + 1, 3)
        return max(self.tick_us, min(backoff, self.max_age_us) * (0.5 + draw) / 2)
