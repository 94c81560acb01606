"""Starts the program with system calls that fail now and then, as Linux documents their errors.

    python -m measure.inject PLAN.json

The plan is a FaultPlan as JSON.  Calls are wrapped before the program starts, which has no switch for it.
Each fault that happens is one line in the file ``record`` of the plan.
"""

from __future__ import annotations

import errno
import json
import os
import socket
import sys
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import Any

ACCEPT = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CREATE = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS)
CONNECT = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ECONNREFUSED, errno.EAGAIN)
BROKEN = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """How often each kind of call fails, as a share of its calls, drawn from the seed."""

    seed: int
    record: str
    accept: float = 0.0
    create: float = 0.0
    connect: float = 0.0
    broken: float = 0.0  # a read on a standing upstream connection finds it dead
    short: float = 0.0  # a read or write moves a few bytes only, or has to wait

    def write(self, path: Path) -> None:
        path.write_text(json.dumps(asdict(self)))

    @classmethod
    def read(cls, path: Path) -> FaultPlan:
        return cls(**json.loads(path.read_text()))


class Injector:
    """Draws which calls fail, and records them."""

    def __init__(self, plan: FaultPlan) -> None:
        self.plan = plan
        self._draw = Random(plan.seed)
        self._record = os.open(plan.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def happens(self, share: float) -> bool:
        return self._draw.random() < share

    def few(self, most: int) -> int:
        """A count of bytes far below ``most``."""
        return self._draw.randint(1, max(1, min(most, 7)))

    def note(self, call: str, what: str) -> None:
        os.write(self._record, f"{call} {what}\n".encode())

    def error(self, call: str, codes: tuple[int, ...]) -> OSError:
        code = self._draw.choice(codes)
        self.note(call, errno.errorcode[code])
        return OSError(code, os.strerror(code))


def faulty_socket(injector: Injector) -> type[socket.socket]:
    """The class that stands for ``socket.socket`` from then on."""
    plan = injector.plan

    class FaultySocket(socket.socket):
        """A socket whose calls fail as the plan says."""

        def __init__(self, *args: Any, **named: Any) -> None:
            taken = named.get("fileno") is not None or len(args) > 3
            if not taken and injector.happens(plan.create):
                raise injector.error("socket", CREATE)
            super().__init__(*args, **named)
            self.upstream = False
            self.dead: OSError | None = None

        def accept(self) -> Any:
            if injector.happens(plan.accept):  # what waits in the backlog stays there
                raise injector.error("accept", ACCEPT)
            return super().accept()

        def connect_ex(self, address: Any) -> int:
            self.upstream = True
            if injector.happens(plan.connect):
                return int(injector.error("connect", CONNECT).errno or 0)
            return super().connect_ex(address)

        def recv_into(self, buffer: Any, *more: Any) -> int:
            self._may_die()
            if injector.happens(plan.short):
                injector.note("recv", "short")
                return super().recv_into(memoryview(buffer)[: injector.few(len(buffer))], *more)
            return super().recv_into(buffer, *more)

        def send(self, data: Any, *more: Any) -> int:
            if injector.happens(plan.short):
                injector.note("send", "short")
                return super().send(memoryview(data)[: injector.few(len(data))], *more)
            return super().send(data, *more)

        def _may_die(self) -> None:
            if self.dead is None and self.upstream and injector.happens(plan.broken):
                self.dead = injector.error("recv", BROKEN)
            if self.dead is not None:
                raise self.dead

    return FaultySocket


def main() -> None:
    from rushsaddle.node import serve

    plan = FaultPlan.read(Path(sys.argv[1]))
    socket.socket = faulty_socket(Injector(plan))  # type: ignore[misc]
    sys.exit(serve())


if __name__ == "__main__":
    main()
