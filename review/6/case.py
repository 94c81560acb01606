"""Reminders on disk wait for a job; it is served while the node ends for a planned restart."""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins2 import TROUBLE, CannotRun, Discovery, Platform, Record, Sender, ask, look, main

JOBS = 10
GIVE_UP_S = 30.0  # of the waiting jobs, counted from their sending
WATCHED_S = 34.0  # past the give-up time
RUN_S = 1.5
KILL_S = 3.7  # SIGKILL after SIGTERM: the longest deadline, 3 s where it is longer, and 0.7 s


async def case(record: Record, platform: Platform) -> list[str]:
    senders = [Sender(record, f"s-{n}", run_s=RUN_S) for n in range(2)]
    for sender in senders:
        await sender.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.set(*(sender.entry() for sender in senders))
    platform.hold_jobs()
    platform.configure(discovery.address, discovery.known())
    node = platform.start()
    address = await node.ready()

    names = [f"reminder-{n}" for n in range(JOBS)]
    began = record.now()
    for name in names:
        status = await ask(record, address, "single-text", name, GIVE_UP_S,
                           X_After="booking", Prefer="respond-async")
        if status != 202:
            raise CannotRun(f"{name} was not accepted: {status}")
    booking = asyncio.create_task(ask(record, address, "bulk-batch", "booking", 10.0))
    await asyncio.sleep(0.5)
    if TROUBLE:
        await node.restart(KILL_S)
        address = await platform.start().ready()
    if await booking != 200:
        raise CannotRun("what the jobs wait for was not served")

    states: dict[str, dict[str, object]] = {}
    while record.now() < began + WATCHED_S and len(states) < len(names):
        await asyncio.sleep(1.0)
        for name in names:
            if name not in states:
                status, fields = await look(record, address, f"/jobs/{name}")
                if status == 200 and fields.get("status") is not None:
                    states[name] = fields
                    record.put(f"client  {name}: {fields['state']} {fields['status']} {fields['result']!r}")
    run = {name for sender in senders for _, name in sender.begun}
    never = [name for name in names if name not in run]
    record.put(f"{len(names)} accepted, {len(run & set(names))} run, {len(states)} answered")
    if not never:
        return []
    return [f"{len(never)} of {JOBS} accepted jobs were never sent, though what they waited for was served "
            "and its client had the answer"]


raise SystemExit(main(case, Path(__file__).resolve().parent))
