"""The admin port: its own listener; each connection carries one command line and one answer.

Each connection is owned by one coroutine.  Descriptors are reserved for the admin port, so that a crowd of
clients cannot block it, and it is served before all others in a turn of the loop.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from contextlib import suppress

from ..core.lifecycle import Lifecycle, Phase
from ..core.log import Log
from ..core.loop import Coroutine, Loop, Task, Wait
from ..net.listener import Listener
from .commands import MAX_LINE_BYTES, Command, InvalidCommand, parse

MAX_CONNECTIONS = 12  # at once, out of the reserved descriptors
MAX_ACCEPTS = 8  # in one turn of the loop
COMMAND_TIMEOUT_US = 8_000_000  # to receive the command line, as people type slowly
ANSWER_TIMEOUT_US = 2_000_000  # to send the answer
ACCEPT_RETRY_US = 20_000  # after a failed accept


class AdminServer:
    """Serves the admin port; ``metrics`` returns the lines of the answer to METRICS."""

    def __init__(
        self, loop: Loop, log: Log, life: Lifecycle, metrics: Callable[[], list[str]]
    ) -> None:
        self.loop = loop
        self.log = log
        self.life = life
        self.metrics = metrics
        self._connections: dict[socket.socket, Task | None] = {}  # oldest first
        self._answering: set[socket.socket] = set()  # those whose command is complete

    def listen(self, listener: Listener) -> None:
        """Starts serving; takes ownership of the listener."""
        self.loop.spawn(self._accept(listener.sock), urgent=True)

    def _accept(self, listener: socket.socket) -> Coroutine[None]:
        while True:
            yield Wait(listener.fileno(), select.EPOLLIN)
            for _ in range(MAX_ACCEPTS):
                try:
                    sock, _ = listener.accept()
                except BlockingIOError:
                    break
                except OSError:  # aborted in the backlog, or no free descriptor: retry later
                    yield Wait(until_us=self.loop.now_us() + ACCEPT_RETRY_US)
                    break
                sock.setblocking(False)
                if len(self._connections) >= MAX_CONNECTIONS:
                    self._make_room()
                self._connections[sock] = None
                self._connections[sock] = self.loop.spawn(self._serve(sock), urgent=True)

    def _make_room(self) -> None:
        """Drops the oldest connection without a complete command, else the oldest still being answered."""
        oldest = next(
            (s for s in self._connections if s not in self._answering), next(iter(self._connections))
        )
        task = self._connections[oldest]
        self._drop(oldest)
        if task is not None:
            self.loop.wake(task)  # it finds its connection gone and ends

    def _drop(self, sock: socket.socket) -> None:
        """Closes a connection; the only place that does."""
        if sock in self._connections:
            del self._connections[sock]
            self._answering.discard(sock)
            self.loop.unregister(sock.fileno())
            sock.close()

    def _serve(self, sock: socket.socket) -> Coroutine[None]:
        try:
            answer = yield from self._read_command(sock)
            yield from self._send(sock, answer)
        except OSError:
            pass  # the client is gone
        finally:
            self._drop(sock)

    def _read_command(self, sock: socket.socket) -> Coroutine[bytes]:
        """Receives a command and returns its answer."""
        data, until, ended = b"", self.loop.now_us() + COMMAND_TIMEOUT_US, False
        while True:
            try:
                command = parse(data, ended)
            except InvalidCommand as error:
                return f"NAK {error}\n".encode()
            if command is not None:
                self._answering.add(sock)
                return self._answer(command)
            if self.loop.now_us() >= until:
                return b"NAK nothing whole was said in time\n"
            try:
                piece = sock.recv(MAX_LINE_BYTES + 2)
                data, ended = data + piece, not piece
            except BlockingIOError:
                yield Wait(sock.fileno(), select.EPOLLIN, until)
                if sock not in self._connections:
                    raise ConnectionError("dropped to make room for a new connection") from None

    def _send(self, sock: socket.socket, answer: bytes) -> Coroutine[None]:
        until = self.loop.now_us() + ANSWER_TIMEOUT_US
        while answer and self.loop.now_us() < until:
            try:
                answer = answer[sock.send(answer) :]
            except BlockingIOError:
                yield Wait(sock.fileno(), select.EPOLLOUT, until)
                if sock not in self._connections:
                    return
        with suppress(OSError):  # unread input would make close() reset the connection and lose the answer
            sock.recv(4096)

    def _answer(self, command: Command) -> bytes:
        life, before = self.life, self.life.phase
        if command is Command.METRICS:
            return "".join(f"{line}\n" for line in self.metrics()).encode()
        if command is Command.STATUS:
            return f"{'ACK' if life.can_serve else 'NAK'} {before}\n".encode()
        if before is Phase.ENDING:
            return b"NAK ending\n"
        changed = life.pause() if command is Command.PAUSE else life.resume()
        if changed:
            self.log.event("phase", call=command, before=before, now=life.phase)
        return f"ACK {life.phase}{'' if changed else ' already'}\n".encode()
