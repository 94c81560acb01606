"""Bounds of a measurement on this machine: refused before it starts where it would pass them, then kept.

    with Watch(Bounds.here(), Need(mb=900, processes=30, seconds=240), os.getpid()):
        ...

Memory is that of this process and all that it has started, in MB of 2**20 bytes.  Raises Refused before
anything is begun; while it runs a thread looks, and interrupts the main one, whose ``finally`` ends what was
started; that then leaves ``Watch`` as Refused.
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

SHARE = 0.5  # of the machine's memory, for all of one run
PROCESSES = 300
SECONDS = 1800.0
LOOK_S = 0.5


class Refused(Exception):
    """The run would pass, or has passed, a bound."""


@dataclass(slots=True, frozen=True)
class Need:
    """What a run is expected to take at most; the time is for all of it."""

    mb: float
    processes: int
    seconds: float


def machine_mb() -> tuple[float, float]:
    """The machine's memory, and how much of it is to be had now."""
    found = {}
    for line in Path("/proc/meminfo").read_text().splitlines():
        name, _, rest = line.partition(":")
        found[name] = int(rest.split()[0]) / 1024
    return found["MemTotal"], found["MemAvailable"]


@dataclass(slots=True, frozen=True)
class Bounds:
    mb: float
    processes: int = PROCESSES
    seconds: float = SECONDS

    @classmethod
    def here(cls, seconds: float = SECONDS, mb: float | None = None) -> Bounds:
        """Those of this machine; ``mb`` may only narrow them."""
        half = SHARE * machine_mb()[0]
        return cls(min(half, mb) if mb is not None else half, PROCESSES, seconds)

    def check(self, need: Need, free_mb: float) -> None:
        """Raises Refused, naming the bound."""
        if need.mb > self.mb:
            raise Refused(f"memory: {need.mb:.0f} MB needed, {self.mb:.0f} MB allowed")
        if need.mb > free_mb:
            raise Refused(f"memory: {need.mb:.0f} MB needed, {free_mb:.0f} MB free")
        if need.processes > self.processes:
            raise Refused(f"processes: {need.processes} needed, {self.processes} allowed")
        if need.seconds > self.seconds:
            raise Refused(f"time: {need.seconds:.0f} s needed, {self.seconds:.0f} s allowed")


def family(pid: int) -> list[int]:
    """A process and all that it has started, as far as they still run."""
    found = [pid]
    for parent in found:
        with suppress(OSError):  # ended meanwhile
            for task in Path(f"/proc/{parent}/task").iterdir():
                found += map(int, (task / "children").read_text().split())
    return found


def used(pid: int) -> tuple[float, int]:
    """MB and processes of a family."""
    members, mb = family(pid), 0.0
    for member in members:
        with suppress(OSError):
            mb += memory_mb(member)
    return mb, len(members)


class Watch:
    """Keeps the bounds while its block runs; used by the main thread."""

    def __init__(
        self, bounds: Bounds, need: Need, pid: int, look: Callable[[int], tuple[float, int]] = used
    ) -> None:
        self.bounds = bounds
        self.need = need
        self.pid = pid
        self.look = look
        self.peak_mb = 0.0
        self.peak_processes = 0
        self.passed: str | None = None
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run, name="bounds", daemon=True)

    def __enter__(self) -> Watch:
        self.bounds.check(self.need, machine_mb()[1])
        self._until = time.monotonic() + self.bounds.seconds
        self._thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._over.set()
        with suppress(KeyboardInterrupt):  # told in this very moment: it is told below
            self._thread.join()
        if self.passed is not None:
            raise Refused(f"stopped while it ran: {self.passed}") from error

    def _run(self) -> None:
        while not self._over.wait(LOOK_S):
            mb, processes = self.look(self.pid)
            self.peak_mb, self.peak_processes = max(self.peak_mb, mb), max(self.peak_processes, processes)
            if mb > self.bounds.mb:
                self.passed = f"memory: {mb:.0f} MB of {self.bounds.mb:.0f} MB"
            elif processes > self.bounds.processes:
                self.passed = f"processes: {processes} of {self.bounds.processes}"
            elif time.monotonic() > self._until:
                self.passed = f"time: over {self.bounds.seconds:.0f} s"
            if self.passed is not None:
                # A signal in truth: what the main thread waits for may be a lock, which nothing else ends.
                signal.pthread_kill(threading.main_thread().ident or 0, signal.SIGINT)
                return
