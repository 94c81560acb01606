"""Kills a node (SIGKILL) at random instants while stored jobs are submitted, released and answered.

    python -m measure.waiting_crash [--kills 1000] [--seed 1] [--json FILE]

Each round submits stored jobs of both classes, some due at once, some later, some after another job, and
kills the node at a random instant.  After the last start it waits for all jobs to end.  It counts jobs that
were accepted (202 read) but are unknown, batches that started twice at the workers, jobs with two final
answers, and jobs without an end.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from .rig import Caller, Node, StandInWorkers, raise_descriptor_limit

MAX_ROUND_S = 0.8  # a kill comes after a random time of traffic up to this
DEADLINE_S = 20.0


class CrashRun:
    """A node that is killed again and again, and what callers read of its jobs."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.random = random.Random(seed)
        store = folder / "store"
        store.mkdir()
        self.workers = StandInWorkers(folder, 12, 8, queue=16)
        self.node = Node(folder, self.workers.discovery, {
            "RUSHSADDLE_WAITING__ENABLED": "true", "RUSHSADDLE_WAITING__STORE": str(store),
            "RUSHSADDLE_WAITING__KEEP_MOST": "1000000", "RUSHSADDLE_WAITING__KEEP": "6h",
        })
        self.accepted: dict[str, str] = {}  # class of each accepted job (202 read), by id
        self.finals: dict[str, set[tuple[str, int, str]]] = {}
        self.unaccepted = 0  # submitted, but no 202 read before the kill
        self.restarts_s: list[float] = []
        self.count = 0

    async def submit_jobs(self, caller: Caller, until: float) -> None:
        r = self.random
        last = None
        while time.monotonic() < until:
            self.count += 1
            name, cls = f"j{self.count}", r.choice(["single-text", "bulk-batch"])
            headers = {"X-Request-ID": name, "X-Timeout": f"{DEADLINE_S}", "Prefer": "respond-async",
                       "Idempotency-Key": f"k{name}"}
            if r.random() < 0.4:
                headers["X-Not-Before"] = f"{time.time() + r.random() * 0.5:.3f}"
            if last and r.random() < 0.2:
                headers["X-After"] = last
            reply = await caller.ask("POST", f"/{cls}", headers, b"reminder")
            if reply.status == 202:
                self.accepted[name], last = cls, name
            else:
                self.unaccepted += 1
                if reply.status == 0:
                    return
            await asyncio.sleep(r.random() * 0.1)

    async def read(self, names: list[str], wait: bool) -> None:
        """Reads the states of jobs and records final answers, which must never change."""
        caller = Caller(self.node.port)
        for name in names:
            reply = await caller.ask("GET", f"/jobs/{name}", {"Prefer": "wait=5"} if wait else {})
            if reply.status == 200:
                job = json.loads(reply.body)
                if job["state"] not in ("waiting", "released"):
                    what = (job["state"], job["status"], str(job["result"]))
                    self.finals.setdefault(name, set()).add(what)
            elif reply.status == 404:
                self.finals.setdefault(name, set()).add(("lost", 404, ""))
            else:
                return

    async def round(self) -> None:
        """Submits and reads jobs for a random time, then kills and restarts the node."""
        until = time.monotonic() + self.random.random() * MAX_ROUND_S
        callers = [asyncio.create_task(self.submit_jobs(Caller(self.node.port), until)) for _ in range(4)]
        sample = self.random.sample(sorted(self.accepted), min(5, len(self.accepted)))
        callers.append(asyncio.create_task(self.read(sample, wait=False)))
        await asyncio.sleep(max(0.0, until - time.monotonic()))
        self.node.kill()
        await asyncio.gather(*callers)
        self.restarts_s.append(self.node.start())

    async def settle(self) -> None:
        """Waits until all jobs have ended; none may outlast its deadline."""
        until = time.monotonic() + DEADLINE_S + 15
        left = [n for n in self.accepted if n not in self.finals]
        while left and time.monotonic() < until:
            await self.read(left[:2000], wait=len(left) < 50)
            left = [n for n in self.accepted if n not in self.finals]
        await self.read(self.random.sample(sorted(self.accepted), min(2000, len(self.accepted))), wait=False)

    def verdict(self) -> dict[str, Any]:
        """Stops the node and the workers; returns the counts."""
        code = self.node.stop()
        runs = self.workers.stop()
        taken: Counter[str] = Counter()
        done: Counter[str] = Counter()
        for _, name, cls, _, what in runs:
            taken[name] += cls == "bulk-batch" and what == "began"
            done[name] += what == "done"
        states = Counter(what[0] for finals in self.finals.values() for what in finals)
        return {
            "kills": len(self.restarts_s), "promised": len(self.accepted), "not_promised": self.unaccepted,
            "lost": states["lost"], "without_an_end": sum(n not in self.finals for n in self.accepted),
            "batches_begun_twice": sum(n > 1 for n in taken.values()),
            "served_that_never_ran": sum(
                not done[n] for n, f in self.finals.items() if any(x[0] == "served" for x in f)
            ),
            "second_answers": sum(len(f) > 1 for f in self.finals.values()), "states": dict(states),
            "start_s": [round(x, 2) for x in (min(self.restarts_s), max(self.restarts_s))], "exit": code,
        }


BAD = ("lost", "without_an_end", "batches_begun_twice", "served_that_never_ran", "second_answers", "exit")


async def crash(folder: Path, kills: int, seed: int, progress: bool) -> dict[str, Any]:
    """Runs ``kills`` rounds and returns the counts; those named in ``BAD`` must be 0."""
    run = CrashRun(folder, seed)
    for n in range(kills):
        await run.round()
        if progress and n % 50 == 49:
            print(f"{n + 1} kills, {len(run.accepted)} jobs accepted", file=sys.stderr, flush=True)
    await run.settle()
    return run.verdict()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json")
    args = parser.parse_args()
    raise_descriptor_limit()
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(crash(Path(folder), args.kills, args.seed, True))
    print(json.dumps(found, indent=1))
    if args.json:
        Path(args.json).write_text(json.dumps(found, indent=1) + "\n")
    return int(any(found[key] for key in BAD))


if __name__ == "__main__":
    sys.exit(main())
