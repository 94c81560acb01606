"""Measures the rate of 202 responses against a plain write and fsync loop, and a start with 100,000 jobs.

    python -m measure.waiting_store [--folder DIR] [--seconds 4] [--jobs 100000] [--rounds 3] [--json FILE]

DIR should be on the disk that will hold the store.  Each caller has one request in flight.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from rushsaddle.waiting.records import StoredJob
from rushsaddle.waiting.store import Store

from .rig import Caller, Node, StandInWorkers, raise_descriptor_limit
from .table import show

CALLERS = (1, 16, 128)
RECORD_BYTES = 600  # written per job in the plain loop


def bare(folder: Path, seconds: float) -> float:
    """The rate of writes per second, each followed by fsync."""
    descriptor = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    count, until = 0, time.monotonic() + seconds
    while time.monotonic() < until:
        os.write(descriptor, b"x" * RECORD_BYTES)
        os.fsync(descriptor)
        count += 1
    os.close(descriptor)
    return count / seconds


async def rate(node: Node, callers: int, seconds: float, label: str) -> tuple[float, float]:
    """202 responses per second, and the 99th percentile of their latency in milliseconds."""
    until = time.monotonic() + seconds
    took: list[float] = []

    async def one(number: int) -> None:
        caller, count = Caller(node.port), 0
        while time.monotonic() < until:
            count += 1
            reply = await caller.ask("POST", "/bulk-batch", {
                "X-Request-ID": f"{label}-{number}-{count}", "X-After": "never", "Prefer": "respond-async",
                "X-Timeout": "80000",
            }, b"m" * 160)
            if reply.status != 202:
                raise RuntimeError(f"job not accepted: status {reply.status}")
            took.append(reply.at - reply.sent)

    await asyncio.gather(*(one(n) for n in range(callers)))
    took.sort()
    return len(took) / seconds, took[int(len(took) * 0.99)] * 1e3


def fill(folder: Path, count: int) -> None:
    """Writes ``count`` jobs that are due in an hour, through the store's own code."""
    store = Store(folder, lambda: None)
    store.start()
    due = time.time_ns() // 1000 + 3_600_000_000
    results: list[object] = []
    for n in range(count):
        name = f"{n:032x}"
        job = StoredJob(name, "single-text", due, due + 5_000_000, (), 1.0, 0.5, 0, "7f3a9c", False, 150_000)
        while not store.add_job(job, b"m" * 500, results.append):
            store.deliver_results()
            time.sleep(0.001)
    while len(results) < count:
        store.deliver_results()
        time.sleep(0.001)
    store.close()


def measure(folder: Path, args: argparse.Namespace) -> list[dict[str, Any]]:
    """Runs all rounds and returns their rows."""
    workers = StandInWorkers(folder, 2, 4)
    rows: list[dict[str, Any]] = []
    for number in range(args.rounds):
        store = folder / f"store-{number}"
        store.mkdir()
        operator = {
            "RUSHSADDLE_WAITING__ENABLED": "true", "RUSHSADDLE_WAITING__STORE": str(store),
            "RUSHSADDLE_WAITING__MOST": "1000000",
        }
        node = Node(folder, workers.discovery, operator)
        row: dict[str, Any] = {"bare": bare(folder, args.seconds)}
        for callers in CALLERS:
            row[f"rate_{callers}"], row[f"p99_ms_{callers}"] = asyncio.run(
                rate(node, callers, args.seconds, f"{number}-{callers}")
            )
        node.stop()
        full = folder / f"full-{number}"
        full.mkdir()
        fill(full, args.jobs)
        node = Node(folder, workers.discovery, {**operator, "RUSHSADDLE_WAITING__STORE": str(full)})
        (event,) = node.events("stored jobs")
        row |= {"start_jobs": event["waiting"], "load_s": event["us"] / 1e6, "memory_mb": node.memory_mb()}
        node.stop()
        row["start_s"] = node.start()
        node.stop()
        rows.append(row)
        print(row, file=sys.stderr, flush=True)
    workers.stop()
    return rows


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", help="else a temporary one")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--jobs", type=int, default=100_000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json")
    args = parser.parse_args()
    raise_descriptor_limit()
    with tempfile.TemporaryDirectory(dir=args.folder) as folder:
        rows = measure(Path(folder), args)
    show(rows, args.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
