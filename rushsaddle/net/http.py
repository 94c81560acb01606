"""HTTP/1.1 on one connection: an h11 state machine between two ring buffers, and header and line parsing."""

from __future__ import annotations

import errno
import re
import select
import socket
from collections.abc import Iterable, Iterator, Sequence
from contextlib import suppress
from typing import Any

import h11
import orjson

from ..core.loop import Coroutine, Loop, Wait
from ..core.ring_buffer import RingBuffer
from ..core.transaction import Answer, Verdict

MAX_BODY_BYTES = 64 * 1024  # of a request body
RING_BYTES = 128 * 1024  # holds a whole request with its head
LINGER_US = 500_000  # longest time to read and discard input before closing
MAX_LINGER_BYTES = 4 * 1024 * 1024  # most bytes to read and discard before closing
DISCARD_BUFFER = bytearray(RING_BYTES)
NO_DESCRIPTOR_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

Header = tuple[bytes, bytes]

# Hop-by-hop headers: they describe one connection and are generated anew for the next one.
HOP_BY_HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"content-length", b"expect",
))
# The next hop depends on these: a Connection header must not remove them.
ALWAYS_FORWARDED = frozenset((b"x-request-id", b"idempotency-key"))
SINGLE_VALUE_HEADERS = frozenset((
    b"host", b"content-length", b"transfer-encoding", b"x-request-id", b"idempotency-key", b"x-timeout",
))
NUMBER_PATTERN = re.compile(rb"[0-9]+(\.[0-9]*)?([eE][-+]?[0-9]+)?")
HEAD_END = re.compile(rb"\n\r?\n")
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # a JSON string literal
ID_PATTERN = re.compile(rb"[!-+\--~]{1,128}")  # visible ASCII but the comma, which joins repeated headers


class BadRequest(Exception):
    """An invalid request: the status of the answer, and whether body bytes may still be unread."""

    def __init__(self, status: int, why: str, unread: bool = True) -> None:
        super().__init__(why)
        self.status = status
        self.unread = unread


def number(name: str, text: bytes, maximum: float) -> float:
    """Parse a number in a caller's header, from 0 to ``maximum``; raises BadRequest."""
    if not NUMBER_PATTERN.fullmatch(text):  # float() also accepts 1_0 and infinity
        raise BadRequest(400, f"{name}: not a number")
    value = float(text)
    if not 0 <= value <= maximum:
        raise BadRequest(400, f"{name}: out of range")
    return value


def status_of(answer: Answer) -> int:
    """HTTP status of an answer."""
    if answer.verdict is Verdict.SERVED:
        return 200
    if answer.verdict is Verdict.BUSY:
        return 503
    return 400 if answer.request_rejected else 504 if answer.late else 502


def retry_after(us: int) -> list[Header]:
    """A Retry-After header in seconds; no header for 0."""
    return [(b"Retry-After", b"%.3f" % (us / 1e6))] if us else []


class Stream:
    """One non-blocking connection.  Its creator owns it and closes it, in one place.

    The coroutines return early, with None or False, when the deadline has passed or their task was woken; the
    code that awaits them checks the reason and continues or stops.
    """

    __slots__ = (
        "_recorded", "_unsent", "ended", "h11", "incoming", "last_received_us", "loop", "outgoing",
        "received", "sock",
    )

    def __init__(self, loop: Loop, sock: socket.socket, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.loop = loop
        self.sock = sock
        self.h11 = h11.Connection(role)
        self.incoming = RingBuffer(RING_BYTES)
        self.outgoing = RingBuffer(RING_BYTES)
        self.ended = False  # the peer has closed its sending side
        self.last_received_us = loop.now_us()  # initially the time of creation
        self.received = 0  # bytes
        self._unsent = b""  # bytes that do not fit in the outgoing ring yet
        self._recorded: bytearray | None = None  # raw bytes of the request being read

    def close(self) -> None:
        """Unregister the socket from the loop and close it."""
        self.loop.unregister(self.sock.fileno())
        self.sock.close()

    def start_recording(self, raw: bytes) -> None:
        """Keep ``raw`` and the bytes received from now on, so that another process can parse them again."""
        self._recorded = bytearray(raw)

    def stop_recording(self) -> None:
        """Drop the recorded bytes."""
        self._recorded = None

    @property
    def unread(self) -> bytes:
        """What another process has to parse if it takes over the connection at this point."""
        return self.h11.trailing_data[0] if self._recorded is None else bytes(self._recorded)

    def next_event(self, until_us: int) -> Coroutine[Any]:
        """The next h11 event, None if it returned early; raises OSError or h11.RemoteProtocolError."""
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            if not (yield from self._more(until_us)):
                event = self.h11.next_event()
                return None if event is h11.NEED_DATA else event

    def head(self, until_us: int) -> Coroutine[tuple[Any, bytes]]:
        """The first event of a request, and its raw bytes, some of which h11 normalizes."""
        while True:
            raw = self.h11.trailing_data[0]
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event, raw
            if not (yield from self._more(until_us)):
                raw = self.h11.trailing_data[0]
                event = self.h11.next_event()
                return None if event is h11.NEED_DATA else event, raw

    def _more(self, until_us: int) -> Coroutine[bool]:
        """Wait for input and pass it to h11.

        False if the deadline has passed, even while single bytes keep arriving, or if the task was woken;
        input that arrived by then is still passed on.
        """
        mask = yield Wait(self.sock.fileno(), select.EPOLLIN, until_us)
        self._receive()
        if self.ended or len(self.incoming):
            data = self.incoming.read()
            self.h11.receive_data(data)
            if self._recorded is not None:
                self._recorded += data
        return bool(mask) and self.loop.now_us() < until_us

    def _receive(self) -> None:
        """Read what is available, up to the size of the ring.

        The rest stays in the socket buffer, so that TCP flow control slows the sender.
        """
        with suppress(BlockingIOError):
            while not self.ended and self.incoming.free_space:
                count = self.incoming.receive(self.sock)
                self.ended = not count
                self.received += count
                self.last_received_us = self.loop.now_us()
                if not self.incoming.full:
                    return

    def put(self, events: Iterable[Any]) -> None:
        """Encode these events; ``flush`` sends them."""
        self._unsent += b"".join(self.h11.send(event) or b"" for event in events)

    def flush(self, until_us: int, once: bool = False) -> Coroutine[bool]:
        """Send all encoded bytes; True once the kernel has the last.  ``once``: return after each wait."""
        while True:
            if self._unsent:
                self._unsent = self._unsent[self.outgoing.write(self._unsent) :]
            if not len(self.outgoing):
                return True
            try:
                self.outgoing.send(self.sock)
            except BlockingIOError:
                mask = yield Wait(self.sock.fileno(), select.EPOLLOUT, until_us)
                if not mask or once or self.loop.now_us() >= until_us:
                    return False

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


class Request:
    """A caller's request, forwarded unchanged."""

    __slots__ = ("body", "headers", "id", "method", "target")

    def __init__(
        self, id: str, method: bytes, target: bytes, headers: Sequence[Header], body: bytes
    ) -> None:
        self.id = id
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def events(self, timeout_us: int) -> list[Any]:
        """The request as sent to a next hop, which may take up to ``timeout_us``."""
        headers = [*self.headers, (b"X-Timeout", b"%.3f" % (timeout_us / 1e6))]
        headers.append((b"Content-Length", b"%d" % len(self.body)))
        head = h11.Request(method=self.method, target=self.target, headers=headers)
        return [head, h11.Data(data=self.body), h11.EndOfMessage()]


def ambiguous_framing(raw: bytes) -> str:
    """Why two parsers may read this request head differently; empty if they may not.

    h11 drops a Content-Length beside a Transfer-Encoding, joins folded lines, accepts "5, 5" or the same
    length twice, and accepts lines that end without CR.  A parser that reads such a head differently finds
    another request in its body (request smuggling).
    """
    end = HEAD_END.search(raw)
    lines = (raw[: end.start() + 1] if end else raw).removesuffix(b"\r\n").split(b"\r\n")
    seen: dict[bytes, bytes] = {}
    for line in lines:
        if b"\n" in line or line[:1] in (b" ", b"\t"):
            return "a folded line, or one that does not end in CR LF"
        name, _, value = line.partition(b":")
        name = name.lower()
        if name in SINGLE_VALUE_HEADERS:
            if name in seen:
                return "a header that may come only once came twice"
            seen[name] = value.strip(b" \t")
    if b"transfer-encoding" in seen and (b"content-length" in seen or lines[0].endswith(b"HTTP/1.0")):
        return "two framings"
    if not seen.get(b"content-length", b"0").isdigit():
        return "Content-Length: not a number"
    if b"x-request-id" in seen and not ID_PATTERN.fullmatch(seen[b"x-request-id"]):
        return "X-Request-ID: not an id"
    return ""


def end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """The headers to forward to the next hop; X-Timeout is set anew there."""
    kept = list(headers)
    drop = {b"x-timeout"}
    for name, value in kept:
        if name.lower() == b"connection":
            drop.update(option.strip().lower() for option in value.split(b","))
    drop -= ALWAYS_FORWARDED
    passed = [(n, v) for n, v in kept if n.lower() not in HOP_BY_HOP and n.lower() not in drop]
    if not any(n.lower() == b"host" for n, _ in passed):  # HTTP/1.0 does not require Host
        passed.insert(0, (b"Host", b"localhost"))
    return passed


class LineTooLong(Exception):
    """A line or an object from a next hop or from discovery exceeds its maximum length."""


class LineSplitter:
    """Reassembles lines from chunks of arbitrary boundaries; ``maximum``: bytes of a line."""

    __slots__ = ("_pending", "maximum")

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self._pending = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the lines that ``data`` completes; raises LineTooLong."""
        self._pending += data
        lines: list[bytearray] = []
        if b"\n" in data:  # else don't split again: a long line may come in many small chunks
            *lines, self._pending = self._pending.split(b"\n")
        if len(self._pending) > self.maximum:
            raise LineTooLong(f"line longer than {self.maximum} bytes")
        yield from map(bytes, lines)


class JsonSplitter:
    """Reassembles JSON objects from chunks: one per line, or one indented over many lines.

    An empty line is a heartbeat between two objects; inside an object it shows that the rest is lost.
    """

    __slots__ = ("_depth", "_lines", "_pending", "_size")

    def __init__(self, maximum: int) -> None:
        self._lines = LineSplitter(maximum)
        self._pending: list[bytes] = []
        self._depth = self._size = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield the objects that ``data`` completes; raises orjson.JSONDecodeError or LineTooLong."""
        for line in self._lines.feed(data):
            if not self._pending:
                if not line.strip():
                    continue
                try:
                    yield orjson.loads(line)
                    continue
                except orjson.JSONDecodeError:
                    if _bracket_balance(line) <= 0:
                        raise
            self._pending.append(line)
            self._size += len(line)
            if self._size > self._lines.maximum:
                raise LineTooLong(f"object longer than {self._lines.maximum} bytes")
            self._depth += _bracket_balance(line)
            if self._depth <= 0 or not line.strip():
                text = b"\n".join(self._pending)
                self._pending, self._depth, self._size = [], 0, 0
                yield orjson.loads(text)


def _bracket_balance(line: bytes) -> int:
    """Number of brackets that the line opens less those that it closes."""
    bare = JSON_STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
