"""Events that cross, forced on real sockets; those that fit recordings are exchanges/crossing_*.txt."""

from __future__ import annotations

import socket
import time
from pathlib import Path
from typing import Any

import h11
import pytest

from rushsaddle.core.loop import Clock, Loop
from rushsaddle.net.http import LINGER_US, Stream

from .play import PATIENCE, Player

REQUEST = """\
POST /bulk-batch HTTP/1.1\r
Host: n0\r
X-Request-ID: {}\r
X-Timeout: {}\r
Content-Length: 0\r
\r
"""


def pair() -> tuple[Stream, socket.socket]:
    """A connection as the node has it, and its other end."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        far = socket.create_connection(server.getsockname(), PATIENCE)
        near = server.accept()[0]
    near.setblocking(False)
    return Stream(Loop(Clock(), lambda error: pytest.fail(str(error))), near, h11.SERVER), far


def arrived(stream: Stream) -> None:
    until = time.monotonic() + PATIENCE
    while not stream.readable():
        assert time.monotonic() < until


def ask(player: Player, name: str, id: str, timeout: str = "9") -> None:
    player.act([name, "opens"], "")
    player.open[name].sendall(REQUEST.format(id, timeout).encode())


def head(sock: socket.socket) -> None:
    """Take a whole request, and begin an answer to it."""
    got = b""
    while not got.endswith(b"\r\n\r\n"):
        got += sock.recv(65536)
    sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")


def flood(sock: socket.socket, line: bytes, most: int) -> int:
    """Send a line again and again, in chunks; how many bytes were taken until the other side closed."""
    chunk = b"%x\r\n%s\r\n" % (len(line) * 500, line * 500)
    sent = 0
    while sent < most:
        try:
            sent += sock.send(chunk[sent % len(chunk):])
        except ConnectionError:
            break
    return sent


def test_the_last_byte_of_a_request_that_comes_as_its_time_ends_is_read() -> None:
    """The leg was given up with the byte unread: its caller had handed the request over whole."""
    stream, far = pair()
    far.sendall(b"POST / HTTP/1.1\r\nHost: n0\r\nContent-Length: 1\r\n\r\n")
    arrived(stream)
    reading = stream.head(stream.loop.now_us() + LINGER_US)
    next(reading)
    with pytest.raises(StopIteration):
        reading.send(1)
    body = stream.next_event(0)
    next(body)
    far.sendall(b"x")
    arrived(stream)
    with pytest.raises(StopIteration) as found:  # woken by its timer, not by the byte
        body.send(0)
    assert isinstance(found.value.value, h11.Data)
    stream.close()
    far.close()


def test_an_answer_outlives_what_its_caller_sends_as_its_leg_makes_room() -> None:
    """A close over unread bytes resets the connection, and the answer with it."""
    stream, far = pair()
    stream.sock.sendall(b"the answer")
    far.sendall(b"x" * 100_000)
    arrived(stream)
    ending = stream.linger(0)
    while next(ending, None) is not None:
        pass
    stream.close()
    got = b"".join(iter(lambda: far.recv(100), b""))
    assert got == b"the answer"
    far.close()


def test_what_comes_after_the_end_of_sending_is_read_and_dropped() -> None:
    stream, far = pair()
    ending = stream.linger()
    next(ending)
    far.sendall(REQUEST.format("r1", "1").encode())
    arrived(stream)
    ending.send(1)
    assert not stream.readable() and stream.received == 0
    far.close()
    arrived(stream)
    with pytest.raises(StopIteration):
        ending.send(1)
    stream.close()


@pytest.mark.parametrize("line", [b"\n", b'{"id":"r1","state":"running","share":0.1}\n'])
def test_an_answer_without_end_is_bounded_by_its_bytes(player: Player, line: bytes) -> None:
    player.start()
    ask(player, "c", "r1")
    sock = player.listeners["h1"].accept()[0]
    head(sock)
    assert flood(sock, line, 64 * 1024 * 1024) < 32 * 1024 * 1024  # what the system holds is in it
    player.compare("c", b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
    sock.close()


def test_an_answer_that_drips_is_bounded_by_its_time(player: Player) -> None:
    """However often something can be read, the time of a branch is looked at."""
    player.start()
    ask(player, "c", "r1", "0.5")
    sock = player.listeners["h1"].accept()[0]
    head(sock)
    until, closed = time.monotonic() + PATIENCE, False
    while not closed and time.monotonic() < until:
        try:
            sock.sendall(b"1\r\n\n\r\n")
        except ConnectionError:
            closed = True
    assert closed
    player.compare("c", b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n")
    sock.close()


def test_idle_callers_fill_the_descriptors_while_discovery_is_down(player: Player) -> None:
    """Fewer descriptors than the configuration says: list, jobs and callers get theirs, and nothing spins."""
    player.files = 64
    player.settings["Discovery"] = "on_request"
    player.settings["Rules"]["MustAskInUs"] = 2_000_000_000
    player.start()
    watch = player.listeners["discovery"].accept()[0]
    idle = [socket.create_connection(("127.0.0.1", player.port), PATIENCE) for _ in range(70)]
    for sock in idle:
        sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n")
    watch.close()
    later = player.listeners["discovery"].accept()[0]  # within the time of a test: it has its descriptor
    head(later)
    body = b'{"rev":42,"all":false,"targets":[]}\n'
    later.sendall(b"%x\r\n%s\r\n" % (len(body), body))
    player.act(["node", "says", '"version":42'], "")
    assert player.node is not None
    before = cpu_s(player.node.pid)
    time.sleep(1.0)  # the time over which the processor's is taken
    assert cpu_s(player.node.pid) - before < 0.5
    ask(player, "c", "r1")
    sock = player.listeners["h1"].accept()[0]
    head(sock)
    body = b'{"id":"r1","state":"done","result":"1"}\n'
    sock.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
    assert player.open["c"].recv(65536).startswith(b"HTTP/1.1 200 OK")
    for one in (*idle, later, sock):
        one.close()


def cpu_s(pid: int) -> float:
    fields: Any = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100
