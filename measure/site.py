"""A listening socket held by this process, and successive processes of one node that inherit it."""

from __future__ import annotations

import asyncio
import re
import resource
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from .rig import PROCESS_TIMEOUT_S, Caller, Reply, StandInWorkers, configure, environment

READY = '"event":"ready"'


class Site:
    """``sockets``: configured socket limit; ``files``: open-file limit of each process, 0: the system's.

    ``memory_mb``: configured memory limit, 0: none.
    """

    def __init__(self, folder: Path, sockets: int = 256, files: int = 0, memory_mb: int = 0) -> None:
        self.folder = folder
        self.files = files
        self.workers = StandInWorkers(folder, count=4, slots=16)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        (folder / "tmp").mkdir()
        limits = {"sockets": sockets} | ({"memory_mb": memory_mb} if memory_mb else {})
        configure(folder, self.workers.discovery, sockets, f"127.0.0.1:{self.port}", limits=limits)
        self.nodes: list[subprocess.Popen[bytes]] = []

    def log(self, number: int) -> str:
        return (self.folder / f"log-{number}").read_text()

    def start(self, config: str = "config.json") -> int:
        """Start one more process; returns its number."""
        number = len(self.nodes)
        fd = self.listener.fileno()
        env = environment(self.folder / config)
        env |= {"GW_INHERITED_FD": str(fd), "GW_ADMIN_ADDR": "127.0.0.1:0"}
        env["TMPDIR"] = str(self.folder / "tmp")
        with open(self.folder / f"log-{number}", "wb") as log:
            self.nodes.append(subprocess.Popen(
                [sys.executable, "-m", "rushsaddle"], env=env, stdout=log, stderr=log, pass_fds=[fd]
            ))
        if self.files:
            resource.prlimit(self.nodes[number].pid, resource.RLIMIT_NOFILE, (self.files, self.files))
        return number

    def wait(self, number: int, text: str) -> None:
        """Wait until the log of a process contains ``text``; raises RuntimeError if that fails."""
        deadline = time.monotonic() + PROCESS_TIMEOUT_S
        while text not in self.log(number):
            if time.monotonic() > deadline or self.nodes[number].poll() is not None:
                raise RuntimeError(f"not logged: {text}: {self.log(number)[-2000:]}")
            time.sleep(0.01)

    def start_ready(self) -> int:
        """Start one more process and wait until it is ready; returns its number."""
        number = self.start()
        self.wait(number, READY)
        return number

    def admin_command(self, number: int, command: bytes) -> bytes:
        """Send a command to the admin port of a process; returns the response."""
        found = re.search(r'"door":"127.0.0.1:(\d+)"', self.log(number))
        assert found is not None
        with socket.create_connection(("127.0.0.1", int(found[1])), PROCESS_TIMEOUT_S) as connection:
            connection.sendall(command + b"\n")
            return b"".join(iter(lambda: connection.recv(65536), b""))

    def metrics(self, number: int) -> dict[str, int]:
        """Metrics of a process by name, from its admin port."""
        lines = self.admin_command(number, b"METRICS").decode().splitlines()
        assert lines.pop() == "--"
        return {name: int(value.split("|")[0]) for name, value in (line.split(":") for line in lines)}

    def stop(self) -> None:
        for node in self.nodes:
            with suppress(ProcessLookupError):
                node.kill()
            node.wait()
        self.listener.close()
        if self.workers.process.poll() is None:
            self.workers.stop()


async def _constant_load(
    port: int, callers: int, stopped: asyncio.Event, batch_every: int, pause_s: float
) -> list[Reply]:
    replies: list[Reply] = []

    async def run_caller(number: int) -> None:
        caller, count = Caller(port), 0
        while not stopped.is_set():
            count += 1
            name = f"{number}-{count}"
            cls = "bulk-batch" if batch_every and count % batch_every == 0 else "single-text"
            headers = {"X-Request-ID": name, "X-Timeout": "5.0", "Idempotency-Key": name}
            replies.append(await caller.ask("POST", f"/{cls}", headers, b"text"))
            await asyncio.sleep(pause_s * (number % 4))

    await asyncio.gather(*(run_caller(n) for n in range(callers)))
    return replies


def under_load(
    site: Site, callers: int, act: Callable[[], None], batch_every: int = 0, pause_s: float = 0.0
) -> list[Reply]:
    """Replies that callers received while ``act`` ran in a thread.

    Each caller keeps one connection and sends one request after another with ids ``CALLER-COUNT``; three of
    four pause between requests.
    """
    async def run() -> list[Reply]:
        stopped = asyncio.Event()
        load = asyncio.create_task(_constant_load(site.port, callers, stopped, batch_every, pause_s))
        try:
            await asyncio.to_thread(act)
        finally:
            stopped.set()
        return await load

    return asyncio.run(run())
