"""Stand-ins of the second review: senders, discovery, the platform and clients, on loopback addresses only.

They live in the process of a case; the project's node runs as a separate process with the deploy file's
commands.  A case calls ``main`` with its coroutine, which returns the breaks of the rule that it saw.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"

Json = dict[str, Any]


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """What was sent, answered and run, in the order in which it was seen; written to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def put(self, text: str) -> None:
        """One line with its time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


class Sender:
    """A sender of the protocol page: takes every job, runs it for ``run_s``, tells its progress, answers."""

    def __init__(self, record: Record, uid: str, run_s: float, slots: int = 8) -> None:
        self.record, self.uid, self.run_s, self.slots = record, uid, run_s, slots
        self.begun: list[tuple[float, str]] = []  # time and id of each job that was begun
        self.ended: list[tuple[float, str]] = []
        self.running = 0
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0, limit=2**20)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def entry(self, state: str = "ready", cell: int = 0, boot_ms: int = 0) -> Json:
        """Its entry in a list."""
        return {"uid": self.uid, "endpoint": self.address, "az": "north", "model": "box", "pod_group": cell,
                "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                method, path, headers, _ = await read_request(reader)
                if method == "GET":
                    report = json.dumps({"x0": max(0, self.slots - self.running)}).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(report), report))
                    await writer.drain()
                    continue
                name = headers["x-request-id"]
                self.begun.append((self.record.now(), name))
                self.record.put(f"run     {self.uid} begins {name} {path}")
                self.running += 1
                try:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    writer.write(self._line(name, state="started"))
                    await asyncio.sleep(self.run_s)
                finally:
                    self.running -= 1
                self.ended.append((self.record.now(), name))
                self.record.put(f"run     {self.uid} ends   {name}")
                writer.write(self._line(name, state="done", result=f"sent {name}") + b"0\r\n\r\n")
                await writer.drain()
        writer.close()

    def _line(self, name: str, **more: str) -> bytes:
        return chunk({"id": name, "from": self.uid, **more})


class Discovery:
    """Discovery of the protocol page; ``delay_s``: time that a call waits for its turn."""

    def __init__(self, record: Record, delay_s: float = 0.0) -> None:
        self.record, self.delay_s = record, delay_s
        self.rev = 1
        self.targets: dict[str, Json] = {}
        self.up = True
        self.address = ""
        self.told = 0  # lists and changes written
        self._changed = asyncio.Event()
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def set(self, *entries: Json) -> None:
        """Change the list, and tell the open watches."""
        self.rev += 1
        for entry in entries:
            self.targets[entry["uid"]] = {**entry, "rev_": self.rev}
            self.record.put(f"list    rev {self.rev}: {entry['uid']} is {entry['state']}")
        self._changed.set()
        self._changed = asyncio.Event()

    def go_down(self) -> None:
        """Its process dies: watches are reset, and connections refused."""
        self.up = False
        self._server.close()
        self.record.put("list    discovery is down")
        for writer in list(self._watches):
            reset(writer)

    def known(self) -> Json:
        """The whole list as of now."""
        return {"rev": self.rev, "all": True, "targets": [self._shown(t) for t in self.targets.values()]}

    def _shown(self, target: Json) -> Json:
        return {key: value for key, value in target.items() if key != "rev_"}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            _, path, _, _ = await read_request(reader)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            after = int(path.partition("after=")[2].partition("&")[0] or 0)
            self._watches.add(writer)
            try:
                sent = self.rev
                if 0 < after <= self.rev:
                    changes = [self._shown(t) for t in self.targets.values() if t["rev_"] > after]
                    writer.write(chunk({"rev": self.rev, "all": False, "targets": changes}))
                else:
                    writer.write(chunk(self.known()))
                self.told += 1
                self.record.put(f"list    call {path} answered at rev {self.rev}")
                while self.up:
                    await writer.drain()
                    if self.rev == sent:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self._changed.wait(), 2.0)
                    if self.rev == sent:
                        writer.write(b"1\r\n\n\r\n")
                        continue
                    changes = [self._shown(t) for t in self.targets.values() if t["rev_"] > sent]
                    sent = self.rev
                    writer.write(chunk({"rev": sent, "all": False, "targets": changes}))
                    self.told += 1
                    self.record.put(f"list    rev {sent} written to a watch")
            finally:
                self._watches.discard(writer)
        writer.close()


def chunk(fields: Json) -> bytes:
    """One JSON line as a chunk."""
    line = json.dumps(fields).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    """Method, path, headers and body of a request with a Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = head[0].split(" ")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, path, headers, body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Status, headers and body of an answer; raises IncompleteReadError or ConnectionError."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split(" ")[1]), headers, body


def request(cls: str, name: str, timeout_s: float, body: bytes = b"Your appointment is at nine.",
            **headers: str) -> bytes:
    """A client's request, as on the protocol page."""
    lines = [f"POST /{cls} HTTP/1.1", "Host: origin.svc", f"X-Request-ID: {name}",
             f"X-Timeout: {timeout_s:.3f}"]
    if cls == "single-text":
        lines.append(f"Idempotency-Key: key-{name}")
    lines += [f"{key.replace('_', '-')}: {value}" for key, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def ask(record: Record, address: str, cls: str, name: str, timeout_s: float, **headers: str) -> int:
    """Send one request on a connection of its own; its status, or 0 if it got no answer."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        record.put(f"client  {name}: no connection")
        return 0
    try:
        writer.write(request(cls, name, timeout_s, **headers))
        record.put(f"client  {name}: sent, {cls}")
        status, _, body = await asyncio.wait_for(read_answer(reader), timeout_s + 0.6)
        record.put(f"client  {name}: {status} {body[:60]!r}")
        return status
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        record.put(f"client  {name}: no answer ({type(error).__name__})")
        return 0
    finally:
        writer.close()


SETTINGS: Json = {
    "Azs": ["north", "south"], "Kinds": ["box"], "Discovery": "on_request", "TickUs": 2000, "Zone": 0,
    "GroupSize": 1,
    "Services": [
        {"Name": "single-text", "Effect": "dedup", "Group": "cell", "WindowUs": 7_500_000,
         "OnTimeUs": 75_000, "AimStretch": 2.0, "HardLimitUs": 5_000_000, "Worth": 8.0},
        {"Name": "bulk-batch", "Effect": "fragile", "Group": "all", "OnTimeUs": 250_000, "AimStretch": 2.0,
         "HardLimitUs": 10_000_000, "Worth": 10.0},
    ],
    "LoadReport": {"Names": ["x0"], "Via": "pull"},
    "FamilyInfo": {"ReportX0": "free slots", "ClassStretch": [2.0, 2.0], "TellsStart": True},
    "Rules": {"AnswerSlackUs": 8000, "ColdShare": 0.12, "ColdUs": 23_000_000, "DrainGraceUs": 2_000_000,
              "FallMultiple": 2.5, "FallUs": 1_500_000, "MustAskInUs": 10_000_000},
    "Limits": {"Cancel": True, "SecondCopies": True, "MayProbe": True, "RetryAfter": True, "MaxAttempts": 4,
               "MaxRetryAfterUs": 2_000_000, "ConnectTimeoutUs": 250_000, "ConnIdleUs": 60_000_000},
}


class Platform:
    """Starts nodes with the deploy file's ``run``, as the deployment page says, and ends all of them."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self.run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.started: list[subprocess.Popen[bytes]] = []
        self.tmp = folder / "tmp"
        self.tmp.mkdir()
        self.operator: dict[str, str] = {}

    def hold_jobs(self, lasting: bool = True) -> None:
        """Switch on jobs that wait by an operator's file; ``lasting``: in a folder that lasts."""
        (self.folder / "store").mkdir()
        file = self.folder / "operator.toml"
        store = f'store = "{self.folder / "store"}"\n' if lasting else ""
        file.write_text(f"version = 1\n[waiting]\nenabled = true\n{store}")
        self._operate(file)

    def _operate(self, file: Path) -> None:
        self.operator = {"RUSHSADDLE_OPERATOR": str(file)}
        if subprocess.run([ROOT / ".venv/bin/python", "-c", "import click, crc32c, msgspec, structlog"],
                          capture_output=True, check=False).returncode:
            raise CannotRun("review/build-2.sh has not been run: an operator's file needs more packages")

    def configure(self, discovery: str, known: Json, **more: Any) -> None:
        """Write the configuration that the next start reads."""
        fields = {"name": "n0", "listen": f"{HOST}:0", "seed": "8c1f30d27a5be964", "discovery": discovery,
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "known": known,
                  "settings": SETTINGS, **more}
        (self.folder / "config.json").write_text(json.dumps(fields))

    def start(self, *fds: int, **env: str) -> Process:
        """Start one process of the node."""
        log = self.folder / f"log-{len(self.started)}.txt"
        with log.open("wb") as out:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self.run], cwd=ROOT, stdout=out, stderr=subprocess.STDOUT, pass_fds=fds,
                env={"PATH": os.environ["PATH"], "GW_CONFIG": str(self.folder / "config.json"),
                     "GW_NAME": "n0", "TMPDIR": str(self.tmp), **self.operator, **env},
            )
        self.started.append(process)
        self.record.put(f"node    process {len(self.started)} started")
        return Process(self.record, process, len(self.started), log)

    def end_all(self) -> None:
        """End every process that was started."""
        for process in self.started:
            if process.poll() is None:
                process.kill()
            process.wait()


class Process:
    """One process of the node."""

    def __init__(self, record: Record, popen: subprocess.Popen[bytes], number: int, log: Path) -> None:
        self.record, self.popen, self.number, self.log = record, popen, number, log

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self.record.put(f"node    {number.name} to process {self.number}")
        self.popen.send_signal(number)

    def events(self, name: str) -> list[Json]:
        """The events of this name in its log; used to find its address and in the record, not to judge."""
        found = []
        for line in self.log.read_bytes().splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                fields = json.loads(line)
                if isinstance(fields, dict) and fields.get("event") == name:
                    found.append(fields)
        return found

    async def kill(self) -> None:
        """Kill it outright, and wait until it is gone."""
        self.signal(signal.SIGKILL)
        while self.popen.poll() is None:
            await asyncio.sleep(0.01)

    async def restart(self, kill_s: float) -> None:
        """The first half of a planned restart: SIGTERM, SIGKILL if it hasn't ended ``kill_s`` later."""
        self.signal(signal.SIGTERM)
        until = time.monotonic() + kill_s
        while self.popen.poll() is None:
            if time.monotonic() >= until:
                await self.kill()
                return
            await asyncio.sleep(0.01)
        self.record.put(f"node    process {self.number} has ended with {self.popen.returncode}")

    async def ready(self, longest_s: float = 15.0) -> str:
        """Wait until it says that it serves; its address."""
        until = time.monotonic() + longest_s
        while time.monotonic() < until:
            if found := self.events("ready"):
                self.record.put(f"node    process {self.number} is ready")
                return str(found[0]["listen"])
            if self.popen.poll() is not None:
                raise CannotRun(f"the node ended with {self.popen.returncode}: {self.log.read_text()[-400:]}")
            await asyncio.sleep(0.02)
        raise CannotRun("the node was not ready in time")


async def look(record: Record, address: str, path: str) -> tuple[int, Json]:
    """``GET`` of this path: status and the JSON object of the answer; 0 if there was none."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET {path} HTTP/1.1\r\nHost: origin.svc\r\n\r\n".encode())
        status, _, body = await asyncio.wait_for(read_answer(reader), 2.0)
        writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        record.put(f"client  GET {path}: no answer ({type(error).__name__})")
        return 0, {}
    try:
        fields = json.loads(body)
    except json.JSONDecodeError:
        fields = {}
    return status, fields if isinstance(fields, dict) else {}


async def healthy(address: str) -> bool:
    """Whether ``GET /healthz`` answers 200."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
        status, _, _ = await asyncio.wait_for(read_answer(reader), 1.0)
        writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return False
    return status == 200


def _give_up(*_: object) -> None:
    """End the case, and all processes that it started, at the first of several signals."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(2)


Case = Callable[[Record, Platform], Awaitable[list[str]]]


def main(case: Case, folder: Path, longest_s: float = 100.0) -> int:
    """Play a case; 1 if it saw breaks of its rule, 0 if none, 2 if it could not run."""
    sys.unraisablehook = lambda _: None  # streams that are collected after the end of the loop
    signal.signal(signal.SIGTERM, _give_up)
    record = Record(folder / "record.txt")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    platform = Platform(record, temporary)

    async def play() -> list[str]:
        return await asyncio.wait_for(case(record, platform), longest_s)

    try:
        if not (ROOT / ".venv/bin/python").exists():
            raise CannotRun("the deploy file's build has not been run")
        breaks = asyncio.run(play())
    except Exception as error:  # whatever goes wrong here says nothing about the rule
        record.put(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    finally:
        platform.end_all()
        shutil.rmtree(temporary, ignore_errors=True)
    for text in breaks:
        record.put(f"BREAK   {text}")
        print(f"broken: {text}")
    record.put("the rule was broken" if breaks else "the rule held")
    print("the rule was broken" if breaks else "the rule held")
    return 1 if breaks else 0
