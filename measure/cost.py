"""Compares the processor time per request of two checkouts under the same load.

    git worktree add /tmp/before COMMIT
    python -m measure.cost --before /tmp/before [--rounds 7] [--requests 4000] [--operator KEY=VALUE ...]

Each round starts a node of one checkout, then one of the other, and reads the processor time that the kernel
accounts to the process from the first request to the last.  ``--operator`` applies to the node of the present
checkout only.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
from pathlib import Path

from .rig import Caller, Node, StandInWorkers, raise_descriptor_limit

CONCURRENCY = 64


async def load(node: Node, requests: int, label: str) -> float:
    """Sends the requests; returns microseconds of processor time per request.

    Raises RuntimeError if more than 1% of the requests fail.
    """
    left = iter(range(requests))
    failed = 0

    async def send_requests() -> None:
        nonlocal failed
        caller = Caller(node.port)
        for n in left:
            reply = await caller.ask("POST", "/single-text", {
                "X-Request-ID": f"{label}-{n}", "X-Timeout": "5.0", "Idempotency-Key": f"k{n}",
                "X-Cost": "150000", "X-Attrs": "slots=1,memory=0.5", "Cookie": "key=7f3a9c21e0b4d655",
            }, b"m" * 160)
            failed += reply.status != 200

    await asyncio.sleep(1.0)
    began = node.cpu_s()
    await asyncio.gather(*(send_requests() for _ in range(CONCURRENCY)))
    cost = (node.cpu_s() - began) / requests * 1e6
    if failed > requests // 100:
        raise RuntimeError(f"{failed} of {requests} requests were not served")
    return cost


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", required=True, help="the other checkout")
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--operator", action="append", default=[], metavar="KEY=VALUE")
    parser.add_argument("--json")
    args = parser.parse_args()
    raise_descriptor_limit()
    operator = dict(item.partition("=")[::2] for item in args.operator)
    pairs: list[tuple[float, float]] = []
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        workers = StandInWorkers(root, 20, 8)
        for number in range(args.rounds):
            costs: list[float] = []
            for tree, settings in ((Path(args.before), {}), (None, operator)):
                node = Node(root, workers.discovery, settings, tree=tree)
                costs.append(asyncio.run(load(node, args.requests, f"{number}-{len(costs)}")))
                node.stop()
            pairs.append((costs[0], costs[1]))
            print(f"before {costs[0]:.0f} us, now {costs[1]:.0f} us", file=sys.stderr, flush=True)
        workers.stop()
    ratios = sorted(now / before for before, now in pairs)
    before, now = (statistics.median(c) for c in zip(*pairs, strict=True))
    print(f"before {before:.0f} us a request, now {now:.0f} us")
    print(f"ratio, pair by pair: {statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f})")
    if args.json:
        Path(args.json).write_text(json.dumps(pairs) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
