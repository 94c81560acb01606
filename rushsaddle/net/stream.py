"""One connection that speaks HTTP/1.1 through an h11 state machine, which holds the input not yet parsed."""

from __future__ import annotations

import select
import socket
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from itertools import islice
from typing import Any

import h11

from ..core.loop import YIELD_TO_OTHERS, Coroutine, Loop, Wait
from ..core.memory_budget import LARGE_BYTES, MemoryBudget

READ_BYTES = 16 * 1024  # most bytes of one read: a fast peer must not hold up others
RECEIVE_BUFFER = memoryview(bytearray(READ_BYTES))  # shared: each read is passed on before the next one
LINGER_US = 500_000  # longest time to read and discard input before closing
MAX_LINGER_BYTES = 4 * 1024 * 1024  # most bytes to read and discard before closing
EVENTS_PER_TURN = 8  # then other tasks get a turn: a chunk, and so an event, may be one byte
DISCARD_BUFFER = bytearray(128 * 1024)
MAX_READ_AHEAD_BYTES = 128 * 1024  # of input behind the request in progress; more is discarded
MAX_BUFFERS = 16  # sent with one call
QUIET_US = 10_000  # no input for this long after some was discarded: the peer has no more on the way
MAX_QUIET_US = 50_000  # a peer that still sends after this time has not closed
HANGUP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class InputDiscarded(Exception):
    """More input is needed, but some of it was discarded: the connection can only be closed."""


class Stream:
    """One non-blocking connection.  Its creator owns it and closes it, in one place.

    The coroutines return early, with None or False, when the deadline has passed or their task was woken; the
    code that awaits them checks the reason and continues or stops.
    """

    __slots__ = (
        "_events", "_has_more", "_memory", "_most_recorded", "_recorded", "_unsent", "ended", "h11",
        "last_received_us", "loop", "overrun", "received", "sock",
    )

    def __init__(
        self, loop: Loop, sock: socket.socket, role: type[h11.CLIENT] | type[h11.SERVER],
        memory: MemoryBudget | None = None,
    ) -> None:
        self.loop = loop
        self._memory = memory
        self.sock = sock
        self.h11 = h11.Connection(role)
        self.ended = False  # the peer has closed its sending side
        self.last_received_us = loop.now_us()  # initially the time of creation
        self.received = 0  # bytes
        self.overrun = False  # input was discarded, so that nothing more can be parsed
        self._unsent: deque[memoryview] = deque()  # encoded bytes that the kernel does not have
        self._recorded: bytearray | None = None  # raw bytes of the request being read
        self._most_recorded = 0  # bytes
        self._events = 0  # events since the task last waited
        self._has_more = False  # the last read filled the buffer: the peer sends much

    def close(self) -> None:
        """Unregister the socket from the loop and close it."""
        self.loop.unregister(self.sock.fileno())
        self.sock.close()

    def start_recording(self, head: bytes, maximum: int) -> None:
        """Keep the input that follows a head, so that another process can parse it again.

        More than ``maximum`` bytes are not kept.
        """
        self._recorded = bytearray(head + self.unparsed)
        self._most_recorded = maximum

    def stop_recording(self) -> None:
        """Drop the recorded bytes."""
        self._recorded = None

    @property
    def unparsed(self) -> bytes:
        """Input that was received and not consumed yet."""
        return bytes(self.h11.trailing_data[0])

    @property
    def recorded(self) -> bytes | None:
        """The head and all input that followed it; None while nothing is recorded."""
        return None if self._recorded is None else bytes(self._recorded)

    def parse(self) -> Any:
        """The next h11 event of the input so far, or NEED_DATA; raises h11.RemoteProtocolError."""
        try:
            return self.h11.next_event()
        except h11.RemoteProtocolError as error:
            # A frame of h11 in its traceback refers to the error: a cycle that keeps the input.
            raise error.with_traceback(None) from None

    def next_event(self, until_us: int) -> Coroutine[Any]:
        """The next h11 event, None if it returned early; raises OSError or h11.RemoteProtocolError."""
        while True:
            event = self.parse()
            if event is not h11.NEED_DATA:
                self._events += 1
                if self._events >= EVENTS_PER_TURN:
                    self._events = 0
                    yield YIELD_TO_OTHERS
                return event
            if not (yield from self.more(until_us)):
                event = self.parse()
                return None if event is h11.NEED_DATA else event

    def more(self, until_us: int) -> Coroutine[bool]:
        """Wait for input and pass it to h11.

        False if the deadline has passed, even while single bytes keep arriving, or if the task was woken;
        input that arrived by then is still passed on.
        """
        self._events = 0
        if self.overrun:
            raise InputDiscarded
        mask = yield Wait(self.sock.fileno(), select.EPOLLIN, until_us)
        if mask and self._has_more:
            yield YIELD_TO_OTHERS
        with suppress(BlockingIOError):
            self._receive()
        return bool(mask) and self.loop.now_us() < until_us

    def _receive(self) -> None:
        """Read once and pass it to h11; raises BlockingIOError if nothing is available.

        The rest stays in the socket buffer, so that TCP flow control slows the sender.
        """
        count = self.sock.recv_into(RECEIVE_BUFFER)
        self.ended = not count
        self._has_more = count == READ_BYTES
        self.received += count
        self.last_received_us = self.loop.now_us()
        data = bytes(RECEIVE_BUFFER[:count])
        self.h11.receive_data(data)
        if self._recorded is not None:
            self._recorded += data
            is_short = self._memory is not None and self._memory.is_short
            if is_short or len(self._recorded) > self._most_recorded:
                self._recorded = None

    def wait_connected(self, until_us: int | None = None) -> Coroutine[bool]:
        """Wait for input, a wake-up or ``until_us``; False if the peer has closed its sending side.

        A close is hidden behind what the receive window holds back, so input is read ahead meanwhile.
        """
        mask = yield Wait(self.sock.fileno(), select.EPOLLIN | select.EPOLLRDHUP, until_us)
        if mask & HANGUP:
            return False
        return not mask & select.EPOLLIN or self._read_ahead()

    def wait_quiet(self) -> Coroutine[bool]:
        """Read ahead until nothing more is pending; False if the peer has closed its sending side."""
        began = until = self.loop.now_us()
        received = -1
        while received != self.received or self.loop.now_us() < until:
            received = self.received
            if not (yield from self.wait_connected(until)):
                return False
            now = self.loop.now_us()
            if now >= began + MAX_QUIET_US:
                break
            if self.overrun and received != self.received:
                until = now + QUIET_US
        return True

    def _read_ahead(self) -> bool:
        """Read once behind the request in progress; False if the peer has closed its sending side."""
        with suppress(BlockingIOError):
            try:
                if not self.overrun and self._may_keep(len(self.unparsed)):
                    self._receive()
                else:
                    self.overrun = True
                    count = self.sock.recv_into(DISCARD_BUFFER)
                    self.ended = not count
                    self.received += count
            except ConnectionError:
                self.ended = True
        return not self.ended

    def _may_keep(self, held: int) -> bool:
        """Whether more input may be kept behind the request in progress; ``held``: bytes that are kept."""
        if held + READ_BYTES <= LARGE_BYTES:
            return True
        return held < MAX_READ_AHEAD_BYTES and (self._memory is None or self._memory.has_room(READ_BYTES))

    def put(self, events: Iterable[Any]) -> None:
        """Encode these events; ``flush`` sends them.  The bytes of a body are kept, not copied."""
        encoded = (self.h11.send(event) for event in events)
        self._unsent.extend(memoryview(data) for data in encoded if data)

    def flush(self, until_us: int, once: bool = False) -> Coroutine[bool]:
        """Send all encoded bytes; True once the kernel has the last.  ``once``: return after each wait."""
        while self._unsent:
            try:
                self._drop_sent(self.sock.sendmsg(islice(self._unsent, MAX_BUFFERS)))
            except BlockingIOError:
                mask = yield Wait(self.sock.fileno(), select.EPOLLOUT, until_us)
                if not mask or once or self.loop.now_us() >= until_us:
                    return False
        return True

    def _drop_sent(self, count: int) -> None:
        """Forget the first ``count`` of the encoded bytes, which the kernel has."""
        while self._unsent and count >= len(self._unsent[0]):
            count -= len(self._unsent.popleft())
        if count:
            self._unsent[0] = self._unsent[0][count:]

    @property
    def done(self) -> bool:
        """Request and answer are complete, and the connection may carry another request."""
        return self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE

    def readable(self) -> bool:
        """Whether input, end of file or an error is pending on the socket."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def linger(self, longest_us: int = LINGER_US) -> Coroutine[None]:
        """Shut down the sending side, then read and discard input until the peer closes.

        Closing with unread input would send a reset, which can destroy the answer before the peer reads it.
        A peer may send without end, so time and bytes are bounded, and waking the task ends it.
        """
        until, left = self.loop.now_us() + longest_us, MAX_LINGER_BYTES
        self.sock.shutdown(socket.SHUT_WR)
        while True:
            mask = yield Wait(self.sock.fileno(), select.EPOLLIN, until)
            try:
                count = self.sock.recv_into(DISCARD_BUFFER)
            except BlockingIOError:
                return
            left -= count
            over = not mask or self.loop.now_us() >= until
            if not count or left < 0 or (over and not self.readable()):
                return
