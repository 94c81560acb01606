"""Addresses, and the entries of a list of next hops as the decisions read them."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from tansygw.interface import WorkerEntry, WorkerState

Address = tuple[str, int]
LIST_MOST = 4 * 1024 * 1024  # bytes of one list, whoever tells it
NOWHERE: Address = ("", 0)  # an entry that is gone need not tell where it was
STATES = {s.value: s for s in WorkerState}


def address(text: Any) -> Address:
    """Where something listens.  Names are not taken: looking one up would stop the whole node."""
    host, _, port = str(text).rpartition(":")
    try:
        if 0 <= int(port) < 65536:
            return str(IPv4Address(host)), int(port)
    except ValueError:
        pass
    raise ValueError(f"{text!r} is not an IPv4 address and port")


@dataclass(slots=True, frozen=True)
class PeerAddresses:
    """Where words go and come from.

    ``everybody`` takes a datagram for all nodes of the group; ``nodes`` are the addresses that they send
    from, by number.
    """

    listen: Address
    nodes: tuple[Address, ...]
    everybody: Address | None


@dataclass(slots=True, frozen=True)
class Names:
    """Zones and machine kinds are numbers to the decisions: their places in the settings' lists."""

    zones: dict[Any, int]
    kinds: dict[Any, int]

    @classmethod
    def of(cls, zones: list[Any], kinds: list[Any]) -> Names:
        return cls({name: n for n, name in enumerate(zones)}, {name: n for n, name in enumerate(kinds)})

    def entries(self, targets: Any) -> list[tuple[WorkerEntry, Address]]:
        """The entries of a list; raises ValueError, KeyError or TypeError on what is none."""
        found = []
        for target in targets:
            state = STATES.get(target["state"])
            if state is None:  # a state of later making: the entry is skipped
                continue
            where = address(target["endpoint"]) if state is not WorkerState.GONE else NOWHERE
            entry = WorkerEntry(
                str(target["uid"]), state, self.zones.get(target.get("az"), -1),
                self.kinds.get(target.get("model"), -1), int(target.get("pod_group") or 0),
                float(target.get("capacity_hint", 1.0)), int(target.get("boot_ms") or 0) * 1000,
            )
            found.append((entry, where))
        return found
