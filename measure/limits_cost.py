"""Measures limits: look-up among 10 and 10,000 routes, admission, and reload of a file with 10,000 routes.

    python -m measure.limits_cost [--rounds 7] [--json FILE]

Stalls during the reload are measured on an event loop like the node's: a task times each of its turns while a
thread reads the file, as in the node.
"""

from __future__ import annotations

import argparse
import gc
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from rushsaddle.components import CheckedSettings, SettingsReader
from rushsaddle.core.loop import Clock, Coroutine, Loop, Wait
from rushsaddle.limits.build import CompiledLimits, build_controller, compile_limits
from rushsaddle.limits.controller import Counters, Permit
from rushsaddle.limits.records import Limits
from rushsaddle.node import GC_THRESHOLDS
from rushsaddle.operator.load import read_with_source
from tansygw.interface import Settings
from tansygw.settings import settings_from

from .rig import SETTINGS
from .table import show

LOOKUPS = 50_000
SIZES = (10, 10_000)


def platform() -> Settings:
    return settings_from(SETTINGS)[0]


def table(count: int) -> dict[str, Any]:
    """Limits with ``count`` routes, as in the operator's file."""
    return {
        "default": {"retry_share": 0.2, "timeout": "4s"},
        "class": {"single-text": {"in_flight": 10_000, "rate": 1e6, "burst": 1000}},
        "route": [
            {"match": f"/single-text/clinic-{n // 100}/list-{n}", "rate": 1e6, "burst": 1000}
            for n in range(count)
        ],
    }


def compiled(count: int) -> CompiledLimits:
    return compile_limits(msgspec.convert(table(count), Limits), platform())


def lookup_us(limits: CompiledLimits, count: int) -> float:
    """Microseconds of one route look-up."""
    draw = random.Random(1)
    numbers = [draw.randrange(count) for _ in range(1000)]
    paths = [b"/single-text/clinic-%d/list-%d/m" % (n // 100, n) for n in numbers]
    began = time.process_time()
    for n in range(LOOKUPS):
        limits.routes.find(paths[n % 1000])
    return (time.process_time() - began) / LOOKUPS * 1e6


def admit_us(limits: CompiledLimits, count: int) -> float:
    """Microseconds of one admission and its release."""
    controller = build_controller(limits, platform(), 1, Counters(), 0)
    paths = [b"/single-text/clinic-%d/list-%d/m" % (n // 100, n) for n in range(min(count, 1000))]
    began = time.process_time()
    for n in range(LOOKUPS):
        permit = controller.admit(n * 100, 0, paths[n % len(paths)], 4_000_000)
        if not isinstance(permit, Permit):
            raise RuntimeError(f"request rejected: {permit}")
        controller.release(n * 100 + 50, permit, True)
    return (time.process_time() - began) / LOOKUPS * 1e6


class SettingsNode:
    """The part of a node that reads its settings, here a file of ``count`` routes."""

    def __init__(self, path: Path, count: int = SIZES[-1]) -> None:
        self.count = count
        clock = Clock()
        self.loop = Loop(clock, self.failed)
        self.read_operator = lambda: read_with_source(str(path), {}, {})
        self.config = self
        self.settings = platform()
        self.gaps: list[float] = []
        self.taken_ms = 0.0
        self.read_s = 0.0

    def failed(self, error: BaseException) -> None:
        raise error

    def measure_gaps(self, reader: SettingsReader) -> Coroutine[None]:
        """Wakes every 200 us; the longest gap between two wake-ups is the stall."""
        began = last = time.perf_counter()
        reader.read()
        while not self.taken_ms:
            yield Wait(until_us=self.loop.now_us() + 200)
            now = time.perf_counter()
            self.gaps.append(now - last)
            last = now
        self.read_s = last - began
        self.loop.stopped = True

    def take(self, checked: Any) -> None:
        if not isinstance(checked, CheckedSettings):
            raise checked
        assert checked.shape is not None
        began = time.perf_counter()
        build_controller(checked.shape, self.settings, 2, self.counters, 0)
        self.taken_ms = (time.perf_counter() - began) * 1e3

    def run(self) -> dict[str, float]:
        self.counters = Counters()
        old = build_controller(compiled(self.count), self.settings, 1, self.counters, 0)
        for n in range(0, self.count, 10):  # one route in ten is in use
            old.admit(0, 0, b"/single-text/clinic-%d/list-%d" % (n // 100, n), 4_000_000)
        reader = SettingsReader(self, self.take)  # type: ignore[arg-type]
        self.loop.spawn(self.measure_gaps(reader))
        self.loop.run()
        gaps = sorted(self.gaps)
        return {
            "read_s": self.read_s, "swap_ms": self.taken_ms, "stall_most_ms": gaps[-1] * 1e3,
            "stall_p99_ms": gaps[int(len(gaps) * 0.99)] * 1e3,
        }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--json")
    args = parser.parse_args()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)  # as the node sets it
    compiled_limits = {count: compiled(count) for count in SIZES}
    rows: list[dict[str, float]] = []
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "operator.toml"
        lines = ["version = 1", "[limits.default]", 'timeout = "4s"']
        for route in table(SIZES[-1])["route"]:
            lines += ["[[limits.route]]", f'match = "{route["match"]}"', "rate = 1e6", "burst = 1000"]
        path.write_text("\n".join(lines) + "\n")
        for _ in range(args.rounds):
            row = {}
            for count in SIZES:
                row[f"lookup_us_{count}"] = lookup_us(compiled_limits[count], count)
                row[f"admit_us_{count}"] = admit_us(compiled_limits[count], count)
            row["lookup_ratio"] = row[f"lookup_us_{SIZES[-1]}"] / row[f"lookup_us_{SIZES[0]}"]
            rows.append(row | SettingsNode(path).run())
    show(rows, args.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
