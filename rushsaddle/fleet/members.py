"""Membership: SWIM with suspicion and local health (Lifeguard), decided without I/O, clock or threads.

Each member pings one other in each period, in shuffled rounds.  Without an answer it asks some others to
ping the member for it (indirect probe) and pings once more itself, then suspects it; a suspect that does not
refute by a higher incarnation is declared dead after a while.  Updates are piggybacked on every message.
Differences from the SWIM paper: a member that was itself stalled blames nobody for it (its deadlines move by
the stall); it waits longer while it has reason to doubt itself (Lifeguard, Dadgar, Phillips, Currey 2018);
and it tells a member that it holds it suspect or dead, so that a stalled member notices.  Anti-entropy
spreads what broadcasts miss: see ``reconcile``; ``table`` holds what is known.

Answers from another region may take longer than a period: indirect probes are sent only after the time that
slow answers took lately, and ``MAX_PROBES`` probes are in flight at once.

Bounds, for N members: ``max_members`` others including tombstones; one message of updates each;
``INDIRECT_PROBES`` helpers for each probe; ``MAX_RELAYS`` pings for others at once; for a member that joins,
``MAX_WELCOME_DATAGRAMS`` datagrams if it has version 1, else one of ``WELCOME_ENTRIES`` members;
``MAX_EXPIRIES`` suspects and as many tombstones a tick.  No message and no tick does work that grows with N:
64 updates or 91 entries, and at most 8 * 91 + 256 entries read for an answer.  Bytes: see ``reconcile``.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from msgspec.structs import replace

from .reconcile import MAX_REPLY_DATAGRAMS, MAX_VERIFY_PINGS, Budget, newer_entries, reply_parts
from .states import MAX_EXPIRIES, MemberStates
from .states import Change as Change
from .states import Rules as Rules
from .table import MAX_INCARNATION as MAX_INCARNATION
from .table import Entry, canonical, make_entry
from .wire import (
    COMPARE_BYTES,
    MAX_ENTRIES,
    MAX_MESSAGE_BYTES,
    MAX_UPDATE_BYTES,
    PACKED_UPDATE_BYTES,
    VERSION_1,
    VERSION_2,
    Kind,
    Message,
    Stamp,
    State,
    Update,
    checksum,
    estimated_size,
    update_capacity,
)

INDIRECT_PROBES = 3  # helpers asked to ping a member
DIRECT_ACK_SHARE = 0.4  # of a period, within which the direct answer must come
MAX_PROBES = 6  # in flight at once, if answers take longer than a period
INITIAL_SLOW_ANSWER_US = 100_000  # estimate before the first answer
MAX_SLOW_ANSWER_US = 400_000  # slower answers come from stalled members, not from distant ones
SLOW_ANSWER_DECAY = 64  # answers after which a slow one counts for a third
MAX_WELCOME_DATAGRAMS = 8  # to a member of version 1 that joins
WELCOME_ENTRIES = 16  # members in the answer to one of version 2
MAX_JOIN_PERIODS = 16  # between two attempts to join
MAX_RELAYS = 64  # pings for others in flight
# After a message from a member of version 1, joins stay queued this long: such a member has no anti-entropy.
VERSION_1_MEMORY_US = 60_000_000
RECONNECT_PERIODS = 8  # between attempts to reach an unknown seed or a lost member, to heal partitions
RECONNECT_FACTOR = 4  # an attempt's probability is this times the share of lost members


class Outgoing(NamedTuple):
    """A message and the place to send it to."""

    place: str
    message: Message


class _Probe:
    """A probe in flight.  At ``indirect_us`` helpers are asked, at ``deadline_us`` it has failed."""

    __slots__ = ("deadline_us", "helpers_asked", "indirect_us", "nacks", "number", "place", "started_us")

    def __init__(self, place: str, number: int, now: int, indirect_us: int, deadline_us: int) -> None:
        self.place = place
        self.started_us = now
        self.number = number
        self.indirect_us = indirect_us
        self.deadline_us = deadline_us
        self.helpers_asked = 0
        self.nacks = 0  # helpers that did not reach the member either


class Members(MemberStates):
    """The membership protocol of one member.  ``me`` is the place where others reach it;
    ``first_incarnation`` must be higher at each start; ``max_version`` is the highest version used."""

    def __init__(
        self, me: str, first_incarnation: int, seeds: Iterable[str], rules: Rules, draw: Random, now: int,
        *, max_version: int = VERSION_2,
    ) -> None:
        super().__init__(me, first_incarnation, rules, now, max_version)
        self.seeds = tuple(seed for seed in seeds if seed != me)
        self.draw = draw
        self.stamp: Stamp | None = None
        self.joined = False
        self.left = False  # after ``leave``: sends and answers nothing any more
        self.due_us = now  # time of the next tick
        self.budget = Budget(rules.bytes_per_s, rules.burst_bytes, now)
        self._period_us = now  # start of the next period
        self._periods = 0
        self._version_1_heard_us = now - VERSION_1_MEMORY_US - 1  # last message from a member of version 1
        self._join_attempts = 0
        self._next_join_period = 1
        self._seeds_to_try: list[str] = []
        self._number = draw.getrandbits(32)
        self._probes: dict[int, _Probe] = {}
        self._failed_probes: dict[int, int] = {}  # start times; an answer may still come
        self._slow_answer_us = INITIAL_SLOW_ANSWER_US  # decaying maximum of the times to answer
        self._relays: dict[int, tuple[str, int, int, str]] = {}  # requester, its number, deadline, target

    # ------------------------------------------------------------ time

    def tick(self, now: int) -> list[Outgoing]:
        """Does what is due now; returns the messages to send."""
        if self.left:
            self.due_us = now + self.rules.forget_us
            return []
        outgoing: list[Outgoing] = []
        self._advance(now)
        for number, probe in list(self._probes.items()):
            if not probe.helpers_asked and now >= probe.indirect_us:
                outgoing += self._probe_indirectly(probe)
            if now >= probe.deadline_us:
                del self._probes[number]
                self._probe_failed(probe, now)
        for number, (place, theirs, until, target) in list(self._relays.items()):
            if now >= until:
                del self._relays[number]
                outgoing.append(self._compose(place, Kind.NACK, theirs, target))
        for place in self._suspicions.due(now, self.size, MAX_EXPIRIES):
            # All members declare it dead at about this time, so half as many broadcasts are enough.
            self.set_state(self.table[place], State.DEAD, now, sent=self.transmit_limit // 2)
        self.expire_tombstones(now)
        if now >= self._period_us:
            outgoing += self._start_period(now)
        self._schedule(now)
        return outgoing

    def _advance(self, now: int) -> None:
        self.budget.refill(now)
        late = now - self.due_us
        if late > 2 * self.rules.period_us:
            self._handle_stall(late)

    def _schedule(self, now: int) -> None:
        due = self._period_us
        for probe in self._probes.values():
            due = min(due, probe.deadline_us if probe.helpers_asked else probe.indirect_us)
        for _, _, until, _ in self._relays.values():
            due = min(due, until)
        expiry = self._suspicions.next_deadline_us
        if expiry is not None:
            due = min(due, expiry)
        self.due_us = max(now + 1, due)
        self.exchanges.set_root(now, self.table.root)

    def _handle_stall(self, late: int) -> None:
        """After a stall of this process, missed deadlines say nothing about other members."""
        self._probes.clear()
        self._failed_probes.clear()
        self._relays.clear()
        self._suspicions.stalled(late)
        self.degrade_health()

    def _start_period(self, now: int) -> list[Outgoing]:
        self._periods += 1
        self._period_us = now + self.rules.period_us * (1 + self.health)
        outgoing = []
        if not self.joined:
            outgoing += self._join()
        elif self._periods % RECONNECT_PERIODS == 0:
            outgoing += self._reconnect()
        if len(self._probes) < MAX_PROBES and (place := self.table.up.next(self.draw)) is not None:
            number = self._next_number()
            self._next_number()  # reserved for the retry, so that answers to the two can be told apart
            wait = self._period_us - now
            indirect = max(int(DIRECT_ACK_SHARE * wait), self._slow_answer_us * 5 // 4)
            until = max(wait, indirect + 2 * self._slow_answer_us)
            self._probes[number] = _Probe(place, number, now, now + indirect, now + until)
            outgoing.append(self._compose(place, Kind.PING, number))
        return outgoing

    def _join(self) -> list[Outgoing]:
        """Tries one seed at a time, after 1, 1, 2, 4 and so on periods."""
        if self._periods < self._next_join_period or not self.seeds:
            return []
        if not self._seeds_to_try:
            self._seeds_to_try = self.draw.sample(self.seeds, len(self.seeds))
        self._join_attempts += 1
        self._next_join_period = self._periods + min(
            MAX_JOIN_PERIODS, 2 ** min(10, max(0, self._join_attempts - 2))
        )
        return [self._compose(self._seeds_to_try.pop(), Kind.JOIN, version=VERSION_1)]

    def _reconnect(self) -> list[Outgoing]:
        """Sends a join to a lost member, so often that each is tried now and then by some member."""
        unknown = [seed for seed in self.seeds if seed not in self.table]
        lost = len(unknown) + len(self.table.gone)
        if not lost or self.draw.random() >= RECONNECT_FACTOR * lost / self.size:
            return []
        if self.draw.randrange(lost) < len(unknown):
            place: str | None = self.draw.choice(unknown)
        else:
            place = self.table.gone.next(self.draw)
        return [] if place is None else [self._compose(place, Kind.JOIN, version=VERSION_1)]

    def _probe_indirectly(self, probe: _Probe) -> list[Outgoing]:
        """Asks helpers to ping the member, and pings it again by a message that every version understands."""
        helpers = self.table.up.sample(self.draw, INDIRECT_PROBES, probe.place)
        probe.helpers_asked = max(1, len(helpers))
        return [
            self._compose(probe.place, Kind.PING, probe.number + 1 & 0xFFFFFFFF, version=VERSION_1),
            *(self._compose(place, Kind.PING_REQ, probe.number, probe.place) for place in helpers),
        ]

    def _probe_failed(self, probe: _Probe, now: int) -> None:
        if len(self._failed_probes) >= MAX_PROBES:
            del self._failed_probes[next(iter(self._failed_probes))]
        self._failed_probes[probe.number] = probe.started_us
        if probe.nacks < probe.helpers_asked:  # helpers are silent, too: this member may be at fault
            self.degrade_health()
        target = self.table.get(probe.place)
        if target is not None and target.up:
            self.accuse(target, target.incarnation, checksum(self.me), now)

    # ------------------------------------------------------------ messages

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """Processes a message; returns the messages to send."""
        if message.source == self.me or self.left or message.version > self.max_version:
            return []
        self._advance(now)
        if message.max_version < VERSION_2:
            self._version_1_heard_us = now
        if message.version == VERSION_1 and not canonical(message.source):
            self.add_fault(now, "invalid address", message.source)
            return []
        source = self.table.get(message.source)
        if source is None or (
            (source.incarnation, source.max_version) != (message.incarnation, message.max_version)
        ):
            alive = Update(message.source, message.incarnation, State.ALIVE, 0, message.max_version)
            source = self.apply_update(alive, now)
        if source is not None:
            self._record_stamp(source, message)
        if message.kind is not Kind.WELCOME:  # merged as part of a table below
            for update in message.updates:
                self.apply_update(update, now)
        outgoing = self._handle(now, message)
        self._schedule(now)
        if message.root is not None:
            outgoing += self._check_root(now, message)
        return outgoing

    def _record_stamp(self, source: Entry, message: Message) -> None:
        if message.stamp is None or not source.up:
            self.stamps.pop(source.place, None)
        elif message.incarnation >= source.incarnation:
            shared = self.stamp is not None and message.stamp == self.stamp
            self.stamps[source.place] = self.stamp if shared and self.stamp is not None else message.stamp

    def _handle(self, now: int, message: Message) -> list[Outgoing]:
        source, number = message.source, message.number
        match message.kind:
            case Kind.PING:
                return [self._compose(source, Kind.ACK, number)]
            case Kind.ACK:
                return self._handle_ack(now, message)
            case Kind.NACK:
                if (probe := self._probes.get(number)) is not None:
                    probe.nacks += 1
            case Kind.PING_REQ:
                target = message.target
                if target is not None and target in self.others and len(self._relays) < MAX_RELAYS:
                    mine = self._next_number()
                    until = now + max(self.rules.period_us // 2, self._slow_answer_us * 5 // 4)
                    self._relays[mine] = (source, number, until, target)
                    return [self._compose(target, Kind.PING, mine)]
            case Kind.JOIN:
                return self._welcome(source)
            case Kind.WELCOME:
                self.joined = True
                entries = (self.entry_of(update, now) for update in message.updates)
                return self._ping_all(self.merge([one for one in entries if one is not None], now)[0])
            case Kind.COMPARE:
                return self._handle_compare(message)
            case Kind.ENTRIES:
                return self._handle_entries(now, message)
        return []

    def _handle_ack(self, now: int, message: Message) -> list[Outgoing]:
        probe = self._probes.pop(message.number, None)
        direct = message.target is None  # not relayed by a helper
        since = self._failed_probes.pop(message.number, None) if probe is None else probe.started_us
        if since is not None and direct:
            self._record_answer_time(now - since)
        if probe is None:
            probe = self._probes.pop(message.number - 1 & 0xFFFFFFFF, None)
        if probe is not None:
            self.joined = True
            self.health = max(0, self.health - 1)
            return []
        relay = self._relays.pop(message.number, None)
        return [] if relay is None else [self._compose(relay[0], Kind.ACK, relay[1], relay[3])]

    def _record_answer_time(self, took: int) -> None:
        """Tracks slow answers: distant members get time, and the estimate decays once answers are fast."""
        if took <= MAX_SLOW_ANSWER_US:
            self._slow_answer_us = max(took, self._slow_answer_us - self._slow_answer_us // SLOW_ANSWER_DECAY)

    def _welcome(self, place: str) -> list[Outgoing]:
        """Answers a join, if the budget allows; its joining is broadcast in any case."""
        if not self.budget.datagrams:
            return []
        version = self._version_for(place)
        empty = self._bare(Kind.WELCOME, version)
        to = self.table.get(place)
        not_alive = [to] if to is not None and to.state is not State.ALIVE else []
        if version == VERSION_2:
            parts = [not_alive + self._sample_up(WELCOME_ENTRIES, place)]
        else:
            each = max(1, update_capacity(empty))
            known = not_alive + self._sample_up(MAX_WELCOME_DATAGRAMS * each, place)
            limit = min(MAX_WELCOME_DATAGRAMS, self.budget.datagrams)
            parts = [known[n : n + each] for n in range(0, len(known), each)][:limit] or [[]]
        return [self._send(place, replace(
            empty, updates=tuple([self._update(one, version) for one in part])
        )) for part in parts]

    def _sample_up(self, limit: int, skip: str) -> list[Entry]:
        return [self.table[place] for place in self.table.up.sample(self.draw, limit, skip)]

    def leave(self) -> list[Outgoing]:
        """Announces to some members that this one leaves; they broadcast it."""
        self.left = True
        self.stamp = None
        outgoing = []
        for place in self.table.up.sample(self.draw, 2 * INDIRECT_PROBES):
            version = self._version_for(place)
            update = self._update(
                make_entry(self.me, self.incarnation, State.LEFT, self.max_version), version
            )
            bare = self._bare(Kind.PING, version, self._next_number())
            outgoing.append(self._send(place, replace(bare, updates=(update,))))
        return outgoing

    def _version_for(self, place: str) -> int:
        """The protocol version to use with a member."""
        to = self.table.get(place)
        return min(self.max_version, VERSION_1 if to is None else to.max_version)

    def _bare(self, kind: Kind, version: int, number: int = 0, target: str | None = None) -> Message:
        root = self.table.root if version == VERSION_2 else None
        return Message(version, kind, number, self.me, self.incarnation, self.stamp, target, root=root,
                       max_version=self.max_version)

    def _send(self, place: str, message: Message) -> Outgoing:
        self.budget.spend(estimated_size(message))
        return Outgoing(place, message)

    def _compose(self, place: str, kind: Kind, number: int = 0, target: str | None = None,
                 version: int = VERSION_2) -> Outgoing:
        version = min(version, self._version_for(place))
        bare = self._bare(kind, version, number, target)
        return self._send(
            place, replace(bare, updates=self._pick_updates(place, update_capacity(bare), version))
        )

    def _pick_updates(self, place: str, limit: int, version: int) -> tuple[Update, ...]:
        """The receiver's own state, if it is not alive, so that it can refute; then the least sent
        broadcasts, at least one and more as the budget allows."""
        found: list[Update] = []
        to = self.table.get(place)
        if to is not None and to.state is not State.ALIVE:
            found.append(self._update(to, version))
        free = self.budget.available // (PACKED_UPDATE_BYTES if version == VERSION_2 else MAX_UPDATE_BYTES)
        for other in self.broadcasts.pick(
            min(limit, max(1, free)) - len(found), self.transmit_limit, self.size
        ):
            found.append(self._update(self.table[other], version))
        return tuple(found)

    def _update(self, one: Entry, version: int) -> Update:
        accuser = self._suspicions.last_accuser(one.place)
        return Update(
            one.place, one.incarnation, one.state, accuser, one.max_version if version == VERSION_2 else 1
        )

    # ------------------------------------------------------------ anti-entropy

    def _check_root(self, now: int, message: Message) -> list[Outgoing]:
        """Compares the sender's root with ours; if it differs, may start an exchange."""
        source = self.table.get(message.source)
        if message.root == self.table.root:
            if (
                self.exchanges.root_matches(message.source)
                and now - self._version_1_heard_us > VERSION_1_MEMORY_US
            ):
                self.broadcasts.drop_joins()
            return []
        self.exchanges.root_differs()
        if message.kind in (Kind.ACK, Kind.WELCOME) and source is not None and source.up:
            if self._version_for(source.place) == VERSION_2 and self.budget.available >= COMPARE_BYTES:
                if self.exchanges.start(now, source.place):
                    bare = self._bare(Kind.COMPARE, VERSION_2)
                    return [self._send(source.place, replace(bare, vector=self.table.vector()))]
        return []

    def _handle_compare(self, message: Message) -> list[Outgoing]:
        source = self.table.get(message.source)
        limit = min(MAX_REPLY_DATAGRAMS, self.budget.datagrams)
        if message.root is None or source is None or not source.up or not limit:
            return []  # the sender tries another member
        bare = self._bare(Kind.ENTRIES, VERSION_2)
        return [
            self._send(source.place, replace(bare, leaves=part.leaves, entries=part.entries))
            for part in reply_parts(self.table, message.vector, self.draw, limit)
        ]

    def _handle_entries(self, now: int, message: Message) -> list[Outgoing]:
        if message.root is None:
            return []
        received, source = message.entries[:MAX_ENTRIES], message.source
        places, changed = self.merge(received, now, MAX_VERIFY_PINGS if self.budget.available else 0)
        outgoing = self._ping_all(places)
        newer = newer_entries(self.table, message.leaves, received) if message.leaves else ()
        self.exchanges.set_root(now, self.table.root)
        fault = self.exchanges.finish(now, source, message.root == self.table.root, changed or bool(newer))
        if fault is not None:
            self.add_fault(now, fault, source)
        if newer and self.budget.available >= MAX_MESSAGE_BYTES and self._version_for(source) == VERSION_2:
            outgoing.append(self._send(source, replace(self._bare(Kind.ENTRIES, VERSION_2), entries=newer)))
        return outgoing

    def _ping_all(self, places: list[str]) -> list[Outgoing]:
        """Pings members that others hold dead: they refute before they are declared dead here, too."""
        return [self._compose(place, Kind.PING, self._next_number()) for place in places]

    # ------------------------------------------------------------ numbers

    def _next_number(self) -> int:
        self._number = (self._number + 1) & 0xFFFFFFFF
        return self._number
