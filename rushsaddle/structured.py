"""Structured log with structlog, used if an operator has settings; other nodes use ``core.log`` directly.

structlog costs 4 to 6 us more per event and 8 MB of memory, of which the platform may allow 32 MB in total
(``python -m measure.log_cost``; docs/measured/waiting.md).
"""

from __future__ import annotations

import os
from collections.abc import Callable, MutableMapping
from contextlib import suppress
from typing import Any

import orjson
import structlog

from .core.log import Log


class Writer:
    """Writes whole lines to a descriptor; structlog calls the method named after the level."""

    def __init__(self, fd: int) -> None:
        self.fd = fd

    def info(self, line: bytes | str) -> None:
        """Write one line; errors are ignored."""
        with suppress(OSError):  # a broken log must not stop requests
            os.write(self.fd, line if isinstance(line, bytes) else line.encode() + b"\n")


class StructuredLog(Log):
    """``text``: readable lines for a terminal; otherwise one JSON line per event, as ``Log`` writes."""

    def __init__(self, name: str, now_us: Callable[[], int], text: bool = False, fd: int = 1) -> None:
        super().__init__(name, now_us, fd)
        render: Any = structlog.dev.ConsoleRenderer(colors=False) if text else _render
        self._write = structlog.wrap_logger(
            Writer(fd), processors=[self._stamp, render],
            wrapper_class=structlog.make_filtering_bound_logger(20), cache_logger_on_first_use=True,
        ).bind()

    def event(self, event: str, **fields: Any) -> None:
        self._write.info(event, **fields)

    def _stamp(self, _: Any, __: str, fields: MutableMapping[str, Any]) -> dict[str, Any]:
        return {"time": self.now_us() / 1e6, "node": self.name, "event": fields.pop("event"), **fields}


def _render(_: Any, __: str, fields: MutableMapping[str, Any]) -> bytes:
    return orjson.dumps(fields, default=str, option=orjson.OPT_APPEND_NEWLINE)
