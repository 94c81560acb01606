"""Simulated network of members in zones and regions, in virtual time, with delays, loss and partitions.

The program's own decisions and codec run here (``rushsaddle.fleet.members``, ``rushsaddle.fleet.wire``); this
network carries their datagrams.  It measures the members' processor time separately from its own, and the
bytes sent and received by member and second.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random
from time import process_time_ns
from typing import Any

from msgspec.structs import replace

from rushsaddle.fleet.members import Members, Outgoing, Rules
from rushsaddle.fleet.wire import VERSION_1, Kind, Message, State, Update, decode, encode, update_capacity

from .audit import Audit
from .members import KEY, SECOND, Network

WORST_S = 10  # length of the window over which peak rates are taken
IN_ZONE_US = 200
IN_REGION_US = 1_000
BETWEEN_US = (20_000, 150_000)
MAX_JITTER_SHARE = 0.1  # added to a delay at random, as a share of it
MIN_STALL_NS = 10_000_000
SMALL_FLEET = 200  # smaller fleets have ``FEWEST_SEEDS`` seeds, others one per zone
FEWEST_SEEDS = 3


@dataclass(slots=True, frozen=True)
class Layout:
    """Assigns members to zones and zones to regions, round-robin; the members know of neither."""

    zones: int = 16
    regions: int = 6
    between_us: tuple[int, int] = BETWEEN_US  # one-way delay range, drawn for each pair of regions

    def zone(self, number: int) -> int:
        return number % self.zones

    def region(self, number: int) -> int:
        return self.zone(number) % self.regions

    def delays(self, random: Random) -> list[list[int]]:
        """One-way delays from zone to zone in microseconds, without jitter."""
        apart = {(a, b): random.randint(*self.between_us) for a in range(self.regions) for b in range(a)}
        table = []
        for a in range(self.zones):
            row = []
            for b in range(self.zones):
                one, other = sorted((a % self.regions, b % self.regions), reverse=True)
                row.append(IN_ZONE_US if a == b else IN_REGION_US if one == other else apart[one, other])
            table.append(row)
        return table


@dataclass(slots=True)
class Traffic:
    """Bytes sent and received by member, in windows of one second; ``mark`` resets them."""

    sent: list[int] = field(default_factory=list)  # in the current second
    received: list[int] = field(default_factory=list)
    windows: deque[tuple[list[int], list[int]]] = field(default_factory=deque)
    sent_sum: list[int] = field(default_factory=list)  # over all windows
    received_sum: list[int] = field(default_factory=list)
    sent_worst: list[int] = field(default_factory=list)
    received_worst: list[int] = field(default_factory=list)
    both_worst: list[int] = field(default_factory=list)

    def add_member(self) -> None:
        """Extends every counter by one member."""
        for each in (self.sent, self.received, self.sent_sum, self.received_sum, self.sent_worst,
                     self.received_worst, self.both_worst):
            each.append(0)

    def mark(self) -> None:
        """Resets the counters."""
        for each in (self.sent, self.received, self.sent_sum, self.received_sum, self.sent_worst,
                     self.received_worst, self.both_worst):
            each[:] = [0] * len(each)
        self.windows.clear()

    def roll(self) -> None:
        """Closes the window of one second and updates the sums and peaks."""
        count = len(self.sent)
        self.windows.append((self.sent[:], self.received[:]))
        old: tuple[list[int], list[int]] = ([], [])
        if len(self.windows) > WORST_S:
            old = self.windows.popleft()
        for now, total, gone in ((self.sent, self.sent_sum, old[0]),
                                 (self.received, self.received_sum, old[1])):
            for n in range(count):
                total[n] += now[n]
            for n, value in enumerate(gone):
                total[n] -= value
        self.sent_worst = list(map(max, self.sent_worst, self.sent_sum))
        self.received_worst = list(map(max, self.received_worst, self.received_sum))
        both = [a + b for a, b in zip(self.sent_sum, self.received_sum, strict=True)]
        self.both_worst = list(map(max, self.both_worst, both))
        self.sent[:] = self.received[:] = [0] * count


@dataclass(slots=True)
class UsageCounters:
    """Processor time of the members' own code in nanoseconds, and the network's messages and bytes."""

    members_ns: int = 0
    encode_ns: int = 0
    decode_ns: int = 0
    decoded: int = 0
    received: int = 0
    member_us: int = 0  # virtual time, summed over the running members
    messages: int = 0
    layers: list[int] = field(default_factory=lambda: [0, 0, 0])  # bytes in zone, in region, between
    began_ns: int = field(default_factory=process_time_ns)  # processor time of the whole process
    stall_ns: int = 0
    loop_delays: int = 0
    stalled: str = ""  # operation, member and time of the longest stall

    def network_ns(self) -> int:
        """Processor time of the simulated network itself so far."""
        return process_time_ns() - self.began_ns - self.members_ns - self.encode_ns - self.decode_ns

    def own_ns(self) -> float:
        """Members' processor time; where only a sample was decoded, extrapolated to all datagrams."""
        return self.members_ns + self.encode_ns + self.decode_ns * self.received / max(1, self.decoded)


class Regions(Network):
    """Network with zones, regions and partitions.

    ``decoded_one_in`` 1: each datagram is decoded by its receiver; 16: one in 16, the others are passed as
    the objects that were encoded.  Every datagram is encoded once, for its size.
    """

    def __init__(self, size: int, seed: int, loss: float = 0.0, rules: Rules | None = None,
                 layout: Layout | None = None, decoded_one_in: int = 1, start: bool = True) -> None:
        self.layout = layout or Layout()
        self.decoded_one_in = decoded_one_in
        self.audit = Audit()
        self.traffic = Traffic()
        self.usage = UsageCounters()
        self.cuts: list[tuple[Collection[int], Collection[int]]] = []
        delays = self.layout.delays(Random(seed))
        self._delays = delays
        regions = [zone % self.layout.regions for zone in range(self.layout.zones)]
        self._layers = [[0 if a == b else 1 if regions[a] == regions[b] else 2
                         for b in range(self.layout.zones)] for a in range(self.layout.zones)]
        self._zones: list[int] = []  # zone of each member, by number
        self._second = 0
        self._recent_seconds: deque[tuple[float, int]] = deque(maxlen=WORST_S)  # own ns, member_us
        self._totals_at_roll: tuple[float, int] = (0.0, 0)
        self.worst_cpu = 0.0  # peak share of a core, per member
        self.size = size
        super().__init__(size if start else 0, seed, loss, rules)

    def seeds_of(self, size: int) -> list[str]:
        return [self.place(n) for n in range(self.layout.zones if self.size >= SMALL_FLEET else FEWEST_SEEDS)]

    def zone_places(self, zone: int) -> list[str]:
        places = self.audit.places
        return [p for n, p in enumerate(places) if self.layout.zone(n) == zone and p in self.members]

    def region_numbers(self, region: int) -> set[int]:
        return {n for n in range(len(self.audit.places)) if self.layout.region(n) == region}

    # ------------------------------------------------------------ faults

    def start(self, place: str) -> None:
        holders = self._observers_of(place)
        self.expect(place)
        self.audit.started(place, self.now, holders)
        super().start(place)

    def expect(self, place: str) -> None:
        """Registers a member that starts later; datagrams to it are lost until then."""
        number = self.audit.register(place)
        if number == len(self._zones):
            self._zones.append(self.layout.zone(number))
            self.traffic.add_member()

    def kill(self, place: str) -> None:
        held = [m.place for m in self.members[place].up()]
        super().kill(place)
        self.paused.pop(place, None)
        self.audit.killed(place, self.now, held, self._observers_of(place))

    def _observers_of(self, place: str) -> list[str]:
        if place not in self.audit.numbers:
            return []
        return [p for p, m in self.members.items() if m.state_of(place) in (State.ALIVE, State.SUSPECT)]

    def leave(self, place: str) -> None:
        """The member announces that it leaves, and ends."""
        self._send(place, self.members[place].leave())
        self.kill(place)

    def cut_off(self, sources: Collection[int], places: Collection[int], both: bool = True) -> None:
        """Drops what members ``sources`` (numbers) send to ``places``; ``both``: the other direction too."""
        self.cuts.append((frozenset(sources), frozenset(places)))
        if both:
            self.cuts.append((frozenset(places), frozenset(sources)))

    def heal(self) -> None:
        self.cuts.clear()

    def is_cut(self, source: int, place: int) -> bool:
        return any(source in a and place in b for a, b in self.cuts)

    # ------------------------------------------------------------ time

    def mark(self) -> None:
        """Resets the counters; the measured period starts now."""
        self.traffic.mark()
        self.usage = UsageCounters()
        self._recent_seconds.clear()
        self._totals_at_roll = (0.0, 0)
        self.worst_cpu = 0.0

    def run_to(self, until: int) -> None:
        while self.now < until:
            second = (self.now // SECOND + 1) * SECOND
            began, to = self.now, min(second, until)
            super().run_to(to)
            self.usage.member_us += (to - began) * len(self.members)
            if to == second:
                self._roll()

    def _roll(self) -> None:
        self.traffic.roll()
        own, passed = self.usage.own_ns(), self.usage.member_us
        self._recent_seconds.append((own - self._totals_at_roll[0], passed - self._totals_at_roll[1]))
        self._totals_at_roll = own, passed
        time = sum(passed for _, passed in self._recent_seconds)
        if len(self._recent_seconds) == WORST_S and time:
            self.worst_cpu = max(self.worst_cpu, sum(own for own, _ in self._recent_seconds) / 1000 / time)

    # ------------------------------------------------------------ timed calls of the members' code

    def _record_stall(self, ns: int, what: str, place: str) -> None:
        spent = self.usage
        if ns > MIN_STALL_NS:
            spent.loop_delays += 1
        if ns > spent.stall_ns:
            spent.stall_ns = ns
            spent.stalled = f"{what} by {place} at {self.now / SECOND:.3f} s"

    def _tick(self, place: str, member: Members) -> list[Outgoing]:
        began = process_time_ns()
        out = member.tick(self.now)
        ns = process_time_ns() - began
        self.usage.members_ns += ns
        if ns > self.usage.stall_ns or ns > MIN_STALL_NS:
            self._record_stall(ns, "a tick", place)
        return out

    def _hear(self, place: str, member: Members, message: Any) -> list[Outgoing]:
        spent = self.usage
        spent.received += 1
        if type(message) is bytes:
            length = len(message)
            began = process_time_ns()
            received_message = decode(KEY, message)
            decoded = process_time_ns()
            spent.decode_ns += decoded - began
            spent.decoded += 1
            if received_message is None:
                raise RuntimeError(f"{place} received a datagram that it cannot decode")
        else:
            received_message, length = message
            decoded = process_time_ns()
        out = member.receive(self.now, received_message)
        ns = process_time_ns() - decoded
        spent.members_ns += ns
        self.traffic.received[self.audit.numbers[place]] += length
        if ns > spent.stall_ns or ns > MIN_STALL_NS:
            self._record_stall(ns, f"a {received_message.kind.name}", place)
        return out

    def _changed(self, place: str, member: Members) -> None:
        self.audit.changed(place, member.changes, self.now)

    def _send(self, source: str, out: list[Outgoing]) -> None:
        if not out:
            return
        spent, random, numbers, zones = self.usage, self.random.random, self.audit.numbers, self._zones
        by = numbers[source]
        delays, layers = self._delays[zones[by]], self._layers[zones[by]]
        for place, message in out:
            began = process_time_ns()
            data = encode(KEY, message)
            spent.encode_ns += process_time_ns() - began
            spent.messages += 1
            length = len(data)
            self.traffic.sent[by] += length
            to = numbers.get(place)
            if to is None:
                raise RuntimeError(f"{source} sends to {place}, which was never registered")
            zone = zones[to]
            spent.layers[layers[zone]] += length
            if (self.loss and random() < self.loss) or (self.cuts and self.is_cut(by, to)):
                continue
            decode_it = spent.messages % self.decoded_one_in == 0
            delay = int(delays[zone] * (1.0 + MAX_JITTER_SHARE * random()))
            self._schedule(self.now + delay, place, data if decode_it else (message, length))

    # ------------------------------------------------------------ converged start

    def settle(self) -> None:
        """Sends each member all others in WELCOME messages of a seed, before anything else happens.

        As in the program, no message exceeds the size that the codec allows.  Call this at time 0, then run
        until the broadcasts have ended.
        """
        born = {place: member.incarnation for place, member in self.members.items()}
        updates = [Update(place, incarnation, State.ALIVE) for place, incarnation in born.items()]
        by_seed = {}
        for seed in self.seeds[:2]:  # the second seed welcomes the first
            bare = Message(VERSION_1, Kind.WELCOME, 0, seed, born[seed])
            each = update_capacity(bare)
            by_seed[seed] = [replace(bare, updates=tuple(updates[n : n + each]))
                             for n in range(0, len(updates), each)]
        first, second = by_seed.values()
        for place, member in self.members.items():
            chunks = second if place == self.seeds[0] else first
            turn = self.random.randrange(len(chunks))  # so that the order of tables differs between members
            for chunk in (*chunks[turn:], *chunks[:turn]):
                member.receive(self.now, chunk)
                self.audit.changed(place, member.changes, self.now)
                member.changes.clear()
