"""Starts nodes and stand-in workers as separate processes on free loopback ports; provides an HTTP caller."""

from __future__ import annotations

import asyncio
import json
import os
import re
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.request import urlopen

from rushsaddle.cli_fleet import members_of
from rushsaddle.cli_jobs import JobsError

from .link import Link, free_places

PROCESS_TIMEOUT_S = 30.0
UNREACHABLE_SERVICE = "127.0.0.1:9"  # discovery address that accepts no connections
SETTINGS: dict[str, Any] = {
    "Azs": ["north", "south"], "Kinds": ["box"], "Discovery": "on_request", "TickUs": 2000, "GroupSize": 1,
    "Limits": {"Cancel": True, "SecondCopies": True, "RetryAfter": True, "MayProbe": True, "MaxAttempts": 4,
               "MaxRetryAfterUs": 2000000, "ConnectTimeoutUs": 250000, "ConnIdleUs": 60000000},
    "LoadReport": {"Names": ["x0"], "Via": "pull"},
    "FamilyInfo": {"ReportX0": "free slots", "ClassStretch": [2.0, 2.0]},
    "Rules": {"AnswerSlackUs": 8000, "DrainGraceUs": 2000000, "MustAskInUs": 10000000},
    "Prices": {"Probe": 0.0013},
    "Services": [
        {"Name": "single-text", "Effect": "dedup", "Group": "cell", "WindowUs": 7500000, "OnTimeUs": 75000,
         "HardLimitUs": 5000000, "Worth": 8.0},
        {"Name": "bulk-batch", "Effect": "fragile", "OnTimeUs": 250000, "HardLimitUs": 10000000,
         "Worth": 10.0},
    ],
}


def raise_descriptor_limit() -> None:
    """Raise the soft limit of open files to the hard limit."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def configure(folder: Path, discovery: str, sockets: int, listen: str = "127.0.0.1:0", **more: Any) -> None:
    """Write a node's configuration file without known workers, which the node learns from discovery.

    ``more`` holds further top-level keys.
    """
    (folder / "config.json").write_text(json.dumps({
        "name": "n0", "listen": listen, "seed": "1f", "limits": {"sockets": sockets}, "discovery": discovery,
        "settings": SETTINGS, "known": {"rev": 0, "all": True, "targets": []}, **more,
    }))


def environment(config: Path) -> dict[str, str]:
    """Environment for a node: that of this process without settings that the node would read."""
    env = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "RUSHSADDLE_"))}
    return env | {"GW_CONFIG": str(config)}


def memory_mb(pid: int, figure: str = "VmRSS") -> float:
    """A memory figure of ``/proc/PID/status`` in MB of 2**20 bytes; 0 where it is missing."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(figure):
            return int(line.split()[1]) / 1024
    return 0.0


def events_in(log: str, *kinds: str) -> list[dict[str, Any]]:
    """Records of a node's log whose event is one of ``kinds``."""
    records = [json.loads(line) for line in log.splitlines() if line.startswith("{")]
    return [record for record in records if record["event"] in kinds]


class StandInWorkers:
    """A process with stand-in workers and their discovery service (``measure/standin.py``)."""

    def __init__(self, folder: Path, count: int, slots: int, queue: int = 8, report_s: float = 0.7,
                 silent: list[dict[str, float]] | None = None, **more: Any) -> None:
        self.folder = folder
        self.audit = folder / "audit.json"
        options = {
            "senders": [{"slots": slots, "speed": 1.0, "cell": n // 3} for n in range(count)], "queue": queue,
            "report_s": report_s, "audit": str(self.audit), "silent": silent or [],
            "calls": str(folder / "calls.json"), **more,
        }
        (folder / "senders.json").write_text(json.dumps(options))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "measure.standin", str(folder / "senders.json")], stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.discovery = self.process.stdout.readline().strip()

    def stop(self) -> list[list[Any]]:
        """End the process; returns the audit [time, id, class, worker, event] in order of time."""
        self.process.terminate()
        self.process.wait(PROCESS_TIMEOUT_S)
        runs: list[list[Any]] = json.loads(self.audit.read_text())
        return runs

    def calls(self) -> list[list[Any]]:
        """List requests, available after ``stop``: [time, complete list requested, caller disconnected]."""
        found: list[list[Any]] = json.loads((self.folder / "calls.json").read_text())
        return found

    def wire(self) -> dict[str, int]:
        """Counts of probes, jobs and list lines so far, and their HTTP bytes, in and out at the node."""
        with urlopen(f"http://{self.discovery}/wire", timeout=PROCESS_TIMEOUT_S) as answer:
            found: dict[str, int] = json.load(answer)
        return found

    def places(self) -> list[str]:
        """Addresses of the workers, as discovery reports them."""
        with urlopen(f"http://{self.discovery}/v1/servers?watch=1", timeout=PROCESS_TIMEOUT_S) as answer:
            return [target["endpoint"] for target in json.loads(answer.readline())["targets"]]


class Node:
    """One node process with its folder, log and configuration; keeps its port across restarts.

    ``operator`` holds environment variables of the operator's settings, ``more`` further configuration keys.
    """

    def __init__(
        self, folder: Path, discovery: str, operator: Mapping[str, str], sockets: int = 4096,
        tree: Path | None = None, spawn: bool = True, module: tuple[str, ...] = ("rushsaddle",), **more: Any,
    ) -> None:
        self.tree = tree  # checkout to run from; None: the current one
        self.module = module  # module that Python runs, and its arguments
        self.folder = folder
        self.operator = dict(operator)
        self.port = 0
        self.starts = 0
        configure(folder, discovery, sockets, **more)
        if spawn:
            self.start()

    def spawn(self) -> None:
        """Start the process, without waiting for it."""
        env = environment(self.folder / "config.json") | self.operator
        if self.tree is not None:
            env["PYTHONPATH"] = str(self.tree)
        if self.port:
            env["GW_LISTEN"] = f"127.0.0.1:{self.port}"
        self.starts += 1
        self.log = self.folder / f"log-{self.starts}"
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.module], cwd=self.tree, env=env, stdout=log, stderr=log
            )

    def start(self) -> float:
        """Start the process and wait until it is ready; returns the seconds that took.

        Raises RuntimeError if the process ends or is not ready in time.
        """
        began = time.monotonic()
        self.spawn()
        while (found := re.search(r'"ready","listen":"127.0.0.1:(\d+)"', self.log.read_text())) is None:
            if self.process.poll() is not None or time.monotonic() > began + PROCESS_TIMEOUT_S:
                raise RuntimeError(f"the node did not start: {self.log.read_text()[-500:]}")
            time.sleep(0.002)
        self.port = int(found[1])
        return time.monotonic() - began

    def events(self, *kinds: str) -> list[dict[str, Any]]:
        """Log records of the current process whose event is one of ``kinds``."""
        return events_in(self.log.read_text(), *kinds)

    def cpu_s(self) -> float:
        """CPU time used so far, of all threads, in seconds, with the resolution of the clock tick."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def thread_cpu_s(self) -> float:
        """CPU time in seconds with nanosecond resolution, of the threads that still exist."""
        tasks = Path(f"/proc/{self.process.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9

    def descriptors(self) -> int:
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def memory_mb(self) -> float:
        return memory_mb(self.process.pid)

    def pause(self) -> None:
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def stop(self) -> int:
        self.process.terminate()
        return self.process.wait(PROCESS_TIMEOUT_S)


def wait_until(what: str, condition: Callable[[], Any]) -> None:
    """Poll until the condition holds; fails an assertion after twice the process timeout.

    Only a failure waits that long.
    """
    give_up = time.monotonic() + 2 * PROCESS_TIMEOUT_S
    while not condition():
        assert time.monotonic() < give_up, f"condition not met: {what}"
        time.sleep(0.02)


class Fleet:
    """Nodes of one fleet, by number, each with its own folder and gossip address.

    ``bind_places`` are the addresses that they bind, empty if membership is off; ``places`` are the addresses
    that they advertise, which differ if a link relays their traffic.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.key = b"a key that is only for this rig"
        self.nodes: list[Node] = []
        self.bind_places: list[str] = []
        self.places: list[str] = []
        self.link: Link | None = None

    def start(
        self, count: int, services: str | list[str] = UNREACHABLE_SERVICE,
        lists: Mapping[int, Any] | None = None, link: bool = False, spawn: bool = True, members: bool = True,
        tree: Path | None = None, group: int = 0,
    ) -> list[Node]:
        """Create the nodes, and start their processes if ``spawn`` is set.

        ``services``: discovery address for all nodes, or one for each; ``lists``: known worker lists by node
        number; ``group``: configured group size, 0 for the number of nodes.
        """
        self.bind_places = free_places(count) if members else []
        if link:
            self.link = Link(self.folder, self.bind_places)
        self.places = self.link.public if self.link is not None else self.bind_places
        key_file = self.folder / "fleet.key"
        key_file.write_bytes(self.key)
        settings = {**SETTINGS, "GroupSize": group or count}
        for n in range(count):
            place = self.folder / f"n{n}"
            place.mkdir()
            operator = {}
            if members:
                operator = {"ENABLED": "true", "LISTEN": self.bind_places[n],
                            "SEEDS": json.dumps(self.places[:3]),
                            "KEY_FILE": str(key_file), "TOLD": self.places[n]}
            more: dict[str, Any] = {"name": f"n{n}", "settings": settings, "seed": f"{n + 1:x}"}
            if lists is not None and n in lists:
                more["known"] = lists[n]
            service = services if isinstance(services, str) else services[n]
            set_by = {f"RUSHSADDLE_FLEET__{key}": value for key, value in operator.items()}
            self.nodes.append(Node(place, service, set_by, 512, tree, spawn=False, **more))
        if spawn:
            for node in self.nodes:
                node.spawn()
        return self.nodes

    def member_report(self, n: int) -> dict[str, Any]:
        """A node's member table, as its membership address reports it; raises JobsError without an answer."""
        return members_of(self.bind_places[n], self.key)

    def states(self, n: int) -> dict[str, str]:
        """A node's state of each other member, by place; empty while it does not answer."""
        try:
            return {m["place"]: m["state"] for m in self.member_report(n)["members"]}
        except JobsError:
            return {}

    def has_converged(self) -> bool:
        """Whether every node holds every other for alive."""
        count = len(self.nodes)
        return all(list(self.states(n).values()) == ["alive"] * (count - 1) for n in range(count))

    def has_list(self, n: int, rev: int = 7) -> bool:
        """Whether the last list that a node logged is a non-empty one of this version."""
        found = self.nodes[n].events("list")
        return bool(found) and found[-1]["version"] == rev and found[-1]["entries"] > 0

    def mean_members_known(self) -> float:
        """Mean number of other members that a node knows; a node that does not answer counts as 0."""
        return sum(len(self.states(n)) for n in range(len(self.nodes))) / len(self.nodes)

    def stop(self) -> None:
        """Kill every started process, all at once and by process id."""
        begun = [node.process for node in self.nodes if node.starts]
        for process in begun:
            process.kill()
        for process in begun:
            process.wait(PROCESS_TIMEOUT_S)
        if self.link is not None:
            self.link.stop()


@dataclass(slots=True)
class Reply:
    """A response; ``sent`` and ``at`` (receipt) are Unix seconds, status 0 stands for a broken connection."""

    sent: float
    at: float
    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """HTTP caller with one connection per request in flight; idle keep-alive connections are reused."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> Reply:
        """Send one request and read its whole response."""
        lines = [f"{method} {target} HTTP/1.1", "Host: n0"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        raw = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        sent = time.time()
        writer = None
        try:
            if self.idle:
                reader, writer = self.idle.pop()
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(raw)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = {k.lower(): v for k, v in (line.split(": ", 1) for line in head[1:] if line)}
            answer = await reader.readexactly(int(fields.get("content-length", "0")))
            at = time.time()
            if fields.get("connection") == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
            return Reply(sent, at, int(head[0].split(" ")[1]), fields, answer)
        except (OSError, asyncio.IncompleteReadError):
            if writer is not None:
                writer.close()
            return Reply(sent, time.time(), 0, {}, b"")
