"""The log: one JSON object per line on standard output."""

from __future__ import annotations

import os
import stat
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import orjson


def stop_blocking(fd: int) -> None:
    """Have writes to a pipe that is full fail at once, so that a log that nobody reads holds up nothing."""
    with suppress(OSError):
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)


class Log:
    """Writes events with the time in seconds and the node's name."""

    def __init__(self, name: str, now_us: Callable[[], int], fd: int = 1) -> None:
        self.name = name
        self.now_us = now_us
        self.fd = fd
        stop_blocking(fd)

    def event(self, event: str, **fields: Any) -> None:
        """Write one event."""
        line = {"time": self.now_us() / 1e6, "node": self.name, "event": event, **fields}
        with suppress(OSError):  # a closed or full output must not affect requests
            os.write(self.fd, orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def error(self, event: str, error: BaseException, **fields: Any) -> None:
        """Write one event with an exception and the place where it was raised."""
        trace = error.__traceback__
        at = ""
        while trace is not None:
            at = f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
            trace = trace.tb_next
        self.event(event, error=f"{type(error).__name__}: {error}", at=at, **fields)
