"""Simulates a fleet of thousands of members in one process, in virtual time, with zones, regions and faults.

    python -m measure.hollow SCENARIO ... [--sizes 100 200 400] [--seeds 5] [--loss 0 0.05] [--jobs 4]
        [--zones 16] [--regions 6] [--between-ms 20 150] [--cut-s 120] [--one-way] [--codec all|sampled]
        [--most-s 600] [--most-mb 4000] [--json FILE] [--chart FILE]
    python -m measure.hollow mixed [--real 20] [--hollow 200] [--for-s 20] [--json FILE]

Scenarios: ``cold`` (all start within a second), ``join`` (one joins a settled fleet), ``quiet`` (no changes),
``kill`` (one after another), ``restart`` (one, back after a second), ``rack`` (16 of a zone die at once),
``zone`` (all of a zone die at once), ``region`` (a partition with deaths on both sides, then healed),
``table`` (memory of one member) and ``mixed`` (real processes and simulated members on loopback).
Each run has its own process.  Times are virtual, independent of the machine's speed; processor time is that
of the members' own code, with the network counted apart.  A condition not met within ``limit_s`` is null in
JSON.  A run that exceeds ``--most-s`` (real time) or ``--most-mb`` is reported as not ended.
"""

from __future__ import annotations

import argparse
import gc
import json
import multiprocessing
import os
import resource
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from msgspec.structs import replace

from rushsaddle.fleet.members import Members, Rules
from rushsaddle.fleet.wire import VERSION_1, Kind, Message, State, Update, decode, encode, update_capacity

from .audit import Watch
from .hollow_report import Row, draw, show
from .members import KEY, KILLS, SECOND, Network
from .regions import WORST_S, Layout, Regions
from .rig import memory_mb

STEP_S = 0.1
QUIET_MEAN_BYTES = 300  # datagrams are smaller on average when they carry no broadcasts
PROGRESS_S = 10.0
KILL_EVERY_S = 2.0
FAILED_ZONE = 5
RACK_MEMBERS = 16
RESTART_S = 1.0
CUT_REGION = 1
KILLED_PER_SIDE = 3  # during a partition
BASE_PROCESS_MB = 150  # a run's process before its first member


@dataclass(slots=True, frozen=True)
class Options:
    """Options of a run.  ``most_s`` is in real time, all other times are virtual."""
    layout: Layout = field(default_factory=Layout)
    decoded_one_in: int = 1
    limit_s: float = 120.0
    settle_s: float = 60.0
    quiet_s: float = 20.0
    cut_s: float = 120.0
    one_way: bool = False
    most_s: float = 600.0
    most_mb: float = 4000.0


class LimitReached(Exception):
    """A run exceeded its real-time or memory limit; the message names the limit."""


class ScenarioRun:
    """One run of a scenario: its network, its limits and its row of results."""

    def __init__(self, scenario: str, size: int, seed: int, loss: float, options: Options) -> None:
        self.options = options
        self.began = self.last_progress = time.monotonic()
        self.row: Row = {"scenario": scenario, "members": size, "seed": seed, "loss": loss, "ended": True,
                         "limit_s": options.limit_s}
        self.network: Regions | None = None
        self.size, self.seed, self.loss = size, seed, loss
        self.mark_real, self.mark_virtual = self.began, 0

    def create_network(self, start: bool = True) -> Regions:
        options = self.options
        self.network = Regions(self.size, self.seed, self.loss, None, options.layout,
                               options.decoded_one_in, start)
        return self.network

    def step(self, seconds: float) -> None:
        """Advances virtual time; raises LimitReached when a real-time or memory limit is exceeded."""
        network = self.network
        assert network is not None
        until = network.now + int(seconds * SECOND)
        while network.now < until:
            network.run_to(min(until, network.now + int(STEP_S * SECOND)))
            now = time.monotonic()
            if now - self.began > self.options.most_s:
                raise LimitReached(f"{self.options.most_s:g} s of real time")
            if memory_mb(os.getpid()) > self.options.most_mb:
                raise LimitReached(f"{self.options.most_mb:g} MB")
            if now - self.last_progress > PROGRESS_S:
                self.last_progress = now
                row = self.row
                print(f"{row['scenario']} {row['members']}, seed {row['seed']}: {network.now / SECOND:.1f} s "
                      f"virtual, {now - self.began:.0f} s real, {memory_mb(os.getpid()):.0f} MB, "
                      f"{network.audit.wrong_pairs} pairs wrong", file=sys.stderr, flush=True)

    def wait_for(self, *watches: Watch, limit_s: float = 0.0) -> None:
        """Advances until all watched conditions hold or the time limit has passed."""
        assert self.network is not None
        most = self.network.now + int((limit_s or self.options.limit_s) * SECOND)
        while any(watch.since is None for watch in watches) and self.network.now < most:
            self.step(STEP_S)

    def settled_network(self) -> Regions:
        """Returns a fully converged fleet without broadcasts in flight, or its state after ``settle_s``."""
        network = self.create_network()
        network.settle()
        self.freeze_heap()
        self.row["told_s"] = time.monotonic() - self.began
        quiet = False
        while not quiet and network.now < self.options.settle_s * SECOND:
            self.start_measurement()
            self.step(1.0)
            spent = network.usage
            quiet = sum(spent.layers) < QUIET_MEAN_BYTES * spent.messages and not network.audit.wrong_pairs
        network.audit.scan(network.members)
        self.row |= {"settled": quiet, "settled_s": network.now / SECOND}
        self.start_measurement()
        return network

    def start_measurement(self) -> None:
        """Resets the counters; the measured period starts now."""
        assert self.network is not None
        self.network.mark()
        self.mark_real, self.mark_virtual = time.monotonic(), self.network.now

    @staticmethod
    def freeze_heap() -> None:
        """Collects garbage once and exempts the remaining objects from later collections."""
        gc.collect()
        gc.freeze()

    def record_results(self) -> None:
        """Adds the measurements since ``start_measurement`` to the row."""
        network = self.network
        if network is None:
            return
        spent, traffic, seeds = network.usage, network.traffic, len(network.seeds)
        time_s = spent.member_us / SECOND or 1.0
        own = spent.own_ns() / 1e6

        def worst(values: list[int]) -> float:
            return max(values, default=0) / WORST_S

        self.row |= {
            "real_per_virtual": ((time.monotonic() - self.mark_real)
                                 / max(1e-6, (network.now - self.mark_virtual) / SECOND)),
            "virtual_s": network.now / SECOND, "real_s": time.monotonic() - self.began,
            "memory_mb": memory_mb(os.getpid(), "VmHWM"), "wrong_pairs": network.audit.wrong_pairs,
            "wrongly_dead": len(network.audit.wrongly_dead), "suspicions": network.audit.suspicions,
            "datagrams_s": spent.messages / time_s, "bytes_s": sum(spent.layers) / time_s,
            "bytes_zone_s": spent.layers[0] / time_s, "bytes_region_s": spent.layers[1] / time_s,
            "bytes_between_s": spent.layers[2] / time_s,
            "worst_sent_s": worst(traffic.sent_worst), "worst_received_s": worst(traffic.received_worst),
            "worst_both_s": worst(traffic.both_worst), "worst_seed_both_s": worst(traffic.both_worst[:seeds]),
            "cpu_ms_s": own / time_s, "codec_ms_s": (own - spent.members_ns / 1e6) / time_s,
            "worst_cpu_ms_s": 1000 * network.worst_cpu,
            "network_us": spent.network_ns() / 1000 / max(1, spent.messages),  # a datagram
            "stall_ms": spent.stall_ns / 1e6, "stalls": spent.loop_delays, "stall_in": spent.stalled,
        }


def delay_s(watch: Watch, began: int, run: ScenarioRun) -> float | None:
    """Seconds until the condition held; None if it does not hold or took longer than the limit."""
    if watch.since is None or watch.since - began > run.options.limit_s * SECOND:
        return None
    return max(0, watch.since - began) / SECOND


# ------------------------------------------------------------ scenarios


def cold(run: ScenarioRun) -> None:
    """All members start at random within 750 ms; the first tick of each comes up to 250 ms later."""
    network = run.create_network(start=False)
    size, audit = run.size, network.audit
    times = sorted(network.random.randrange(SECOND * 3 // 4) for _ in range(size))
    order = list(range(size))
    network.random.shuffle(order)
    for n in range(size):  # member numbers follow zones and seeds, not the order of starts
        network.expect(network.place(n))
    for at, n in zip(times, order, strict=True):
        network.run_to(at)
        network.start(network.place(n))
    last = network.now
    pairs = size * (size - 1)
    most = audit.watch(last, lambda: audit.missing_pairs, pairs // 1000)
    complete = audit.watch(last, lambda: audit.missing_pairs)
    run.wait_for(most, complete)
    run.step(max(0.0, WORST_S + 1 - network.now / SECOND))
    run.row |= {"known_999_s": delay_s(most, last, run), "all_s": delay_s(complete, last, run),
                "known_share": audit.live_pairs_held / pairs}


def join(run: ScenarioRun) -> None:
    """One member joins a settled fleet."""
    network = run.settled_network()
    audit, place = network.audit, network.place(run.size)
    began = network.now
    network.start(place)
    number = audit.numbers[place]
    others = run.size

    def unknown() -> int:
        return others - audit.live_held[number]

    most = audit.watch(began, unknown, others // 1000)
    knows = audit.watch(began, unknown)
    known = audit.watch(began, lambda: others - audit.held_by[number])
    run.wait_for(most, knows, known)
    run.step(max(0.0, WORST_S + 1 - (network.now - began) / SECOND))
    run.row |= {"known_999_s": delay_s(most, began, run), "all_s": delay_s(knows, began, run),
                "known_by_all_s": delay_s(known, began, run), "known_share": audit.live_held[number] / others}


def quiet(run: ScenarioRun) -> None:
    """A settled fleet without changes."""
    run.settled_network()
    run.step(run.options.quiet_s)


def kill(run: ScenarioRun) -> None:
    """Kills one member every two seconds, none of them a seed, as ``measure.members`` does."""
    network = run.settled_network()
    audit, count = network.audit, min(KILLS, run.size // 4)
    audit.detection_us.clear()
    for place in network.random.sample(sorted(network.members.keys() - set(network.seeds)), count):
        network.kill(place)
        run.step(KILL_EVERY_S)
    gone = audit.watch(network.now, lambda: audit.stale_pairs)
    run.wait_for(gone, limit_s=min(30.0, run.options.limit_s))
    found = [us / SECOND for us in sorted(audit.detection_us)] + [float("inf")] * audit.stale_pairs
    run.row |= {"killed": count, "found_median_s": finite(statistics.median(found)),
                "found_99_s": finite(found[int(0.99 * len(found))]), "found_last_s": finite(found[-1])}


def kill_in_zone(run: ScenarioRun, most: int) -> None:
    """Kills the last ``most`` members of a zone at once; the zone's seed only if all are killed."""
    network = run.settled_network()
    audit, began = network.audit, network.now
    places = network.zone_places(FAILED_ZONE % run.options.layout.zones)[-most:]
    for place in places:
        network.kill(place)
    pairs = audit.stale_pairs
    nearly = audit.watch(began, lambda: audit.stale_pairs, pairs // 100)
    all_gone = audit.watch(began, lambda: audit.stale_pairs)
    run.wait_for(nearly, all_gone)
    run.step(max(5.0, WORST_S + 1 - (network.now - began) / SECOND))  # false deaths are reported late
    run.row |= {"killed": len(places), "dead_99_s": delay_s(nearly, began, run),
                "dead_all_s": delay_s(all_gone, began, run)}


def zone(run: ScenarioRun) -> None:
    """All members of a zone die at once."""
    kill_in_zone(run, run.size)


def rack(run: ScenarioRun) -> None:
    """Part of a zone, as many members as a rack holds, dies at once."""
    kill_in_zone(run, RACK_MEMBERS)


def restart(run: ScenarioRun) -> None:
    """A member that is not a seed crashes and returns after a second with a higher incarnation."""
    network = run.settled_network()
    audit, place = network.audit, network.place(run.size - 1)
    network.kill(place)
    run.step(RESTART_S)
    began = network.now
    network.start(place)
    life = network.members[place].incarnation

    def behind() -> int:
        """Members that do not know the new incarnation as up; polled, as changes do not show it."""
        known = (m.others.get(place) for p, m in network.members.items() if p != place)
        return sum(other is None or other.incarnation < life or not other.up for other in known)

    complete = audit.watch(began, lambda: audit.wrong_pairs)
    known_by_all: float | None = None
    while (complete.since is None or known_by_all is None) and not past_limit(run, began):
        run.step(STEP_S)
        if known_by_all is None and not behind():
            known_by_all = (network.now - began) / SECOND
    run.step(max(5.0, WORST_S + 1 - (network.now - began) / SECOND))
    run.row |= {"whole_s": delay_s(complete, began, run), "known_by_all_s": known_by_all}


def past_limit(run: ScenarioRun, began: int) -> bool:
    assert run.network is not None
    return run.network.now - began > run.options.limit_s * SECOND


def region(run: ScenarioRun) -> None:
    """Partitions a region for ``cut_s``; members that are not seeds die on both sides meanwhile."""
    network, options = run.settled_network(), run.options
    audit, seeds = network.audit, set(network.seeds)
    inside = network.region_numbers(CUT_REGION % options.layout.regions)
    outside = set(range(run.size)) - inside
    died: list[str] = []
    for side in (inside, outside):
        there = sorted(audit.places[n] for n in side if audit.places[n] not in seeds)
        died += network.random.sample(there, min(KILLED_PER_SIDE, len(there) // 2))
    network.cut_off(inside, outside, both=not options.one_way)
    audit.is_excused = lambda by, of: (by in inside) != (of in inside)
    run.step(options.cut_s / 3)
    for place in died:
        network.kill(place)
    run.step(options.cut_s - options.cut_s / 3)
    sides = {"inside": inside, "outside": outside}
    run.row |= {f"up_{name}": sum(audit.is_running[n] and audit.held_by[n] > 0 for n in side)
                for name, side in sides.items()}
    run.row["suspicions_cut"] = audit.suspicions
    run.record_results()
    run.row |= {f"cut_{key}": run.row[key] for key in ("bytes_s", "worst_both_s", "cpu_ms_s")}
    run.start_measurement()
    network.heal()
    audit.is_excused = None
    began = network.now
    complete = audit.watch(began, lambda: audit.wrong_pairs)
    most = audit.watch(began, lambda: audit.missing_pairs, audit.running * (audit.running - 1) // 1000)
    run.wait_for(complete, most)
    run.step(max(5.0, WORST_S + 1 - (network.now - began) / SECOND))
    run.row |= {"cut_s": options.cut_s, "one_way": options.one_way, "died": len(died),
                "known_999_s": delay_s(most, began, run), "whole_s": delay_s(complete, began, run),
                "resurrected": audit.resurrections(died),
                "raised_longest_s": audit.longest_false_alive_us / SECOND}


def measure_table(size: int, decoded: bool) -> tuple[Members, Row]:
    """A member that was welcomed with all others, and its memory; ``decoded``: by newly decoded messages."""
    places = [Network.place(n) for n in range(size)]
    bare = Message(VERSION_1, Kind.WELCOME, 0, places[1], 1_000_000)
    each = update_capacity(bare)
    parts = [encode(KEY, replace(bare, updates=tuple(
        Update(place, 1_000_000 + n, State.ALIVE) for place in places[n : n + each]
    ))) for n in range(0, size, each)]
    passed = [decode(KEY, part) for part in parts]
    gc.collect()
    tracemalloc.start()
    member = Members(places[0], 1_000_000, [places[1]], Rules(), Random(1), 0)
    longest = 0.0
    for n, part in enumerate(parts):
        message = decode(KEY, part) if decoded else passed[n]
        assert message is not None
        began = time.process_time()
        member.receive(0, message)
        longest = max(longest, time.process_time() - began)
        message = None
    member.changes.clear()
    gc.collect()
    bytes_now, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return member, {"table_mb": bytes_now / 1e6, "bytes_pair": bytes_now / max(1, member.size - 1),
                    "known_share": (member.size - 1) / max(1, size - 1), "welcome_ms": 1000 * longest}


def table(run: ScenarioRun) -> None:
    """Memory of one member that knows all others.  Tracing allocations makes its times longer."""
    run.row |= measure_table(run.size, True)[1]


SCENARIOS: dict[str, Callable[[ScenarioRun], None]] = {
    "cold": cold, "join": join, "quiet": quiet, "kill": kill, "restart": restart, "rack": rack,
    "zone": zone, "region": region, "table": table,
}


def finite(value: float) -> float | None:
    return None if value == float("inf") else value


def play(scenario: str, size: int, seed: int, loss: float, options: Options) -> Row:
    """Runs one scenario and returns its row of results."""
    run = ScenarioRun(scenario, size, seed, loss, options)
    gc.collect()
    was = gc.isenabled()
    gc.disable()  # no cycles arise; figures would include scans of all tables, which no real process holds
    try:
        SCENARIOS[scenario](run)
        if run.network is not None:
            run.network.audit.scan(run.network.members)
    except LimitReached as bound:
        run.row |= {"ended": False, "why": f"not ended: {bound}"}
    except MemoryError:
        run.row |= {"ended": False, "why": f"not ended: {options.most_mb:g} MB"}
    finally:
        run.record_results()
        if was:
            gc.enable()
        gc.unfreeze()
    return run.row


# ------------------------------------------------------------ limits, command line


def machine_mb() -> float:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 1e6


def needed_mb(size: int, decoded_one_in: int) -> float:
    """Estimated memory of a run: the data that members share, and each member's own table."""
    decoded = decoded_one_in == 1
    # The second table shares data with the first: its size is what each further member needs.
    shared, own = (float(measure_table(size, decoded)[1]["table_mb"]) for _ in range(2))
    return BASE_PROCESS_MB + shared + size * own


def limit_memory(most_mb: float) -> None:
    """Limits the address space of a run's process."""
    _, hard = resource.getrlimit(resource.RLIMIT_AS)
    resource.setrlimit(resource.RLIMIT_AS, (int((most_mb + 2 * BASE_PROCESS_MB) * 1e6), hard))


def parse(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="measure.hollow", description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("scenarios", nargs="+", choices=[*SCENARIOS, "mixed"])
    parser.add_argument("--sizes", type=int, nargs="+", default=[100, 200, 400])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--loss", type=float, nargs="+", default=[0.0])
    parser.add_argument("--zones", type=int, default=16)
    parser.add_argument("--regions", type=int, default=6)
    parser.add_argument("--between-ms", type=float, nargs=2, default=[20, 150], help="Delay range, one way.")
    parser.add_argument("--cut-s", type=float, default=120.0)
    parser.add_argument("--one-way", action="store_true", help="The region sends but does not receive.")
    parser.add_argument("--limit-s", type=float, default=120.0, help="Virtual time limit of each condition.")
    parser.add_argument("--settle-s", type=float, default=60.0, help="Virtual.")
    parser.add_argument("--quiet-s", type=float, default=20.0, help="Virtual.")
    parser.add_argument("--codec", choices=["all", "sampled"], default="all", help="sampled: one in 16.")
    parser.add_argument("--jobs", type=int, default=1, help="Parallel runs, a process each.")
    parser.add_argument("--most-s", type=float, default=600.0, help="Real-time limit, a run.")
    parser.add_argument("--most-mb", type=float, default=0.0, help="A run; 0: half of the machine's, shared.")
    parser.add_argument("--real", type=int, default=20)
    parser.add_argument("--hollow", type=int, default=200)
    parser.add_argument("--for-s", type=float, default=20.0)
    parser.add_argument("--json")
    parser.add_argument("--chart")
    return parser.parse_args(argv)


def main(argv: Sequence[str] | None = None) -> int:
    args = parse(argv)
    if "mixed" in args.scenarios:
        from .mixed import main as mixed

        return mixed(args)
    jobs = max(1, min(args.jobs, os.cpu_count() or 1))
    most_mb = min(args.most_mb or machine_mb() / 2, machine_mb() / 2) / jobs
    one_in = 1 if args.codec == "all" else 16
    needed = {size: needed_mb(size, one_in) for size in args.sizes}
    for size, mb in needed.items():
        print(f"{size} members: about {mb:.0f} MB per run, {most_mb:.0f} MB allowed", file=sys.stderr)
        if mb > most_mb and args.scenarios != ["table"]:
            print(f"refused: {size} members need more memory than one run may use", file=sys.stderr)
            return 2
    low, high = args.between_ms
    options = Options(
        Layout(args.zones, args.regions, (int(1000 * low), int(1000 * high))), one_in, args.limit_s,
        args.settle_s, args.quiet_s, args.cut_s, args.one_way, args.most_s, most_mb,
    )
    rows: list[Row] = []
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn"), limit_memory, (most_mb,),
                             max_tasks_per_child=1) as pool:
        waiting = [pool.submit(play, scenario, size, seed, loss, options) for scenario in args.scenarios
                   for size in args.sizes for loss in args.loss for seed in range(args.seeds)]
        for done in as_completed(waiting):
            rows.append(done.result())
            print(json.dumps(rows[-1]), file=sys.stderr, flush=True)
            if args.json:
                Path(args.json).write_text(json.dumps(rows) + "\n")
    rows.sort(key=lambda row: (row["members"], row["loss"], row["seed"]))
    for scenario in args.scenarios:
        show([row for row in rows if row["scenario"] == scenario], scenario)
    if args.json:
        Path(args.json).write_text(json.dumps(rows) + "\n")
    if args.chart:
        draw(rows, args.chart)
    return 0 if all(row["ended"] for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
