"""Cycle detection among job dependencies.  No I/O, no clock; the work of one call is bounded."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence

MAX_SEARCH_STEPS = 4096  # jobs visited in one search; 100,000 would block the event loop for 50 ms


class SearchLimitExceeded(Exception):
    """The cycle search visited too many jobs to be finished within one turn of the event loop."""


def creates_cycle(
    name: str, after: Sequence[str], dependencies: Callable[[str], Iterable[str]],
    dependents: Callable[[str], Iterable[str]], max_steps: int = MAX_SEARCH_STEPS,
) -> bool:
    """Whether adding job ``name`` with the dependencies ``after`` would make it depend on itself.

    ``dependencies`` returns the names that a known job depends on, ``dependents`` the jobs that depend on a
    name; either may be empty.  Only a job that already has dependents can close a cycle.  The search is
    bidirectional, so a long chain on one side costs nothing where the other side is short.  Raises
    SearchLimitExceeded after ``max_steps`` steps.
    """
    if name in after:
        return True
    forward, backward = deque(after), deque(dependents(name))
    seen_forward, seen_backward = set(forward), {name, *backward}
    if not forward or not backward:
        return False
    steps = 0
    while forward and backward:
        current = forward.popleft()
        if current in seen_backward:
            return True
        for neighbour in dependencies(current):
            if neighbour not in seen_forward:
                seen_forward.add(neighbour)
                forward.append(neighbour)
        current = backward.popleft()
        if current in seen_forward:
            return True
        for neighbour in dependents(current):
            if neighbour not in seen_backward:
                seen_backward.add(neighbour)
                backward.append(neighbour)
        steps += 1
        if steps > max_steps:
            raise SearchLimitExceeded(f"cycle search visited more than {max_steps} jobs")
    # One side is fully explored; the frontier of the other side may still lie in it.
    return not seen_forward.isdisjoint(seen_backward)
