"""The memory that the process uses, as the system counts it, and a log line at each new peak."""

from __future__ import annotations

import os
import re
from collections.abc import Callable
from dataclasses import dataclass

from .log import Log
from .loop import Coroutine, Loop, Wait

STATUS = "/proc/self/status"
PEAK_LINE = re.compile(rb"VmHWM:\s+(\d+) kB")
SAMPLE_INTERVAL_US = 250_000
LOG_STEP_BYTES = 8 * 2**20  # growth of the peak between two log lines
MB = 2**20


def resident_bytes(pid: int | None = None) -> int:
    """Resident memory in bytes of a process, by default of this one.

    0 where the system does not tell, or has no descriptor.
    """
    try:
        with open(f"/proc/{pid or 'self'}/statm", "rb") as file:
            pages = int(file.read().split()[1])
    except OSError:
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def peak_bytes() -> int:
    """Largest resident memory of this program so far, in bytes; 0 where the system does not tell.

    Not by getrusage(): its figure begins with the peak of the parent process.
    """
    try:
        with open(STATUS, "rb") as file:
            found = PEAK_LINE.search(file.read())
    except OSError:
        return 0
    return int(found[1]) * 1024 if found else 0


@dataclass(slots=True, frozen=True)
class MemoryUsage:
    """Resident memory of this process in bytes, now and at most; 0 where the system does not tell."""

    resident_bytes: int
    peak_bytes: int

    @classmethod
    def now(cls) -> MemoryUsage:
        """The present figures."""
        return cls(resident_bytes(), peak_bytes())


class MemoryMonitor:
    """Logs ``memory`` whenever the peak has grown by ``LOG_STEP_BYTES``.

    A process that is killed for its memory can say nothing more, so the last of these lines tells what it
    held.  ``details`` returns what the line has beside the sizes.
    """

    def __init__(
        self, loop: Loop, log: Log, limit_bytes: Callable[[], int], details: Callable[[], dict[str, int]]
    ) -> None:
        self._loop = loop
        self._log = log
        self._limit_bytes = limit_bytes
        self._details = details
        self._logged_bytes = 0  # the peak at the latest line

    def run(self) -> Coroutine[None]:
        """Sample for ever."""
        while True:
            self.sample()
            until = self._loop.now_us() + SAMPLE_INTERVAL_US
            while self._loop.now_us() < until:
                yield Wait(until_us=until)

    def sample(self) -> None:
        """Log the memory in use if its peak has grown since the latest line."""
        usage = MemoryUsage.now()
        if usage.peak_bytes < self._logged_bytes + LOG_STEP_BYTES:
            return
        self._logged_bytes = usage.peak_bytes
        self._log.event(
            "memory", resident_mb=usage.resident_bytes // MB, peak_mb=usage.peak_bytes // MB,
            limit_mb=self._limit_bytes() // MB, **self._details(),
        )
