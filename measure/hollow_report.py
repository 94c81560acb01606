"""Rows of hollow runs as tables of Markdown and as a chart."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import Any

Row = dict[str, Any]


def show(rows: Sequence[Row], of: str) -> None:
    """Medians with least and most, of the runs that reached it; how many did not stands beside."""
    keys = {"cold": ("known_999_s", "all_s"), "join": ("known_999_s", "all_s", "known_by_all_s"),
            "quiet": (), "kill": ("found_median_s", "found_99_s"), "zone": ("dead_99_s", "dead_all_s"),
            "rack": ("dead_99_s", "dead_all_s"), "restart": ("whole_s", "known_by_all_s"),
            "region": ("known_999_s", "whole_s", "resurrected"),
            "table": ("table_mb", "bytes_pair", "known_share")}[of]
    common = () if of == "table" else ("bytes_s", "datagrams_s", "worst_both_s", "cpu_ms_s", "stall_ms",
                                       "wrongly_dead", "wrong_pairs", "memory_mb", "real_per_virtual")
    print(f"\n{of}\n\n| members | loss | runs | {' | '.join((*keys, *common))} |")
    print("| --- " * (3 + len(keys) + len(common)) + "|")
    for size, loss in sorted({(row["members"], row["loss"]) for row in rows}):
        chosen = [row for row in rows if (row["members"], row["loss"]) == (size, loss)]
        cells = []
        for key in (*keys, *common):
            values = [row[key] for row in chosen if row.get(key) is not None]
            cell = f"{statistics.median(values):.3g}" if values else ""
            if values and min(values) != max(values):
                cell += f" ({min(values):.3g} to {max(values):.3g})"
            late = len(chosen) - len(values)
            cells.append(cell + (f" not within limit: {late}" if late else ""))
        not_ended = sum(not row["ended"] for row in chosen)
        runs = f"{len(chosen)}" + (f", {not_ended} not ended" if not_ended else "")
        print(f"| {size} | {loss:g} | {runs} | {' | '.join(cells)} |", flush=True)


def draw(rows: Sequence[Row], file: str) -> None:
    """What decides each scenario, against the size; a run that did not get there stands at the top."""
    from matplotlib import pyplot

    decides = {"cold": "all_s", "join": "all_s", "quiet": "bytes_s", "kill": "found_99_s",
               "restart": "known_by_all_s", "rack": "dead_99_s", "zone": "dead_99_s",
               "region": "whole_s", "table": "table_mb"}
    chosen = [name for name in decides if any(row["scenario"] == name for row in rows)]
    figure, axes = pyplot.subplots(1, len(chosen), figsize=(3.2 * len(chosen) + 1, 3.4), squeeze=False)
    for axis, name in zip(axes[0], chosen, strict=True):
        of, key = [row for row in rows if row["scenario"] == name], decides[name]
        for loss in sorted({row["loss"] for row in of}):
            there = [(r["members"], r[key]) for r in of if r["loss"] == loss and r.get(key) is not None]
            late = [r["members"] for r in of if r["loss"] == loss and r.get(key) is None]
            points = axis.plot([x for x, _ in there], [y for _, y in there], "o", label=f"loss {loss:g}")
            sizes = sorted({x for x, _ in there})
            axis.plot(sizes, [statistics.median([y for x, y in there if x == size]) for size in sizes],
                      color=points[0].get_color())
            axis.plot(late, [1.0] * len(late), "x", color="red", transform=axis.get_xaxis_transform())
        axis.set_title(name)
        axis.set_ylabel(key)
        axis.set_xlabel("members (x: not within the limit)")
        axis.set_ylim(bottom=0)
        axis.legend(loc="best")
    figure.tight_layout()
    figure.savefig(file, dpi=120)
