"""Which callers' connections make room where there is none for more.  No I/O.

A crowd connects and says nothing, stops half way through a request, or asks once and stays.  A sound caller
on a slow line looks like that, too, for as long as its next piece is on the way.  What least is lost with
goes first, and only as many as room is needed for.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

SHY_US = 200_000  # who has said nothing, or asked nothing more, for so long gives way
STOPPED_US = 600_000  # ... and who has begun a request, and sent no more of it: slow lines pause for less
SHY_MOST = 8  # of these at a time
LEAST = 4  # where there are fewer of them, others go, too, up to so many


class Connected(Protocol):
    @property
    def proven(self) -> bool: ...  # a request of it was sound

    @property
    def idle(self) -> bool: ...  # it stands between requests

    @property
    def said(self) -> bool: ...  # it has sent something

    @property
    def heard_us(self) -> int: ...  # when its last byte came, or it connected, or had its last answer


L = TypeVar("L", bound=Connected)


def choose(legs: Iterable[L], now: int, budget: int) -> list[L]:
    """``legs`` in the order of their last use."""
    unproven, idle = [], []
    for leg in legs:
        if not leg.proven:
            unproven.append(leg)
        elif leg.idle and leg.heard_us <= now - SHY_US:  # its next request may be on the way
            idle.append(leg)
    unproven.sort(key=lambda leg: leg.heard_us)
    silent = [leg for leg in unproven if leg.heard_us <= now - SHY_US]
    chosen = [leg for leg in silent if not leg.said or leg.heard_us <= now - STOPPED_US][:SHY_MOST]
    if len(chosen) < LEAST:
        # Usual callers lose no more than a handshake, but not to a crowd that is about to show what it is.
        others = idle if len(unproven) <= budget // 4 else [leg for leg in silent if leg not in chosen]
        chosen += others[: LEAST - len(chosen)]
    return chosen
