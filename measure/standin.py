"""Stand-in workers and their discovery in one process, by the platform's public protocol, with an audit.

    python -m measure.standin FILE

FILE is JSON with these keys; times are seconds:

- ``senders``: the workers, [{"slots", "speed", "cell", "zone"}]
- ``queue``: queue length of each worker; ``report_s``: interval at which its load report is updated
- ``silent``: [{"sender", "from_s", "to_s"}], times after the first request in which a worker finishes no job
- ``lists_per_s``: list requests served a second, one after another; 0: no limit
- ``lists_from_s``: list requests are disconnected until this long after the start
- ``release``: {"from_s", "every_s", "steps", "servers"}, a rolling replacement that begins ``from_s`` after
  the first request: at each step ``servers`` more workers drain; each is gone one step later, and is ready
  again, newly booted, the step after.  The audit records each change.
- ``audit``: file to which the audit is written as JSON at SIGTERM; ``calls``: the same for the list requests

The first line of output is the address of discovery.  ``GET /wire`` there returns the number of probes, jobs
and list lines so far and their HTTP bytes, in and out as seen by the node.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import math
import re
import signal
import sys
import time
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from statistics import NormalDist
from typing import Any

MEAN_S = {"single-text": 0.15, "bulk-batch": 0.8}
WIRE = ("checks", "checks_out", "checks_in", "jobs", "jobs_out", "jobs_in", "lines", "lines_in", "open",
        "made")
KEEPALIVE_S = 2.0  # between the empty lines of a watch
SIGMA = 0.5  # standard deviation of the logarithm of running times


def job_run_time_s(name: str, cls: str) -> float:
    """Running time of a job at speed 1: log-normal, derived from its name.

    It is the same in every run, whichever worker runs the job.
    """
    draw = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") / 2**64
    z = NormalDist().inv_cdf(min(max(draw, 1e-9), 1 - 1e-9))
    return MEAN_S[cls] * math.exp(SIGMA * z - SIGMA * SIGMA / 2)


class QueuedJob:
    """A job at a worker, queued or running."""

    def __init__(self, name: str, cls: str, slots: float, leg: Leg) -> None:
        self.name = name
        self.cls = cls
        self.slots = slots
        self.leg = leg
        self.timer: asyncio.TimerHandle | None = None


class SharedState:
    """State shared by all workers: time of the first request, audit, traffic counters, injected faults."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.first_request_at: float | None = None
        self.records: list[tuple[float, str, str, int, str]] = []  # time, id, class, worker, event
        self.legs = 0
        self.started_at = time.monotonic()
        self.list_lock = asyncio.Lock()  # the list service serves one request at a time
        self.wire = dict.fromkeys(WIRE, 0)
        self.calls: list[tuple[float, bool, bool]] = []  # time, complete list requested, caller disconnected

    def record(self, name: str, cls: str, worker: int, event: str) -> None:
        self.records.append((time.time(), name, cls, worker, event))

    def silent(self, worker: int) -> bool:
        now = time.monotonic()
        if self.first_request_at is None:
            return False
        return any(
            t["sender"] == worker and t["from_s"] <= now - self.first_request_at < t["to_s"]
            for t in self.options.get("silent", [])
        )


class StandInWorker:
    """Runs jobs on its slots in order of arrival, with a bounded queue."""

    def __init__(self, shared: SharedState, number: int, options: dict[str, Any]) -> None:
        self.shared = shared
        self.number = number
        self.slots = float(options["slots"])
        self.speed = float(options.get("speed", 1.0))
        self.free = self.slots
        self.queue: deque[QueuedJob] = deque()
        self.reported_free = self.slots
        self.stuck: list[QueuedJob] = []

    def enqueue(self, job: QueuedJob) -> None:
        if len(self.queue) >= self.shared.options["queue"]:
            self.shared.record(job.name, job.cls, self.number, "turned away")
            job.leg.answer(503, b"", b"X-Not-Processed: 1\r\n")
            return
        self.shared.record(job.name, job.cls, self.number, "taken")
        job.leg.begin()
        self.queue.append(job)
        self.run()

    def run(self) -> None:
        loop = asyncio.get_running_loop()
        while self.queue and self.queue[0].slots <= self.free:
            job = self.queue.popleft()
            self.free -= job.slots
            self.shared.record(job.name, job.cls, self.number, "began")
            takes = job_run_time_s(job.name, job.cls) / self.speed
            job.timer = loop.call_later(takes, self.done, job)

    def done(self, job: QueuedJob) -> None:
        if self.shared.silent(self.number):
            job.timer = asyncio.get_running_loop().call_later(0.1, self.done, job)
            return
        job.timer = None
        self.free += job.slots
        self.shared.record(job.name, job.cls, self.number, "done")
        job.leg.finish({"id": job.name, "state": "done", "result": f"ran {job.name}"})
        self.run()

    def drop(self, job: QueuedJob) -> None:
        """Stop a job whose connection was closed by the node."""
        if job.timer is not None:
            job.timer.cancel()
            job.timer = None
            self.free += job.slots
        elif job in self.queue:
            self.queue.remove(job)
        self.shared.record(job.name, job.cls, self.number, "dropped")
        self.run()

    async def report(self) -> None:
        while True:
            await asyncio.sleep(self.shared.options["report_s"])
            self.reported_free = max(0.0, self.free - sum(w.slots for w in self.queue))


class Leg(asyncio.Protocol):
    """One connection from a node to a worker."""

    def __init__(self, worker: StandInWorker) -> None:
        self.worker = worker
        self.data = b""
        self.job: QueuedJob | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.worker.shared.wire["open"] += 1
        self.worker.shared.wire["made"] += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.worker.shared.wire["open"] -= 1
        if self.job is not None:
            self.worker.drop(self.job)
            self.job = None

    def data_received(self, data: bytes) -> None:
        self.data += data
        while self.job is None and b"\r\n\r\n" in self.data:
            head, _, rest = self.data.partition(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            fields = dict(line.lower().split(b": ", 1) for line in lines[1:])
            length = int(fields.get(b"content-length", b"0"))
            if len(rest) < length:
                return
            self.data = rest[length:]
            method, path, _ = lines[0].split(b" ")
            shared = self.worker.shared
            kind = "checks" if method == b"GET" else "jobs"
            shared.wire[kind] += 1
            shared.wire[f"{kind}_out"] += len(head) + 4 + length
            if method == b"GET":
                shared.wire["checks_in"] += self.answer(
                    200, json.dumps({"x0": self.worker.reported_free}).encode()
                )
                continue
            if shared.first_request_at is None:
                shared.first_request_at = time.monotonic()
            attrs = dict(a.split(b"=") for a in fields.get(b"x-attrs", b"").split(b",") if a)
            self.job = QueuedJob(
                fields[b"x-request-id"].decode(), path[1:].partition(b"/")[0].decode(),
                float(attrs.get(b"slots", b"1")), self,
            )
            self.worker.enqueue(self.job)

    def answer(self, status: int, body: bytes, more: bytes = b"") -> int:
        """Send a whole response; returns its size in bytes."""
        self.job = None
        raw = b"HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s" % (status, more, len(body), body)
        self.transport.write(raw)
        return len(raw)

    def begin(self) -> None:
        raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.worker.shared.wire["jobs_in"] += len(raw)
        self.transport.write(raw)

    def finish(self, fields: dict[str, Any]) -> None:
        self.job = None
        line = json.dumps(fields).encode() + b"\n"
        raw = b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line)
        self.worker.shared.wire["jobs_in"] += len(raw)
        self.transport.write(raw)


class Registry:
    """The endpoints that discovery lists, with a version for each change that watches can wait for."""

    def __init__(self) -> None:
        self.version = 1
        self.targets: list[dict[str, Any]] = []
        self.changed: dict[str, int] = {}  # by uid: version of the last change
        self._condition = asyncio.Condition()

    def changed_since(self, version: int) -> list[dict[str, Any]]:
        return [t for t in self.targets if self.changed.get(t["uid"], 0) > version]

    async def change(self, numbers: Iterable[int], **fields: Any) -> None:
        async with self._condition:
            self.version += 1
            for number in numbers:
                self.targets[number].update(fields)
                self.changed[self.targets[number]["uid"]] = self.version
            self._condition.notify_all()

    async def wait_newer(self, version: int, timeout_s: float) -> None:
        """Wait until there is a later version, or for at most ``timeout_s``."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self._condition:
                await self._condition.wait_for(lambda: self.version > version)


async def release(shared: SharedState, registry: Registry) -> None:
    """Replace workers step by step, as configured by ``release``."""
    schedule = shared.options["release"]
    while shared.first_request_at is None:
        await asyncio.sleep(0.01)
    await asyncio.sleep(max(0.0, shared.first_request_at + schedule["from_s"] - time.monotonic()))
    count, steps = schedule["servers"], schedule["steps"]
    slices = [range(n * count, (n + 1) * count) for n in range(steps)]
    for step in range(steps + 2):
        for event, delay_steps in (("draining", 0), ("gone", 1), ("ready", 2)):
            if 0 <= step - delay_steps < steps:
                started = {"boot_ms": int(time.time() * 1000)} if event == "ready" else {}
                await registry.change(slices[step - delay_steps], state=event, **started)
                for number in slices[step - delay_steps]:
                    shared.record("", "", number, event)
        await asyncio.sleep(schedule["every_s"])


async def serve_list(
    shared: SharedState, registry: Registry, reader: asyncio.StreamReader, writer: Any
) -> None:
    """Serve one list request.  It takes its slot of ``lists_per_s`` even if the caller has disconnected."""
    options, received_at = shared.options, time.time()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"GET /wire "):
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + json.dumps(shared.wire).encode())
            await writer.drain()
            return
        asked = re.search(rb"after=(\d+) ", head)
        version = int(asked[1]) if asked else 0
        complete = not 0 < version <= registry.version
        if time.monotonic() - shared.started_at < options.get("lists_from_s", 0.0):
            shared.calls.append((received_at, complete, False))
            return
        if per_s := options.get("lists_per_s", 0.0):
            async with shared.list_lock:
                await asyncio.sleep(1 / per_s)
        shared.calls.append((received_at, complete, reader.at_eof()))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        targets = (
            [t for t in registry.targets if t["state"] != "gone"]
            if complete else registry.changed_since(version)
        )
        version = registry.version
        line = json.dumps({"rev": version, "all": complete, "targets": targets}).encode() + b"\n"
        while True:
            raw = b"%x\r\n%s\r\n" % (len(line), line)
            shared.wire["lines"] += 1
            shared.wire["lines_in"] += len(raw)
            writer.write(raw)
            await writer.drain()
            await registry.wait_newer(version, KEEPALIVE_S)
            line = b"\n"
            if registry.version > version:
                update = {"rev": registry.version, "all": False, "targets": registry.changed_since(version)}
                line, version = json.dumps(update).encode() + b"\n", registry.version
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass  # the node disconnected, or this process is ending
    finally:
        writer.close()


async def main() -> None:
    options = json.loads(Path(sys.argv[1]).read_text())
    shared, loop = SharedState(options), asyncio.get_running_loop()
    registry, tasks = Registry(), []
    for n, entry in enumerate(options["senders"]):
        worker = StandInWorker(shared, n, entry)
        server = await loop.create_server(lambda s=worker: Leg(s), "127.0.0.1", 0, backlog=512)  # type: ignore
        host, port = server.sockets[0].getsockname()
        tasks.append(loop.create_task(worker.report()))
        registry.targets.append({
            "uid": f"s-{n}", "endpoint": f"{host}:{port}", "az": entry.get("zone", "north"), "model": "box",
            "pod_group": entry.get("cell", n // 3), "state": "ready", "capacity_hint": 1.0, "boot_ms": 0,
        })
    discovery_server = await asyncio.start_server(
        lambda r, w: serve_list(shared, registry, r, w), "127.0.0.1", 0, backlog=512
    )
    host, port = discovery_server.sockets[0].getsockname()[:2]
    if "release" in options:
        tasks.append(loop.create_task(release(shared, registry)))
    print(f"{host}:{port}", flush=True)
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    with open(options["audit"], "w") as file:
        json.dump(shared.records, file)
    if "calls" in options:
        Path(options["calls"]).write_text(json.dumps(shared.calls))


if __name__ == "__main__":
    asyncio.run(main())
