"""Measures daily operation: the admin port under full load, process replacement, and scores of the journal.

    python -m measure.operation door
    python -m measure.operation replace --times 10
    python -m measure.operation days --chart docs/measured/operation.png
"""

from __future__ import annotations

import argparse
import json
import signal
import socket
import time
from collections import Counter, defaultdict
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory
from typing import Any

from .rig import PROCESS_TIMEOUT_S, Reply, memory_mb
from .site import Site, under_load

JOURNAL = Path(__file__).parent.parent / "journal"
DAYS = ("upgrade", "pieces+silent+leave", "drain+scrape", "drain", "scrape+crowd+leave", "crowd+term+scrape",
        "upgrade+scrape", "herd")
SOCKETS = 192
TABLE_HEAD = "| | count | least | median | 99 of 100 | most | |\n| --- | --- | --- | --- | --- | --- | --- |"
IDLE_CONNECTIONS = 600  # connections that send nothing, in addition to the load


def _statuses(replies: list[Reply]) -> str:
    return f"statuses {dict(Counter(reply.status for reply in replies))}"


def _print_spread(what: str, values: list[float], unit: str) -> None:
    values.sort()
    late = values[min(len(values) - 1, int(len(values) * 0.99))]
    shown = " | ".join(f"{value:.1f}" for value in (values[0], median(values), late, values[-1]))
    print(f"| {what} | {len(values)} | {shown} | {unit} |")


def measure_admin_port(seconds: float = 20.0) -> None:
    """Times admin commands with all legs in use, idle connections open, and callers sending without pause."""
    with TemporaryDirectory() as folder:
        site = Site(Path(folder), SOCKETS, SOCKETS)
        idle: list[socket.socket] = []
        took: dict[str, list[float]] = defaultdict(list)

        def act() -> None:
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                if len(idle) < IDLE_CONNECTIONS:
                    for _ in range(20):
                        sock = socket.socket()
                        sock.setblocking(False)
                        sock.connect_ex(("127.0.0.1", site.port))
                        idle.append(sock)
                for call in ("STATUS", "METRICS"):
                    began = time.monotonic()
                    assert site.admin_command(node, call.encode())
                    took[call].append((time.monotonic() - began) * 1e3)
                time.sleep(0.05)

        try:
            node = site.start_ready()
            replies = under_load(site, 60, act)
        finally:
            for sock in idle:
                sock.close()
            site.stop()
    print(f"{len(replies) / seconds:.0f} jobs a second, {_statuses(replies)}\n\n{TABLE_HEAD}")
    for call, values in took.items():
        _print_spread(call, values, "ms")


def measure_replacement(times: int) -> None:
    """Replaces the process on one socket repeatedly under load; prints what callers see, time and memory."""
    with TemporaryDirectory() as folder:
        site = Site(Path(folder))
        ready, ended, peak_mb, combined_mb = [], [], [], []

        def act() -> None:
            old = site.start_ready()
            for _ in range(times):
                began = time.monotonic()
                new = site.start_ready()
                ready.append((time.monotonic() - began) * 1e3)
                time.sleep(0.3)
                peak_mb.append(memory_mb(site.nodes[new].pid, "VmHWM"))
                combined_mb.append(peak_mb[-1] + memory_mb(site.nodes[old].pid, "VmHWM"))
                began = time.monotonic()
                site.nodes[old].send_signal(signal.SIGTERM)
                assert site.nodes[old].wait(PROCESS_TIMEOUT_S) == 0
                ended.append((time.monotonic() - began) * 1e3)
                old = new

        try:
            replies = under_load(site, 24, act)
        finally:
            runs = site.workers.stop()
            site.stop()
    begun = Counter(id for _, id, _, _, what in runs if what == "taken")
    closes = sum(reply.headers.get("connection") == "close" for reply in replies)
    lost = len(replies) - len(begun)
    print(f"{len(replies)} jobs, {_statuses(replies)}, told to leave {closes}, lost {lost}\n\n{TABLE_HEAD}")
    _print_spread("from start to serving", ready, "ms")
    _print_spread("from SIGTERM to the end of the older one", ended, "ms")
    _print_spread("peak memory of one process", peak_mb, "MB")
    _print_spread("... of both together", combined_mb, "MB")


def show_days(chart: str | None) -> None:
    """Prints and draws the journal's scores of the daily-operation scenarios, by day, oldest first."""
    found: dict[str, list[tuple[str, float, int]]] = defaultdict(list)
    for path in sorted(JOURNAL.glob("*.json")):
        entry: dict[str, Any] = json.loads(path.read_text())
        for day in entry.get("days") or ():
            kind = str(day.get("name", "")).rsplit("-", 1)[0]
            name = next((d for d in DAYS if d in (day.get("name"), kind)), None)
            if name is not None:
                bad = sum(day["rules"].values()) + bool(day["fault"])
                found[name].append((str(day["seed"]), day["score"], bad))
    print("| day | seed | scores, oldest first | rules broken, faults |\n| --- | --- | --- | --- |")
    for name in DAYS:
        seeds: dict[str, list[tuple[float, int]]] = defaultdict(list)
        for seed, score, bad in found[name]:
            seeds[seed].append((score, bad))
        for seed, rows in seeds.items():
            scores = ", ".join(f"{score:.2f}" for score, _ in rows)
            print(f"| {name} | {seed} | {scores} | {', '.join(str(bad) for _, bad in rows)} |")
    if chart is not None:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        _, axes = pyplot.subplots(figsize=(9, 4))
        for name in DAYS:
            axes.plot([score for _, score, _ in found[name]], "o-", label=name)
        axes.set_xlabel("plays in the journal, in order, all seeds")
        axes.set_ylabel("score of the day")
        axes.set_ylim(0, 1)
        axes.legend(fontsize=7)
        pyplot.savefig(chart, dpi=100, bbox_inches="tight")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("what", choices=("door", "replace", "days"))
    parser.add_argument("--times", type=int, default=10)
    parser.add_argument("--chart")
    args = parser.parse_args()
    if args.what == "door":
        measure_admin_port()
    elif args.what == "replace":
        measure_replacement(args.times)
    else:
        show_days(args.chart)


if __name__ == "__main__":
    main()
