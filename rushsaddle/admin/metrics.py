"""The lines of the METRICS answer: one metric each, a counter (c) or a gauge (g).  No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from ..core.counters import CallerCounters, RequestCounters
from ..core.loop_delays import LoopDelays
from ..core.memory_usage import MemoryUsage

END = "--"


def lines(
    request_counters: RequestCounters, held: int, loop_delays: LoopDelays, class_names: Sequence[str],
    next_hops: int, unhealthy: int, callers: CallerCounters, open_callers: int,
    memory: MemoryUsage, shortages: int,
) -> list[str]:
    """All metrics, of every class from the start on.

    ``held``: requests that wait for the process to become able to serve; ``unhealthy`` of the ``next_hops``
    are not in use; ``open_callers``: callers' connections at present;
    ``shortages``: large requests that had to wait for memory.
    """
    found = []
    for name, counts in zip(class_names, request_counters.classes, strict=True):
        for outcome in ("answered", "deferred", "errored"):
            found.append(f"node.transactions.{name}.{outcome}:{getattr(counts, outcome)}|c")
    found += [f"node.closed.{reason.value}:{count}|c" for reason, count in request_counters.closed.items()]
    found += [
        f"node.loop.slow_steps:{loop_delays.slow_steps}|c",
        f"node.loop.late_timers:{loop_delays.late_timers}|c",
        f"node.loop.longest_step_us:{loop_delays.longest_step_us}|g",
        f"node.loop.latest_timer_us:{loop_delays.latest_timer_us}|g",
    ]
    found += [
        f"node.callers.open:{open_callers}|g", f"node.callers.accepted:{callers.accepted}|c",
        f"node.callers.evicted:{callers.evicted}|c", f"node.callers.left:{callers.left}|c",
    ]
    found += [f"node.callers.rejected.{status}:{count}|c" for status, count in callers.rejected.items()]
    found += [
        f"node.memory.resident_bytes:{memory.resident_bytes}|g",
        f"node.memory.peak_bytes:{memory.peak_bytes}|g", f"node.memory.shortages:{shortages}|c",
    ]
    found += [
        f"node.sends:{request_counters.sends}|c", f"node.current:{request_counters.current + held}|g",
        f"node.held:{held}|g",
        f"node.cluster_size:{next_hops}|g",
        f"node.cluster_unhealthy:{unhealthy}|g", END,
    ]
    return found
