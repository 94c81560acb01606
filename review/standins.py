"""Stand-ins for the cases in this folder: senders, discovery, clients, and the platform that starts a node.

Standard library only, loopback addresses only.  What is sent, answered and run goes into the record.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The settings of a small deployment, with the figures of the site hobart-sms.
SETTINGS: dict[str, Any] = {
    "Azs": ["hobart-north", "hobart-south"], "Kinds": ["standard-box"], "Discovery": "on_request",
    "TickUs": 2000, "GroupSize": 3, "Rank": 0, "Zone": 0, "WorthBy": "work", "Family": "jobs",
    "Limits": {"Cancel": True, "SecondCopies": True, "RetryAfter": True, "MayProbe": True, "MaxAttempts": 4,
               "MaxRetryAfterUs": 2000000, "ConnectTimeoutUs": 250000, "ConnIdleUs": 60000000,
               "MaxOpen": 20000, "StreamsPerConn": 1, "PeerMessages": False},
    "LoadReport": {"Names": ["x0", "eps", "util", "x1"], "Via": "pull"},
    "FamilyInfo": {"ClassKind": [-1, -1], "ClassStretch": [2.0, 2.0], "ProgressUs": 1000000,
                   "ReportX0": "free slots", "ReportX1": "free memory", "TellsStart": False},
    "Prices": {"CrossZone": 0.03, "Probe": 0.0013, "Waste": 0.035, "LateFail": 0.11},
    "Rules": {"AnswerSlackUs": 8000, "ColdShare": 0.12, "ColdUs": 23000000, "DrainGraceUs": 2000000,
              "FallMultiple": 2.5, "FallUs": 1500000, "MustAskInUs": 10000000},
    "Services": [
        {"Name": "single-text", "Effect": "dedup", "Group": "cell", "WindowUs": 7500000, "OnTimeUs": 75000,
         "HardLimitUs": 5000000, "LateValue": 0.0, "Worth": 8.0},
        {"Name": "bulk-batch", "Effect": "fragile", "Group": "all", "WindowUs": 5000000, "OnTimeUs": 250000,
         "HardLimitUs": 10000000, "LateValue": 0.0, "Worth": 10.0},
    ],
}


class Record:
    """The record of a case: one line an event, with the time since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.began = time.time()
        self.file = open(folder / "record.txt", "w")  # noqa: SIM115  (open until the process ends)
        self.note(f"trouble: {'yes' if TROUBLE else 'no'}")

    def now(self) -> float:
        return time.time() - self.began

    def note(self, text: str) -> float:
        at = self.now()
        self.file.write(f"{at:8.3f}  {text}\n")
        self.file.flush()
        return at


class Job:
    """One request as a sender got it; ``at`` is the time of its first byte, ``whole_at`` that of its last."""

    def __init__(self, uid: str, name: str, cls: str, at: float, whole_at: float, timeout_s: float) -> None:
        self.uid = uid
        self.name = name
        self.cls = cls
        self.at = at
        self.whole_at = whole_at
        self.timeout_s = timeout_s
        self.ran = False


class Sender:
    """A sender: it runs each job for ``run_s`` seconds and answers as the protocol page says."""

    def __init__(self, record: Record, uid: str, run_s: Callable[[str], float], cell: int = 0) -> None:
        self.record = record
        self.uid = uid
        self.run_s = run_s
        self.cell = cell
        self.jobs: list[Job] = []
        self.running = 0
        self.slots = 8
        self.boot_ms = 0
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self.server = server
        self.port = server.sockets[0].getsockname()[1]

    def entry(self, state: str = "ready") -> dict[str, Any]:
        return {"uid": self.uid, "endpoint": f"127.0.0.1:{self.port}", "az": "hobart-north",
                "model": "standard-box", "pod_group": self.cell, "state": state, "capacity_hint": 1.0,
                "boot_ms": self.boot_ms}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first = await reader.readexactly(1)
                at = self.record.now()
                head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = head_fields(head)
                await reader.readexactly(int(fields.get("content-length", "0")))
                if head.startswith("GET "):
                    body = json.dumps({"x0": max(0, self.slots - self.running), "eps": 0.0,
                                       "util": min(1.0, self.running / self.slots), "x1": 8.0}).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    continue
                cls = head.split(" ", 2)[1].strip("/").partition("/")[0]
                job = Job(self.uid, fields["x-request-id"], cls, at, self.record.now(),
                          float(fields["x-timeout"]))
                self.jobs.append(job)
                self.record.note(f"{self.uid} got {cls} {job.name}, X-Timeout {job.timeout_s:.3f}")
                await self.run(job, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def run(self, job: Job, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.running += 1
        try:
            ends = time.time() + self.run_s(job.name)
            while (left := ends - time.time()) > 0:
                await asyncio.sleep(min(left, 0.05))
                if reader.at_eof() or writer.transport.is_closing():
                    self.record.note(f"{self.uid} stopped {job.name}: the node gave it up")
                    raise ConnectionError("given up")
        finally:
            self.running -= 1
        job.ran = True
        self.record.note(f"{self.uid} done {job.name}")
        line = json.dumps({"id": job.name, "from": self.uid, "state": "done",
                           "result": f"ran {job.name}"}).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line))
        await writer.drain()


class Discovery:
    """Discovery: the list, and watches on its changes.  ``down``: each call gets 503."""

    def __init__(self, record: Record, name: str, targets: list[dict[str, Any]], rev: int = 40) -> None:
        self.record = record
        self.name = name
        self.rev = rev
        self.targets = {t["uid"]: dict(t) for t in targets}
        self.changed: dict[str, int] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.down = False
        self.calls = 0
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def leave(self) -> None:
        """Take no new connection, and close the open ones after 1.5 s."""
        self.server.close()
        await asyncio.sleep(1.5)
        for writer in list(self.writers):
            writer.close()

    def change(self, uid: str, **fields: Any) -> float:
        """Change one entry and write it to all watches at once; returns the time."""
        self.rev += 1
        self.targets[uid].update(fields)
        self.changed[uid] = self.rev
        update = {"rev": self.rev, "all": False, "targets": [self.targets[uid]]}
        for writer in list(self.writers):
            write_line(writer, json.dumps(update))
        return self.record.note(f"{self.name} told {len(self.writers)} watches: {uid} {fields}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            self.calls += 1
            target = head.split(" ", 2)[1]
            if self.down:
                self.record.note(f"{self.name} 503 to {target}")
                writer.write(b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n")
                return
            self.record.note(f"{self.name} answers {target}")
            asked = re.search(r"after=(\d+)", target)
            after = int(asked[1]) if asked else 0
            whole = not 0 < after <= self.rev
            entries = [t for uid, t in self.targets.items()
                       if (t["state"] != "gone" if whole else self.changed.get(uid, 0) > after)]
            text = json.dumps({"rev": self.rev, "all": whole, "targets": entries})
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            write_line(writer, text)
            self.writers.add(writer)
            while not reader.at_eof():
                await writer.drain()
                await asyncio.sleep(2.0)
                write_line(writer, "")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def write_line(writer: asyncio.StreamWriter, text: str) -> None:
    data = text.encode() + b"\n"
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def head_fields(head: str) -> dict[str, str]:
    pairs = (line.partition(":") for line in head.split("\r\n")[1:] if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


class Answer:
    """What a client got: the status (0: the connection ended without an answer), and when."""

    def __init__(self, status: int, at: float, body: bytes, close: bool) -> None:
        self.status = status
        self.at = at
        self.body = body
        self.close = close


class Client:
    """A client's connection to the node."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port

    async def connect(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def answer(self, name: str, until: float) -> Answer | None:
        """The next answer on this connection, None if there was none by ``until`` (time of the record)."""
        try:
            async with asyncio.timeout(max(0.0, until - self.record.now())):
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = head_fields(head)
                body = await self.reader.readexactly(int(fields.get("content-length", "0")))
        except TimeoutError:
            self.record.note(f"client: no answer to {name} in time")
            return None
        except (OSError, asyncio.IncompleteReadError) as error:
            at = self.record.note(f"client: {name}: connection ended without an answer ({error!r})")
            return Answer(0, at, b"", True)
        status = int(head.split(" ")[1])
        at = self.record.note(f"client: {name} answered {status} {body[:60]!r}")
        return Answer(status, at, body, fields.get("connection", "") == "close")

    def close(self) -> None:
        self.writer.close()


def request(cls: str, name: str, timeout_s: float, body: bytes = b"Your appointment is at nine.") -> bytes:
    """A client's request, as the protocol page has it."""
    key = f"Idempotency-Key: key-{name}\r\n" if cls == "single-text" else ""
    return (
        f"POST /{cls} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {name}\r\n"
        f"X-Timeout: {timeout_s:.3f}\r\n{key}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


class Node:
    """A node, started by the deploy file's ``run`` from the root, as the platform does it."""

    def __init__(self, record: Record, discovery: str, known: list[dict[str, Any]], rev: int = 40,
                 **more: Any) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self.port = free_port()
        self.fd: int | None = None
        self.env: dict[str, str] = {}
        self.config: dict[str, Any] = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": rev, "all": True, "targets": known}, "settings": SETTINGS, **more,
        }
        self.processes: list[subprocess.Popen[bytes]] = []
        self.starts = 0

    def write_config(self) -> None:
        """Replace the configuration file, whole."""
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.config))
        new.rename(self.folder / "config.json")

    def start(self, what: str = "node") -> subprocess.Popen[bytes]:
        """Start one process of the node; it inherits the listening socket as descriptor 3 if there is one."""
        self.write_config()
        self.starts += 1
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "RUSHSADDLE_"))}
        env |= {"GW_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder / "tmp"), **self.env}
        fd = self.fd

        def inherit() -> None:
            if fd is not None:
                os.dup2(fd, 3)

        with open(self.log(self.starts), "wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                preexec_fn=inherit if fd is not None else None, pass_fds=(3,) if fd is not None else (),
            )
        self.processes.append(process)
        self.record.note(f"{what} started")
        return process

    def log(self, number: int) -> Path:
        return self.folder / f"log-{number}"

    async def ready(self, timeout_s: float = 15.0) -> bool:
        """Wait until ``GET /healthz`` has answered 200."""
        until = time.time() + timeout_s
        while time.time() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n")
                async with asyncio.timeout(1.0):
                    head = await reader.readline()
                writer.close()
                if b" 200 " in head:
                    self.record.note("GET /healthz answered 200")
                    return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals) -> float:
        process.send_signal(number)
        return self.record.note(f"{number.name} sent")

    def stop(self) -> None:
        """End all processes and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(file: str, case: Callable[[Record], Any], seconds: float = 100.0) -> None:
    """Run a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(Path(file).resolve().parent)

    async def bounded() -> bool:
        async with asyncio.timeout(seconds):
            broken: bool = await case(record)
            return broken

    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        raise SystemExit(2) from None
    record.note("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
