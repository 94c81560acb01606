"""Reminders on disk wait for a job; it is served, and the node is killed while it still hands them out."""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins2 import TROUBLE, CannotRun, Discovery, Platform, Record, Sender, ask, look, main

JOBS = 60
GIVE_UP_S = 45.0  # of the waiting jobs, counted from their sending
WATCHED_S = 50.0  # past the give-up time


async def case(record: Record, platform: Platform) -> list[str]:
    senders = [Sender(record, f"s-{n}", run_s=0.4, slots=3) for n in range(2)]
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
    if await ask(record, address, "single-text", "booking", 5.0) != 200:
        raise CannotRun("what the jobs wait for was not served")
    if TROUBLE:
        await asyncio.sleep(1.0)
        await node.kill()
        await asyncio.sleep(0.5)
        address = await platform.start().ready()

    states: dict[str, dict[str, object]] = {}
    while record.now() < began + WATCHED_S:
        await asyncio.sleep(1.0)
        for name in names:
            if name not in states:
                status, fields = await look(record, address, f"/jobs/{name}")
                if status == 200 and fields.get("status") is not None:
                    states[name] = fields
                    record.put(f"client  {name}: {fields['state']} {fields['status']} {fields['result']!r}")
        if len(states) == len(names):
            break
    run = {name for sender in senders for _, name in sender.begun}
    never = [name for name in names if name not in run and states.get(name, {}).get("state") != "served"]
    record.put(f"{len(names)} accepted, {len(run & set(names))} run, {len(states)} answered")
    if not never:
        return []
    return [f"{len(never)} of {JOBS} accepted jobs were never sent, though what they waited for was served "
            f"before the crash and senders were free for {GIVE_UP_S:.0f} s"]


raise SystemExit(main(case, Path(__file__).resolve().parent))
