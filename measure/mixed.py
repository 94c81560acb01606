"""Runs real processes and simulated members in one fleet, on loopback and in real time.

    python -m measure.hollow mixed [--real 20] [--hollow 200] [--for-s 20] [--json FILE]
    python -m measure.mixed FILE    # the process of the simulated members

The simulated members run the program's decisions and codec, each with its own socket, all in one process.
They are shown to be faithful by three checks: members of both kinds know all of both kinds, both detect dead
members of both kinds, and a simulated member receives as much per second from a real member as from a
simulated one.  FILE is JSON (``MixedConfig``).  Commands are lines on standard input: ``mark`` (resets the
counters), ``tell`` (returns the metrics), ``kill PLACE``, ``up PLACE`` (number of simulated members that hold
it for up); each is answered by a line of JSON.  The process ends at the end of its input.
"""

from __future__ import annotations

import argparse
import heapq
import json
import select
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from rushsaddle.core.list_entries import address
from rushsaddle.fleet.members import Members, Outgoing, Rules
from rushsaddle.fleet.wire import MAX_MESSAGE_BYTES, decode, encode

from .link import free_places
from .rig import Fleet, Node, memory_mb, raise_descriptor_limit, wait_until

MAX_READS = 64  # datagrams read from one socket before the next socket is served
MIN_POLL_S = 0.0005
MAX_MEMBERS = 1000
MAX_PROCESSES = 200
PLAIN_NODES = 3  # real nodes without membership, as the baseline of processor time


class MixedConfig(msgspec.Struct):
    """Settings of the simulated members' process.

    ``real`` are the places (ip:port) of the real members, ``places`` those of the simulated ones.
    """

    key: str
    seed: int
    seeds: list[str]
    real: list[str]
    places: list[str]


class SimulatedMembers:
    """The simulated members, keyed by number, with their sockets and timers."""

    def __init__(self, config: MixedConfig) -> None:
        self.key = config.key.encode()
        self.config = config
        self.members: dict[int, Members] = {}
        self.socks: dict[int, socket.socket] = {}
        self.epoll = select.epoll()
        self.by_descriptor: dict[int, int] = {}
        self.timers: list[tuple[int, int]] = []
        random, now = Random(config.seed), self.now_us()
        for n, place in enumerate(config.places):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            sock.bind(address(place))
            self.socks[n] = sock
            self.by_descriptor[sock.fileno()] = n
            self.epoll.register(sock.fileno(), select.EPOLLIN)
            draw = Random(random.getrandbits(64))
            self.members[n] = Members(place, now // 1000, config.seeds, Rules(), draw, now)
            heapq.heappush(self.timers, (now, n))
        self.mark()

    @staticmethod
    def now_us() -> int:
        return time.time_ns() // 1000

    def mark(self) -> None:
        """Resets the counters."""
        self.measured_since = time.monotonic()
        self.own_ns = self.sent = self.sent_bytes = self.undecodable = self.stall_ns = 0
        self.received: Counter[str] = Counter()  # datagrams by source
        self.received_bytes: Counter[str] = Counter()

    def run(self) -> None:
        """Serves the members and the commands until standard input ends."""
        self.epoll.register(sys.stdin.fileno(), select.EPOLLIN)
        print(json.dumps("ok"), flush=True)
        while True:
            wait = (self.timers[0][0] - self.now_us()) / 1e6 if self.timers else 1.0
            for descriptor, _ in self.epoll.poll(max(MIN_POLL_S, wait)):
                if descriptor == sys.stdin.fileno():
                    line = sys.stdin.readline()
                    if not line:
                        return
                    print(json.dumps(self.command(line.split())), flush=True)
                elif descriptor in self.by_descriptor:
                    self.read(self.by_descriptor[descriptor])
            self.tick()

    def tick(self) -> None:
        now = self.now_us()
        while self.timers and self.timers[0][0] <= now:
            _, n = heapq.heappop(self.timers)
            member = self.members.get(n)
            if member is None:
                continue
            if now >= member.due_us:
                began = time.process_time_ns()
                out = member.tick(now)
                self.add_cpu_time(began)
                self.send(n, out)
                member.changes.clear()
            heapq.heappush(self.timers, (member.due_us, n))

    def read(self, n: int) -> None:
        sock, member = self.socks[n], self.members[n]
        due = member.due_us
        for _ in range(MAX_READS):
            try:
                data, _ = sock.recvfrom(MAX_MESSAGE_BYTES + 1)
            except BlockingIOError:
                break
            except OSError:  # the ICMP error of an earlier datagram is raised by the next call
                continue
            began = time.process_time_ns()
            message = decode(self.key, data)
            if message is None:
                self.undecodable += 1
                continue
            out = member.receive(self.now_us(), message)
            self.add_cpu_time(began)
            self.received[message.source] += 1
            self.received_bytes[message.source] += len(data)
            self.send(n, out)
            member.changes.clear()
        if member.due_us < due:
            heapq.heappush(self.timers, (member.due_us, n))

    def add_cpu_time(self, began: int) -> None:
        ns = time.process_time_ns() - began
        self.own_ns += ns
        self.stall_ns = max(self.stall_ns, ns)

    def send(self, n: int, out: list[Outgoing]) -> None:
        for place, message in out:
            began = time.process_time_ns()
            data = encode(self.key, message)
            self.own_ns += time.process_time_ns() - began
            self.sent += 1
            self.sent_bytes += len(data)
            try:
                self.socks[n].sendto(data, address(place))
            except OSError:  # counts as lost in the network
                continue

    # ------------------------------------------------------------ commands

    def command(self, words: list[str]) -> Any:
        match words:
            case ["mark"]:
                self.mark()
                return "ok"
            case ["tell"]:
                return self.metrics()
            case ["kill", place]:
                n = self.config.places.index(place)
                sock = self.socks.pop(n)
                del self.by_descriptor[sock.fileno()], self.members[n]
                self.epoll.unregister(sock.fileno())
                sock.close()
                return "ok"
            case ["up", place]:
                ups = [any(o.place == place for o in m.up()) for m in self.members.values() if m.me != place]
                return sum(ups)
        raise ValueError(words)

    def metrics(self) -> dict[str, Any]:
        """Rates per second and member since ``mark``; ``heard_*``: received by the simulated members."""
        seconds = time.monotonic() - self.measured_since
        count, all_others = len(self.members), len(self.members) + len(self.config.real) - 1
        real = set(self.config.real)

        def each(of: Counter[str], kind: bool, listeners: int) -> list[float]:
            """What each source sends to all, extrapolated from what the simulated members receive."""
            places = real if kind else {m.me for m in self.members.values()}
            return [of[place] / seconds * all_others / max(1, listeners) for place in sorted(places)]

        return {
            "seconds": seconds, "members": count, "real": len(real), "strangers": self.undecodable,
            "sizes": sorted(m.size for m in self.members.values()),
            "cpu_ms_s": self.own_ns / 1e6 / seconds / max(1, count), "stall_ms": self.stall_ns / 1e6,
            "sent_datagrams_s": self.sent / seconds / max(1, count),
            "sent_bytes_s": self.sent_bytes / seconds / max(1, count),
            "heard_datagrams_real": each(self.received, True, count),
            "heard_datagrams_hollow": each(self.received, False, count - 1),
            "heard_bytes_real": each(self.received_bytes, True, count),
            "heard_bytes_hollow": each(self.received_bytes, False, count - 1),
        }


class SimulatorProcess:
    """Starts and controls the process of the simulated members."""

    def __init__(self, folder: Path, config: MixedConfig) -> None:
        file = folder / "hollow.json"
        file.write_bytes(msgspec.json.encode(config))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "measure.mixed", str(file)], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, text=True,
        )
        self._read_reply()

    def _read_reply(self) -> Any:
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError("the process of the simulated members has ended")
        return json.loads(line)

    def send_command(self, command: str) -> Any:
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        return self._read_reply()

    def stop(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait(10)


class MixedFleet:
    """``real`` processes, of which the first three are the seeds, and ``hollow`` simulated members."""

    def __init__(self, folder: Path, real: int, hollow: int) -> None:
        self.fleet = Fleet(folder)
        self.simulator: SimulatorProcess | None = None
        try:
            for node in self.fleet.start(real, group=real + hollow, spawn=False):
                node.operator["RUSHSADDLE_FLEET__PATIENCE"] = "1ms"  # there is no list service to wait for
                node.spawn()
            # The processes may not have bound their addresses yet.
            self.simulated_places = free_places(hollow, taken=[*self.fleet.places, *self.fleet.bind_places])
            self.simulator = SimulatorProcess(folder, MixedConfig(
                self.fleet.key.decode(), 1, self.fleet.places[:3], self.fleet.places, self.simulated_places,
            ))
        except BaseException:
            self.stop()
            raise

    def ask(self, command: str) -> Any:
        assert self.simulator is not None
        return self.simulator.send_command(command)

    def known_by_real(self) -> list[int]:
        """The number of others that each running real member holds for up."""
        return [sum(state in ("alive", "suspect") for state in self.fleet.states(n).values())
                for n, node in enumerate(self.fleet.nodes) if node.process.poll() is None]

    def held_up_by_real(self, place: str) -> int:
        return sum(self.fleet.states(n).get(place) in ("alive", "suspect")
                   for n, node in enumerate(self.fleet.nodes) if node.process.poll() is None)

    def has_converged(self) -> bool:
        hollow = self.ask("tell")["sizes"]
        running = sum(node.process.poll() is None for node in self.fleet.nodes)
        size = len(hollow) + running
        return set(hollow) == {size} and set(self.known_by_real()) == {size - 1}

    def stop(self) -> None:
        self.fleet.stop()
        if self.simulator is not None:
            self.simulator.stop()


def cpu_s(node: Node) -> float:
    """Processor time: in nanoseconds where /proc has schedstat, else in clock ticks."""
    try:
        return int(Path(f"/proc/{node.process.pid}/schedstat").read_text().split()[0]) / 1e9
    except OSError:
        return node.cpu_s()


def measure_fleet(folder: Path, real: int, hollow: int, seconds: float) -> dict[str, Any]:
    """Runs the fleet once.  Times are real seconds, found by polling: as exact as one round of queries."""
    plain = Fleet(folder / "plain")
    plain.folder.mkdir()
    began = time.monotonic()
    mixed = MixedFleet(folder, real, hollow)
    try:
        plain.start(PLAIN_NODES, members=False)
        wait_until("all know all", mixed.has_converged)
        row: dict[str, Any] = {"real": real, "hollow": hollow, "all_know_all_s": time.monotonic() - began}
        time.sleep(5.0)  # broadcasts of the start are still being sent
        mixed.ask("mark")
        nodes = [*mixed.fleet.nodes, *plain.nodes]
        at, before = time.monotonic(), [cpu_s(node) for node in nodes]
        time.sleep(seconds)
        passed = time.monotonic() - at
        spent = [1000 * (cpu_s(node) - b) / passed for node, b in zip(nodes, before, strict=True)]
        metrics = mixed.ask("tell")
        row |= {key: statistics.median(value) if isinstance(value, list) else value
                for key, value in metrics.items() if key not in ("sizes", "real", "members")}
        row |= {
            "cpu_real_ms_s": statistics.median(spent[:real]),
            "cpu_plain_ms_s": statistics.median(spent[real:]),
            "hollow_mb": memory_mb(mixed.simulator.process.pid) if mixed.simulator else 0.0,
            "real_mb": statistics.median(node.memory_mb() for node in mixed.fleet.nodes),
        }
        row |= {"known_by_real": mixed.known_by_real(), "known_by_hollow": [n - 1 for n in metrics["sizes"]]}
        dead_real, dead_hollow = mixed.fleet.places[-1], mixed.simulated_places[-1]
        mixed.fleet.nodes[-1].kill()
        mixed.ask(f"kill {dead_hollow}")
        killed = time.monotonic()
        for name, place in (("real", dead_real), ("hollow", dead_hollow)):
            wait_until(f"the dead {name} member is detected by the simulated members", lambda place=place: not  # type: ignore[misc]
                  mixed.ask(f"up {place}"))
            row[f"dead_{name}_by_hollow_s"] = time.monotonic() - killed
            wait_until(f"the dead {name} member is detected by the real members", lambda place=place: not  # type: ignore[misc]
                  mixed.held_up_by_real(place))
            row[f"dead_{name}_by_real_s"] = time.monotonic() - killed
        row["nobody_else_is_gone"] = mixed.has_converged()
        return row
    finally:
        mixed.stop()
        plain.stop()


def main(args: argparse.Namespace) -> int:
    """``args`` has ``real``, ``hollow``, ``for_s`` and ``json``; returns 2 if a size is out of range."""
    raise_descriptor_limit()
    if not 1 <= args.real <= MAX_PROCESSES - PLAIN_NODES or not 2 <= args.hollow <= MAX_MEMBERS:
        print(f"refused: 1 to {MAX_PROCESSES - PLAIN_NODES} real, 2 to {MAX_MEMBERS} hollow", file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory() as folder:
        row = measure_fleet(Path(folder), args.real, args.hollow, args.for_s)
    print("| figure | value |\n| --- | --- |")
    for key, value in row.items():
        if isinstance(value, list):
            value = f"{min(value)} to {max(value)}, of {len(value)}"
        print(f"| {key} | {value:.3f} |" if isinstance(value, float) else f"| {key} | {value} |")
    if args.json:
        Path(args.json).write_text(json.dumps([row]) + "\n")
    return 0


if __name__ == "__main__":
    SimulatedMembers(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=MixedConfig)).run()
