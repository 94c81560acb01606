"""This node's share of the work of all nodes, by which the slow-start budget of a server is divided.

Nodes are the dispatchers of a group and servers are their workers.

The shares of all nodes must add up to about 1, whatever load reports each of them has.  The slots of this
node's requests and those of all requests are therefore averaged separately, over the same servers: a mean of
their ratios would approach 1 where few servers have reported, as each may hold only this node's request.
"""

from __future__ import annotations

from collections.abc import Iterable

from .worker import Worker

EWMA_WEIGHT = 0.03  # of the newest observation; small, so that the share stays near an equal one at first
MIN_SHARE = 0.25  # of an equal share, since few own requests prove little
DURATION_EWMA_WEIGHT = 0.05  # of the newest request in the mean durations


class WorkShare:
    """Moving averages of the slots held by this node's requests and by all requests."""

    __slots__ = ("_duration_us", "_expected_us", "_nodes_per_server", "_own_slots", "_used_slots")

    def __init__(self, nodes_per_server: float) -> None:
        self._nodes_per_server = nodes_per_server
        self._own_slots = 0.0  # slots
        self._used_slots = 0.0
        self._expected_us = 0.0
        self._duration_us = 0.0

    def record_duration(self, duration_us: float, expected_us: float) -> None:
        """Record the duration of a request, queueing included; ignored without an expected run time."""
        if expected_us > 0.0:
            self._duration_us += DURATION_EWMA_WEIGHT * (duration_us - self._duration_us)
            self._expected_us += DURATION_EWMA_WEIGHT * (expected_us - self._expected_us)

    @property
    def _running_fraction(self) -> float:
        """The fraction of its time at a server that a request runs; a queued request holds no slot."""
        if self._duration_us <= 0.0:
            return 1.0
        return min(1.0, self._expected_us / self._duration_us)

    def observe(self, servers: Iterable[Worker], typical_slots: float) -> None:
        """Update the averages from the servers that have reported.

        A server that has never reported a free slot is full; ``typical_slots`` stands for its unknown size.
        """
        own = used = 0.0
        running_fraction = self._running_fraction
        for server in servers:
            if server.reported_at is None:
                continue
            slots = server.total_slots or typical_slots
            own_slots = min(server.own_slots, slots)
            own += running_fraction * own_slots
            used += max(running_fraction * own_slots, slots - max(0.0, server.free_slots))
        if self._used_slots <= 0.0:  # first observation: start from an equal share
            self._used_slots, self._own_slots = used, used / self._nodes_per_server
        self._own_slots += EWMA_WEIGHT * (own - self._own_slots)
        self._used_slots += EWMA_WEIGHT * (used - self._used_slots)

    def value(self, nodes_per_server: float) -> float:
        """Return this node's share of the work at servers that ``nodes_per_server`` nodes use."""
        share = self._own_slots / self._used_slots if self._used_slots > 0.0 else 1.0 / nodes_per_server
        return min(1.0, max(MIN_SHARE / nodes_per_server, share))
