"""Measures a rolling upgrade from the nodes of an older checkout to those of this one, node by node.

    python -m measure.upgrade --before CHECKOUT [--nodes 20] [--rounds 3] [--back] [--json FILE]

The nodes are real processes on loopback, without traffic or list service.  Each old node is stopped and
replaced at the same address; the next replacement starts once the fleet has converged.  ``--back`` then
replaces all of them by the older version again.  Every member is queried repeatedly from outside: a running
member that another does not know, or holds for dead or left, counts as lost.  The logs are searched for the
same, since polling may miss a short-lived state.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from .coldstart import run_rounds
from .rig import Fleet, raise_descriptor_limit

CONVERGENCE_TIMEOUT_S = 60.0  # a longer convergence is reported as infinite


class Audit:
    """Counts wrong membership states by polling the members in turn; ``away`` is the node being replaced."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.away: int | None = None
        self.samples = self.lost = self.suspected = 0

    def poll(self) -> bool:
        """Queries every running member; returns whether all members know all others as alive."""
        converged = True
        places = self.fleet.places
        for n in range(len(places)):
            states = self.fleet.states(n)
            converged = converged and states == {place: "alive" for place in places if place != places[n]}
            if n == self.away or not states:
                continue
            for other, place in enumerate(places):
                if other not in (n, self.away):
                    self.samples += 1
                    self.lost += states.get(place) in (None, "dead", "left")
                    self.suspected += states.get(place) == "suspect"
        return converged

    def wait_until_converged(self) -> float:
        """Seconds until all members know all others; inf after ``CONVERGENCE_TIMEOUT_S``."""
        began = time.monotonic()
        while not self.poll():
            if time.monotonic() > began + CONVERGENCE_TIMEOUT_S:
                return float("inf")
            time.sleep(0.05)
        return time.monotonic() - began


def events(fleet: Fleet) -> Iterator[dict[str, Any]]:
    """Yields the log events of all nodes and all their processes."""
    for node in fleet.nodes:
        for log in node.folder.glob("log-*"):
            yield from (json.loads(line) for line in log.read_text().splitlines() if line.startswith("{"))


def measure_upgrade(count: int, before: Path, back: bool) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as name:
        fleet = Fleet(Path(name))
        try:
            nodes = fleet.start(count, tree=before)
            began = time.monotonic()
            while not fleet.has_converged():
                if time.monotonic() > began + CONVERGENCE_TIMEOUT_S:
                    raise RuntimeError(f"the older nodes did not converge: {fleet.states(0)}")
                time.sleep(0.05)
            first = time.monotonic() - began
            audit = Audit(fleet)
            times, ends = [], 0
            for tree in (None, before) if back else (None,):
                for n, node in enumerate(nodes):
                    audit.away = n
                    ends += node.stop() != 0
                    audit.poll()
                    node.tree = tree
                    node.spawn()
                    times.append(audit.wait_until_converged())
                    audit.away = None
            audit.poll()
            lines = list(events(fleet))
        finally:
            fleet.stop()
    dead = sum(e.get("now") == "dead" for e in lines if e["event"] == "member")
    return {
        "nodes": count, "older ones know all, s": first, "replacements": len(times),
        "until all know all again, median, s": sorted(times)[len(times) // 2], "worst, s": max(times),
        "pairs asked": audit.samples, "lost": audit.lost, "suspected": audit.suspected,
        "dead in the logs": dead + sum(e.get("dead", 0) for e in lines if e["event"] == "members changed"),
        "messages not taken": sum(e["event"] == "message not taken" for e in lines), "bad ends": ends,
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--before", type=Path, required=True)
    parser.add_argument("--nodes", type=int, nargs="+", default=[20])
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--back", action="store_true")
    parser.add_argument("--json")
    args = parser.parse_args()
    raise_descriptor_limit()
    rows = run_rounds(args.nodes, args.rounds, lambda count: measure_upgrade(count, args.before, args.back))
    if args.json:
        Path(args.json).write_text(json.dumps(rows) + "\n")
    return int(any(row["lost"] or row["dead in the logs"] or row["bad ends"] for row in rows))


if __name__ == "__main__":
    sys.exit(main())
