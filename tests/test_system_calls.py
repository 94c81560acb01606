"""Fault injection: a node whose system calls fail as Linux documents answers every request it has read."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path

import pytest

from measure.inject import KINDS, FaultPlan, Injector
from measure.rig import Caller, Node, Reply, StandInWorkers, wait_until

SERVERS, JOBS, JOBS_PER_S = 8, 240, 40.0
DEADLINE_S, LATE_S = 3.0, 0.5
QUIET_DESCRIPTORS = 40  # of a node without clients: its own, discovery and pooled connections

PLANS = {
    "accept": {"accept": 0.3},
    "socket": {"create": 0.2},
    "connect": {"connect": 0.3},
    "recv": {"broken": 0.05},
    "short": {"short": 0.5},
    "all": {"accept": 0.1, "create": 0.1, "connect": 0.1, "broken": 0.02, "short": 0.2},
}


async def ask(port: int, name: str) -> Reply:
    """One request on its own connection; status 0 if no complete answer arrives in time."""
    headers = {"X-Request-ID": name, "X-Timeout": f"{DEADLINE_S}", "Idempotency-Key": name}
    asked = Caller(port).ask("POST", "/single-text", headers, b"text")
    try:
        return await asyncio.wait_for(asked, DEADLINE_S + LATE_S)
    except TimeoutError:
        return Reply(0.0, 0.0, 0, {}, b"")


async def traffic(port: int, seed: int) -> list[Reply]:
    draw, tasks = random.Random(seed), []
    for number in range(JOBS):
        tasks.append(asyncio.ensure_future(ask(port, f"r{number}")))
        await asyncio.sleep(draw.expovariate(JOBS_PER_S))
    return list(await asyncio.gather(*tasks))


def test_which_calls_of_a_kind_fail_does_not_depend_on_other_calls(tmp_path: Path) -> None:
    """One generator served all kinds, so that timing decided how many of 30 calls failed: 3 in one run."""
    plan = FaultPlan(1, str(tmp_path / "faults"), 0.2, 0.2, 0.2, 0.2, 0.2)
    alone, mixed, order = Injector(plan), Injector(plan), random.Random(7)
    for kind in KINDS:
        expected = [alone.should_fail(kind) for _ in range(100)]
        found = []
        for _ in range(100):
            for other in order.choices([k for k in KINDS if k != kind], k=3):
                mixed.should_fail(other)
            found.append(mixed.should_fail(kind))
        mixed = Injector(plan)
        assert found == expected and 3 < sum(expected) < 40


@pytest.mark.parametrize("kind", PLANS)
@pytest.mark.parametrize("seed", [1])
def test_every_request_is_answered_while_system_calls_fail(kind: str, seed: int, tmp_path: Path) -> None:
    record, plan_file = tmp_path / "faults", tmp_path / "plan.json"
    FaultPlan(seed=seed, record=str(record), **PLANS[kind]).write(plan_file)
    servers = StandInWorkers(tmp_path, SERVERS, slots=8)
    try:
        node = Node(tmp_path, servers.discovery, {}, module=("measure.inject", str(plan_file)))
        try:
            replies = asyncio.run(traffic(node.port, seed))
            wait_until("its descriptors are released", lambda: node.descriptors() <= QUIET_DESCRIPTORS)
            assert node.process.poll() is None
        finally:
            node.kill()
    finally:
        audit = servers.stop()
    happened = Counter(line.split()[0] for line in record.read_text().splitlines())
    assert happened[kind if kind in ("accept", "socket", "connect") else "recv"] > 3, happened
    assert [r.status for r in replies if r.status == 0] == [], Counter(r.status for r in replies)
    assert {r.status for r in replies} <= {200, 503, 502, 504}
    # A request with an idempotency key may run again only on servers of one cell, which detect the repeat.
    cells: dict[str, set[int]] = {}
    for _, name, _, server, what in audit:
        if what == "began":
            cells.setdefault(name, set()).add(server // 3)
    assert not {name: found for name, found in cells.items() if len(found) > 1}
