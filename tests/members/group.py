"""Nodes that know of each other, as processes, for tests that put a fault between them."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from measure.link import Link, free_places
from measure.rig import PATIENCE, Fleet, Node
from rushsaddle.cli_fleet import members_of

NOBODY = "127.0.0.1:9"  # a service that takes no calls
LIST = {"rev": 7, "all": True, "targets": [
    {"uid": f"s-{n}", "endpoint": f"127.0.0.1:{20 + n}", "az": "north", "model": "box", "pod_group": 0,
     "state": "ready", "capacity_hint": 1.0, "boot_ms": 0} for n in range(3)
]}


def until(what: str, condition: Callable[[], Any]) -> None:
    give_up = time.monotonic() + 2 * PATIENCE
    while not condition():
        assert time.monotonic() < give_up, f"never: {what}"
        time.sleep(0.02)


class Group:
    """Nodes by number, each with its members' address."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.fleet: Fleet | None = None
        self.link: Link | None = None

    def start(
        self, count: int, services: list[str] | None = None, lists: dict[int, Any] | None = None,
        link: bool = False, begin: bool = True,
    ) -> list[Node]:
        own = free_places(count)
        if link:
            self.link = Link(self.folder, own)
        self.fleet = Fleet(
            self.folder, count, services or NOBODY, own, self.link.public if self.link else None, known=lists
        )
        if begin:
            for node in self.fleet.nodes:
                node.begin()
        return self.fleet.nodes

    def told(self, n: int) -> dict[str, Any]:
        assert self.fleet is not None
        return members_of(self.fleet.own[n], self.fleet.key)

    def states(self, n: int) -> dict[str, str]:
        """What it thinks of each other, by its place; empty while it does not answer."""
        try:
            return {m["place"]: m["state"] for m in self.told(n)["members"]}
        except Exception:
            return {}

    def all_know_all(self) -> bool:
        assert self.fleet is not None
        count = len(self.fleet.nodes)
        return all(list(self.states(n).values()) == ["alive"] * (count - 1) for n in range(count))

    def has_list(self, n: int, rev: int = 7) -> bool:
        assert self.fleet is not None
        found = self.fleet.nodes[n].events("list")
        return bool(found) and found[-1]["version"] == rev and found[-1]["entries"] > 0
