"""Compares the cost of one log event between the node's own writer and structlog.

    python -m measure.log_cost [--rounds 7]

Both encode a transaction's event with orjson and write it to /dev/null; each round measures one, then the
other.
"""

from __future__ import annotations

import argparse
import os
import statistics
import time
from collections.abc import Callable
from typing import Any

from rushsaddle.core.log import Log
from rushsaddle.structured import StructuredLog

EVENTS = 20_000
FIELDS: dict[str, Any] = {
    "id": "9b1f03aa5c7e2d41", "cls": 0, "answer": "served", "ms": 141.2,
    "branches": [["s-5be2a07c", "success", 2.1]],
}


def now_us() -> int:
    return time.monotonic_ns() // 1000


def cost_us(write: Callable[..., None]) -> float:
    """Microseconds of processor time per event."""
    began = time.process_time()
    for _ in range(EVENTS):
        write("transaction", **FIELDS)
    return (time.process_time() - began) / EVENTS * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    args = parser.parse_args()
    null = os.open(os.devnull, os.O_WRONLY)
    bare, log = Log("n0", now_us, null).event, StructuredLog("n0", now_us, fd=null).event
    pairs = [(cost_us(bare), cost_us(log)) for _ in range(args.rounds)]
    for name, costs in zip(("own writer", "structlog"), zip(*pairs, strict=True), strict=True):
        print(f"{name}: {statistics.median(costs):.1f} us an event ({min(costs):.1f} to {max(costs):.1f})")
    extra = [b - a for a, b in pairs]
    print(f"structlog costs {statistics.median(extra):.1f} us more ({min(extra):.1f} to {max(extra):.1f})")


if __name__ == "__main__":
    main()
