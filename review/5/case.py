"""A process is replaced while discovery is down, after the node was told that a sender drains."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import TROUBLE, Client, Discovery, Node, Record, Sender, free_port, request, run_case

GRACE_S = 2.0 + 0.05
BINDS_S = 2.0  # what discovery tells binds so long after the new process's yes
DOWN_S = 8.0


async def say(port: int, call: bytes) -> bytes:
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(call + b"\n")
            line = await reader.readline()
            writer.close()
            return line
    except (OSError, TimeoutError):
        return b""


async def yes(record: Record, port: int, name: str) -> None:
    for _ in range(120):
        if (await say(port, b"STATUS")).startswith(b"ACK"):
            record.note(f"{name} says ACK to STATUS")
            return
        await asyncio.sleep(0.05)
    raise RuntimeError(f"{name} did not say yes in 6 s")


async def load(record: Record, port: int, stop: asyncio.Event) -> None:
    """Some 50 jobs a second, one after another on kept connections."""

    async def one(n: int) -> None:
        client = await Client(record, port).connect()
        count = 0
        while not stop.is_set():
            count += 1
            name = f"job-{n}-{count}"
            client.writer.write(request("single-text", name, 5.0))
            answer = await client.answer(name, record.now() + 5.5)
            if answer is None or answer.close:
                client.close()
                client = await Client(record, port).connect()
            await asyncio.sleep(0.1)

    await asyncio.gather(*(one(n) for n in range(10)))


async def case(record: Record) -> bool:
    senders = [Sender(record, f"s-{n}", lambda name: 0.1, cell=n // 3) for n in range(6)]
    for sender in senders:
        await sender.start()
    entries = [s.entry() for s in senders]
    discovery = Discovery(record, "discovery", entries)
    await discovery.start()
    node = Node(record, discovery.address, entries)
    platform = socket.create_server(("127.0.0.1", node.port), backlog=512)
    node.fd = platform.fileno()
    stop = asyncio.Event()
    try:
        admins = [free_port(), free_port()]
        node.env = {"GW_INHERITED_FD": "3", "GW_ADMIN_ADDR": f"127.0.0.1:{admins[0]}"}
        old = node.start("old process")
        await yes(record, admins[0], "old process")
        running = asyncio.ensure_future(load(record, node.port, stop))
        await asyncio.sleep(1.0)
        told = discovery.change("s-0", state="draining")
        await asyncio.sleep(3.0)
        if TROUBLE:
            discovery.down = True
            for writer in list(discovery.writers):
                writer.close()
            record.note("discovery is down: watches end, calls get 503")
        back = record.now() + DOWN_S
        await asyncio.sleep(0.2)
        node.env["GW_ADMIN_ADDR"] = f"127.0.0.1:{admins[1]}"
        node.start("new process")
        await yes(record, admins[1], "new process")
        binds = record.now() + BINDS_S
        node.signal(old, signal.SIGTERM)
        for _ in range(37):
            await asyncio.sleep(0.1)
            if old.poll() is not None:
                break
        else:
            node.signal(old, signal.SIGKILL)
        await asyncio.sleep(max(0.0, back - record.now()))
        discovery.down = False
        record.note("discovery is back")
        await asyncio.sleep(1.0)
        stop.set()
        await running
        late = [job for job in senders[0].jobs if job.at > max(told, binds) + GRACE_S]
        record.note(f"s-0 drains at {told:.3f}, binding the new process from {binds:.3f}; "
                    f"{len(late)} jobs to it begun after {max(told, binds) + GRACE_S:.3f}")
        return bool(late)
    finally:
        node.stop()


run_case(__file__, case)
