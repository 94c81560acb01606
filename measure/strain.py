"""Clients that strain a node, beside those that watch it: crowds, steady clients, and its memory.

Each client of a crowd writes its pieces at their times, and reads what comes or does not.
"""

from __future__ import annotations

import re
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field

from .rig import memory_mb

TURN_S = 0.005  # pause between two turns over all clients
STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")
CONNECT_TIMEOUT_S = 20.0


@dataclass(slots=True)
class Piece:
    """Bytes that a client writes ``at_s`` seconds after its crowd began."""

    at_s: float
    data: bytes


@dataclass(slots=True)
class Client:
    """One connection and its plan."""

    sock: socket.socket
    pieces: list[Piece]
    reads: bool = True
    unsent: bytes = b""
    statuses: list[int] = field(default_factory=list)
    closed: bool = False  # by the node

    def turn(self, now_s: float) -> None:
        """Write what is due and, if it reads, read what there is."""
        while self.pieces and self.pieces[0].at_s <= now_s and not self.unsent:
            self.unsent = self.pieces.pop(0).data
        try:
            if self.unsent:
                with suppress(BlockingIOError):
                    self.unsent = self.unsent[self.sock.send(self.unsent) :]
            if self.reads:
                self._read()
        except OSError:
            self.closed = True

    def _read(self) -> None:
        with suppress(BlockingIOError):
            while data := self.sock.recv(1 << 16):
                self.statuses += [int(status) for status in STATUS_LINE.findall(data)]
            self.closed = True


class Crowd(threading.Thread):
    """Connects ``count`` clients, then lets them write and read until ``stop``."""

    def __init__(
        self, port: int, count: int, plan: Callable[[int], list[Piece]], reads: bool = True,
        buffer_bytes: int = 0,
    ) -> None:
        super().__init__(daemon=True)
        self.clients = [Client(self._connect(port, buffer_bytes), plan(n), reads) for n in range(count)]
        self.began = time.monotonic()
        self._stopped = threading.Event()
        self.start()

    @staticmethod
    def _connect(port: int, buffer_bytes: int) -> socket.socket:
        sock = socket.socket()
        if buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(("127.0.0.1", port))
        sock.setblocking(False)
        return sock

    def run(self) -> None:
        while not self._stopped.is_set():
            now_s = time.monotonic() - self.began
            for client in self.clients:
                if not client.closed:
                    client.turn(now_s)
            time.sleep(TURN_S)

    def wait_until(self, at_s: float) -> None:
        """Wait until so many seconds after the crowd began: the plan's time."""
        time.sleep(max(0.0, self.began + at_s - time.monotonic()))

    def statuses(self) -> Counter[int]:
        """How often each status was received."""
        return Counter(status for client in self.clients for status in client.statuses)

    def stop(self) -> None:
        """Stop writing and reading, and close the connections that are still open."""
        self._stopped.set()
        self.join()
        for client in self.clients:
            client.sock.close()


class SteadyClient(threading.Thread):
    """A client within the terms: one request after another, each on a new connection."""

    def __init__(self, port: int, request: Callable[[int], bytes], pause_s: float = 0.05) -> None:
        super().__init__(daemon=True)
        self.port = port
        self.request = request
        self.pause_s = pause_s
        self.statuses: Counter[int] = Counter()  # 0: closed or reset without an answer
        self.longest_s = 0.0
        self._stopped = threading.Event()
        self.start()

    def run(self) -> None:
        count = 0
        while not self._stopped.is_set():
            began = time.monotonic()
            self.statuses[self._ask(self.request(count))] += 1
            self.longest_s = max(self.longest_s, time.monotonic() - began)
            count += 1
            time.sleep(self.pause_s)

    def _ask(self, raw: bytes) -> int:
        try:
            with socket.create_connection(("127.0.0.1", self.port), CONNECT_TIMEOUT_S) as sock:
                sock.sendall(raw)
                found = STATUS_LINE.match(sock.recv(1 << 16))
        except OSError:
            return 0
        return int(found[1]) if found else 0

    def stop(self) -> None:
        """Finish the request in progress."""
        self._stopped.set()
        self.join()


class MemoryWatch(threading.Thread):
    """Samples the resident memory of processes, added up; ``peak_mb`` is the largest sum."""

    INTERVAL_S = 0.004

    def __init__(self, pids: Callable[[], Iterable[int]]) -> None:
        super().__init__(daemon=True)
        self.pids = pids
        self.peak_mb = 0.0
        self._stopped = threading.Event()
        self.start()

    def run(self) -> None:
        while not self._stopped.is_set():
            self.peak_mb = max(self.peak_mb, sum(_resident_mb(pid) for pid in self.pids()))
            time.sleep(self.INTERVAL_S)

    def stop(self) -> float:
        """The peak, of a single process also between two samples."""
        self._stopped.set()
        self.join()
        pids = list(self.pids())
        if len(pids) == 1:
            with suppress(OSError):
                self.peak_mb = max(self.peak_mb, memory_mb(pids[0], "VmHWM"))
        return self.peak_mb


def _resident_mb(pid: int) -> float:
    try:
        return memory_mb(pid)
    except OSError:  # it has ended
        return 0.0


BODY_BYTES = 64 * 1024
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n"
Plan = Callable[[int], list[Piece]]  # of the client with that number


def request_head(cls: str, name: str, *headers: str) -> bytes:
    """The head of a request; ``headers`` are whole lines."""
    lines = [f"POST /{cls} HTTP/1.1", "Host: n0", f"X-Request-ID: {name}", *headers]
    return "\r\n".join([*lines, "", ""]).encode()


def head(name: str, *headers: str, cls: str = "single-text", timeout: str = "5.0") -> bytes:
    """The head of a request within the terms; ``headers`` are whole lines."""
    return request_head(cls, name, f"X-Timeout: {timeout}", f"Idempotency-Key: {name}", *headers)


def whole(name: str, size: int = 4, cls: str = "single-text") -> bytes:
    """A request with a body of ``size`` bytes."""
    return head(name, f"Content-Length: {size}", cls=cls) + b"x" * size


def chunk(data: bytes, extension: bytes = b"") -> bytes:
    """One chunk of a chunked message."""
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


def chunked(name: str, size: int, extension: bytes = b"") -> bytes:
    """A request of 64 KiB in chunks of ``size`` bytes, without the last, empty one."""
    return head(name, "Transfer-Encoding: chunked") + chunk(b"x" * size, extension) * (BODY_BYTES // size)


def stops_before_the_end(left: int) -> Plan:
    """The whole body but ``left`` bytes, at once."""
    return lambda n: [Piece(0.0, whole(f"stop-{n}", BODY_BYTES)[:-left])]


def trickles(n: int) -> list[Piece]:
    """All but 8 bytes, which follow one each 0.4 s: it never stalls for long."""
    raw = whole(f"trickle-{n}", BODY_BYTES)
    return [Piece(0.0, raw[:-8]), *(Piece(0.4 * (i + 1), raw[i - 8 : i - 7] or b"x") for i in range(7))]


def writes_slowly(n: int) -> list[Piece]:
    """Within the terms: 64 KiB in twenty pieces over 2 s."""
    raw, step = whole(f"slow-{n}", BODY_BYTES), 3300
    return [Piece(0.1 * i, raw[i * step : (i + 1) * step]) for i in range(20)]


def in_chunks(size: int, extension: bytes = b"") -> Plan:
    return lambda n: [Piece(0.0, chunked(f"chunk-{n}", size, extension))]


def many_fields(total_bytes: int, field: str = "a:", length: int = 4) -> Plan:
    """A head of ``total_bytes`` of very short fields, whole, without its body."""
    lines = [field] * (total_bytes // (len(field) + 2))
    return lambda n: [Piece(0.0, head(f"fields-{n}", f"Content-Length: {length}", *lines))]


def head_without_end(total_bytes: int) -> Plan:
    """So many bytes of short fields, and no empty line."""
    lines = ["a:"] * (total_bytes // 4)
    return lambda n: [Piece(0.0, head(f"endless-{n}", *lines)[:-2])]


def many_long_fields(n: int) -> list[Piece]:
    """As many fields as are allowed, in a head of nearly 16 KB, and all but a byte of the body."""
    fields = [f"a{i}: " + "y" * 110 for i in range(120)]
    raw = head(f"long-{n}", f"Content-Length: {BODY_BYTES}", *fields) + b"x" * BODY_BYTES
    return [Piece(0.0, raw[:-1])]


def idle_after_a_large_request(n: int) -> list[Piece]:
    return [Piece(0.0, whole(f"idle-{n}", BODY_BYTES))]


def pipelines_behind_a_request(total_bytes: int) -> Plan:
    """One request, and ``total_bytes`` of further ones right behind it."""
    count = total_bytes // 1024
    return lambda n: [Piece(0.0, whole(f"first-{n}") + b"".join(
        whole(f"more-{n}-{i}", 850) for i in range(count)
    ))]


def pipelines_large_requests(n: int) -> list[Piece]:
    """Eight requests of 64 KiB, at once."""
    return [Piece(0.0, b"".join(whole(f"many-{n}-{i}", BODY_BYTES) for i in range(8)))]


CROWDS: dict[str, Plan] = {
    "stop a byte before the end": stops_before_the_end(1),
    "stop half way": stops_before_the_end(32_768),
    "trickle": trickles,
    "write slowly": writes_slowly,
    "stop within chunks of 8 KB": in_chunks(8192),
    "stop within chunks of a byte": in_chunks(1),
    "stop within chunks with extensions": in_chunks(16, b";" + b"x" * 300),
    "15 KB of short fields": many_fields(15_000),
    "60 KB of short fields": many_fields(60_000),
    "120 KB of short fields": many_fields(120_000),
    "120 long fields, stop before the end of the body": many_long_fields,
    "a head without end": head_without_end(120_000),
    "idle after a large request": idle_after_a_large_request,
    "pipeline large requests": pipelines_large_requests,
    "pipeline 300 KB": pipelines_behind_a_request(300_000),
}
