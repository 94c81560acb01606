"""What lies between members: each one's public address, behind which its datagrams and calls pass on, or not.

    python -m measure.link FILE

FILE is JSON: ``places`` ([[public, own], ...]), ``seed``.  Commands come as lines on standard input, each is
answered by ``ok``: ``cut A B`` (what A sends to B is lost; ``*`` stands for all), ``lose SHARE``,
``delay MS``, ``heal`` (all of it).  It ends with its input.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import subprocess
import sys
from pathlib import Path
from random import Random
from typing import Any

PORT = 7400


def free_places(count: int) -> list[str]:
    """Addresses that nobody holds, as UDP and as TCP: each its own of the loopback's, so that no connection
    that is opened meanwhile takes the port."""
    while True:
        net = random.randrange(16, 120)
        found = [f"127.{net}.{n // 250}.{n % 250 + 1}" for n in range(count)]
        held: list[socket.socket] = []
        try:
            for host in found:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    held.append(socket.socket(socket.AF_INET, kind))
                    held[-1].bind((host, PORT))
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
        return [f"{host}:{PORT}" for host in found]


class Link:
    """The process, from outside."""

    def __init__(self, folder: Path, own: list[str], seed: int = 1) -> None:
        self.public = free_places(len(own))
        file = folder / "link.json"
        file.write_text(json.dumps({"places": list(zip(self.public, own, strict=True)), "seed": seed}))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "measure.link", str(file)], stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            text=True,
        )
        self._hear()

    def _hear(self) -> None:
        assert self.process.stdout is not None
        if self.process.stdout.readline().strip() != "ok":
            raise RuntimeError("the link has ended")

    def say(self, command: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        self._hear()

    def cut(self, source: int | str, place: int | str) -> None:
        self.say(f"cut {source} {place}")

    def heal(self) -> None:
        self.say("heal")

    def stop(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait(10)


class Between:
    def __init__(self, told: dict[str, Any]) -> None:
        self.own = {own: n for n, (_, own) in enumerate(told["places"])}
        self.random = Random(told["seed"])
        self.cuts: set[tuple[str, str]] = set()
        self.loss = self.delay_s = 0.0

    def lost(self, source: int | str, place: int) -> bool:
        pairs = ((s, p) for s in (str(source), "*") for p in (str(place), "*"))
        return any(pair in self.cuts for pair in pairs) or self.random.random() < self.loss

    def command(self, line: str) -> None:
        match line.split():
            case ["cut", source, place]:
                self.cuts.add((source, place))
            case ["lose", share]:
                self.loss = float(share)
            case ["delay", ms]:
                self.delay_s = float(ms) / 1000
            case ["heal"]:
                self.cuts.clear()
                self.loss = self.delay_s = 0.0
            case _:
                raise ValueError(line)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, between: Between, number: int, own: tuple[str, int]) -> None:
        self.between = between
        self.number = number
        self.to = own

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        source = self.between.own.get(f"{addr[0]}:{addr[1]}", "?")
        if not self.between.lost(source, self.number):
            loop = asyncio.get_running_loop()
            loop.call_later(self.between.delay_s, self.transport.sendto, data, self.to)

    def error_received(self, exc: Exception) -> None:
        pass  # the member behind it is not there


async def pipe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def main() -> None:
    told = json.loads(Path(sys.argv[1]).read_text())
    between, loop = Between(told), asyncio.get_running_loop()
    servers = []
    for n, (public, own) in enumerate(told["places"]):
        at, to = ((a.partition(":")[0], int(a.partition(":")[2])) for a in (public, own))
        await loop.create_datagram_endpoint(
            lambda n=n, to=to: Datagrams(between, n, to), local_addr=at  # type: ignore[misc]
        )

        async def call(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, n: int = n, to: tuple[str, int] = to
        ) -> None:
            if between.lost("?", n):  # who calls cannot be told: only a cut from all stops it
                writer.close()
                return
            try:
                there, back = await asyncio.open_connection(*to)
            except OSError:
                writer.close()
                return
            await asyncio.gather(pipe(reader, back), pipe(there, writer))

        servers.append(await asyncio.start_server(call, *at))
    print("ok", flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        between.command(line)
        print("ok", flush=True)


if __name__ == "__main__":
    asyncio.run(main())
