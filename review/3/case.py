"""A request that is written slowly across a replacement of the process."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import TROUBLE, Client, Discovery, Node, Record, Sender, free_port, request, run_case

RUN_S = 4.0  # a long batch
TIMEOUT_S = 10.0


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


async def case(record: Record) -> bool:
    senders = [Sender(record, f"s-{n}", lambda name: RUN_S if name == "slow-1" else 0.1) for n in range(4)]
    for sender in senders:
        await sender.start()
    discovery = Discovery(record, "discovery", [s.entry() for s in senders])
    await discovery.start()
    node = Node(record, discovery.address, [s.entry() for s in senders])
    platform = socket.create_server(("127.0.0.1", node.port), backlog=512)
    node.fd = platform.fileno()
    try:
        admins = [free_port(), free_port()]
        node.env = {"GW_INHERITED_FD": "3", "GW_ADMIN_ADDR": f"127.0.0.1:{admins[0]}"}
        old = node.start("old process")
        await yes(record, admins[0], "old process")
        client = await Client(record, node.port).connect()
        client.writer.write(request("single-text", "first-1", 5.0))
        first = await client.answer("first-1", record.now() + 5.0)
        assert first is not None and first.status == 200, "no service"
        if TROUBLE:
            node.env["GW_ADMIN_ADDR"] = f"127.0.0.1:{admins[1]}"
            node.start("new process")
            await yes(record, admins[1], "new process")
        raw = request("bulk-batch", "slow-1", TIMEOUT_S, b"x" * 400)
        client.writer.write(raw[:-200])
        record.note("client: slow-1: head and half of the body written")
        await asyncio.sleep(0.3)
        told = record.now()
        if TROUBLE:
            told = node.signal(old, signal.SIGTERM)
        await asyncio.sleep(1.2)
        client.writer.write(raw[-200:])
        came = record.note("client: slow-1: last byte written")
        asked = asyncio.ensure_future(client.answer("slow-1", came + TIMEOUT_S + 0.5))
        await asyncio.sleep(max(0.0, told + 3.0 + 0.7 - record.now()))
        if TROUBLE and old.poll() is None:
            node.signal(old, signal.SIGKILL)
        answer = await asked
        return answer is None or answer.status == 0
    finally:
        node.stop()


run_case(__file__, case)
