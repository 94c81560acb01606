"""Simulates gossip membership in virtual time: detection time, false deaths and bytes.

    python -m measure.members [--sizes 20 60 200] [--seeds 5] [--losses 0 0.05] [--chart FILE] [--json FILE]

In each run all members join through three seeds; then some are killed, one every two seconds, without any
partition.  Datagrams take 1 to 5 ms and are lost at the rate of ``--losses``.  The decisions are those of the
program (``rushsaddle.fleet.members``), the bytes those of its codec.
"""

from __future__ import annotations

import argparse
import heapq
import json
import statistics
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from rushsaddle.fleet.members import Members, Outgoing, Rules
from rushsaddle.fleet.wire import State, encode

SECOND = 1_000_000
KEY = b"sixteen bytes or more"
SEEDS = 3
KILLS = 10
SETTLE_S = 12  # before the first member is killed
INFINITY = float("inf")


class Network:
    """Members and the datagrams between them; ``cut(source, place)`` is true for a dropped datagram.

    Times are in microseconds.  Subclasses may override the members' addresses and the choice of seeds
    (``place``, ``seeds_of``), the delay of a datagram (``delay_us``), and the steps that send and deliver
    datagrams, run timers and record changes (``_send``, ``_hear``, ``_tick``, ``_changed``).
    """

    def __init__(self, size: int, seed: int, loss: float = 0.0, rules: Rules | None = None,
                 weigh: bool = False) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.rules = rules or Rules()
        self.weigh = weigh
        self.now = 0
        self.bytes = 0
        self.messages = 0
        self.cut: Callable[[str, str], bool] = lambda source, place: False
        self.paused: dict[str, list[tuple[int, Any]]] = {}  # queued datagrams of paused members
        self.members: dict[str, Members] = {}
        self.state_changes: list[tuple[int, str, str, State]] = []  # time, observer, subject, state
        self._queue: list[tuple[int, int, str, Any]] = []
        self._count = 0
        self._timers: dict[str, float] = {}  # earliest pending timer of each member
        self.seeds = self.seeds_of(size)
        for n in range(size):
            self.start(self.place(n))

    @staticmethod
    def place(n: int) -> str:
        return f"10.0.{n // 250}.{n % 250 + 1}:7400"

    def seeds_of(self, size: int) -> list[str]:
        return [self.place(n) for n in range(SEEDS)]

    def delay_us(self, source: str, place: str) -> int:
        return self.random.randrange(1_000, 5_000)

    def start(self, place: str) -> None:
        born = 1_000_000 + self.now // 1000
        self.members[place] = Members(
            place, born, self.seeds, self.rules, Random(self.random.getrandbits(64)), self.now
        )
        first = self.now + self.random.randrange(SECOND // 4)
        self._timers[place] = first
        self._schedule(first, place, None)

    def kill(self, place: str) -> None:
        del self.members[place]

    def pause(self, place: str) -> None:
        self.paused[place] = []

    def resume(self, place: str) -> None:
        for _, message in self.paused.pop(place):
            self._schedule(self.now, place, message)
        self._schedule(self.now + 1, place, None)

    def _schedule(self, time: int, place: str, message: Any) -> None:
        self._count += 1
        heapq.heappush(self._queue, (time, self._count, place, message))

    def run(self, seconds: float) -> None:
        self.run_to(self.now + int(seconds * SECOND))

    def run_to(self, until: int) -> None:
        queue, pop, members, timers = self._queue, heapq.heappop, self.members, self._timers
        while queue and queue[0][0] <= until:
            time, _, place, message = pop(queue)
            if time > self.now:
                self.now = time
            if place in self.paused:
                self.paused[place].append((time, message))
                continue
            member = members.get(place)
            if member is None:
                continue
            if message is not None:
                self._send(place, self._hear(place, member, message))
            else:
                if time >= timers[place]:
                    timers[place] = INFINITY
                if self.now >= member.due_us:
                    self._send(place, self._tick(place, member))
            if member.changes:
                self._changed(place, member)
                member.changes.clear()
            if member.due_us < timers[place]:  # a later timer is set when the earlier one fires
                timers[place] = member.due_us
                self._schedule(member.due_us, place, None)
        self.now = until

    def _hear(self, place: str, member: Members, message: Any) -> list[Outgoing]:
        return member.receive(self.now, message)

    def _tick(self, place: str, member: Members) -> list[Outgoing]:
        return member.tick(self.now)

    def _changed(self, place: str, member: Members) -> None:
        self.state_changes += [(self.now, place, change.place, change.after) for change in member.changes]

    def _send(self, source: str, out: list[Outgoing]) -> None:
        for place, message in out:
            self.messages += 1
            if self.weigh:
                self.bytes += len(encode(KEY, message))
            if self.random.random() >= self.loss and not self.cut(source, place):
                self._schedule(self.now + self.delay_us(source, place), place, message)

    def knows(self, place: str, state: State) -> int:
        """The number of other members that hold ``place`` in ``state``."""
        return sum(m.state_of(place) is state for p, m in self.members.items() if p != place)


def measure_run(size: int, seed: int, loss: float) -> dict[str, Any]:
    network = Network(size, seed, loss)
    joined = INFINITY
    while network.now < SETTLE_S * SECOND:
        network.run(0.1)
        if joined == INFINITY and all(m.size == size for m in network.members.values()):
            joined = network.now / SECOND
    network.weigh, network.bytes, network.messages = True, 0, 0
    quiet = 5.0
    network.run(quiet)
    rate, network.weigh = network.bytes / quiet / size, False
    killed: dict[str, int] = {}
    for place in network.random.sample(sorted(network.members)[SEEDS:], KILLS):
        killed[place] = network.now
        network.kill(place)
        network.run(2.0)
    network.run(15.0)
    wrong = sum(
        state is State.DEAD and not (of in killed and when >= killed[of])
        for when, _, of, state in network.state_changes
    )
    # Members killed later also detect some deaths; the survivors must detect all of them.
    left = [
        (when - killed[of]) / SECOND for when, by, of, state in network.state_changes
        if state is State.DEAD and of in killed and when >= killed[of] and by in network.members
    ]
    to_find = len(network.members) * KILLS
    found = sorted(left) + [INFINITY] * (to_find - len(left))
    return {
        "members": size, "loss": loss, "seed": seed, "joined_s": joined, "bytes_s": rate,
        "found_median_s": statistics.median(found), "found_99_s": found[int(0.99 * len(found))],
        "found": len(left), "to_find": to_find, "wrong": wrong,
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[20, 60, 200])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--losses", type=float, nargs="+", default=[0.0, 0.05])
    parser.add_argument("--chart")
    parser.add_argument("--json")
    args = parser.parse_args()
    rows: list[dict[str, Any]] = []
    print("| members | loss | joined, s | found, median s | found, 99 in 100, s | found | "
          "wrongly dead | bytes/s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for size in args.sizes:
        for loss in args.losses:
            new = [measure_run(size, seed, loss) for seed in range(args.seeds)]
            rows += new

            def spread(key: str, of: list[dict[str, Any]] = new) -> str:
                values = [row[key] for row in of]
                return f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"

            found = sum(row["found"] for row in new) / sum(row["to_find"] for row in new)
            print(f"| {size} | {loss:g} | {spread('joined_s')} | {spread('found_median_s')} | "
                  f"{spread('found_99_s')} | {found:.1%} | {sum(row['wrong'] for row in new)} | "
                  f"{spread('bytes_s')} |", flush=True)
    if args.json:
        Path(args.json).write_text(json.dumps(rows) + "\n")
    if args.chart:
        draw(rows, args.chart)
    return 0


def draw(rows: list[dict[str, Any]], file: str) -> None:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
    for loss in sorted({row["loss"] for row in rows}):
        chosen = [row for row in rows if row["loss"] == loss]
        sizes = sorted({row["members"] for row in chosen})
        for axis, key in zip(axes, ("found_99_s", "bytes_s"), strict=True):
            values = [[row[key] for row in chosen if row["members"] == size] for size in sizes]
            middle = [statistics.median(v) for v in values]
            low = [m - min(v) for m, v in zip(middle, values, strict=True)]
            high = [max(v) - m for m, v in zip(middle, values, strict=True)]
            axis.errorbar(sizes, middle, yerr=[low, high], marker="o", label=f"loss {loss:g}")
    axes[0].set_ylabel("99 in 100 know of a dead member, s")
    axes[1].set_ylabel("bytes a second and member")
    for axis in axes:
        axis.set_xlabel("members")
        axis.set_ylim(bottom=0)
        axis.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(file, dpi=120)


if __name__ == "__main__":
    sys.exit(main())
