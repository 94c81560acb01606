"""Selects caller connections to close when the connection budget is exhausted.  No I/O.

Abusive clients connect and send nothing, stall within a request, or keep a connection open after one request.
A valid caller on a slow line looks the same until its next packet arrives.  The connections whose loss costs
least are closed first, and only as many as are needed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

SILENT_US = 200_000  # silent or idle for this long: may be evicted
STALLED_US = 600_000  # stalled within a request for this long: may be evicted; slow lines pause for less
MAX_SILENT_EVICTIONS = 8  # silent or stalled connections closed at a time
MAX_STALLED_EVICTIONS = 32  # closed at a time where memory is short
MIN_EVICTIONS = 4  # if fewer than this were found, others are closed, too


class Connected(Protocol):
    """A caller connection, as far as eviction looks at it."""

    @property
    def proven(self) -> bool: ...  # it has sent a valid request

    @property
    def idle(self) -> bool: ...  # it is between requests

    @property
    def has_sent(self) -> bool: ...  # it has sent any byte

    @property
    def last_received_us(self) -> int: ...  # its last byte, connect or answer


class Holding(Protocol):
    """A caller connection, as far as relief from a shortage of memory looks at it."""

    @property
    def stalled_since_us(self) -> int | None: ...  # None: it holds no memory for the rest of a large request


L = TypeVar("L", bound=Connected)
H = TypeVar("H", bound=Holding)


def choose(legs: Iterable[L], now: int, budget: int) -> list[L]:
    """The legs to close; ``legs`` is in order of last use, ``budget`` the number of legs allowed."""
    unproven, idle = [], []
    for leg in legs:
        if not leg.proven:
            unproven.append(leg)
        elif leg.idle and leg.last_received_us <= now - SILENT_US:  # its next request may be on the way
            idle.append(leg)
    unproven.sort(key=lambda leg: leg.last_received_us)
    silent = [leg for leg in unproven if leg.last_received_us <= now - SILENT_US]
    chosen = [
        leg for leg in silent if not leg.has_sent or leg.last_received_us <= now - STALLED_US
    ][:MAX_SILENT_EVICTIONS]
    if len(chosen) < MIN_EVICTIONS:
        # An idle valid caller loses only a handshake, but is spared while many unproven legs are connected:
        # those will soon be seen as silent or stalled.
        others = idle if len(unproven) <= budget // 4 else [leg for leg in silent if leg not in chosen]
        chosen += others[: MIN_EVICTIONS - len(chosen)]
    return chosen


def choose_stalled(legs: Iterable[H], now: int) -> list[H]:
    """The legs to close where memory is short: stalled by their callers, those stalled longest first."""
    since = {leg: at for leg in legs if (at := leg.stalled_since_us) is not None and at <= now - STALLED_US}
    return sorted(since, key=since.__getitem__)[:MAX_STALLED_EVICTIONS]
