"""Who waits for whom.  No I/O, no clock; work per call is bounded by what the caller passes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence

GRAPH_STEPS = 4096  # jobs looked at in one search for a circle; 100,000 would stop the loop for 50 ms


class Tangled(Exception):
    """The search for a circle would take too long to be done between two ticks."""


def closes_circle(
    name: str, after: Sequence[str], needs: Callable[[str], Iterable[str]],
    needed_by: Callable[[str], Iterable[str]], most: int = GRAPH_STEPS,
) -> bool:
    """Whether a new job ``name`` that waits for ``after`` would wait for itself; raises Tangled.

    ``needs`` gives what a known job waits for, ``needed_by`` the jobs that wait for a name; both may give
    nothing.  Only a job that others wait for already can close a circle.  The search goes on from both
    sides in turn, so a long chain on one side costs nothing where the other side is short.
    """
    if name in after:
        return True
    down, up = deque(after), deque(needed_by(name))
    below, above = set(down), {name, *up}
    if not down or not up:
        return False
    steps = 0
    while down and up:
        here = down.popleft()
        if here in above:
            return True
        for there in needs(here):
            if there not in below:
                below.add(there)
                down.append(there)
        here = up.popleft()
        if here in below:
            return True
        for there in needed_by(here):
            if there not in above:
                above.add(there)
                up.append(there)
        steps += 1
        if steps > most:
            raise Tangled(f"more than {most} jobs in a search for a circle")
    # One side is whole: the other's frontier may still lie in it.
    return not below.isdisjoint(above)
