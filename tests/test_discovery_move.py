"""Discovery is moved by SIGHUP in the moment in which the service that is left sends something, or ends."""

from __future__ import annotations

import json
import os
import re
import socket

import pytest

from .play import TIMEOUT_S, Player

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"


class Move:
    """A node with two next hops that follows a discovery service, and is told to move to a second one."""

    def __init__(self, player: Player) -> None:
        player.settings["Discovery"] = "on_request"
        player.hops = ["h1", "h2"]
        self.player = player
        player.launch()
        self.old = self.accept_call("discovery")[0]

    def accept_call(self, service: str) -> tuple[socket.socket, str]:
        """The next call to a service, and its target."""
        connection = self.player.listeners[service].accept()[0]
        connection.settimeout(TIMEOUT_S)
        received = b""
        while b"\r\n\r\n" not in received:
            piece = connection.recv(65536)
            assert piece
            received += piece
        return connection, received.split()[1].decode()

    def line(self, version: int, complete: bool = False, **states: str) -> bytes:
        """A list with the state of each next hop that it names, as a chunk."""
        targets = [
            {"uid": f"s-{name}", "endpoint": f"127.0.0.1:{self.player.ports[name]}", "az": "north",
             "model": "fast", "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": 0}
            for name, state in states.items()
        ]
        text = json.dumps({"rev": version, "all": complete, "targets": targets}).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    def follow(self) -> None:
        """Let the node receive its first list from the first service."""
        self.old.sendall(HEAD + self.line(42))
        self.says('"ready"')

    def move(self, crossing: bytes, end: bool = False) -> None:
        """Move to the second service.  The first one sends ``crossing`` while the node rereads its file.

        The file is a pipe, so the node stands still between the signal and the change of the service.
        """
        path = self.player.folder / "config.json"
        pipe = self.player.folder / "pipe"
        os.mkfifo(pipe)
        pipe.rename(path)
        self.player.execute(["signal", "HUP"], "")
        writer = os.open(path, os.O_WRONLY)  # returns once the node has opened it
        self.old.sendall(crossing)
        if end:
            self.old.close()
        config = {**self.player.config, "discovery": f"127.0.0.1:{self.player.ports['discovery2']}"}
        os.write(writer, json.dumps(config).encode())
        os.close(writer)

    def says(self, text: str) -> None:
        self.player.execute(["node", "says", *text.split(" ")], "")


@pytest.fixture
def move(player: Player) -> Move:
    return Move(player)


@pytest.mark.parametrize("answered", [True, False])
def test_the_end_of_the_old_service_says_nothing_about_the_new_one(move: Move, answered: bool) -> None:
    """The failure counted as one of the new service, which was called only after a back-off."""
    if answered:
        move.follow()
    move.move(b"" if answered else UNAVAILABLE, end=True)
    new, target = move.accept_call("discovery2")
    assert target == "/v1/servers?watch=1"
    log = move.player.log()
    assert re.search(r'"event":"discovery failed"', log) is None
    new.close()
