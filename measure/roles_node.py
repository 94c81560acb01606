"""Costs of a real node by size: one node process with stand-in workers and their discovery.

CPU time is that of the node's threads, as the kernel accounts it; memory is its resident set.  Bytes are
those of HTTP, without the overhead of lower layers.  A list has many worker names that share the addresses of
eight stand-in workers; to the node each name is a separate worker.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from pathlib import Path
from random import Random
from typing import Any

from .leaving import measure_node_size
from .rig import SETTINGS, Caller, Node, Reply, StandInWorkers, raise_descriptor_limit, wait_until
from .roles import JOBS_PER_S, Figures, worker_names

WORKERS = 8
FIRST_PROBE_SPACING_S = 0.01  # between first probes: PROBE_SPACING_US of tansygw/decide.py
SETTLE_S = 2.0
WINDOW_S = 10.0
JOB_TIMEOUT_S = 600.0  # long enough for a job to stay open throughout


def worker_list(count: int, places: list[str]) -> dict[str, Any]:
    """A list of ``count`` worker names over these addresses, in the form of the ``known`` setting."""
    return {"rev": 1, "all": True, "targets": [
        {"uid": name, "endpoint": places[n % len(places)], "az": ("north", "south")[n % 2], "model": "box",
         "pod_group": n // 3, "capacity_hint": 1.0, "boot_ms": 0, "state": "ready"}
        for n, name in enumerate(worker_names(count))
    ]}


async def jobs(port: int, seed: int, seconds: float) -> int:
    """Send jobs at random times, 4 a second, without waiting for replies; returns how many were served."""
    draw, caller = Random(seed), Caller(port)
    tasks: list[asyncio.Task[Reply]] = []
    deadline_s = time.monotonic() + seconds
    while (wait := draw.expovariate(JOBS_PER_S)) < deadline_s - time.monotonic():
        await asyncio.sleep(wait)
        number = len(tasks)
        head = {"X-Request-ID": f"r{seed}-{number}", "X-Timeout": "4.0", "Idempotency-Key": f"k{number}"}
        tasks.append(asyncio.create_task(caller.ask("POST", "/single-text", head, b"job")))
    replies = await asyncio.gather(*tasks)
    return sum(reply.status == 200 for reply in replies)


def reread_ms(node: Node, times: int = 3) -> float:
    """Shortest time of a configuration reload in ms, as the node logs it."""
    taken: list[dict[str, Any]] = []
    for _ in range(times):
        before = len(taken)
        node.process.send_signal(signal.SIGHUP)
        while len(taken) == before:
            time.sleep(0.02)
            taken = node.events("configuration read")
    return min(float(event["us"]) for event in taken) / 1e3


def node_costs(size: int, seed: int, folder: Path, window_s: float = WINDOW_S) -> Figures:
    """Costs of a node that knows ``size`` workers from its start, in a group of ``size`` nodes.

    Percent of one core while each worker is probed for the first time (``first``), then settled and idle,
    then at 4 jobs a second (``busy``); ``reread`` is a reload of the configuration with all known workers.
    """
    raise_descriptor_limit()
    workers = StandInWorkers(folder, WORKERS, 64, 64)
    node: Node | None = None
    try:
        settings = {**SETTINGS, "GroupSize": size}
        node = Node(
            folder, workers.discovery, {}, settings=settings, known=worker_list(size, workers.places()),
            seed=f"{seed + 1:x}",
        )
        figures: Figures = {"start_s": node.thread_cpu_s(), "start_mb": node.memory_mb()}

        def measure_span(seconds: float) -> tuple[float, dict[str, float]]:
            """Percent of one core, and the traffic counters per second."""
            began, cpu, before = time.monotonic(), node.thread_cpu_s(), workers.wire()
            time.sleep(seconds)
            after, took = workers.wire(), time.monotonic() - began
            rates = {key: (after[key] - before[key]) / took for key in after}
            return 100 * (node.thread_cpu_s() - cpu) / took, rates

        figures["first_percent"], wire = measure_span(max(1.0, size * FIRST_PROBE_SPACING_S))
        figures["first_checks_a_second"] = wire["checks"]
        figures["first_bytes_a_second"] = wire["checks_out"] + wire["checks_in"] + wire["lines_in"]
        figures["kept_connections"] = workers.wire()["open"]
        time.sleep(SETTLE_S)
        figures["idle_percent"], wire = measure_span(window_s)
        figures["idle_checks_a_second"] = wire["checks"]
        figures["idle_bytes_a_second"] = wire["checks_out"] + wire["checks_in"] + wire["lines_in"]
        totals = workers.wire()
        figures["check_bytes"] = (totals["checks_out"] + totals["checks_in"]) / max(1, totals["checks"])
        began, cpu = time.monotonic(), node.thread_cpu_s()
        figures["served"] = asyncio.run(jobs(node.port, seed, window_s))
        figures["busy_percent"] = 100 * (node.thread_cpu_s() - cpu) / (time.monotonic() - began)
        figures["mb"] = node.memory_mb()
        figures["reread_ms"] = reread_ms(node)
        figures["file_bytes"] = (folder / "config.json").stat().st_size
        return figures
    finally:
        if node is not None:
            node.kill()
        workers.process.kill()
        workers.process.wait()


def open_jobs(size: int, seed: int, folder: Path) -> Figures:
    """Costs of ``size`` jobs open at once at a node, each on a caller's connection and one to a worker."""
    raise_descriptor_limit()
    workers = StandInWorkers(folder, WORKERS, 9_999, 64, senders=[
        {"slots": 9_999, "speed": 1e-4, "cell": n} for n in range(WORKERS)
    ])
    node: Node | None = None
    callers: list[socket.socket] = []
    try:
        settings = {**SETTINGS, "Services": [
            {**service, "HardLimitUs": int(JOB_TIMEOUT_S * 1e6)} for service in SETTINGS["Services"]
        ]}
        node = Node(
            folder, workers.discovery, {}, 4 * size + 4096, settings=settings,
            known=worker_list(WORKERS, workers.places()), seed=f"{seed + 1:x}",
        )
        wait_until("every worker probed", lambda: workers.wire()["checks"] >= WORKERS)
        before_mb, before_s, sockets = node.memory_mb(), node.thread_cpu_s(), node.descriptors()
        for n in range(size):
            caller = socket.create_connection(("127.0.0.1", node.port), timeout=JOB_TIMEOUT_S)
            callers.append(caller)
            caller.sendall(
                b"POST /bulk-batch HTTP/1.1\r\nHost: n0\r\nX-Request-ID: r%d\r\nX-Timeout: %d\r\n"
                b"Content-Length: 3\r\n\r\njob" % (n, int(JOB_TIMEOUT_S) - 1)
            )
            if n % 64 == 63:  # few enough for the node to accept without a backlog
                wait_until("the jobs sent on", lambda n=n: workers.wire()["jobs"] > n - 64)  # type: ignore[misc]
        wait_until("all jobs sent on", lambda: workers.wire()["jobs"] >= size)
        return {
            "sent": workers.wire()["jobs"], "open_mb": node.memory_mb() - before_mb,
            "open_kb_each": (node.memory_mb() - before_mb) * 1024 / size,
            "open_ms_each": (node.thread_cpu_s() - before_s) * 1e3 / size,
            "sockets_each": (node.descriptors() - sockets) / size,
        }
    finally:
        for caller in callers:
            caller.close()
        if node is not None:
            node.kill()
        workers.process.kill()
        workers.process.wait()


def list_update(size: int, seed: int, folder: Path, jobs_asked: int = 20) -> Figures:
    """Costs of a changed complete list at a node, and of a job while no worker has reported its load."""
    row = measure_node_size(size, folder, jobs_asked)
    keys = ("bytes", "list_ms", "job_ms", "ready_mb", "mb", "start_s", "served", "to_leaving", "entries")
    return {key: float(row[key]) for key in keys}


