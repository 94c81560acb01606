"""Runs a node with injected failures of system calls, with the errors that Linux documents for them.

    python -m measure.inject PLAN.json

The plan is a FaultPlan as JSON.  The calls are wrapped before the node starts, which has no option for this.
Each injected fault is written as one line to the file ``record`` of the plan.
"""

from __future__ import annotations

import errno
import json
import os
import socket
import sys
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from random import Random
from typing import Any

ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS)
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ECONNREFUSED, errno.EAGAIN
)
READ_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """Probability of failure of each kind of call, each drawn by a generator of its own with this seed."""

    seed: int
    record: str
    accept: float = 0.0
    create: float = 0.0
    connect: float = 0.0
    broken: float = 0.0  # a read on an established upstream connection finds it broken
    short: float = 0.0  # a read or write transfers only a few bytes

    def write(self, path: Path) -> None:
        path.write_text(json.dumps(asdict(self)))

    @classmethod
    def read(cls, path: Path) -> FaultPlan:
        return cls(**json.loads(path.read_text()))


KINDS = tuple(field.name for field in fields(FaultPlan) if field.name not in ("seed", "record"))


class Injector:
    """Decides at random which calls fail, and records the failures.

    Whether the n-th call of a kind fails depends on the plan alone, whatever other calls come in between.
    """

    def __init__(self, plan: FaultPlan) -> None:
        self._plan = plan
        self._draws = {kind: Random(f"{plan.seed} {kind}") for kind in KINDS}
        self._draw = Random(plan.seed)  # of error codes and short counts
        self._log_fd = os.open(plan.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def should_fail(self, kind: str) -> bool:
        """Whether the next call of this kind fails."""
        share: float = getattr(self._plan, kind)
        return self._draws[kind].random() < share

    def short_count(self, most: int) -> int:
        """A small random number of bytes, from 1 to 7 and at most ``most``."""
        return self._draw.randint(1, max(1, min(most, 7)))

    def log_fault(self, call: str, fault: str) -> None:
        os.write(self._log_fd, f"{call} {fault}\n".encode())

    def error(self, call: str, codes: tuple[int, ...]) -> OSError:
        code = self._draw.choice(codes)
        self.log_fault(call, errno.errorcode[code])
        return OSError(code, os.strerror(code))


def faulty_socket(injector: Injector) -> type[socket.socket]:
    """The class that replaces ``socket.socket``."""

    class FaultySocket(socket.socket):
        """A socket whose calls fail according to the plan."""

        def __init__(self, *args: Any, **named: Any) -> None:
            taken = named.get("fileno") is not None or len(args) > 3
            if not taken and injector.should_fail("create"):
                raise injector.error("socket", SOCKET_ERRORS)
            super().__init__(*args, **named)
            self.upstream = False
            self.broken_by: OSError | None = None

        def accept(self) -> Any:
            if injector.should_fail("accept"):  # the pending connection stays in the backlog
                raise injector.error("accept", ACCEPT_ERRORS)
            return super().accept()

        def connect_ex(self, address: Any) -> int:
            self.upstream = True
            if injector.should_fail("connect"):
                return int(injector.error("connect", CONNECT_ERRORS).errno or 0)
            return super().connect_ex(address)

        def recv_into(self, buffer: Any, *more: Any) -> int:
            self._maybe_break()
            if injector.should_fail("short"):
                injector.log_fault("recv", "short")
                return super().recv_into(memoryview(buffer)[: injector.short_count(len(buffer))], *more)
            return super().recv_into(buffer, *more)

        def send(self, data: Any, *more: Any) -> int:
            if injector.should_fail("short"):
                injector.log_fault("send", "short")
                return super().send(memoryview(data)[: injector.short_count(len(data))], *more)
            return super().send(data, *more)

        def _maybe_break(self) -> None:
            if self.broken_by is None and self.upstream and injector.should_fail("broken"):
                self.broken_by = injector.error("recv", READ_ERRORS)
            if self.broken_by is not None:
                raise self.broken_by

    return FaultySocket


def main() -> None:
    from rushsaddle.node import serve

    plan = FaultPlan.read(Path(sys.argv[1]))
    socket.socket = faulty_socket(Injector(plan))  # type: ignore[misc]
    sys.exit(serve())


if __name__ == "__main__":
    main()
