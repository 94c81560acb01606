"""Resource bounds of a measurement: it is refused if it would exceed them, and stopped if it does.

    with Watch(Bounds.here(), Need(mb=900, processes=30, seconds=240), os.getpid()):
        ...

Memory is that of this process and all its descendants, in MB of 2**20 bytes.  Raises Refused before anything
starts.  During the run a thread samples the usage; if a bound is exceeded it interrupts the main thread,
whose ``finally`` blocks end what was started, and ``Watch`` then raises Refused.
"""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

from .rig import memory_mb

MEMORY_SHARE = 0.5  # of the machine's memory that one run may use
MAX_PROCESSES = 300
MAX_SECONDS = 1800.0
SAMPLE_S = 0.5


class Refused(Exception):
    """The run would exceed, or has exceeded, a bound."""


@dataclass(slots=True, frozen=True)
class Need:
    """The most that a run is expected to use; ``seconds`` is for the whole run."""

    mb: float
    processes: int
    seconds: float


def machine_mb() -> tuple[float, float]:
    """Total and available memory of the machine, in MB."""
    found = {}
    for line in Path("/proc/meminfo").read_text().splitlines():
        name, _, rest = line.partition(":")
        found[name] = int(rest.split()[0]) / 1024
    return found["MemTotal"], found["MemAvailable"]


@dataclass(slots=True, frozen=True)
class Bounds:
    """Upper bounds of memory, number of processes and duration."""

    mb: float
    processes: int = MAX_PROCESSES
    seconds: float = MAX_SECONDS

    @classmethod
    def here(cls, seconds: float = MAX_SECONDS, mb: float | None = None) -> Bounds:
        """The bounds for this machine; ``mb`` can only lower the memory bound."""
        half = MEMORY_SHARE * machine_mb()[0]
        return cls(min(half, mb) if mb is not None else half, MAX_PROCESSES, seconds)

    def check(self, need: Need, free_mb: float) -> None:
        """Raise Refused, which names the bound, if the need exceeds one or the free memory."""
        if need.mb > self.mb:
            raise Refused(f"memory: {need.mb:.0f} MB needed, {self.mb:.0f} MB allowed")
        if need.mb > free_mb:
            raise Refused(f"memory: {need.mb:.0f} MB needed, {free_mb:.0f} MB free")
        if need.processes > self.processes:
            raise Refused(f"processes: {need.processes} needed, {self.processes} allowed")
        if need.seconds > self.seconds:
            raise Refused(f"time: {need.seconds:.0f} s needed, {self.seconds:.0f} s allowed")


def process_tree(pid: int) -> list[int]:
    """A process and all its descendants that still run."""
    found = [pid]
    for parent in found:
        with suppress(OSError):  # the process has ended in the meantime
            for task in Path(f"/proc/{parent}/task").iterdir():
                found += map(int, (task / "children").read_text().split())
    return found


def usage_of(pid: int) -> tuple[float, int]:
    """Memory in MB and number of processes of a process and its descendants."""
    members, mb = process_tree(pid), 0.0
    for member in members:
        with suppress(OSError):
            mb += memory_mb(member)
    return mb, len(members)


class Watch:
    """Enforces the bounds while its block runs; used by the main thread."""

    def __init__(
        self, bounds: Bounds, need: Need, pid: int,
        sample_usage: Callable[[int], tuple[float, int]] = usage_of,
    ) -> None:
        self.bounds = bounds
        self.need = need
        self.pid = pid
        self.sample_usage = sample_usage
        self.peak_mb = 0.0
        self.peak_processes = 0
        self.exceeded: str | None = None
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="bounds", daemon=True)

    def __enter__(self) -> Watch:
        self.bounds.check(self.need, machine_mb()[1])
        self._deadline = time.monotonic() + self.bounds.seconds
        self._thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._stopped.set()
        with suppress(KeyboardInterrupt):  # interrupted at this moment: Refused is raised below
            self._thread.join()
        if self.exceeded is not None:
            raise Refused(f"stopped while it ran: {self.exceeded}") from error

    def _run(self) -> None:
        while not self._stopped.wait(SAMPLE_S):
            mb, processes = self.sample_usage(self.pid)
            self.peak_mb, self.peak_processes = max(self.peak_mb, mb), max(self.peak_processes, processes)
            if mb > self.bounds.mb:
                self.exceeded = f"memory: {mb:.0f} MB of {self.bounds.mb:.0f} MB"
            elif processes > self.bounds.processes:
                self.exceeded = f"processes: {processes} of {self.bounds.processes}"
            elif time.monotonic() > self._deadline:
                self.exceeded = f"time: over {self.bounds.seconds:.0f} s"
            if self.exceeded is not None:
                # A real signal: the main thread may be blocked on a lock, which nothing else interrupts.
                signal.pthread_kill(threading.main_thread().ident or 0, signal.SIGINT)
                return
