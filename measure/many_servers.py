"""One real node while half of its servers are replaced: its replies and resource usage by number of servers.

    python -m measure.many_servers 200 1024 3200

Servers, discovery and clients are stand-ins on loopback; each server has its own listening socket.  The
traffic is the same at every size.  The usage is read from outside the node: /proc, and counters of the
stand-ins.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .rig import SETTINGS, Caller, Node, Reply, StandInWorkers, memory_mb, raise_descriptor_limit

GROUP = 186  # configured number of nodes that share the servers; the others send nothing here
SMALL_GROUP = 5  # a small group, in which each node uses all servers
JOBS_PER_S = 12.0
DURATION_S = 12.0
DEADLINE_S = 3.0
DEADLINE_SLACK_S = 0.5  # a final answer may arrive this long after its deadline
GRACE_S = 2.05  # a server announced as draining may be sent requests for this long
SAMPLE_INTERVAL_S = 0.05
RULES = {"ColdShare": 0.12, "ColdUs": 23_000_000, "FallMultiple": 2.5, "FallUs": 1_500_000}
RELEASE = {"from_s": 2.0, "every_s": 0.45, "steps": 12}


@dataclass(slots=True)
class Usage:
    """Resources that the node used during a run."""

    cpu_s: float = 0.0
    peak_mb: float = 0.0
    descriptors: int = 0
    connections: int = 0
    list_bytes: int = 0


@dataclass(slots=True)
class Run:
    """Result of one run: the clients' replies, late sends to draining servers, and the node's usage."""

    servers: int
    replies: list[Reply] = field(default_factory=list)
    late_sends: list[str] = field(default_factory=list)  # ids sent to a draining server after ``GRACE_S``
    usage: Usage = field(default_factory=Usage)

    @property
    def lost(self) -> int:
        """Requests without a complete final answer within the deadline and ``DEADLINE_SLACK_S``."""
        return sum(r.status == 0 or r.at - r.sent > DEADLINE_S + DEADLINE_SLACK_S for r in self.replies)

    @property
    def served(self) -> int:
        """Requests answered with status 200."""
        return sum(r.status == 200 for r in self.replies)


def allowed(baseline: Usage, servers: int) -> Usage:
    """Usage allowed with ``servers`` servers, from that under the same traffic with the usual number."""
    thousands = servers / 1000
    return Usage(
        cpu_s=1.4 * baseline.cpu_s + 0.02 + 0.12 * thousands,
        peak_mb=1.5 * baseline.peak_mb + 8 + 4 * thousands,
        descriptors=2 * baseline.descriptors + 40,
        connections=int(2.5 * baseline.connections) + 40,
        list_bytes=int(2 * baseline.list_bytes + 64_000 + 500_000 * thousands),
    )


@contextmanager
def descriptors_watched(node: Node, usage: Usage) -> Iterator[None]:
    """Record the highest number of descriptors that the node has open during the block."""
    stopped = threading.Event()

    def watch() -> None:
        while not stopped.wait(SAMPLE_INTERVAL_S):
            usage.descriptors = max(usage.descriptors, node.descriptors())

    watcher = threading.Thread(target=watch, daemon=True)
    watcher.start()
    try:
        yield
    finally:
        stopped.set()
        watcher.join()


async def ask(caller: Caller, number: int, seed: int, timeout_s: float) -> Reply:
    """Send one request; status 0 without a complete answer within ``timeout_s``."""
    has_dedup_key = number % 3 != 0
    name, target = f"{seed:x}-{number}", "/single-text" if has_dedup_key else "/bulk-batch"
    headers = {"X-Request-ID": name, "X-Timeout": f"{DEADLINE_S}"}
    if has_dedup_key:
        headers["Idempotency-Key"] = name
    began = time.time()
    try:
        return await asyncio.wait_for(caller.ask("POST", target, headers, b"text"), timeout_s)
    except TimeoutError:
        return Reply(began, time.time(), 0, {}, b"")


async def traffic(port: int, seed: int) -> list[Reply]:
    """Send requests at random times, independently of each other."""
    draw, caller, tasks = random.Random(seed), Caller(port), []
    loop = asyncio.get_running_loop()
    due = began = loop.time()
    number = 0
    while (due := due + draw.expovariate(JOBS_PER_S)) < began + DURATION_S:
        await asyncio.sleep(due - loop.time())
        tasks.append(loop.create_task(ask(caller, number, seed, DEADLINE_S + 2 * DEADLINE_SLACK_S)))
        number += 1
    return list(await asyncio.gather(*tasks))


def sent_while_draining(audit: list[list[Any]]) -> list[str]:
    """Ids of requests that reached a server after the grace period that follows its draining announcement."""
    since: dict[int, float] = {}
    late_ids = []
    for at, name, _, server, event in audit:
        if event == "draining":
            since[server] = at
        elif event == "ready":
            since.pop(server, None)
        elif event == "taken" and server in since and at - since[server] > GRACE_S:
            late_ids.append(name)
    return late_ids


def play(servers: int, folder: Path, seed: int = 1, group: int = GROUP) -> Run:
    """Serve requests for ``DURATION_S`` while half of the servers are replaced in steps."""
    raise_descriptor_limit()
    release = {**RELEASE, "servers": servers // 2 // int(RELEASE["steps"])}
    stand_ins = StandInWorkers(folder, servers, slots=4, release=release)
    settings = {**SETTINGS, "GroupSize": group, "Rank": group // 3, "Discovery": "pushed",
                "Rules": {**SETTINGS["Rules"], **RULES}}
    result = Run(servers)
    try:
        node = Node(folder, stand_ins.discovery, {}, settings=settings)
        try:
            with descriptors_watched(node, result.usage):
                result.replies = asyncio.run(traffic(node.port, seed))
            result.usage.cpu_s = node.thread_cpu_s()
            result.usage.peak_mb = memory_mb(node.process.pid, "VmHWM")
            wire = stand_ins.wire()
            result.usage.connections, result.usage.list_bytes = wire["made"], wire["lines_in"]
        finally:
            node.kill()
    finally:
        audit = stand_ins.stop()
    result.late_sends = sent_while_draining(audit)
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("servers", type=int, nargs="+")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--group", type=int, default=GROUP, help="nodes that share the servers")
    args = parser.parse_args()
    columns = ("servers", "requests", "served", "lost", "sent while draining", "processor, s", "peak, MB",
               "descriptors", "connections made", "lists, bytes")
    print(f"| {' | '.join(columns)} |\n|{' --- |' * len(columns)}")
    for servers in args.servers:
        with tempfile.TemporaryDirectory() as folder:
            row = play(servers, Path(folder), args.seed, args.group)
        usage = row.usage
        print(f"| {servers} | {len(row.replies)} | {row.served} | {row.lost} | {len(row.late_sends)} "
              f"| {usage.cpu_s:.2f} | {usage.peak_mb:.1f} | {usage.descriptors} | {usage.connections} "
              f"| {usage.list_bytes} |", flush=True)


if __name__ == "__main__":
    main()
