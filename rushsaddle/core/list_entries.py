"""Parses addresses and the entries of a next hop list into those of the decision module."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from tansygw.interface import WorkerEntry, WorkerState

Address = tuple[str, int]
MAX_LIST_BYTES = 4 * 1024 * 1024  # from any source
NO_ADDRESS: Address = ("", 0)  # for next hops that are gone, whose address may be missing
STATES = {s.value: s for s in WorkerState}
LEAVING = (WorkerState.DRAINING.value, WorkerState.GONE.value)


def address(text: Any) -> Address:
    """Parse "IPv4:port"; raises ValueError.  Host names are rejected: look-ups would block the loop."""
    host, _, port = str(text).rpartition(":")
    try:
        if 0 <= int(port) < 65536:
            return str(IPv4Address(host)), int(port)
    except ValueError:
        pass
    raise ValueError(f"{text!r} is not an IPv4 address and port")


@dataclass(slots=True, frozen=True)
class PeerAddresses:
    """Addresses for peer messages.

    A datagram to ``broadcast`` reaches all nodes of the group; ``nodes`` are their source addresses, by rank.
    """

    listen: Address
    nodes: tuple[Address, ...]
    broadcast: Address | None


@dataclass(slots=True, frozen=True)
class EntryReader:
    """Reads list entries; zones and machine kinds become their index in the lists of the settings."""

    zones: dict[Any, int]
    kinds: dict[Any, int]

    @classmethod
    def of(cls, zones: list[Any], kinds: list[Any]) -> EntryReader:
        """Create a reader from the lists of zones and machine kinds in the settings."""
        return cls({name: n for n, name in enumerate(zones)}, {name: n for n, name in enumerate(kinds)})

    def entries(self, targets: Any, unread: list[str] | None = None) -> list[tuple[WorkerEntry, Address]]:
        """Return the entries of a list.

        Raises AttributeError, KeyError, OverflowError, TypeError or ValueError on malformed ones.

        With ``unread`` a malformed entry is skipped and the reason appended there, so that it does not
        invalidate the other entries.  A malformed entry that still shows a departure is used for that.
        """
        entries_read = []
        for target in targets:
            try:
                entry = self._entry(target)
            except (AttributeError, KeyError, OverflowError, TypeError, ValueError) as error:
                if unread is None:
                    raise
                unread.append(f"{type(error).__name__}: {error}")
                entry = _leaving(target)
            if entry is not None:
                entries_read.append(entry)
        return entries_read

    def _entry(self, target: Any) -> tuple[WorkerEntry, Address] | None:
        state = STATES.get(target["state"])
        if state is None:  # a state of a newer protocol version: skip the entry
            return None
        # A draining next hop gets no new requests, so its address may be missing.
        known = state is WorkerState.READY or target.get("endpoint")
        endpoint = address(target["endpoint"]) if known and state is not WorkerState.GONE else NO_ADDRESS
        entry = WorkerEntry(
            str(target["uid"]), state, self.zones.get(target.get("az"), -1),
            self.kinds.get(target.get("model"), -1), int(target.get("pod_group") or 0),
            float(target.get("capacity_hint", 1.0)), int(target.get("boot_ms") or 0) * 1000,
        )
        return entry, endpoint


def _leaving(target: Any) -> tuple[WorkerEntry, Address] | None:
    """Return the departure that a malformed entry shows, or None."""
    if isinstance(target, dict) and isinstance(target.get("uid"), str) and target.get("state") in LEAVING:
        return WorkerEntry(target["uid"], WorkerState.DRAINING), NO_ADDRESS
    return None
