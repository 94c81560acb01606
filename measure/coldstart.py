"""Measures a cold start: many nodes start within a second without a list, before a serial list service.

    python -m measure.coldstart [--nodes 20 60 200] [--rounds 5] [--lists 10] [--alone] [--down 20]
        [--no-network] [--copies] [--before CHECKOUT] [--json FILE]

The nodes are real processes; workers and list service are stand-ins, and there is no traffic.  ``--lists`` is
the number of calls that the service answers per second, ``--down`` the time in seconds for which it answers
none at first.  ``--alone`` disables membership, ``--no-network`` drops every datagram between members,
``--before`` runs another checkout (without membership), ``--copies`` kills all nodes once each has saved the
list and restarts them without the service.  Times run from the start of the last process until a node has a
list that is not empty.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from .rig import Fleet, StandInWorkers, raise_descriptor_limit
from .table import show

NODE_MB = 60  # above every observed use of a node, with its share of kernel memory
LIST_TIMEOUT_S = 90.0


def memory_free_mb() -> float:
    """Available memory of the machine."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure_start(count: int, args: argparse.Namespace) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        workers = StandInWorkers(folder, 8, 8, lists_per_s=args.lists, lists_from_s=args.down)
        members = not args.alone and args.before is None
        fleet = Fleet(folder)
        try:
            fleet.start(
                count, workers.discovery, link=members and args.no_network, spawn=False, members=members,
                tree=Path(args.before) if args.before else None, group=args.group,
            )
            if fleet.link is not None:
                fleet.link.cut("*", "*")
            for node in fleet.nodes:
                if args.copies:
                    (node.folder / "copy").mkdir()
                    node.operator["RUSHSADDLE_FLEET__COPY"] = str(node.folder / "copy")
                node.spawn()
            began = time.time()
            times = wait_for_lists(fleet, began)
            if args.copies:
                times = restart_from_copies(fleet, workers)
            time.sleep(1.0)
            cpu = [node.cpu_s() for node in fleet.nodes]
            memory = [node.memory_mb() for node in fleet.nodes]
            members_known = fleet.mean_members_known() if members else 0.0
        finally:
            fleet.stop()
            workers.stop()
        calls = workers.calls()
    return row(count, times, calls, cpu, memory, members_known)


def restart_from_copies(fleet: Fleet, workers: StandInWorkers) -> list[float]:
    """Kills all nodes once each has saved the list, and restarts them without the service."""
    while not all((node.folder / "copy" / "kept").exists() for node in fleet.nodes):
        time.sleep(0.1)
    fleet.stop()
    workers.stop()
    for node in fleet.nodes:
        node.spawn()
    return wait_for_lists(fleet, time.time())


def wait_for_lists(fleet: Fleet, began: float) -> list[float]:
    """Seconds from ``began`` until each node had a list, sorted; inf for a node that got none."""
    times: dict[int, float] = {}
    while len(times) < len(fleet.nodes) and time.time() < began + LIST_TIMEOUT_S:
        time.sleep(0.1)
        for n, node in enumerate(fleet.nodes):
            if node.process.poll() is not None:
                raise RuntimeError(f"a node has exited: {node.log.read_text()[-500:]}")
            if n not in times:
                for event in node.events("list"):
                    if event["entries"]:
                        times[n] = max(0.0, event["time"] - began)
                        break
    return sorted([*times.values(), *[float("inf")] * (len(fleet.nodes) - len(times))])


def row(
    count: int, times: list[float], calls: list[list[Any]], cpu: list[float], memory: list[float],
    known: float,
) -> dict[str, float]:
    seconds = Counter(int(at) for at, _, _ in calls)
    return {
        "nodes": count, "50% have a list, s": times[count // 2 - 1], "90%, s": times[int(0.9 * count) - 1],
        "all, s": times[-1], "calls": len(calls),
        "calls in the worst second": max(seconds.values(), default=0),
        "whole lists": sum(whole for _, whole, _ in calls), "calls given up": sum(gone for *_, gone in calls),
        "processor time a node, s": sum(cpu) / count, "memory a node, MB": sum(memory) / count,
        "members known, mean": known,
    }


def run_rounds(
    sizes: Sequence[int], rounds: int, one: Callable[[int], dict[str, float]]
) -> list[dict[str, float]]:
    """Runs ``rounds`` of each size and prints the rows; skips sizes that exceed the machine's resources."""
    results: list[dict[str, float]] = []
    for count in sizes:
        if memory_free_mb() < count * NODE_MB or count > 50 * (os.cpu_count() or 1):
            print(f"{count} nodes: skipped, not enough memory or cores", file=sys.stderr)
            continue
        rows = []
        for _ in range(rounds):
            rows.append(one(count))
            print(json.dumps(rows[-1]), file=sys.stderr, flush=True)
        show(rows, None)
        results += rows
    return results


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--nodes", type=int, nargs="+", default=[20, 60, 200])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--lists", type=float, default=10.0)
    parser.add_argument("--down", type=float, default=0.0)
    parser.add_argument("--group", type=int, default=0, help="the group size that nodes are configured with")
    parser.add_argument("--alone", action="store_true")
    parser.add_argument("--no-network", action="store_true")
    parser.add_argument("--copies", action="store_true")
    parser.add_argument("--before")
    parser.add_argument("--json")
    args = parser.parse_args()
    if args.copies and (args.alone or args.before):
        parser.error("--copies: only with members")
    raise_descriptor_limit()
    results = run_rounds(args.nodes, args.rounds, lambda count: measure_start(count, args))
    if args.json:
        Path(args.json).write_text(json.dumps(results) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
