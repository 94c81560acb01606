"""Costs of a node's decisions by size, measured within this process: no sockets, no other processes.

CPU time is that of this process, which runs little but the program's own code; memory is what Python has
allocated (tracemalloc), which is the same on every machine, or for open jobs this process's resident set.
Times are microseconds unless a name says otherwise; each function returns the figures of one row, for a size
and a seed.
"""

from __future__ import annotations

import gc
import heapq
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random

import orjson

from rushsaddle.components import CheckedSettings
from rushsaddle.core.counters import RequestCounters
from rushsaddle.core.decider import Decider
from rushsaddle.core.list_entries import EntryReader
from rushsaddle.core.log import Log
from rushsaddle.core.loop import Clock, Loop
from rushsaddle.core.loop_delays import LoopDelays
from rushsaddle.core.transaction import Branch, Job, Transaction
from rushsaddle.limits.build import build_controller
from rushsaddle.limits.controller import Counters, Permit
from rushsaddle.node import GC_THRESHOLDS
from rushsaddle.operator.load import read_with_source
from tansygw import Dispatcher
from tansygw.interface import (
    Action,
    AttemptEnded,
    Cancel,
    Event,
    ListKind,
    Outcome,
    Probe,
    ProbeResult,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    Tenant,
    TimerFired,
    WorkerEntry,
    WorkerList,
    WorkerState,
)
from tansygw.settings import settings_from

from . import waiting_plan
from .limits_cost import SettingsNode, admit_us, compiled, lookup_us, platform, table
from .rig import SETTINGS

Figures = dict[str, float]
SECOND = 1_000_000
SLOTS = 8.0  # of each worker
DRAWS = 100
JOBS_PER_S = 4.0
PROBE_REPLY_US = 3_000  # until a probe is answered
JOB_US = 150_000
WINDOW_S = 30.0  # shortest time for which probes are counted
PROBE_ROUND_S = 0.1  # the same for each worker: a round of probes takes this long per worker,
PROBE_ROUND_FULL_S = 0.03  # or this long if all workers are full


def worker_names(count: int) -> list[str]:
    return [f"s-{n:08x}" for n in range(count)]


def settings_for_group(size: int) -> Settings:
    """The settings of ``measure.rig`` for a group of ``size`` nodes."""
    return settings_from({**SETTINGS, "GroupSize": size})[0]


def entries(count: int) -> tuple[WorkerEntry, ...]:
    return tuple(WorkerEntry(name, zone=n % 2, cell=n // 3) for n, name in enumerate(worker_names(count)))


def measure_memory(make: Callable[[], object]) -> tuple[object, int]:
    """The result of ``make``, and the bytes allocated for it."""
    gc.collect()
    tracemalloc.start()
    try:
        made = make()
        gc.collect()
        return made, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def cpu_ms(step: Callable[[], object]) -> float:
    """CPU time of one call, in ms."""
    began = time.process_time()
    step()
    return (time.process_time() - began) * 1e3


def report_all(dispatcher: Dispatcher, now: int, free: float = SLOTS) -> None:
    """Deliver a load report of ``free`` slots from every worker."""
    for name in list(dispatcher.workers):
        dispatcher.step(now, [AttemptEnded(0, 0, name, Outcome.SUCCESS, report={"free_slots": free})])


# ---------------------------------------------------------------- the dispatcher


def dispatcher(size: int, seed: int, draws: int = DRAWS) -> Figures:
    """A dispatcher of ``size`` workers in a group of ``size``: lists, then draws at 4 jobs a second."""
    gc.set_threshold(*GC_THRESHOLDS)
    settings, listed = settings_for_group(size), entries(size)
    complete_list = WorkerList(ListKind.COMPLETE, listed, 1)

    def new_dispatcher() -> Dispatcher:
        made = Dispatcher(settings, seed)
        made.step(0, [complete_list])
        return made

    _, held = measure_memory(new_dispatcher)
    gc.collect()
    subject = Dispatcher(settings, seed)
    first_ms = cpu_ms(lambda: subject.step(0, [complete_list]))
    now = 2 * settings.tick_us
    report_all(subject, now)
    again_ms = cpu_ms(lambda: subject.step(now, [complete_list]))
    gone = WorkerList(ListKind.CHANGES, (WorkerEntry(listed[-1].worker, WorkerState.GONE),), 2)
    change_ms = cpu_ms(lambda: subject.step(now, [gone]))
    draw, costs = Random(seed), []
    for number in range(1, draws + 1):
        now += int(draw.expovariate(JOBS_PER_S) * SECOND) + 1
        began = time.process_time()
        actions = subject.step(now, [RequestArrived(number, number % 2, 5 * SECOND)])
        costs.append((time.process_time() - began) * 1e3)
        for sent in [a for a in actions if isinstance(a, Send)]:
            end = AttemptEnded(number, 0, sent.worker, Outcome.SUCCESS, JOB_US, closed=True)
            subject.step(now + settings.tick_us, [end])
    return {
        "draw_ms": statistics.median(costs), "draw_most_ms": max(costs), "list_ms": first_ms,
        "list_again_ms": again_ms, "change_ms": change_ms, "held_bytes": held,
    }


class SimulatedNode:
    """One dispatcher in virtual time whose probes and jobs are answered; records the times of its probes.

    A worker first reports ``SLOTS`` free slots, then each time a random number within the range ``free``:
    load changes while the fleet works.
    """

    def __init__(self, settings: Settings, workers: int, seed: int, free: tuple[float, float]) -> None:
        self.settings = settings
        self.free = free
        self.subject = Dispatcher(settings, seed)
        self.draw = Random(seed)
        self.queue: list[tuple[int, int, Event]] = []
        self.count = self.jobs = 0
        self.sent: dict[int, int] = {}
        self.probe_times: list[int] = []
        self.probed: set[str] = set()
        self._schedule(0, WorkerList(ListKind.SAVED, entries(workers), 1))

    def _schedule(self, at: int, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, event))

    def _handle(self, now: int, action: Action) -> None:
        if isinstance(action, Probe):
            self.probe_times.append(now)
            free = self.draw.uniform(*self.free) if action.worker in self.probed else SLOTS
            self.probed.add(action.worker)
            report = {"free_slots": free}
            self._schedule(
                now + PROBE_REPLY_US, ProbeResult(action.worker, Outcome.SUCCESS, PROBE_REPLY_US, report)
            )
        elif isinstance(action, Send):
            attempt = self.sent.get(action.request, 0)
            self.sent[action.request] = attempt + 1
            end = AttemptEnded(action.request, attempt, action.worker, Outcome.SUCCESS, JOB_US, closed=True)
            self._schedule(now + JOB_US, end)
        elif isinstance(action, Cancel):
            end = AttemptEnded(action.request, action.attempt, "", Outcome.CANCELLED, JOB_US)
            self._schedule(now + self.settings.tick_us, end)
        elif isinstance(action, SetTimer):
            self._schedule(now + action.after_us, TimerFired(action.token))
        elif isinstance(action, Subscribe):
            self._schedule(now + PROBE_REPLY_US, WorkerList(ListKind.CHANGES, (), 1))

    def run(self, since: int, until: int, jobs_a_second: float = 0.0) -> list[int]:
        """Run from ``since`` to ``until``; returns the times of the probes sent."""
        before, at = len(self.probe_times), float(since)
        while jobs_a_second and (at := at + self.draw.expovariate(jobs_a_second) * SECOND) < until:
            self.jobs += 1
            self._schedule(int(at), RequestArrived(self.jobs, self.jobs % 2, 5 * SECOND))
        stepped = since - self.settings.tick_us
        while self.queue and self.queue[0][0] < until:
            now = max(self.queue[0][0], stepped + self.settings.tick_us)
            events = []
            while self.queue and self.queue[0][0] <= now:
                events.append(heapq.heappop(self.queue)[2])
            for action in self.subject.step(now, events):
                self._handle(now, action)
            stepped = now
        return self.probe_times[before:]


def max_per_second(times: list[int]) -> int:
    """The highest number of times within any second."""
    first = most = 0
    for n, at in enumerate(times):
        while times[first] <= at - SECOND:
            first += 1
        most = max(most, n + 1 - first)
    return most


def probes_per_s(size: int, seed: int, window_s: float = WINDOW_S) -> Figures:
    """Probes a second of one node that knows ``size`` workers in a group of ``size``, in virtual time.

    ``first``: while each worker is probed for the first time.  ``busy``: then at 4 jobs a second over a whole
    round of probes, with workers at least half free; ``full``: the same with full workers.  ``idle``: instead
    as long without jobs, at constant load; ``after_idle``: then at 4 jobs a second for ``window_s``.
    """
    spread = size * 10_000 + SECOND
    figures: Figures = {}
    for name, free, round_s in (
        ("busy", (0.5 * SLOTS, SLOTS), PROBE_ROUND_S), ("full", (0.0, 0.5), PROBE_ROUND_FULL_S),
    ):
        window = int(max(window_s, size * round_s) * SECOND)
        node = SimulatedNode(settings_for_group(size), size, seed, free)
        first = node.run(0, spread, JOBS_PER_S)
        times = node.run(spread, spread + window, JOBS_PER_S)
        figures |= {
            f"{name}_a_second": len(times) / window * SECOND,
            f"{name}_most_a_second": max_per_second(times),
        }
        figures["first_a_second"] = len(first) / spread * SECOND
        figures["first_most_a_second"] = max_per_second(first)
    node = SimulatedNode(settings_for_group(size), size, seed, (SLOTS, SLOTS))
    node.run(0, spread)
    quiet, short = int(max(window_s, size * PROBE_ROUND_S) * SECOND), int(window_s * SECOND)
    idle = node.run(spread, spread + quiet)
    after = node.run(spread + quiet, spread + quiet + short, JOBS_PER_S)
    return figures | {
        "idle_a_second": len(idle) / quiet * SECOND, "after_idle_a_second": len(after) / window_s,
    }


# ---------------------------------------------------------------- a transaction


class OpenBranchSender:
    """Accepts branches without sending them anywhere, so that they stay open."""

    def __init__(self) -> None:
        self.branches: list[Branch] = []

    def start(self, branch: Branch) -> bool:
        self.branches.append(branch)
        return True

    def probe(self, worker: str) -> None:
        """Ignored: no probe is answered."""


OPEN_JOB_WORKERS = 16  # each of at most ``tansygw.worker.MAX_SLOTS`` slots


def transaction(size: int, seed: int) -> Figures:
    """``size`` jobs open at once in the core of a node (no sockets), on 16 workers with slots for all."""
    gc.set_threshold(*GC_THRESHOLDS)
    settings = settings_from({**SETTINGS, "Services": [
        {**service, "HardLimitUs": 3_600_000_000, "OnTimeUs": 3_000_000_000}
        for service in SETTINGS["Services"]
    ]})[0]
    clock = Clock()
    log = Log("n0", clock.now_us)

    def raise_error(error: BaseException) -> None:
        raise error

    def fail() -> None:
        raise RuntimeError("the decisions failed")

    loop, branch_sender, costs = Loop(clock, raise_error), OpenBranchSender(), []
    subject = Dispatcher(settings, seed)
    decider = Decider(
        loop, log, subject, settings.tick_us, settings.limits.max_attempts, fail,
        RequestCounters(len(settings.classes)), LoopDelays(log, clock.now_us),
    )
    decider.branch_sender = branch_sender
    subject.step(0, [WorkerList(ListKind.COMPLETE, entries(OPEN_JOB_WORKERS), 1)])
    report_all(subject, 1, min(9_999.0, 4.0 * size / OPEN_JOB_WORKERS + 8.0))
    opened: list[Transaction] = []

    gc.collect()
    before, began = waiting_plan.resident(), time.process_time()
    for n in range(size):
        opened.append(decider.submit(f"r{n:08x}", Job(1), None, n, 3_600_000_000, lambda: None))
        decider._step(2 + n)
    open_us = (time.process_time() - began) / size * 1e6
    gc.collect()
    held, sent = waiting_plan.resident() - before, len(branch_sender.branches)
    for number, branch in enumerate(branch_sender.branches):
        began = time.process_time()
        branch.end(3 + size + number, Outcome.SUCCESS)
        decider._step(3 + size + number)
        costs.append((time.process_time() - began) * 1e6)
    loop.stopped = True
    loop.run()  # closes the resources that it holds
    return {
        "open_bytes": held, "open_us": open_us, "end_us": statistics.median(costs),
        "end_most_us": max(costs), "sent": sent, "left_open": len(decider.transactions),
    }


# ---------------------------------------------------------------- lists, limits, configuration, waiting


def listing(count: int) -> bytes:
    """A complete list in the format of the discovery service."""
    targets = [
        {"uid": name, "endpoint": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080", "az": "north",
         "model": "box", "pod_group": n // 3, "capacity_hint": 1.0, "boot_ms": 0, "state": "ready"}
        for n, name in enumerate(worker_names(count))
    ]
    return json.dumps({"rev": 2, "all": True, "targets": targets}).encode() + b"\n"


def list_bytes(size: int, seed: int) -> Figures:
    """Size of a list on the wire, and the time in which the node's code parses it into entries."""
    complete_list = listing(size)
    fields = orjson.loads(complete_list)
    change = {"rev": 3, "all": False, "targets": [{**fields["targets"][-1], "state": "gone"}]}
    read = EntryReader.of(SETTINGS["Azs"], SETTINGS["Kinds"])
    read_ms = cpu_ms(lambda: read.entries(orjson.loads(complete_list)["targets"]))
    return {
        "whole_bytes": len(complete_list), "change_bytes": len(json.dumps(change).encode()) + 1,
        "read_ms": read_ms,
    }


def waiting(size: int, seed: int) -> Figures:
    """``size`` deferred jobs in the scheduler, due at random within an hour; needs a fresh process
    (``measure/waiting_plan.py``)."""
    row = waiting_plan.run(size, seed)
    return {
        "submit_us": row["submit_us"], "release_us": row["release_us"], "held_bytes": row["bytes"] * size,
    }


def quota_us(size: int, seed: int, arrivals: int = 400) -> float:
    """Median time of an arrival at a dispatcher with quotas for ``size`` teams and 16 known workers."""
    tenants = tuple(Tenant(f"t{n}", 10.0) for n in range(size))
    subject = Dispatcher(replace(settings_for_group(OPEN_JOB_WORKERS), tenants=tenants), seed)
    subject.step(0, [WorkerList(ListKind.COMPLETE, entries(OPEN_JOB_WORKERS), 1)])
    report_all(subject, 1, 1000.0)
    now, costs = 1, []
    for number in range(1, arrivals + 1):
        now += 10_000
        began = time.process_time()
        subject.step(now, [RequestArrived(number, 1, 5 * SECOND, tenant=number % size)])
        costs.append((time.process_time() - began) * 1e6)
    return statistics.median(costs)


def limits(size: int, seed: int) -> Figures:
    """Admission with a rate limit for each of ``size`` teams, one route each, and the dispatcher's quotas."""
    gc.set_threshold(*GC_THRESHOLDS)
    made = compiled(size)

    def in_use() -> object:
        controller = build_controller(compiled(size), platform(), 1, Counters(), 0)
        for row in table(size)["route"]:
            permit = controller.admit(0, 0, row["match"].encode(), 4_000_000)
            assert isinstance(permit, Permit)
            controller.release(1, permit, True)
        return controller

    _, held = measure_memory(in_use)
    return {"admit_us": admit_us(made, size), "lookup_us": lookup_us(made, size), "held_bytes": held,
            "quota_us": quota_us(size, seed)}


def operator_file(path: Path, count: int) -> int:
    """Write an operator's file with ``count`` routes; returns its size in bytes."""
    lines = ["version = 1", "[limits.default]", 'timeout = "4s"']
    for route in table(count)["route"]:
        lines += ["[[limits.route]]", f'match = "{route["match"]}"', "rate = 1e6", "burst = 1000"]
    path.write_text("\n".join(lines) + "\n")
    return path.stat().st_size


def configuration(size: int, seed: int, folder: Path) -> Figures:
    """One change of an operator's file with ``size`` routes: read completely, then applied."""
    gc.set_threshold(*GC_THRESHOLDS)
    path = folder / "operator.toml"
    length = operator_file(path, size)
    began = time.process_time()
    checked = CheckedSettings(*read_with_source(str(path), {}, {}), platform())
    read_ms = (time.process_time() - began) * 1e3
    assert checked.shape is not None
    row = SettingsNode(path, size).run()
    return {
        "file_bytes": length, "read_ms": read_ms, "take_ms": row["swap_ms"],
        "stall_ms": row["stall_most_ms"],
    }
