"""Relays the traffic between fleet members through a public address for each, with cuts, loss and delay.

    python -m measure.link FILE

FILE is JSON: ``places`` ([[public, own], ...]), ``seed``.  Commands are read as lines from standard
input, and each is answered by ``ok``: ``cut A B`` (drops what A sends to B; ``*`` stands for all),
``lose SHARE`` (drops this share of datagrams and connections), ``delay MS`` (of datagrams), ``heal`` (ends
all of these).  It exits at the end of its input.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import subprocess
import sys
from collections.abc import Collection
from pathlib import Path
from random import Random
from typing import Any

PORT = 7400
NETS = range(16, 120)  # second octets of the loopback addresses that are drawn


def net_of(place: str) -> int:
    """The second octet of an address."""
    return int(place.split(".")[1])


def free_places(count: int, taken: Collection[str] = ()) -> list[str]:
    """Free addresses for both UDP and TCP, each on a loopback IP of its own, so that no outgoing connection
    can take the port in the meantime.

    ``taken``: addresses drawn before, whose owners may not have bound them yet; the new ones share no net
    with them.  Raises ValueError if no net is left.
    """
    taken_nets = {net_of(place) for place in taken}
    nets = [net for net in NETS if net not in taken_nets]
    if not nets:
        raise ValueError("no net is left for more addresses")
    while True:
        net = random.choice(nets)
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
    """Starts and controls the relay process."""

    def __init__(self, folder: Path, own: list[str], seed: int = 1) -> None:
        self.public = free_places(len(own), taken=own)
        file = folder / "link.json"
        file.write_text(json.dumps({"places": list(zip(self.public, own, strict=True)), "seed": seed}))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "measure.link", str(file)], stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            text=True,
        )
        self._await_ok()

    def _await_ok(self) -> None:
        assert self.process.stdout is not None
        if self.process.stdout.readline().strip() != "ok":
            raise RuntimeError("the link process has ended")

    def send_command(self, command: str) -> None:
        """Send one command and wait for its ``ok``; raises RuntimeError if the relay has ended."""
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        self._await_ok()

    def cut(self, source: int | str, place: int | str) -> None:
        """Drop what member ``source`` sends to member ``place``; ``*`` stands for all."""
        self.send_command(f"cut {source} {place}")

    def heal(self) -> None:
        self.send_command("heal")

    def stop(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait(10)


class Faults:
    """The cuts, loss and delay in force."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.own = {own: n for n, (_, own) in enumerate(config["places"])}
        self.random = Random(config["seed"])
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


class DatagramRelay(asyncio.DatagramProtocol):
    """Relays the datagrams sent to one member's public address."""

    def __init__(self, faults: Faults, number: int, own: tuple[str, int]) -> None:
        self.faults = faults
        self.number = number
        self.target = own

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        source = self.faults.own.get(f"{addr[0]}:{addr[1]}", "?")
        if not self.faults.lost(source, self.number):
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.delay_s, self.transport.sendto, data, self.target)

    def error_received(self, exc: Exception) -> None:
        pass  # the member is not running


async def copy_stream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def main() -> None:
    config = json.loads(Path(sys.argv[1]).read_text())
    faults, loop = Faults(config), asyncio.get_running_loop()
    servers = []
    for n, (public, own) in enumerate(config["places"]):
        listen_on, target = ((a.partition(":")[0], int(a.partition(":")[2])) for a in (public, own))
        await loop.create_datagram_endpoint(
            lambda n=n, target=target: DatagramRelay(faults, n, target), local_addr=listen_on  # type: ignore[misc]
        )

        async def relay_call(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, n: int = n,
            target: tuple[str, int] = target,
        ) -> None:
            if faults.lost("?", n):  # the caller is unknown here: only a cut from all drops the call
                writer.close()
                return
            try:
                upstream_reader, upstream_writer = await asyncio.open_connection(*target)
            except OSError:
                writer.close()
                return
            await asyncio.gather(copy_stream(reader, upstream_writer), copy_stream(upstream_reader, writer))

        servers.append(await asyncio.start_server(relay_call, *listen_on))
    print("ok", flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        faults.command(line)
        print("ok", flush=True)


if __name__ == "__main__":
    asyncio.run(main())
