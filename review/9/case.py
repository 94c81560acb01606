"""A process that was to replace the node crashes; the next one replaces it while discovery is down."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

from standins2 import HOST, TROUBLE, Discovery, Platform, Process, Record, Sender, ask, healthy, main

GRACE_S = 2.0 + 0.05  # DrainGraceUs, and the 50 ms by which each time limit grows
CLIENT_GAP_S = 0.05
YES_S = 2.0  # what discovery tells binds so long after the yes
SERVED_S = 7.0  # how long clients go on after the yes; discovery is down for less than 8 s in all


async def case(record: Record, platform: Platform) -> list[str]:
    senders = [Sender(record, f"s-{n}", run_s=0.12) for n in range(3)]
    for sender in senders:
        await sender.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.set(*(sender.entry() for sender in senders))
    platform.configure(discovery.address, discovery.known())

    listener = socket.create_server((HOST, 0), backlog=512)  # held by the platform
    listener.set_inheritable(True)
    address = f"{HOST}:{listener.getsockname()[1]}"
    fd = listener.fileno()

    def start() -> Process:
        return platform.start(fd, GW_INHERITED_FD=str(fd))

    count = 0
    statuses: list[int] = []
    asking: set[asyncio.Task[None]] = set()

    async def one(name: str) -> None:
        statuses.append(await ask(record, address, "single-text", name, 5.0))

    async def clients() -> None:
        nonlocal count
        while True:
            count += 1
            task = asyncio.create_task(one(f"{count:016x}"))
            asking.add(task)
            task.add_done_callback(asking.discard)
            await asyncio.sleep(CLIENT_GAP_S)

    old = start()
    await old.ready()
    load = asyncio.create_task(clients())
    if TROUBLE:
        crashed = start()
        await crashed.ready()
        await asyncio.sleep(0.5)
        crashed.signal(signal.SIGKILL)
        await asyncio.sleep(0.5)
    discovery.set(senders[2].entry("draining"))  # written to the old process's watch at once
    told = record.now()
    await asyncio.sleep(GRACE_S + 1.0)
    discovery.go_down()
    await asyncio.sleep(0.3)

    new = start()
    await new.ready(6.0)
    yes = record.now()
    old.signal(signal.SIGTERM)
    await asyncio.sleep(SERVED_S)
    load.cancel()
    if asking:
        await asyncio.wait(asking, timeout=6.0)
    if not await healthy(address):
        record.put("client  GET /healthz: not 200")

    # The widest reading: what the node was told long before counts as told anew 2 s after the yes.
    late = [(at, name) for at, name in senders[2].begun if at > max(told, yes + YES_S) + GRACE_S]
    record.put(f"node told at {told:.3f}, yes at {yes:.3f}; {len(statuses)} answers, "
               f"{statuses.count(200)} of them 200")
    if not late:
        return []
    return [f"{len(late)} requests began at {senders[2].uid}, the first {late[0][0] - told:.1f} s after the "
            f"node was told that it drains and {late[0][0] - yes:.1f} s after the yes"]


raise SystemExit(main(case, Path(__file__).resolve().parent))
