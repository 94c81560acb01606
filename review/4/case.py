"""A node is killed outright and started again while discovery is down; its front has not noticed yet."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import TROUBLE, Answer, Client, Discovery, Node, Record, Sender, request, run_case

TIMEOUT_S = 5.0  # what a single-text is given up after
LATE_S = 0.5
DOWN_S = 8.0
NOTICE_S = 2.5  # the front notices a dead node only after some seconds


async def send(record: Record, port: int, name: str) -> bool:
    """Send one job on a new connection; True if it was taken and is lost."""
    client = Client(record, port)
    try:
        await client.connect()
    except OSError:
        record.note(f"client: {name}: connection refused, not taken")
        return False
    client.writer.write(request("single-text", name, TIMEOUT_S))
    sent = record.note(f"client: {name} written to a connection that was accepted")
    answer: Answer | None = await client.answer(name, sent + TIMEOUT_S + LATE_S)
    client.close()
    lost = answer is None or answer.status == 0
    if lost:
        record.note(f"{name} is lost")
    return lost


async def case(record: Record) -> bool:
    senders = [Sender(record, f"s-{n}", lambda name: 0.1) for n in range(6)]
    for sender in senders:
        await sender.start()
    entries = [s.entry() for s in senders]
    discovery = Discovery(record, "discovery", entries)
    await discovery.start()
    node = Node(record, discovery.address, entries)
    try:
        process = node.start()
        if not await node.ready():
            raise RuntimeError("not ready")
        if await send(record, node.port, "before-1"):
            raise RuntimeError("no service")
        if TROUBLE:
            discovery.down = True
            for writer in list(discovery.writers):
                writer.close()
            record.note("discovery is down: watches end, calls get 503")
            back = record.now() + DOWN_S
            await asyncio.sleep(1.0)
            node.signal(process, signal.SIGKILL)
            process.wait()
            node.start()
        jobs = []
        began = record.now()
        while record.now() < began + NOTICE_S:
            await asyncio.sleep(0.1)
            jobs.append(asyncio.ensure_future(send(record, node.port, f"job-{len(jobs)}")))
        if TROUBLE:
            await asyncio.sleep(max(0.0, back - record.now()))
            discovery.down = False
            record.note("discovery is back")
        return any(await asyncio.gather(*jobs))
    finally:
        node.stop()


run_case(__file__, case)
