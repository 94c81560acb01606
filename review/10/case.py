"""A job on disk comes due while the node is restarted; a sender has begun to drain long before."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from standins2 import TROUBLE, CannotRun, Discovery, Platform, Record, Sender, ask, look, main

GRACE_S = 2.0 + 0.05  # DrainGraceUs, and the 50 ms by which each time limit grows
TOLD_S = 6.0  # whatever discovery has to tell counts as told so much later at the latest
LIST_DELAY_S = 1.0  # discovery handles calls in turn
JOBS = 8


async def case(record: Record, platform: Platform) -> list[str]:
    senders = [Sender(record, f"s-{n}", run_s=0.3) for n in range(2)]
    for sender in senders:
        await sender.start()
    discovery = Discovery(record, LIST_DELAY_S)
    await discovery.start()
    discovery.set(*(sender.entry() for sender in senders))
    platform.hold_jobs()
    platform.configure(discovery.address, discovery.known())
    node = platform.start()
    address = await node.ready()

    due = time.time() + 12.0
    names = [f"reminder-{n}" for n in range(JOBS)]
    for name in names:
        status = await ask(record, address, "single-text", name, 60.0,
                           X_Not_Before=f"{due:.3f}", Prefer="respond-async")
        if status != 202:
            raise CannotRun(f"{name} was not accepted: {status}")
    discovery.set(senders[1].entry("draining"))
    drained = record.now()
    await asyncio.sleep(10.0)
    if TROUBLE:
        await node.kill()
    await asyncio.sleep(max(0.0, due - time.time()) + 0.5)
    if TROUBLE:
        address = await platform.start().ready()
    await asyncio.sleep(5.0)

    for name in names:
        status, fields = await look(record, address, f"/jobs/{name}")
        record.put(f"client  {name}: {status} {fields.get('state')} {fields.get('status')}")
    late = [at for at, _ in senders[1].begun if at > drained + TOLD_S + GRACE_S]
    if not late:
        return []
    return [f"{len(late)} jobs began at {senders[1].uid}, the first {late[0] - drained:.1f} s after "
            "discovery had it that the sender drains"]


raise SystemExit(main(case, Path(__file__).resolve().parent))
