"""Measures new traffic while a thousand deferred jobs fall due at once: without them, paced and unpaced.

    python -m measure.waiting_nine [--seeds 5] [--waiting 1000] [--silent 0.4] [--json FILE]

For each seed the same new traffic (Poisson arrivals, drawn in advance) is sent to the same workers in three
modes.  Worth is counted as by the platform: in proportion to the work, for answers within the latency target
of the class; a deferred job only has to be answered before its deadline.  Latency counts from the intended
time of sending.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from .rig import SETTINGS, Caller, Node, Reply, StandInWorkers, raise_descriptor_limit
from .standin import MEAN_S, job_run_time_s

WORKERS, SLOTS = 12, 4
NEW_TRAFFIC_LOAD = 0.4  # share of all slots
LEAD_S, TAIL_S = 4.0, 26.0  # traffic before and after the due time
DEADLINE_S = 60.0  # of a deferred job, from its due time
SHARE_TEXT = 0.67
MODES = ("none", "paced", "at once")
ORDER_BOUND = 64
WORTH = {c["Name"]: (c["Worth"], c["OnTimeUs"] / 1e6) for c in SETTINGS["Services"]}
LIMIT = {c["Name"]: c["HardLimitUs"] / 1e6 for c in SETTINGS["Services"]}


def arrivals(seed: int, horizon: float) -> list[tuple[float, str, str]]:
    """Time, id and class of each new request until ``horizon`` seconds."""
    draw = random.Random(seed)
    mean = SHARE_TEXT * MEAN_S["single-text"] + (1 - SHARE_TEXT) * MEAN_S["bulk-batch"]
    rate = NEW_TRAFFIC_LOAD * WORKERS * SLOTS / mean
    found: list[tuple[float, str, str]] = []
    at = 0.0
    while (at := at + draw.expovariate(rate)) < horizon:
        cls = "single-text" if draw.random() < SHARE_TEXT else "bulk-batch"
        found.append((at, f"f{seed}-{len(found)}", cls))
    return found


async def run_mode(folder: Path, seed: int, mode: str, waiting: int, silent_share: float) -> dict[str, Any]:
    silent = [
        {"sender": n, "from_s": LEAD_S - 1, "to_s": LEAD_S + 8} for n in range(round(silent_share * WORKERS))
    ]
    workers = StandInWorkers(folder, WORKERS, SLOTS, silent=silent)
    node = Node(folder, workers.discovery, {
        "RUSHSADDLE_WAITING__ENABLED": "true", "RUSHSADDLE_WAITING__LEGS_SHARE": "0.9",
        "RUSHSADDLE_WAITING__PACE": "false" if mode == "at once" else "true",
    })
    await asyncio.sleep(1.5)
    caller, began = Caller(node.port), time.time() + 0.3
    due_at = began + LEAD_S
    draw = random.Random(seed + 1_000_000)
    tasks = []
    if mode != "none":
        for n in range(waiting):
            cls = "single-text" if draw.random() < SHARE_TEXT else "bulk-batch"
            slots = 2 if cls == "bulk-batch" and draw.random() < 0.3 else 1
            headers = {
                "X-Request-ID": f"w{seed}-{n}", "X-Not-Before": f"{due_at:.3f}", "X-Attrs": f"slots={slots}",
                "X-Timeout": f"{due_at + DEADLINE_S - time.time():.3f}",
            }
            tasks.append(asyncio.create_task(caller.ask("POST", f"/{cls}", headers)))
            if n % 50 == 49:
                await asyncio.sleep(0.02)
    fresh: list[tuple[float, str, str, asyncio.Task[Reply]]] = []
    late = 0.0
    for at, name, cls in arrivals(seed, LEAD_S + TAIL_S):
        wait = began + at - time.time()
        if wait > 0:
            await asyncio.sleep(wait)
        late = max(late, -wait)
        headers = {"X-Request-ID": name, "X-Timeout": f"{LIMIT[cls]}"}
        fresh.append((began + at, name, cls, asyncio.create_task(caller.ask("POST", f"/{cls}", headers))))
    replies = await asyncio.gather(*(task for *_, task in fresh))
    held = await asyncio.gather(*tasks)
    released = node.events("job released")
    node.stop()
    runs = workers.stop()
    offered = earned = 0.0
    for (at, name, cls, _), reply in zip(fresh, replies, strict=True):
        worth, latency_target = WORTH[cls]
        run = job_run_time_s(name, cls)
        offered += worth * run
        earned += worth * run * (reply.status == 200 and reply.at - at <= latency_target + 2 * run)
    begun: dict[str, int] = {}
    for _, name, cls, _, what in runs:
        if what == "began" and cls == "bulk-batch":
            begun[name] = begun.get(name, 0) + 1
    statuses: dict[str, int] = {}
    for r in held:
        statuses[str(r.status)] = statuses.get(str(r.status), 0) + 1
    return {
        "seed": seed, "mode": mode, "fresh": len(fresh), "worth": earned / offered, "waiting": len(held),
        "answered_in_time": sum(r.status != 0 and r.at <= due_at + DEADLINE_S + 0.05 for r in held),
        "statuses": statuses, "overtaken_most": max_overtaken(released),
        "last_s": max((r.at - due_at for r in held), default=0.0),
        "batches_begun_twice": sum(n > 1 for n in begun.values()), "tool_late_ms": round(late * 1e3, 1),
        "waits_s": sorted(round(r.at - due_at, 2) for r in held if r.status == 200),
    }


def max_overtaken(released: list[dict[str, Any]]) -> int:
    """The largest number of newer jobs released before an older one.

    It is counted from the order of the releases alone.
    """
    order = [r["number"] for r in released]
    most = 0
    for place, number in enumerate(order):
        most = max(most, sum(other > number for other in order[:place]))
    return most


def chart(results: list[dict[str, Any]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    for mode, colour in zip(MODES, ("#777777", "#1f6fb2", "#c8502a"), strict=True):
        of = [r for r in results if r["mode"] == mode]
        left.plot([r["seed"] for r in of], [r["worth"] for r in of], "o-", label=mode, color=colour)
        waits = sorted(w for r in of for w in r["waits_s"])
        due = sum(r["waiting"] for r in of)
        if waits:
            right.plot(waits, [(n + 1) / due for n in range(len(waits))], label=mode, color=colour)
    left.set(xlabel="seed", ylabel="worth of new traffic kept", title="New traffic meanwhile")
    left.set_xticks([r["seed"] for r in results if r["mode"] == "none"])
    left.set_ylim(min(0.9, *(r["worth"] - 0.01 for r in results)), 1.005)
    right.set(xlabel="seconds after due time", ylabel="share of all that were due, served", ylim=(0, 1.02),
              title="Deferred jobs")
    for axes in (left, right):
        axes.grid(alpha=0.3)
        axes.legend()
    figure.tight_layout()
    figure.savefig(path)


async def measure_all(args: argparse.Namespace, folder: Path) -> list[dict[str, Any]]:
    parallel = asyncio.Semaphore(args.side_by_side)

    async def run(seed: int, mode: str) -> dict[str, Any]:
        async with parallel:
            place = folder / f"{seed}-{mode.replace(' ', '-')}"
            place.mkdir()
            command = [sys.executable, "-m", "measure.waiting_nine", "--one", f"{seed}:{mode}", "--waiting",
                       str(args.waiting), "--silent", str(args.silent), "--folder", str(place)]
            process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
            out, _ = await process.communicate()
            result: dict[str, Any] = json.loads(out)
            print({k: v for k, v in result.items() if k != "waits_s"}, file=sys.stderr, flush=True)
            return result

    jobs = [run(seed, mode) for seed in range(1, args.seeds + 1) for mode in MODES]
    return await asyncio.gather(*jobs)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--waiting", type=int, default=1000)
    parser.add_argument("--silent", type=float, default=0.0, help="share of workers that stop answering")
    parser.add_argument("--side-by-side", type=int, default=2, help="runs at once; each needs three cores")
    parser.add_argument("--json")
    parser.add_argument("--chart")
    parser.add_argument("--redraw", metavar="FILE", help="draw the chart of an earlier run's --json only")
    parser.add_argument("--one", help=argparse.SUPPRESS)
    parser.add_argument("--folder", help=argparse.SUPPRESS)
    args = parser.parse_args()
    raise_descriptor_limit()
    if args.redraw:
        chart(json.loads(Path(args.redraw).read_text()), Path(args.chart))
        return 0
    if args.one:
        seed, _, mode = args.one.partition(":")
        result = asyncio.run(run_mode(Path(args.folder), int(seed), mode, args.waiting, args.silent))
        print(json.dumps(result))
        return 0
    with tempfile.TemporaryDirectory() as folder:
        results = asyncio.run(measure_all(args, Path(folder)))
    worth = {(r["seed"], r["mode"]): r["worth"] for r in results}
    print("| mode | worth of fresh traffic, by the run without waiting jobs: median (least, most) |")
    for mode in MODES[1:]:
        ratios = sorted(worth[s, mode] / worth[s, "none"] for s in range(1, args.seeds + 1))
        print(f"| {mode} | {statistics.median(ratios):.3f} ({ratios[0]:.3f}, {ratios[-1]:.3f}) |")
    if args.json:
        Path(args.json).write_text(json.dumps(results) + "\n")
    if args.chart:
        chart(results, Path(args.chart))
    unanswered = sum(r["waiting"] - r["answered_in_time"] for r in results)
    over = max(r["overtaken_most"] for r in results)
    return int(unanswered > 0 or over > ORDER_BOUND or any(r["batches_begun_twice"] for r in results))


if __name__ == "__main__":
    sys.exit(main())
