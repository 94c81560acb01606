"""Prints the scores of the fleet scenarios in the journal as a table; ``--chart FILE`` also draws them.

    python -m measure.fleet --chart docs/measured/fleet.png
"""

from __future__ import annotations

import argparse
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

JOURNAL = Path(__file__).parent.parent / "journal"
DAYS = ("herd+vast", "zone+vast", "join+vast")
QUICK = ("herd+vast 81336082080", "zone+vast 262267966038", "join+vast 783495833891")  # day and seed


@dataclass(frozen=True)
class Run:
    """One journal entry with fleet days."""

    at: str
    why: str
    scores: dict[str, float]  # by day and seed
    broken: int  # rules broken, summed over its days
    faults: int  # crashes and other faults


def read(folder: Path) -> list[Run]:
    """The journal's runs that have fleet days, oldest first."""
    runs = []
    for path in sorted(folder.glob("*.json")):
        entry: dict[str, Any] = json.loads(path.read_text())
        days = [day for day in entry.get("days") or () if str(day.get("name", "")).split("-")[0] in DAYS]
        if not days:
            continue
        scores = {f"{day['name']} {day['seed']}": day["score"] for day in days}
        broken = sum(sum(day["rules"].values()) for day in days)
        faults = sum(bool(day["fault"]) for day in days)
        runs.append(Run(entry["at"][0], entry["why"], scores, broken, faults))
    return runs


def table(runs: list[Run]) -> None:
    """Prints a row for each run."""
    print("| at | what | days | rules broken, faults |\n| --- | --- | --- | --- |")
    for run in runs:
        days = ", ".join(f"{name} {score:.2f}" for name, score in run.scores.items())
        print(f"| {run.at[5:16]} | {run.why} | {days} | {run.broken}, {run.faults} |")


def chart(runs: list[Run], path: str) -> None:
    """Draws the scores of the days in ``QUICK`` over the runs."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    _, axes = pyplot.subplots(figsize=(9, 4))
    for name in QUICK:
        points = [(n, run.scores[name]) for n, run in enumerate(runs) if name in run.scores]
        axes.plot([n for n, _ in points], [score for _, score in points], "o-", label=name)
    axes.set_xlabel("runs of the journal, in order")
    axes.set_ylabel("score of the day")
    axes.set_ylim(0, 1)
    axes.legend()
    pyplot.savefig(path, dpi=100, bbox_inches="tight")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--chart")
    args = parser.parse_args()
    runs = read(JOURNAL)
    table(runs)
    if args.chart:
        chart(runs, args.chart)


if __name__ == "__main__":
    main()
