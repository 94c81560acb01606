"""Measures the cost of a deferred job in the scheduler: processor time to submit and release, and memory.

    python -m measure.waiting_plan [--runs 5] [--json FILE]

Each run submits N stored jobs due at random within an hour, then steps through the hour with free capacity
for all.  Memory is that of the process, for what the node keeps of a stored job; its body is only in the
store.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import random
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from rushsaddle.node import GC_THRESHOLDS
from rushsaddle.waiting.handle import JobHandle
from rushsaddle.waiting.pacing import ReleasePacer
from rushsaddle.waiting.scheduler import JobScheduler, Release, Submission

SIZES = (1_000, 10_000, 100_000)
HOUR_US = 3_600_000_000


def resident() -> int:
    """Resident memory of this process in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _ignore() -> None:
    pass


def run(count: int, seed: int) -> dict[str, float]:
    """Submits and releases ``count`` jobs; returns the cost of each."""
    gc.set_threshold(*GC_THRESHOLDS)
    draw = random.Random(seed)
    pacer = ReleasePacer([150_000.0], 0.0, 1)
    scheduler = JobScheduler(1, pacer, count, 600_000_000, 1000, 0, paced=False)
    dues = [draw.randrange(1, HOUR_US) for _ in range(count)]
    gc.collect()
    before = resident()
    submissions = [
        Submission(f"{n:016x}", 0, due, due + 5_000_000, context=JobHandle(_ignore, durable=True))
        for n, due in enumerate(dues)
    ]
    began = time.process_time()
    for submission in submissions:
        scheduler.submit(0, submission)
    submitted = time.process_time()
    del submissions
    gc.collect()
    held = resident() - before
    released, now = 0, 0
    began_step = time.process_time()
    while released < count:
        wait = scheduler.next_step_us(now)
        assert wait is not None
        now = max(now, wait)
        for action in scheduler.step(now):
            if isinstance(action, Release):
                released += 1
                pacer.in_flight_slots = 0.0
                scheduler.record_outcome(now, action.job.name, True)
    ended = time.process_time()
    return {
        "jobs": count, "submit_us": (submitted - began) / count * 1e6,
        "release_us": (ended - began_step) / count * 1e6, "bytes": held / count,
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--json")
    parser.add_argument("--one", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one:
        count, _, seed = args.one.partition(":")
        print(json.dumps(run(int(count), int(seed))))
        return 0
    rows: list[dict[str, Any]] = []
    for seed in range(args.runs):  # alternate sizes, so that a slow period of the machine affects all
        for count in SIZES:
            command = [sys.executable, "-m", "measure.waiting_plan", "--one", f"{count}:{seed}"]
            rows.append(json.loads(subprocess.run(command, capture_output=True, check=True).stdout))
    print("| jobs | submit, us | release, us | both, us: median (least, most) | bytes a job |")
    both = {}
    for count in SIZES:
        of = [r for r in rows if r["jobs"] == count]
        sums = sorted(r["submit_us"] + r["release_us"] for r in of)
        both[count] = statistics.median(sums)
        print(
            f"| {count} | {statistics.median(r['submit_us'] for r in of):.1f}"
            f" | {statistics.median(r['release_us'] for r in of):.1f}"
            f" | {both[count]:.1f} ({sums[0]:.1f}, {sums[-1]:.1f})"
            f" | {statistics.median(r['bytes'] for r in of):.0f} |"
        )
    print(f"100,000 by 1,000 jobs: {both[SIZES[-1]] / both[SIZES[0]]:.2f}")
    if args.json:
        Path(args.json).write_text(json.dumps(rows) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
