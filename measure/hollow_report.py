"""Renders the results of ``measure.hollow`` as Markdown tables and as a chart.

    python -m measure.hollow_report [docs/measured/capacity-members.json] [--chart FILE]

The file has ``runs`` by name (command, program, delays) and the rows ``before`` and ``after``, each with the
name of its ``run``.  Medians leave out runs that did not end; if no run ended, the values of all are
shown as partial.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

Row = dict[str, Any]

FILE = Path(__file__).parent.parent / "docs" / "measured" / "capacity-members.json"
TIMES = {
    "quiet": (),
    "join": ("known_999_s", "all_s", "known_by_all_s"),
    "cold": ("known_999_s", "all_s"),
    "kill": ("found_median_s", "found_99_s"),
    "restart": ("whole_s", "known_by_all_s"),
    "rack": ("dead_99_s", "dead_all_s"),
    "zone": ("dead_99_s", "dead_all_s"),
    "region": ("known_999_s", "whole_s", "resurrected"),
}
COMMON = ("wrongly_dead", "bytes_s", "worst_sent_s", "worst_received_s", "worst_both_s", "worst_seed_both_s",
          "datagrams_s", "cpu_ms_s", "stall_ms")
# Scenario, key, and the required upper bound of its value.
CHARTS = (
    ("quiet", "bytes_s", 1_000.0), ("cold", "worst_both_s", 8_000.0), ("zone", "worst_both_s", 8_000.0),
    ("quiet", "cpu_ms_s", 10.0), ("cold", "all_s", 60.0), ("join", "known_by_all_s", 10.0),
    ("zone", "dead_99_s", 10.0), ("region", "whole_s", 60.0),
)
COLOURS = ("tab:gray", "tab:orange", "tab:blue", "tab:green")


def show(rows: Sequence[Row], of: str) -> None:
    """Prints median, minimum and maximum of the runs that have a value, and the number that have none."""
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
    """Draws the main value of each scenario against the size; a cross at the top is a run without one."""
    from matplotlib import pyplot

    main_keys = {"cold": "all_s", "join": "all_s", "quiet": "bytes_s", "kill": "found_99_s",
               "restart": "known_by_all_s", "rack": "dead_99_s", "zone": "dead_99_s",
               "region": "whole_s", "table": "table_mb"}
    chosen = [name for name in main_keys if any(row["scenario"] == name for row in rows)]
    figure, axes = pyplot.subplots(1, len(chosen), figsize=(3.2 * len(chosen) + 1, 3.4), squeeze=False)
    for axis, name in zip(axes[0], chosen, strict=True):
        of, key = [row for row in rows if row["scenario"] == name], main_keys[name]
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


def groups(results: Row, scenario: str) -> Iterator[tuple[str, int, str, list[Row]]]:
    """Yields program, number of members, run and its rows, in order of size for each program."""
    for program in ("before", "after"):
        rows = [row for row in results[program] if row["scenario"] == scenario]
        for members, run in sorted({(row["members"], row["run"]) for row in rows}):
            yield program, members, run, [r for r in rows if (r["members"], r["run"]) == (members, run)]


def cell(rows: Sequence[Row], key: str) -> str:
    """Median, minimum and maximum of the runs that ended; if none did, of all, marked as partial."""
    ended = [row for row in rows if row["ended"]]
    values = [row[key] for row in ended or rows if row.get(key) is not None]
    if not values:
        return "not within limit" if ended else "not ended"

    def formatted(value: float) -> str:
        return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"

    text = formatted(statistics.median(values))
    if min(values) != max(values):
        text += f" ({formatted(min(values))} to {formatted(max(values))})"
    if late := len(ended) - len(values) if ended else 0:
        text += f", not within limit: {late}"
    return text if ended else f"partial: {text}"


def tables(results: Row) -> list[str]:
    """The lines of one Markdown table for each scenario."""
    lines = []
    for scenario, times in TIMES.items():
        found = list(groups(results, scenario))
        if not found:
            continue
        keys = (*times, *COMMON)
        lines += ["", f"### {scenario}", "", f"| program | members | run | runs | {' | '.join(keys)} |",
                  "| --- " * (4 + len(keys)) + "|"]
        for program, members, run, rows in found:
            late = sum(not row["ended"] for row in rows)
            count = f"{len(rows)}" + (f", {late} not ended" if late else "")
            cells = " | ".join(cell(rows, key) for key in keys)
            lines.append(f"| {program} | {members:,} | {run} | {count} | {cells} |")
    return lines


def chart(results: Row, file: Path) -> None:
    """Draws each program and delay against the number of members.

    A cross at the top is a run that did not end or has no value; the dotted line is the required bound.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = [
        row | {"series": "{}, {} to {} ms".format(program, *results["runs"][row["run"]]["between_ms"])}
        for program in ("before", "after") for row in results[program]
    ]
    names = list(dict.fromkeys(row["series"] for row in rows))
    figure, axes = pyplot.subplots(2, len(CHARTS) // 2, figsize=(3.4 * len(CHARTS) // 2, 6.8))
    for axis, (scenario, key, bound) in zip(axes.flat, CHARTS, strict=True):
        shown: set[int] = set()
        for name, colour in zip(names, COLOURS, strict=False):
            of = [row for row in rows if (row["scenario"], row["series"]) == (scenario, name)]
            there = [(r["members"], r[key]) for r in of if r["ended"] and r.get(key) is not None]
            late = [r["members"] for r in of if not r["ended"] or r.get(key) is None]
            shown |= {r["members"] for r in of}
            sizes = sorted({x for x, _ in there})
            if of:
                axis.plot([x for x, _ in there], [y for _, y in there], "o", ms=4, color=colour, label=name)
            axis.plot(sizes, [statistics.median([y for x, y in there if x == size]) for size in sizes],
                      color=colour)
            axis.plot(late, [0.97] * len(late), "x", color=colour, transform=axis.get_xaxis_transform())
        axis.axhline(bound, ls=":", color="red", label="bound")
        axis.set_title(f"{scenario}: {key}")
        axis.set_xscale("log")
        axis.set_xticks(sorted(shown), [str(size) for size in sorted(shown)], fontsize=7)
        axis.minorticks_off()
        axis.set_xlabel("members (x: not ended, or not in time)")
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(file, dpi=90)


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("file", type=Path, nargs="?", default=FILE)
    parser.add_argument("--chart", type=Path)
    args = parser.parse_args(argv)
    results = json.loads(args.file.read_text())
    print("\n".join(tables(results)))
    if args.chart:
        chart(results, args.chart)
    return 0


if __name__ == "__main__":
    sys.exit(main())
