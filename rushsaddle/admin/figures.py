"""The figures as METRICS tells them: one a line, a counter (c) or a gauge (g).  No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from ..core.tally import Tally

END = "--"


def lines(tally: Tally, class_names: Sequence[str], listed: int, avoided: int) -> list[str]:
    """Every figure, each class from the start on; ``listed`` next hops, ``avoided`` of them left out."""
    found = []
    for name, counts in zip(class_names, tally.classes, strict=True):
        for figure in ("answered", "deferred", "errored"):
            found.append(f"node.transactions.{name}.{figure}:{getattr(counts, figure)}|c")
    found += [
        f"node.sends:{tally.sends}|c", f"node.current:{tally.current}|g", f"node.cluster_size:{listed}|g",
        f"node.cluster_unhealthy:{avoided}|g", END,
    ]
    return found
