"""Plays a recorded exchange against a started node and compares what it sends, byte for byte.

A recording is a text file.  ``#`` begins a comment, ``set NAME JSON`` changes a setting, and the other
lines are steps of named parties:

    c opens | d opens door | a accepts h1 | w accepts discovery      the connection gets the first name
    c sends, c gets                                   the bytes follow in lines that begin with ``|``
    door says STATUS\\n gets ACK serving\\n            a whole call at the operators' door
    c closes | c resets | c ends its sending | c sees the end | h1 stops | h1 fills | h1 empties
    w drips until the end
    config moves to discovery2 | config names KEY JSON | config breaks
    pause 0.5 | signal TERM | node ends 0 | node says TEXT | node has not said TEXT | node dies | node starts
    set operator waiting.store "{folder}"             a setting of the operator, by the environment
    set assign limits.class.bulk-batch.attempts=1 | set routes /single-text/urgent

The lines of a block are joined by CRLF; escapes such as ``\\n`` work, and ``{*}`` stands for any
text within a line.  ``{h1}`` is the address of a next hop, ``{x*9}`` is nine times ``x``, ``{now+1.5}`` the
Unix time in 1.5 s, ``{folder}`` a folder that outlives the node.
"""

from __future__ import annotations

import json
import os
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

PATIENCE = 20.0  # seconds; only a failure waits for so long
ROOT = Path(__file__).parent.parent
SERVICES = [
    {"Name": "single-text", "Effect": "dedup", "Group": "cell", "WindowUs": 7500000, "OnTimeUs": 75000,
     "HardLimitUs": 5000000, "Worth": 8.0, "LateValue": 0.1},
    {"Name": "bulk-batch", "Effect": "fragile", "OnTimeUs": 250000, "HardLimitUs": 10000000, "Worth": 10.0,
     "LateValue": 0.1},
]
SETTINGS: dict[str, Any] = {
    "Azs": ["north", "south"], "Kinds": ["fast", "slow"], "Discovery": "pushed", "TickUs": 2000,
    "Limits": {"Cancel": True, "SecondCopies": True, "RetryAfter": True, "MayProbe": False, "MaxAttempts": 4,
               "MaxRetryAfterUs": 2000000, "ConnectTimeoutUs": 250000, "ConnIdleUs": 60000000},
    "LoadReport": {"Names": ["x0"], "Via": "pull"}, "FamilyInfo": {"ReportX0": "free slots"},
    "Rules": {"DrainGraceUs": 2000000, "MustAskInUs": 1000000},
    "Services": SERVICES,
}


def listener() -> socket.socket:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(64)
    sock.settimeout(PATIENCE)
    return sock


class Player:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.listeners = {name: listener() for name in ("h1", "h2", "discovery", "discovery2")}
        self.ports = {name: sock.getsockname()[1] for name, sock in self.listeners.items()}
        self.open: dict[str, socket.socket] = {}
        self.settings: dict[str, Any] = json.loads(json.dumps(SETTINGS))
        self.limits = {"sockets": 256}
        self.files = 0  # descriptors that the system gives the node; 0: its usual
        self.hops = ["h1"]
        self.more: dict[str, Any] = {}  # further keys of the configuration
        self.operator: dict[str, str] = {}
        self.node: subprocess.Popen[bytes] | None = None
        self.told: dict[str, Any] = {}  # the configuration that it started with
        self._ports = (0, 0)  # of the node and its operators' door, which take free ones and say which
        self._from = 0  # the log of this node begins there

    # ------------------------------------------------------------ the node

    def start(self) -> None:
        self.launch()
        self._ready()

    def launch(self) -> None:
        targets = [
            {"uid": f"s-{name}", "endpoint": f"127.0.0.1:{self.ports[name]}", "az": "north", "model": "fast",
             "pod_group": 0, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0}
            for name in self.hops
        ]
        discovery = f"127.0.0.1:{self.ports['discovery']}"
        self.told = {
            "name": "n0", "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0", "seed": "1f",
            "limits": self.limits, "discovery": discovery, "settings": self.settings,
            "known": {"rev": 41, "all": True, "targets": targets}, **self.more,
        }
        self.configure(json.dumps(self.told))
        env = {**os.environ, "GW_CONFIG": str(self.folder / "config.json"), "GW_DISCOVERY": discovery}
        for name in ("GW_NAME", "GW_LISTEN", "GW_ADMIN_ADDR", "GW_INHERITED_FD"):
            env.pop(name, None)
        env |= self.operator
        self._ports = (0, 0)
        self._from = len(self.log()) if (self.folder / "log").exists() else 0
        with open(self.folder / "log", "ab") as log:
            self.node = subprocess.Popen(
                [sys.executable, "-m", "rushsaddle"], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        if self.files:
            resource.prlimit(self.node.pid, resource.RLIMIT_NOFILE, (self.files, self.files))

    @property
    def port(self) -> int:
        return self._ready()[0]

    @property
    def door(self) -> int:
        return self._ready()[1]

    def _ready(self) -> tuple[int, int]:
        """Who speaks first waits for it: a node that asks for its list is ready once that was answered."""
        assert self.node is not None
        until = time.monotonic() + PATIENCE
        ready = r'"ready","listen":"127.0.0.1:(\d+)","door":"127.0.0.1:(\d+)"'
        while not self._ports[0]:
            if (found := re.search(ready, self.log()[self._from:])) is not None:
                self._ports = int(found[1]), int(found[2])
                break
            assert self.node.poll() is None and time.monotonic() < until, "the node did not start"
            time.sleep(0.01)
        return self._ports

    def configure(self, text: str) -> None:
        (self.folder / "config.json").write_text(text)

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def stop(self) -> None:
        if self.node is not None and self.node.poll() is None:
            self.node.kill()
            self.node.wait()
        for sock in (*self.open.values(), *self.listeners.values()):
            sock.close()

    # ------------------------------------------------------------ the steps

    def play(self, text: str) -> None:
        lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
        while lines:
            words = lines.pop(0).split()
            block = []
            while lines and lines[0].startswith("|"):
                block.append(lines.pop(0)[1:].removeprefix(" "))
            self.step(words, "\r\n".join(block))

    def step(self, words: list[str], block: str) -> None:
        match words:
            case ["set", "hops", *names]:
                self.hops = names
            case ["set", "assign", assignment]:
                before = self.operator.get("RUSHSADDLE_SET", "")
                self.operator["RUSHSADDLE_SET"] = f"{before}{assignment}\n"
            case ["set", "routes", *paths]:
                routes = ", ".join(f'{{match = "{path}"}}' for path in paths)
                self.step(["set", "operator", "limits.route", f"[{routes}]"], "")
            case ["set", "operator", name, *value]:
                section, key = name.split(".")
                folder = str(self.folder / "kept")
                os.makedirs(folder, exist_ok=True)
                text = " ".join(value).replace("{folder}", folder)
                self.operator[f"RUSHSADDLE_{section}__{key}".upper()] = text
            case ["set", "files", count]:
                self.files = int(count)
            case ["set", "sockets", count]:
                self.limits["sockets"] = int(count)
            case ["set", name, *value]:
                place = self.settings
                *path, last = name.split(".")
                for part in path:
                    place = place[part]
                place[last] = json.loads(" ".join(value))
            case _:
                if self.node is None:
                    self.launch()
                self.act(words, block)

    def act(self, words: list[str], block: str) -> None:
        assert self.node is not None
        match words:
            case [name, "opens"]:
                self.open[name] = socket.create_connection(("127.0.0.1", self.port), PATIENCE)
            case ["door", "says", call, "gets", *answer]:  # one whole call, to its end
                with socket.create_connection(("127.0.0.1", self.door), PATIENCE) as door:
                    door.sendall(self.raw(call))
                    got = b"".join(iter(lambda: door.recv(65536), b""))
                assert got == self.raw(" ".join(answer)), f"the door answered {got!r}"
            case [name, "opens", "door"]:
                self.open[name] = socket.create_connection(("127.0.0.1", self.door), PATIENCE)
            case [name, "ends", "its", "sending"]:
                self.open[name].shutdown(socket.SHUT_WR)
            case [name, "accepts", where]:
                self.open[name] = self.listeners[where].accept()[0]
                self.open[name].settimeout(PATIENCE)
            case [name, "sends"]:
                self.open[name].sendall(self.raw(block))
            case [name, "gets"]:
                self.compare(name, self.raw(block))
            case [name, "closes"]:
                self.open.pop(name).close()
            case [name, "resets"]:
                sock = self.open.pop(name)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
            case [name, "sees", "the", "end"]:
                with suppress(ConnectionResetError):
                    assert self.open[name].recv(65536) == b""
            case [name, "drips", "until", "the", "end"]:  # chunks of a blank, as long as they are taken
                sock, until = self.open[name], time.monotonic() + PATIENCE
                sock.settimeout(0.2)
                with suppress(ConnectionError):
                    while time.monotonic() < until:
                        sock.sendall(b"\r\n1\r\n ")
                        with suppress(TimeoutError):
                            if not sock.recv(1):
                                break
                assert time.monotonic() < until, f"{name} drips on"
            case [name, "stops"]:
                self.listeners.pop(name).close()
            case [name, "fills"]:  # its backlog is full: further connections never come up
                self.listeners[name].listen(0)
                for n in range(4):
                    self.open[f"{name} filler {n}"] = sock = socket.socket()
                    sock.setblocking(False)
                    sock.connect_ex(("127.0.0.1", self.ports[name]))
            case [name, "empties"]:  # those that filled it are taken: connections come up again
                self.listeners[name].listen(64)
                self.listeners[name].settimeout(0.2)
                with suppress(TimeoutError):
                    while True:
                        self.open[f"{name} taken {len(self.open)}"] = self.listeners[name].accept()[0]
                self.listeners[name].settimeout(PATIENCE)
            case ["config", "moves", "to", name]:
                self.configure(json.dumps({**self.told, "discovery": f"127.0.0.1:{self.ports[name]}"}))
            case ["config", "names", name, *value]:
                self.configure(json.dumps({**self.told, name: json.loads(" ".join(value))}))
            case ["config", "breaks"]:
                self.configure("{")
            case ["pause", seconds]:
                time.sleep(float(seconds))
            case ["signal", name]:
                self.node.send_signal(getattr(signal, f"SIG{name}"))
            case ["node", "dies"]:
                self.node.kill()
                self.node.wait()
            case ["node", "starts"]:
                self.start()
            case ["node", "ends", code]:
                assert self.node.wait(PATIENCE) == int(code)
            case ["node", "has", "not", "said", *text]:  # up to what it has done so far
                assert " ".join(text) not in self.log()[self._from:], f"said: {' '.join(text)}"
            case ["node", "says", *text]:
                until = time.monotonic() + PATIENCE
                while " ".join(text) not in self.log():
                    assert time.monotonic() < until, f"not said: {' '.join(text)}"
                    time.sleep(0.01)
            case _:
                raise ValueError(f"no such step: {' '.join(words)}")

    def raw(self, block: str) -> bytes:
        for name, port in self.ports.items():
            block = block.replace(f"{{{name}}}", f"127.0.0.1:{port}")
        block = re.sub(r"\{now([+-][\d.]+)\}", lambda m: f"{time.time() + float(m[1]):.3f}", block)
        block = re.sub(r"\{(.)\*(\d+)\}", lambda m: m[1] * int(m[2]), block)
        return block.encode("latin-1").decode("unicode_escape").encode("latin-1")

    def compare(self, name: str, wanted: bytes) -> None:
        pattern = re.compile(re.escape(wanted).replace(rb"\{\*\}", rb"[^\r\n]*"))
        got = b""
        while not pattern.fullmatch(got):
            try:
                piece = self.open[name].recv(65536)
            except OSError:
                piece = b""
            if not piece:
                assert got == wanted, f"{name} got {got!r}\n{self.log()}"
                return
            got += piece
