"""A seeded soak: real nodes under load, kills, signals in series, crowds and abusive clients.

    python -m measure.soak [--first 1 --count 50] [--seeds 1 2 3] [--seconds 14] [--memory-mb 96] ...

Each seed draws a plan, which is printed with its verdict and replayed by the seed: a crowd of clients beside
the load, when the process gets SIGHUP, SIGSTOP and SIGCONT, and whether it is restarted (SIGTERM, then
SIGKILL at the earliest time that the platform allows), killed outright, or replaced by a newer process.
Clients use their open connections until the kill.  Clients' and workers' records alone give the verdict:

- memory: the resident memory of all processes of the node, added up, against the limit;
- twice: a ``bulk-batch`` that more than one worker has taken, or one worker twice;
- lost: a request that ended without an answer, except at an outright kill or, of those written over 0.7 s
  after SIGTERM, at its SIGKILL, and except those that were closed unread (the client asks once more);
- ended: a process that ended without being told to, or a wrong exit code.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random

from .rig import Caller, raise_descriptor_limit
from .site import READY, Site
from .strain import CROWDS, Crowd, MemoryWatch

KILL_AFTER_TERM_S = 3.7  # longest deadline, capped at 3 s, and 0.7 s
COUNTED_AFTER_TERM_S = 0.7  # requests written later may be lost at the kill
RELOAD_AFTER_READY_S = 1.0
STOP_S = 0.1  # a node may be held up for 0.15 s
CALLERS = 12
REQUEST_TIMEOUT_S = 12.0
READY_TIMEOUT_S = 20.0


@dataclass(slots=True)
class Plan:
    """What happens in one run."""

    seed: int
    crowd: str  # a key of CROWDS; empty: none
    crowd_size: int
    ending: str  # how the process ends meanwhile: "none", "term", "kill" or "replace"
    end_at_s: float
    hangups: list[float] = field(default_factory=list)  # times of SIGHUP
    stops: list[float] = field(default_factory=list)  # times of SIGSTOP, each followed by SIGCONT


def draw(seed: int, sockets: int, seconds: float) -> Plan:
    """The plan of a seed."""
    random = Random(f"soak {seed}")
    crowd = random.choice(["", "", *CROWDS])
    return Plan(
        seed, crowd, random.randint(sockets // 8, (sockets - 40) // 2 - 2 * CALLERS),
        random.choice(["none", "term", "kill", "replace", "replace"]),
        random.uniform(1.5, max(1.6, seconds - 8.0)),
        sorted(random.uniform(1.2, seconds) for _ in range(random.choice([0, 1, 5]))),
        sorted(random.uniform(1.2, seconds) for _ in range(random.choice([0, 0, 2]))),
    )


@dataclass(slots=True)
class Record:
    """One request of a client within the terms."""

    name: str
    cls: str
    sent: float  # Unix seconds
    ended: float
    status: int  # 0: the connection ended without an answer


class Load(threading.Thread):
    """Clients within the terms, each with a connection of its own that it keeps, until ``stop``."""

    def __init__(self, port: int, seed: int) -> None:
        super().__init__(daemon=True)
        self.port = port
        self.seed = seed
        self.records: list[Record] = []
        self._stopped = threading.Event()
        self.start()

    def run(self) -> None:
        asyncio.run(self._run())

    async def _run(self) -> None:
        await asyncio.gather(*(self._client(n) for n in range(CALLERS)))

    async def _client(self, number: int) -> None:
        random, caller, count = Random(f"{self.seed} {number}"), Caller(self.port), 0
        while not self._stopped.is_set():
            cls = "bulk-batch" if random.random() < 0.3 else "single-text"
            size = random.choice([4, 4, 4, 60_000])
            for _ in range(2):  # a connection closed unread: once more, on a new one
                name, kept = f"{self.seed}-{number}-{count}", bool(caller.idle)
                count += 1
                headers = {"X-Request-ID": name, "X-Timeout": "5.0", "Idempotency-Key": name}
                sent = time.time()
                try:
                    reply = await asyncio.wait_for(
                        caller.ask("POST", f"/{cls}", headers, b"x" * size), REQUEST_TIMEOUT_S
                    )
                    status = reply.status
                except TimeoutError:
                    status = -1
                self.records.append(Record(name, cls, sent, time.time(), status))
                if status != 0 or not kept:
                    break
            await asyncio.sleep(random.uniform(0.0, 0.15) + (0.05 if status <= 0 else 0.0))
        for _, writer in caller.idle:
            writer.close()

    def stop(self) -> None:
        self._stopped.set()
        self.join()


class Crowds(threading.Thread):
    """The plan's crowd, connected anew as often as its requests have ended, until ``stop``."""

    ROUND_S = 3.2  # an incomplete request is over after 3 s

    def __init__(self, port: int, plan: Plan) -> None:
        super().__init__(daemon=True)
        self.port = port
        self.plan = plan
        self._stopped = threading.Event()
        self.start()

    def run(self) -> None:
        while self.plan.crowd and not self._stopped.is_set():
            try:
                crowd = Crowd(self.port, self.plan.crowd_size, CROWDS[self.plan.crowd])
            except OSError:  # the backlog is full, or was dropped with its process
                continue
            self._stopped.wait(self.ROUND_S)
            crowd.stop()

    def stop(self) -> None:
        self._stopped.set()
        self.join()


class Run:
    """One seed: plays its plan and judges the records."""

    def __init__(self, plan: Plan, folder: Path, memory_limit_mb: int, sockets: int) -> None:
        self.plan = plan
        self.memory_limit_mb = memory_limit_mb
        self.site = Site(folder, sockets=sockets, memory_mb=memory_limit_mb)
        self.term_at = self.kill_at = float("inf")  # Unix seconds
        self.outright = False
        self.faults: list[str] = []

    def play(self, seconds: float) -> dict[str, object]:
        """Play the plan for ``seconds``; returns its verdict."""
        site, plan = self.site, self.plan
        began = time.monotonic()
        site.start_ready()
        watch = MemoryWatch(lambda: [node.pid for node in site.nodes if node.poll() is None])
        load = Load(site.port, plan.seed)
        crowds = Crowds(site.port, plan)
        signals = threading.Thread(target=self._signals, args=[began], daemon=True)
        signals.start()
        self._sleep_until(began + plan.end_at_s)
        self._end()
        self._sleep_until(began + seconds)
        signals.join()
        load.stop()
        peak_mb = watch.stop()
        crowds.stop()
        self._judge(load.records, peak_mb)
        statuses = Counter(record.status for record in load.records)
        return {**asdict(plan), "peak_mb": round(peak_mb, 1), "statuses": dict(sorted(statuses.items())),
                "faults": self.faults}

    @staticmethod
    def _sleep_until(at: float) -> None:
        time.sleep(max(0.0, at - time.monotonic()))

    def _signals(self, began: float) -> None:
        events = [(at, signal.SIGHUP) for at in self.plan.hangups]
        events += [(at, signal.SIGSTOP) for at in self.plan.stops]
        for at, number in sorted(events):
            self._sleep_until(began + at)
            node = self.site.nodes[-1]
            if number == signal.SIGHUP and not self._may_reload(len(self.site.nodes) - 1):
                continue
            with suppress(ProcessLookupError):
                node.send_signal(number)
                if number == signal.SIGSTOP:
                    time.sleep(STOP_S)
                    node.send_signal(signal.SIGCONT)

    def _may_reload(self, number: int) -> bool:
        """SIGHUP comes neither in the first second of a process nor before it is ready."""
        ready = [line for line in self.site.log(number).splitlines() if READY in line]
        return bool(ready) and time.time() >= float(json.loads(ready[0])["time"]) + RELOAD_AFTER_READY_S

    def _end(self) -> None:
        if self.plan.ending == "none":
            return
        site, old = self.site, self.site.nodes[0]
        if self.plan.ending == "kill":
            self.outright, self.kill_at = True, time.time()
            old.kill()
            old.wait()
            site.start_ready()
            return
        if self.plan.ending == "replace":
            number = site.start()
            site.wait(number, '"event":"ready"')
            with suppress(RuntimeError):
                site.wait(0, "newer process serves")
        self.term_at = time.time()
        old.send_signal(signal.SIGTERM)
        ended_early = False
        with suppress(subprocess.TimeoutExpired):
            if old.wait(KILL_AFTER_TERM_S) != 0:
                self.faults.append(f"ended with {old.returncode}")
            ended_early = True
        self.kill_at = time.time()
        if not ended_early:
            old.kill()
            old.wait()
        if self.plan.ending == "term":
            site.start_ready()

    def _excused(self, record: Record) -> bool:
        """Whether the platform's kill may have ended this request."""
        if not record.sent <= self.kill_at <= record.ended + 0.2:
            return False
        return self.outright or record.sent > self.term_at + COUNTED_AFTER_TERM_S

    def _judge(self, records: list[Record], peak_mb: float) -> None:
        if peak_mb >= self.memory_limit_mb:
            self.faults.append(f"memory: {peak_mb:.1f} MB")
        for number, node in enumerate(self.site.nodes):
            told = number == 0 and self.plan.ending != "none"
            if node.poll() is not None and not told:
                self.faults.append(f"ended: process {number} with {node.returncode}")
            log = self.site.log(number)
            if "Traceback" in log or "code failed" in log or "module failed" in log:
                self.faults.append(f"failed: process {number}: {_failure(log)}")
        by_name = {record.name: record for record in records}
        taken = Counter((r[1], r[2]) for r in self.site.workers.stop() if r[4] == "taken")
        for (name, cls), count in taken.items():
            if cls == "bulk-batch" and count > 1:
                self.faults.append(f"twice: {name}")
        ran = {name for name, _ in taken}
        for record in by_name.values():
            unread = record.status == 0 and record.name not in ran
            if record.status <= 0 and not unread and not self._excused(record):
                after_term = record.sent - self.term_at
                self.faults.append(
                    f"lost: {record.name} {record.cls} status {record.status}, sent {after_term:.2f} s "
                    f"after SIGTERM, took {record.ended - record.sent:.2f} s"
                )


def _failure(log: str) -> str:
    return next(line for line in log.splitlines() if "failed" in line or "Traceback" in line)[:300]


def play(seed: int, seconds: float, memory_limit_mb: int, sockets: int) -> dict[str, object]:
    """Play one seed in a folder of its own, which is kept if a fault was found."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run = Run(draw(seed, sockets, seconds), folder, memory_limit_mb, sockets)
    try:
        found = run.play(seconds)
    finally:
        run.site.stop()
    if run.faults:
        found["folder"] = str(folder)
    else:
        shutil.rmtree(folder)
    return found


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description="A seeded soak of real processes.")
    parser.add_argument("--seeds", type=int, nargs="*", default=[])
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=14.0)
    parser.add_argument("--memory-mb", type=int, default=96)
    parser.add_argument("--sockets", type=int, default=512)
    options = parser.parse_args(arguments)
    raise_descriptor_limit()
    broken = 0
    for seed in [*options.seeds, *range(options.first, options.first + options.count)]:
        found = play(seed, options.seconds, options.memory_mb, options.sockets)
        broken += bool(found["faults"])
        print(json.dumps(found), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
