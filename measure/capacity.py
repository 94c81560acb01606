"""Measures the cost of each role at several sizes; stores rows as JSON, prints fits as tables, draws charts.

    python -m measure.capacity slopes [ROLE ...] [--sizes N ...] [--seeds N] [--into FILE]
        [--seconds S] [--mb M]
    python -m measure.capacity fit FILE [--page docs/measured/capacity.md]
    python -m measure.capacity chart FILE [--folder docs/measured]
    python -m measure.capacity fleet ...          members of a fleet (measure/hollow.py)

``slopes`` replaces the rows of the measured roles and keeps the other rows of FILE.  It refuses to start if
it would exceed half of the machine's memory, 300 processes or the given time, and stops if it exceeds them.
Exit codes: 0 success, 1 refused or stopped by a bound, 2 usage error.
"""

from __future__ import annotations

import argparse
import importlib
import json
import multiprocessing
import multiprocessing.pool
import os
import platform
import shlex
import signal
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from . import roles, roles_node, worked
from .bounds import Bounds, Need, Refused, Watch, machine_mb, process_tree
from .roles import Figures

if TYPE_CHECKING:  # importing scipy takes seconds, in every process of a run
    from .slopes import Verdict

TERMINATION_INTERVAL_S = 1.0
FILE = Path(__file__).parent.parent / "docs" / "measured" / "capacity.json"
SIZES = (312, 625, 1250, 2500, 5000)
PLAN = worked.Plan()
MARKS = ("<!-- slopes: python -m measure.capacity fit --page -->", "<!-- end of slopes -->")
Measure = Callable[[int, int, Path], Figures]


@dataclass(slots=True, frozen=True)
class Role:
    """How one role is measured.  ``mb``: memory of one row at the largest size, with the processes that it
    starts; ``seconds``: duration of all rows on a slow machine."""

    measure: Measure
    size: str  # unit of the sizes
    plan_size: int  # size in the plan
    sizes: tuple[int, ...] = SIZES
    seeds: int = 5
    parallel: int = 1  # rows measured in parallel: more than 1 only for counts or long idle windows
    mb: int = 200
    processes: int = 1
    seconds: float = 120.0
    decides: tuple[str, ...] = ()  # figures shown in the charts


def pure(measure: Callable[[int, int], Figures]) -> Measure:
    """Adapt a measurement that needs no folder."""

    def run(size: int, seed: int, folder: Path) -> Figures:
        return measure(size, seed)

    return run


ROLES: dict[str, Role] = {
    "dispatcher": Role(pure(roles.dispatcher), "workers", PLAN.workers, decides=("draw_ms", "list_ms")),
    "checks": Role(
        pure(roles.probes_per_s), "workers and nodes", PLAN.workers, parallel=7, seconds=300.0,
        decides=("busy_a_second", "first_a_second"),
    ),
    "node": Role(
        roles_node.node_costs, "workers and nodes", PLAN.workers, seeds=3, parallel=8, mb=150, processes=3,
        seconds=300.0, decides=("first_percent", "busy_percent"),
    ),
    "list": Role(
        roles_node.list_update, "workers", PLAN.workers, seeds=3, mb=300, processes=2, decides=("list_ms",)
    ),
    "wire": Role(pure(roles.list_bytes), "workers", PLAN.workers, seeds=3),
    "open": Role(
        roles_node.open_jobs, "jobs open", PLAN.running // PLAN.nodes, (125, 250, 500, 1000, 2000), 3, mb=400,
        processes=3, seconds=200.0, decides=("open_mb",),
    ),
    "transaction": Role(
        pure(roles.transaction), "jobs open", PLAN.running, (6125, 12_250, 24_500, 49_000, 98_000), 3, 5,
        mb=500, seconds=300.0,
    ),
    "limits": Role(pure(roles.limits), "teams", PLAN.teams, (10, 56, 125, 250, 500, 1000), 3),
    "configuration": Role(roles.configuration, "routes", 5000, seeds=3, decides=("read_ms",)),
    "waiting": Role(
        pure(roles.waiting), "jobs that wait", PLAN.running, (6125, 12_250, 24_500, 49_000, 98_000), 3,
        mb=300,
    ),
}


def machine() -> dict[str, Any]:
    """Description of this machine, stored with the rows."""
    return {
        "cores": os.cpu_count(), "memory_mb": round(machine_mb()[0]),
        "python": platform.python_version(), "system": f"{platform.system()} {platform.machine()}",
    }


def measure_row(args: tuple[str, int, int]) -> tuple[str, int, int, Figures]:
    """Measure one row, in a process that has measured nothing before."""
    name, size, seed = args
    with tempfile.TemporaryDirectory() as folder:
        return name, size, seed, ROLES[name].measure(size, seed, Path(folder))


def end_descendants(number: int, frame: object) -> None:
    """Signal handler: kill all descendants of this process, then exit."""
    for pid in process_tree(os.getpid())[1:]:
        with suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    sys.exit(1)


def init_worker() -> None:
    """Initialise a measuring process: it ends only at SIGTERM from the process that started it."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, end_descendants)


@contextmanager
def measuring_pool(
    processes: int, initializer: Callable[[], None] = init_worker
) -> Iterator[multiprocessing.pool.Pool]:
    """A pool of new processes, one for each row, that ends with its block."""
    context = multiprocessing.get_context("spawn")
    pool = context.Pool(processes, initializer, maxtasksperchild=1)
    try:
        yield pool
    finally:
        ended = threading.Event()
        threading.Thread(target=repeat_termination, args=[ended], daemon=True).start()
        pool.terminate()
        ended.set()
        pool.join()


def repeat_termination(ended: threading.Event) -> None:
    """Send SIGTERM to all descendants again and again until ``ended``.

    ``Pool.terminate`` sends it once, and waits for ever: a process that is just about to wait for work
    handles the signal only once something interrupts that wait.
    """
    while not ended.wait(TERMINATION_INTERVAL_S):
        for pid in process_tree(os.getpid())[1:]:
            with suppress(ProcessLookupError):
                os.kill(pid, signal.SIGTERM)


def need(names: Sequence[str], sizes: Sequence[int], seeds: int) -> Need:
    """Resources for these roles in sequence; empty ``sizes`` or 0 ``seeds`` stand for each role's own."""
    mb = processes = 0.0
    seconds = 0.0
    for name in names:
        role = ROLES[name]
        grows = max(1.0, max(sizes) / max(role.sizes)) if sizes else 1.0
        mb = max(mb, role.parallel * role.mb * grows)
        processes = max(processes, 2 + role.parallel * role.processes)
        seconds += role.seconds * grows * (seeds / role.seeds if seeds else 1.0)
    return Need(mb, int(processes), seconds)


def slopes(args: argparse.Namespace) -> int:
    role_names = args.roles or list(ROLES)
    stored: dict[str, Any] = {"runs": {}, "rows": []}
    if args.into.exists():
        stored = json.loads(args.into.read_text())
    wanted = need(role_names, args.sizes, args.seeds)
    with Watch(Bounds.here(args.seconds, args.mb), wanted, os.getpid()) as watch:
        for name in role_names:
            role, rows, began = ROLES[name], [], time.monotonic()
            work = [
                (name, size, seed) for seed in range(args.seeds or role.seeds)
                for size in sorted(args.sizes or role.sizes, reverse=True)
            ]
            with measuring_pool(role.parallel) as pool:
                for _, size, seed, figures in pool.imap_unordered(measure_row, work):
                    rows.append({"role": name, "size": size, "seed": seed, "figures": figures})
                    shown = ", ".join(f"{key} {value:.4g}" for key, value in figures.items())
                    place = f"{len(rows)}/{len(work)} {name} {size} {seed}"
                    print(f"{place}: {shown}", file=sys.stderr, flush=True)
            rows.sort(key=lambda row: (row["size"], row["seed"]))
            stored["rows"] = [row for row in stored["rows"] if row["role"] != name] + rows
            words = ["python -m measure.capacity slopes", name]
            words += ["--sizes", *map(str, args.sizes)] if args.sizes else []
            words += ["--seeds", str(args.seeds)] if args.seeds else []
            stored["runs"][name] = {
                "command": " ".join(words), "machine": machine(), "size": role.size, "beside": role.parallel,
                "seconds": round(time.monotonic() - began, 1),
                "peak_mb": round(watch.peak_mb), "peak_processes": watch.peak_processes,
            }
            args.into.parent.mkdir(parents=True, exist_ok=True)
            text = json.dumps({**stored, "rows": []}, indent=1)
            lines = ",\n".join(json.dumps(row) for row in stored["rows"])
            args.into.write_text(text.replace('"rows": []', f'"rows": [\n{lines}\n]') + "\n")
    return 0


def points(stored: dict[str, Any], name: str, figure: str) -> list[tuple[float, float]]:
    return [(row["size"], row["figures"][figure]) for row in stored["rows"] if row["role"] == name]


def verdicts(stored: dict[str, Any]) -> dict[tuple[str, str], Verdict]:
    """Verdicts by role and figure, for each figure that was measured at enough sizes."""
    from .slopes import MIN_SIZES, judge

    found = {}
    for name in stored["runs"]:
        figures = next(row["figures"] for row in stored["rows"] if row["role"] == name)
        for figure in figures:
            known = points(stored, name, figure)
            if len({size for size, _ in known}) >= MIN_SIZES:
                found[name, figure] = judge(known, ROLES[name].plan_size)
    return found


def calculated(stored: dict[str, Any], found: dict[tuple[str, str], Verdict]) -> dict[str, dict[str, float]]:
    """Figures calculated for the plan's size, where the roles that they need were measured."""

    def at(name: str, figure: str) -> float:
        measured = [y for n, y in points(stored, name, figure) if n == PLAN.workers]
        return statistics.median(measured) if measured else found[name, figure].full_fit.at(PLAN.workers)

    settings, rows = roles.settings_for_group(PLAN.nodes), {}
    have = {name for name, _ in found}
    rows["a team's quota"] = worked.quotas(PLAN)
    if "wire" in have:
        rows["lists"] = worked.lists(PLAN, settings, at("wire", "whole_bytes"), at("wire", "change_bytes"))
    if "node" in have:
        rows["configuration, platform's file"] = worked.configuration(PLAN, at("node", "reread_ms"))
    if "configuration" in have:
        cost = at("configuration", "read_ms") + at("configuration", "take_ms")
        rows["configuration, operator's file of 5,000 routes"] = worked.configuration(PLAN, cost)
    if {"node", "checks"} <= have:
        first = at("node", "first_percent") - at("node", "idle_percent")
        check_ms = 10 * first / at("node", "first_checks_a_second")
        for what in ("first", "busy", "full", "idle"):
            rate = at("checks", f"{what}_a_second")
            rows[f"checks, {what}"] = worked.checks(PLAN, rate, at("node", "check_bytes"), check_ms) | {
                "check_ms": check_ms, "a_second": rate,
            }
    for name in ("open", "transaction"):
        if name in have:
            rows[f"running, {name}"] = worked.running(PLAN, each_bytes(stored, name))
    return rows


def each_bytes(stored: dict[str, Any], name: str) -> float:
    """Memory of one open job in bytes: the median at the largest measured size.  A fit's slope is no cost per
    job unless the form is linear."""
    rows = [row for row in stored["rows"] if row["role"] == name]
    largest: int = max(row["size"] for row in rows)
    there = [row["figures"] for row in rows if row["size"] == largest]
    if name == "open":
        return float(statistics.median(figures["open_kb_each"] for figures in there)) * 1024
    return float(statistics.median(figures["open_bytes"] for figures in there)) / largest


def show(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def tables(stored: dict[str, Any]) -> list[str]:
    """Markdown lines: a table for each role, then the calculated figures."""
    found, lines = verdicts(stored), []
    for name, run in stored["runs"].items():
        sizes = sorted({row["size"] for row in stored["rows"] if row["role"] == name})
        seeds = len({row["seed"] for row in stored["rows"] if row["role"] == name})
        plan_size = ROLES[name].plan_size
        beyond = "below" if plan_size < sizes[0] else "above" if plan_size > sizes[-1] else ""
        lines += [
            "", f"### {name}, by {run['size']}", "",
            f"`{run['command']}`: {seeds} seeds, {run['beside']} rows at once, {run['seconds']:.0f} s", "",
            "| figure | " + " | ".join(map(show, sizes))
            + f" | fit without the largest | predicted | error, % | at {show(plan_size)}"
            + (f", extrapolated {beyond} the sizes |" if beyond else " |"),
            "| --- " * (len(sizes) + 5) + "|",
        ]
        for (role, figure), verdict in found.items():
            if role != name:
                continue
            medians = [
                show(statistics.median(y for n, y in points(stored, name, figure) if n == size))
                for size in sizes
            ]
            form = f"{show(verdict.fit.base)} ± {show(verdict.fit.base_half)}"
            if verdict.fit.form != "flat":
                form += f" + ({show(verdict.fit.slope)} ± {show(verdict.fit.slope_half)}) {verdict.fit.form}"
            if verdict.chosen_by != "AICc":
                form += f", by {verdict.chosen_by}"
            lines.append(
                f"| {figure} | {' | '.join(medians)} | {form} "
                f"| {show(verdict.predicted)} ± {show(verdict.predicted_half)} "
                f"| {verdict.error_percent:+.1f} "
                f"| {show(verdict.extrapolated)} ± {show(verdict.extrapolated_half)} |"
            )
    lines += ["", "### worked out, not measured", "", "| what | figures |", "| --- | --- |"]
    for what, row in calculated(stored, found).items():
        lines.append(f"| {what} | {', '.join(f'{key} {show(value)}' for key, value in row.items())} |")
    return lines


def put_between(page: str, lines: Sequence[str]) -> str:
    """The page with these lines between its two marks; raises ValueError if a mark is missing."""
    head, _, rest = page.partition(MARKS[0])
    _, mark, tail = rest.partition(MARKS[1])
    if not mark:
        raise ValueError(f"no {MARKS[0]} before {MARKS[1]}")
    return "\n".join([head + MARKS[0], *lines, "", mark + tail])


def fit(args: argparse.Namespace) -> int:
    lines = tables(json.loads(args.file.read_text()))
    if args.page is None:
        print("\n".join(lines))
    else:
        args.page.write_text(put_between(args.page.read_text(), lines))
    return 0


def chart(args: argparse.Namespace) -> int:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    stored = json.loads(args.file.read_text())
    found = verdicts(stored)
    chosen = [key for key in found if key[1] in ROLES[key[0]].decides]
    across = 3
    down = -(-len(chosen) // across)
    _, grid = pyplot.subplots(down, across, figsize=(5 * across, 3.6 * down), squeeze=False)
    for axes in grid.flat[len(chosen):]:
        axes.set_visible(False)
    for axes, key in zip(grid.flat, chosen, strict=False):
        verdict, known = found[key], points(stored, *key)
        sizes = sorted({n for n, _ in known})
        line = [sizes[0] + n * (sizes[-1] - sizes[0]) / 60 for n in range(61)]
        axes.plot([n for n, _ in known], [y for _, y in known], "o", ms=4, label="measured")
        axes.plot(line, [verdict.fit.at(n) for n in line], "-", label=f"fit: {verdict.fit.form}")
        low, high = zip(*(
            (verdict.fit.at(n) - verdict.fit.half_at(n), verdict.fit.at(n) + verdict.fit.half_at(n))
            for n in line
        ), strict=True)
        axes.fill_between(line, low, high, alpha=0.2, label="95% for a new measurement")
        error = f"predicted, {verdict.error_percent:+.0f}%"
        axes.plot([verdict.largest], [verdict.predicted], "kx", ms=8, label=error)
        axes.set_title(f"{key[0]}: {key[1]}")
        axes.set_xlabel(ROLES[key[0]].size)
        axes.set_ylim(bottom=0)
        axes.legend(fontsize=7)
    pyplot.tight_layout()
    pyplot.savefig(args.folder / "capacity-roles.png", dpi=90)
    return 0


def main(argv: Sequence[str] | None = None) -> int:
    given = list(sys.argv[1:] if argv is None else argv)
    if given[:1] == ["fleet"]:
        return int(importlib.import_module("measure.hollow").main(given[1:]) or 0)
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    commands = parser.add_subparsers(dest="what", required=True)
    measured = commands.add_parser("slopes", help="measure roles")
    measured.add_argument("roles", nargs="*", metavar="ROLE", help=", ".join(ROLES))
    measured.add_argument("--sizes", type=int, nargs="+", default=[])
    measured.add_argument("--seeds", type=int, default=0)
    measured.add_argument("--into", type=Path, default=FILE)
    measured.add_argument("--seconds", type=float, default=1800.0)
    measured.add_argument("--mb", type=float, help="less than half of the machine's memory")
    measured.set_defaults(run=slopes)
    fits = commands.add_parser("fit", help="tables of fits and predictions")
    fits.add_argument("--page", type=Path, help="put them between the marks of this page")
    fits.set_defaults(run=fit)
    charts = commands.add_parser("chart", help="charts of the slopes that decide")
    charts.add_argument("--folder", type=Path, default=FILE.parent)
    charts.set_defaults(run=chart)
    for command in (fits, charts):
        command.add_argument("file", type=Path, nargs="?", default=FILE)
    commands.add_parser("fleet", help="members of a fleet")
    args = parser.parse_args(given)
    if args.what == "slopes" and (unknown := [name for name in args.roles if name not in ROLES]):
        parser.error(f"no such role: {shlex.join(unknown)}; there are {', '.join(ROLES)}")
    try:
        return int(args.run(args))
    except Refused as error:
        print(f"refused: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
