"""Finds requests sent to draining servers in the journal and in node logs, and measures a node's size.

    python -m measure.leaving plays [--kind KIND]     runs of this kind in the journal: rules broken, faults
    python -m measure.leaving logs FOLDER...          branches to a server after it was announced as draining
    python -m measure.leaving size 50 200 1024        a node with so many servers, in a group of so many nodes
"""

from __future__ import annotations

import argparse
import json
import socket
import statistics
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

from .fleet import JOURNAL
from .rig import SETTINGS, Node, memory_mb

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b'
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
KEEPALIVE_S = 0.5  # interval of the empty lines of a watch
POLL_S = 0.02


def show_plays(kind: str) -> None:
    """Prints every real run of a kind of day in the journal."""
    print("| at | site | day | seed | nodes, servers | program | drains broken, faults | served |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for path in sorted(JOURNAL.glob("*.json")):
        entry: dict[str, Any] = json.loads(path.read_text())
        for day in entry.get("days") or ():
            if str(day.get("name", "")).split("-")[0] == kind and entry["cmd"] == "real":
                size = f"{day['nodes']}, {day['servers']}"
                broken = f"{day['rules']['drain']}, {int(bool(day['fault']))}"
                print(f"| {entry['at'][0][5:16]} | {entry['site']} | {day['name']} | {day['seed']} | {size} "
                      f"| {entry['why']} | {broken} | {day['served']:.3f} |")


def events(path: Path) -> Iterator[dict[str, Any]]:
    """Yields the events of a log file."""
    for line in path.read_text().splitlines():
        with suppress(ValueError):  # the test bench prefixes each line with its own time
            yield json.loads(line[line.index("{"):])


def delays_after_announcement(folder: Path) -> tuple[list[float], list[float]]:
    """Delays in one run, from the nodes' logs, in seconds.

    The first list has, for each node and draining server that still got a branch, the time from the
    announcement to the last branch drawn for it; the second has each process's time from start to first list.
    """
    late: list[float] = []
    first: list[float] = []
    for path in sorted(folder.glob("*.log")):
        announced: dict[str, float] = {}
        last: dict[str, float] = {}
        began: float | None = None
        for event in events(path):
            at = event["time"]
            if event["event"] == "list" and event["kind"] == "saved":
                announced, began = {}, at
            elif event["event"] == "list":
                if began is not None:
                    first.append(at - began)
                    began = None
                for uid in event.get("back", ()):
                    announced.pop(uid, None)
                for uid in event.get("leaving", ()):
                    announced.setdefault(uid, at)
            elif event["event"] == "transaction":
                for uid, _, drawn_ms in event["branches"]:
                    drawn = at - event["ms"] / 1000 + drawn_ms / 1000
                    if uid in announced and drawn > announced[uid]:
                        last[uid] = max(last.get(uid, 0.0), drawn - announced[uid])
        late += last.values()
    return late, first


def show_logs(folders: list[str]) -> None:
    """Prints the delays of each run's folder."""
    print("| play | first list after a start, s: median, most | servers that got a branch after the word |")
    print("| --- | --- | --- |")
    for name in folders:
        late, first = delays_after_announcement(Path(name))
        spread = f"{statistics.median(first):.2f}, {max(first):.2f}" if first else "-"
        print(f"| {Path(name).parent.name} | {spread} | {len(late)} |")


class StandInServers:
    """A list service, and one worker that serves every entry of its list, on loopback."""

    def __init__(self, changed: bytes) -> None:
        self.changed = changed
        self.silences = 0
        self.silent = False
        self.sockets = [socket.create_server(("127.0.0.1", 0), backlog=128) for _ in range(2)]
        self.service, self.worker = (f"127.0.0.1:{sock.getsockname()[1]}" for sock in self.sockets)
        for sock, serve in zip(self.sockets, (self._watch, self._job), strict=True):
            threading.Thread(target=self._accept, args=(sock, serve), daemon=True).start()

    def _accept(self, sock: socket.socket, serve: Any) -> None:
        with suppress(OSError):  # closed at the end
            while True:
                threading.Thread(target=serve, args=(sock.accept()[0],), daemon=True).start()

    def _watch(self, sock: socket.socket) -> None:
        with suppress(OSError), sock:
            sock.recv(65536)
            silences_at_start, sent, last_sent = self.silences, b"", 0.0
            while silences_at_start == self.silences and not self.silent:
                if sent != self.changed:
                    head = b"" if sent else HEAD
                    sock.sendall(head + b"%x\r\n%b\r\n" % (len(self.changed), self.changed))
                    sent, last_sent = self.changed, time.monotonic()
                elif time.monotonic() > last_sent + KEEPALIVE_S:
                    sock.sendall(b"1\r\n\n\r\n")
                    last_sent = time.monotonic()
                time.sleep(POLL_S)
            sock.recv(1)  # the connection stays open and silent; the other side has to detect that

    def go_silent(self) -> None:
        """Silences every open watch for good; new calls get no answer until ``resume``."""
        self.silences += 1
        self.silent = True

    def resume(self) -> None:
        """New calls are answered again."""
        self.silent = False

    def _job(self, sock: socket.socket) -> None:
        with suppress(OSError), sock:
            head = sock.recv(65536).lower()
            name = head.split(b"x-request-id: ")[1].split(b"\r\n")[0]
            body = b'{"id":"%b","state":"done","result":"sent"}\n' % name
            sock.sendall(ANSWER % (len(body), body))

    def stop(self) -> None:
        for sock in self.sockets:
            sock.close()


def measure_node_size(count: int, folder: Path, jobs: int = 40) -> dict[str, Any]:
    """Starts a node with ``count`` servers in a group of ``count``, announces half as draining, sends jobs.

    Returns the row of results; raises RuntimeError if the node does not receive the changed list in 30 s.
    """
    names = [f"s-{n:08x}" for n in range(count)]
    stands = StandInServers(b"")
    entry = {"endpoint": stands.worker, "az": "north", "model": "box", "pod_group": 0, "capacity_hint": 1.0,
             "boot_ms": 0}
    targets = [{"uid": name, **entry, "state": "ready"} for name in names]
    leaving = set(names[1::2])
    half = [{**t, "state": "draining" if t["uid"] in leaving else "ready"} for t in targets]
    stands.changed = json.dumps({"rev": 2, "all": True, "targets": half}, indent=2).encode() + b"\n"
    settings = {**SETTINGS, "GroupSize": count, "LoadReport": {"Names": ["x0"], "Via": "silent"},
                "Limits": {**SETTINGS["Limits"], "MayProbe": False},
                "Rules": {**SETTINGS["Rules"], "MustAskInUs": 2_000_000}}
    known = {"rev": 1, "all": True, "targets": targets}
    node = Node(folder, stands.service, {}, sockets=1024, settings=settings, known=known)
    try:
        pid = node.process.pid
        ready, ready_cpu = memory_mb(pid), node.thread_cpu_s()
        until = time.monotonic() + 30.0
        while not (lists := [e for e in node.events("list") if e["version"] == 2]):
            if time.monotonic() > until:
                raise RuntimeError("the node did not receive the changed list within 30 s")
            time.sleep(0.01)
        list_cpu, answers = node.thread_cpu_s(), []
        for n in range(jobs):
            caller = HTTPConnection("127.0.0.1", node.port, timeout=30.0)
            caller.request("POST", "/single-text", b"job", {"X-Request-ID": f"r{n}", "X-Timeout": "5"})
            answers.append(caller.getresponse().status)
            caller.close()
        until = time.monotonic() + 30.0
        while len(done := node.events("transaction")) < jobs and time.monotonic() < until:
            time.sleep(0.01)
        used = {branch[0] for event in done for branch in event["branches"]}
        return {
            "servers": count, "bytes": len(stands.changed), "entries": lists[0]["entries"],
            "leaving": len(lists[0]["leaving"]), "ready_mb": ready, "mb": memory_mb(pid),
            "start_s": ready_cpu,
            "list_ms": 1e3 * (list_cpu - ready_cpu),
            "job_ms": 1e3 * (node.thread_cpu_s() - list_cpu) / jobs,
            "served": answers.count(200), "jobs": jobs,
            "to_leaving": len(used & leaving),
        }
    finally:
        node.process.kill()
        node.process.wait()
        stands.stop()


def show_size(counts: list[int]) -> None:
    """Prints a row of results for each number of servers."""
    print("| servers, nodes | list, bytes | MB at ready | MB in the end | start, s of processor | list, ms "
          "| a job, ms |\n| --- | --- | --- | --- | --- | --- | --- |")
    for count in counts:
        with tempfile.TemporaryDirectory() as folder:
            row = measure_node_size(count, Path(folder))
        print("| {servers} | {bytes} | {ready_mb:.0f} | {mb:.0f} | {start_s:.2f} | {list_ms:.0f} "
              "| {job_ms:.1f} |".format(**row))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("what", choices=("plays", "logs", "size"))
    parser.add_argument("names", nargs="*")
    parser.add_argument("--kind", default="zone+mass")
    args = parser.parse_args()
    if args.what == "plays":
        show_plays(args.kind)
    elif args.what == "logs":
        show_logs(args.names)
    else:
        show_size([int(name) for name in args.names])


if __name__ == "__main__":
    main()
