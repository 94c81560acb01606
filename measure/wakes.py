"""Measures how long the membership service blocks the event loop: an HTTP answer, the most costly wake-ups.

    python -m measure.wakes [--sizes 312 1250 5000 10000] [--rounds 50] [--json FILE]

Runs the service's own code and codec with a table of ``--sizes`` other members.  A wake-up processes
``MAX_READS`` datagrams of one kind from a loopback socket: they are decoded, handled, answered and logged.
Reports wall time in milliseconds, median and maximum over the rounds, with the garbage collector set as in a
node.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import socket
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import h11

from rushsaddle.core.log import Log
from rushsaddle.core.loop import Clock, Loop
from rushsaddle.fleet.members import Members, Rules
from rushsaddle.fleet.service import MAX_READS, Fleet, FleetOptions
from rushsaddle.fleet.table import DIGEST_VECTOR, Entry, make_entry
from rushsaddle.fleet.target_list import TargetList
from rushsaddle.fleet.wire import MAX_ENTRIES, Kind, Message, State, Update, encode, mac, signed
from rushsaddle.node import GC_THRESHOLDS

from .table import show

KEY = b"a key that is only for this"
SOURCE = "127.0.0.1:9"  # no socket is bound there
ME = "127.0.0.1:10"


def place(n: int) -> str:
    """The address of simulated member ``n``."""
    return f"10.{n // 62500}.{n // 250 % 250}.{n % 250 + 1}:7400"


class StandaloneService:
    """A membership service without a running loop: a filled table, a socket to read from, a discarded log."""

    def __init__(self, count: int, log: int, clock: Clock | None = None) -> None:
        loop = Loop(clock or Clock(), lambda error: None)
        where = FleetOptions(("127.0.0.1", 0), None, (), KEY, Rules())
        self.fleet = Fleet(loop, Log("n", loop.now_us, log), where, TargetList(SOURCE), lambda _: None,
                           lambda *_: None, Random(1), 0)
        self.peer_sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.service_sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        self.service_sock.bind(("127.0.0.1", 0))
        self.service_sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2**20)
        now = loop.now_us()
        self.members = self.fleet.members = Members(ME, now // 1000, (), where.rules, Random(2), now)
        for n in range(count):
            self.members.table.put(make_entry(place(n), 1, State.ALIVE, 2))
        self.members.table.put(make_entry(SOURCE, 1, State.ALIVE, 2))
        self.fleet._sock = self.peer_sock  # replies are sent on it

    def wake(self, data: list[bytes]) -> float:
        """Delivers the datagrams in one wake-up; returns milliseconds."""
        for payload in data:
            self.peer_sock.sendto(payload, self.service_sock.getsockname())
        began = time.perf_counter()
        self.fleet._read(self.service_sock, self.members)
        return (time.perf_counter() - began) * 1000

    def answer(self, leaf: str) -> float:
        """Answers one request for a page of the member list; returns milliseconds."""
        target = f"/members/1{leaf}"
        head = [("Host", "member"), ("X-Seal", mac(KEY, target.encode()).hex())]
        request = h11.Request(method="GET", target=target, headers=head)
        began = time.perf_counter()
        status, _ = self.fleet._answer(request)
        took = (time.perf_counter() - began) * 1000
        assert status == 200
        return took

    def close(self) -> None:
        self.peer_sock.close()
        self.service_sock.close()


def datagram(kind: Kind, number: int, updates: tuple[Update, ...] = (), vector: bytes = b"",
             leaves: bytes = b"", entries: tuple[Entry, ...] = ()) -> bytes:
    """Encodes one datagram from ``SOURCE``."""
    return encode(KEY, Message(
        2, kind, number, SOURCE, 1, updates=updates, root=7, vector=vector, leaves=leaves, entries=entries,
        max_version=2,
    ))


def wakes(count: int) -> dict[str, Callable[[], list[bytes]]]:
    """Functions that make the datagrams of one wake-up, by kind.  Each wake-up needs a fresh service:
    entries are new, or newly suspected, only the first time."""
    false_digests = DIGEST_VECTOR.pack(*range(256))
    known_entries = [make_entry(place(n), 1, State.ALIVE, 2) for n in range(min(count, MAX_ENTRIES - 22))]
    new = [place(count + n) for n in range(MAX_READS * MAX_ENTRIES)]
    suspicions = tuple(Update(place(n), 1, State.SUSPECT, 5) for n in range(count))

    def invented() -> list[bytes]:
        entries = [make_entry(p, 1, State.ALIVE, 2) for p in new]
        each = MAX_ENTRIES
        parts = [tuple(entries[n : n + each]) for n in range(0, len(entries), each)]
        return [datagram(Kind.ENTRIES, 1, entries=part) for part in parts]

    return {
        "pings": lambda: [datagram(Kind.PING, n) for n in range(MAX_READS)],
        "vectors": lambda: [datagram(Kind.COMPARE, n, vector=false_digests) for n in range(MAX_READS)],
        "entries known, leaves whole": lambda: [
            datagram(Kind.ENTRIES, n, leaves=bytes(range(200)), entries=tuple(known_entries))
            for n in range(MAX_READS)],
        "entries invented": invented,
        "suspicions": lambda: [
            datagram(Kind.PING, n, suspicions[60 * n : 60 * n + 60]) for n in range(MAX_READS)],
        "joins": lambda: [datagram(Kind.JOIN, n) for n in range(MAX_READS)],
        "nonsense with the key": lambda: [
            signed(KEY, b"\x95\x02" + os.urandom(1000)) for _ in range(MAX_READS)],
    }


def measure_size(count: int, rounds: int, log: int) -> dict[str, float]:
    row: dict[str, float] = {"others": count}

    def record(name: str, times: list[float]) -> None:
        row[f"{name}, median, ms"], row[f"{name}, worst, ms"] = statistics.median(times), max(times)

    service = StandaloneService(count, log)
    record("answer, first page", [service.answer("") for _ in range(rounds)])
    record("answer, a later page", [service.answer("/128") for _ in range(rounds)])
    service.close()
    for name, made in wakes(count).items():
        data, times = made(), []
        for _ in range(rounds):
            service = StandaloneService(count, log)
            times.append(service.wake(data))
            service.close()
        record(f"wake of {MAX_READS}: {name}", times)
    return row


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--sizes", type=int, nargs="+", default=[312, 1250, 5000, 10000])
    parser.add_argument("--rounds", type=int, default=50)
    parser.add_argument("--json")
    args = parser.parse_args()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    rows = []
    with open(os.devnull, "wb") as log:
        for count in args.sizes:
            rows.append(measure_size(count, args.rounds, log.fileno()))
            print(json.dumps(rows[-1]), file=sys.stderr, flush=True)
    for row in rows:
        show([row], None)
    if args.json:
        Path(args.json).write_text(json.dumps(rows) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
