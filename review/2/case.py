"""New configurations move discovery while the service that is left tells the changes of a release."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import TROUBLE, Client, Discovery, Node, Record, Sender, request, run_case

GRACE_S = 2.0 + 0.05
TOLD_S = 6.0  # a change counts as told this long after discovery had it
TOLD_AFTER_HUP_S = 4.0
MOVES = 4


async def load(record: Record, port: int, stop: asyncio.Event) -> None:
    """Some 15 jobs a second, one after another on kept connections."""
    clients = [await Client(record, port).connect() for _ in range(3)]

    async def one(n: int, client: Client) -> None:
        count = 0
        while not stop.is_set():
            count += 1
            name = f"job-{n}-{count}"
            client.writer.write(request("single-text", name, 5.0))
            answer = await client.answer(name, record.now() + 5.5)
            if answer is None or answer.close:
                client.close()
                await client.connect()
            await asyncio.sleep(0.1)

    await asyncio.gather(*(one(n, client) for n, client in enumerate(clients)))


async def case(record: Record) -> bool:
    senders = [Sender(record, f"s-{n}", lambda name: 0.1, cell=n // 4) for n in range(12)]
    for sender in senders:
        await sender.start()
    entries = [s.entry() for s in senders]
    services = [Discovery(record, f"discovery {n}", entries) for n in range(MOVES + 1)]
    for service in services:
        await service.start()
    node = Node(record, services[0].address, entries)
    stop = asyncio.Event()
    leaving = []
    try:
        process = node.start()
        if not await node.ready():
            raise RuntimeError("not ready")
        running = asyncio.ensure_future(load(record, node.port, stop))
        broken = False
        for move in range(MOVES):
            await asyncio.sleep(2.0)
            current = services[move + 1 if TROUBLE else 0]
            # Of the last four senders two begin to drain and come back.  Each change is a line of its own,
            # and all services that have not been left tell the same.
            in_use = services[move if TROUBLE else 0 :]
            changing = [f"s-{8 + 2 * (move % 2) + n}" for n in range(2)]
            steps = [(uid, state) for state in ("draining", "ready") for uid in changing]
            hup = record.now()
            if TROUBLE:
                node.config["discovery"] = current.address
                node.write_config()
                hup = node.signal(process, signal.SIGHUP)
            for uid, state in steps:
                for service in in_use:
                    service.change(uid, state=state)
                time.sleep(0.0003)
            if TROUBLE:
                leaving.append(asyncio.ensure_future(services[move].leave()))
            await asyncio.sleep(1.5)
            uid = f"s-{move}"  # this one drains for good
            for service in in_use:
                drained = service.change(uid, state="draining")
            told = max(hup + TOLD_AFTER_HUP_S, drained + TOLD_S)
            await asyncio.sleep(max(0.0, told + GRACE_S + 4.0 - record.now()))
            late = [job for job in senders[move].jobs if job.at > told + GRACE_S]
            record.note(
                f"{uid} drains at {drained:.3f}, told at {told:.3f} at the latest; {len(late)} jobs to it "
                f"begun after {told + GRACE_S:.3f}; calls of the service in force: {current.calls}"
            )
            if late:
                broken = True
                break
        stop.set()
        await running
        await asyncio.gather(*leaving)
        return broken
    finally:
        node.stop()


run_case(__file__, case, 110.0)
