"""Subsetting: which servers of a large fleet one node uses, stable and evenly spread over all nodes.

Nodes are the dispatchers of a group and servers are their workers.

The work for a request, and the number of connections and probes of a node, must not grow with the fleet.
Every server has a position on a ring, from a hash of its name, and every node one from its rank; a node uses
the servers that follow its position.  A server that joins or leaves changes one entry in the subsets of the
nodes near it and no others (deterministic subsetting, as in chapter 20 of "Site Reliability Engineering",
with the ring of consistent hashing).
"""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field
from hashlib import blake2b
from math import ceil

from .worker import Worker

MIN_SUBSET_SIZE = 256  # servers; a fleet of at most this size is used whole
MIN_NODES_PER_SERVER = 16  # so that a node with little traffic does not leave its servers idle
MIN_SERVERS_PER_KIND = 32  # of each machine kind, where some classes are bound to one kind
RING_BITS = 64

Position = tuple[int, str]  # position on the ring and the server's name


def ring_position(name: str) -> int:
    """Return the position of a server on the ring: a 64-bit hash of its name."""
    return int.from_bytes(blake2b(name.encode(), digest_size=RING_BITS // 8).digest(), "big")


@dataclass(slots=True)
class _RingEntry:
    """The kind, cell and ring position under which a ready server is stored."""

    kind: int
    cell: int
    position: Position


@dataclass(slots=True)
class ServerPool:
    """All ready servers of the list: one ring for each machine kind, and an index by cell."""

    rank: int
    group_size: int
    by_kind: bool  # some class is bound to one machine kind
    _entries: dict[str, _RingEntry] = field(default_factory=dict)
    _rings: dict[int, list[Position]] = field(default_factory=dict)
    _cells: dict[int, dict[str, Worker]] = field(default_factory=dict)
    _workers: dict[str, Worker] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def exceeds_subset(self) -> bool:
        """True where the fleet is larger than the subset that a node uses."""
        return len(self._entries) > MIN_SUBSET_SIZE

    def update(self, worker: Worker) -> None:
        """Add, move or remove a server after its list entry changed or it left the list."""
        kind = worker.kind if self.by_kind else 0
        before = self._entries.get(worker.name)
        if before is not None:
            if worker.ready and before.kind == kind and before.cell == worker.cell:
                return
            self._remove(worker, before)
        if worker.ready:
            position = ring_position(worker.name), worker.name
            self._entries[worker.name] = _RingEntry(kind, worker.cell, position)
            self._workers[worker.name] = worker
            insort(self._rings.setdefault(kind, []), position)
            self._cells.setdefault(worker.cell, {})[worker.name] = worker

    def _remove(self, worker: Worker, entry: _RingEntry) -> None:
        del self._entries[worker.name]
        del self._workers[worker.name]
        ring = self._rings[entry.kind]
        del ring[bisect_left(ring, entry.position)]
        if not ring:
            del self._rings[entry.kind]
        cell = self._cells[entry.cell]
        del cell[worker.name]
        if not cell:
            del self._cells[entry.cell]

    def in_cell(self, cell: int) -> list[Worker]:
        """Return all ready servers of one cell, in this node's subset or not."""
        return list(self._cells.get(cell, {}).values())

    def usable(self) -> list[Worker]:
        """Return the servers that get requests: enough that all nodes together cover every server."""
        return self._nearest(max(MIN_SUBSET_SIZE, ceil(MIN_NODES_PER_SERVER * len(self) / self.group_size)))

    def probed(self) -> list[Worker]:
        """Return the servers that are probed: the same number for every fleet size."""
        return self._nearest(MIN_SUBSET_SIZE)

    def _nearest(self, count: int) -> list[Worker]:
        """Return ``count`` servers from this node's ring position on, of each kind in proportion."""
        share = count / max(1, len(self))
        found: list[Worker] = []
        start: Position = ((self.rank << RING_BITS) // max(1, self.group_size), "")
        for ring in self._rings.values():
            wanted = ceil(share * len(ring))
            if self.by_kind:
                wanted = max(wanted, MIN_SERVERS_PER_KIND)
            first = bisect_left(ring, start)
            positions = (ring[first:] + ring[:first])[:wanted]
            found += [self._workers[name] for _, name in positions]
        return found
