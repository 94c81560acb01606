"""The connection between two processes of one node: messages, with descriptors attached."""

from __future__ import annotations

import select
import socket
import sys
from collections import deque
from collections.abc import Callable

from ..core.loop import Coroutine, Loop, Task, Wait
from ..core.request_ids import MAX_REMEMBERED
from .messages import (
    MAX_MESSAGE_BYTES,
    MAX_UNREAD_BYTES,
    IdMessage,
    Message,
    Moved,
    decode,
    encode,
)

PEER_CREDENTIALS_BYTES = 12  # struct ucred: ids of process, user and group
Leg = tuple[socket.socket, Moved]


class Peer:
    """Owns its socket, and each leg from ``hand_over`` until it is sent; legs that could not be sent are
    passed to ``on_returned``.
    """

    def __init__(self, loop: Loop, sock: socket.socket, on_returned: Callable[[Leg], None]) -> None:
        sock.setblocking(False)
        self.loop = loop
        self.on_returned = on_returned
        self.closed = False
        self.pid = int.from_bytes(
            sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS_BYTES)[:4], sys.byteorder
        )
        self.unanswered_claims = 0  # since its latest answer
        self._read_sock = sock
        self._write_sock = sock.dup()  # the loop wakes one task for each descriptor
        self._queue: deque[tuple[Message, socket.socket | None]] = deque()
        # A peer that is held up reads nothing: the oldest messages on ids are dropped then.
        self._ids: deque[IdMessage] = deque(maxlen=MAX_REMEMBERED)
        self._writer: Task = loop.spawn(self._write())

    def send(self, message: Message) -> None:
        """Queues a message.  Those on ids go before all others, and only the newest are kept."""
        if isinstance(message, IdMessage):
            self._ids.append(message)
            self.loop.wake(self._writer)
        else:
            self._put(message, None)

    def can_take(self, unread: bytes) -> bool:
        """Whether the unread bytes of a connection fit in a message."""
        return len(unread) <= MAX_UNREAD_BYTES

    def hand_over(self, sock: socket.socket, proven: bool, elapsed_us: int, unread: bytes) -> None:
        """Queues a caller's connection, which belongs to the peer from here on."""
        self._put(Moved(proven, elapsed_us, unread), sock)

    def _put(self, message: Message, sock: socket.socket | None) -> None:
        self._queue.append((message, sock))
        self.loop.wake(self._writer)

    @property
    def idle(self) -> bool:
        """Whether everything queued has been sent."""
        return not self._queue and not self._ids

    def _write(self) -> Coroutine[None]:
        while not self.closed:
            try:
                if self._ids:
                    socket.send_fds(self._write_sock, [encode(self._ids[0])], [])
                    self._ids.popleft()
                elif self._queue:
                    self._send_first()
                else:
                    yield Wait()
            except BlockingIOError:
                yield Wait(self._write_sock.fileno(), select.EPOLLOUT)
            except OSError:
                self.closed = True
        self._return_unsent()

    def _send_first(self) -> None:
        """Send the first message of the queue; raises OSError, or BlockingIOError while there is no room."""
        message, sock = self._queue[0]
        socket.send_fds(self._write_sock, [encode(message)], [sock.fileno()] if sock is not None else [])
        self._queue.popleft()
        if sock is not None:
            sock.close()

    def _return_unsent(self) -> None:
        self._ids.clear()
        while self._queue:
            message, sock = self._queue.popleft()
            if sock is not None and isinstance(message, Moved):
                self.on_returned((sock, message))

    def receive(self) -> Coroutine[tuple[Message, list[int]] | None]:
        """The next message, with its descriptors; None once the peer has closed.  Raises InvalidMessage."""
        while True:
            try:
                data, fds, _, _ = socket.recv_fds(self._read_sock, MAX_MESSAGE_BYTES, 1)
            except BlockingIOError:
                yield Wait(self._read_sock.fileno(), select.EPOLLIN)
                continue
            except OSError:
                return None
            if not data:
                return None
            return decode(data), fds

    def close(self) -> None:
        """Closes the connection and returns unsent legs."""
        self.closed = True
        for sock in (self._read_sock, self._write_sock):
            self.loop.unregister(sock.fileno())
            sock.close()
        self._return_unsent()  # at once, as an ending process checks for remaining legs in the next turn
        self.loop.wake(self._writer)
