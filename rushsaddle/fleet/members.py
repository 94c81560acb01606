"""Who is in the fleet: SWIM with suspicion and a node's own health, decided without I/O, clock or threads.

Each member pings one other a period, in shuffled rounds.  Without an answer it asks some others to ping for
it, then suspects; a suspect that does not refute by a higher incarnation is dead after a while.  News ride on
every message.  What differs from the paper: a member that was itself stalled blames nobody for it (its
deadlines move with the stall), waits longer while it has reason to doubt itself (Lifeguard, Dadgar, Phillips,
Currey 2018), and tells whoever it takes for suspect or dead so, which is how a stalled one learns of it.

Bounds: ``most`` members, a message's worth of news each, ``HELPERS`` asked a probe, ``RELAYS`` pings for
others at once, ``WELCOMES`` datagrams to one that joins; a tick looks at suspects and tombstones only.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import ceil, log10
from random import Random
from typing import NamedTuple

from msgspec.structs import replace

from .wire import VERSION, Kind, Message, Stamp, State, Update, checksum, room

HELPERS = 3  # asked to ping for us
ACK_SHARE = 0.4  # of a period: a direct answer must have come, before others are asked
CONFIRM = 2  # further accusers that shorten a suspicion to its least
HEALTH_MOST = 8  # periods are stretched at most ninefold
NEWS = 4  # news is told so often times the digits of the fleet's size
WELCOMES = 8  # datagrams
RELAYS = 64
RECALL = 8  # periods between calls to a seed or a dead one that is not answered: how a cut heals
INCARNATION_MOST = 2**61  # beyond this nobody counts up: it must not run out


@dataclass(slots=True, frozen=True)
class Rules:
    """Times in microseconds."""

    period_us: int = 250_000
    suspect_us: int = 3_200_000  # the least between suspicion and death: a pause of 3 s is survived
    forget_us: int = 30_000_000  # a dead one is remembered, so that old news does not bring it back
    most: int = 2_000


class Out(NamedTuple):
    """A message to be sent to a place."""

    place: str
    message: Message


class Change(NamedTuple):
    """A member's state, as it was and as it is."""

    place: str
    before: State | None
    now: State


class Member:
    """One other, as this one knows it."""

    __slots__ = ("accusers", "incarnation", "place", "since_us", "stamp", "state")

    def __init__(self, place: str, incarnation: int, state: State, now: int) -> None:
        self.place = place
        self.incarnation = incarnation
        self.state = state
        self.since_us = now
        self.stamp: Stamp | None = None  # the list that it holds
        self.accusers: set[int] = set()

    @property
    def up(self) -> bool:
        return self.state in (State.ALIVE, State.SUSPECT)

    def update(self) -> Update:
        return Update(self.place, self.incarnation, self.state, next(iter(self.accusers), 0))


class _Probe:
    __slots__ = ("ask_us", "asked", "number", "place", "refused", "until_us")

    def __init__(self, place: str, number: int, ask_us: int, until_us: int) -> None:
        self.place = place
        self.number = number
        self.ask_us = ask_us
        self.until_us = until_us
        self.asked = 0  # helpers
        self.refused = 0  # ... that have said that they did not reach it either


class Members:
    """``me`` is where this one is reached; ``born`` its first incarnation, higher at each start."""

    def __init__(
        self, me: str, born: int, seeds: Iterable[str], rules: Rules, draw: Random, now: int
    ) -> None:
        self.me = me
        self.incarnation = born
        self.seeds = tuple(seed for seed in seeds if seed != me)
        self.rules = rules
        self.draw = draw
        self.stamp: Stamp | None = None
        self.others: dict[str, Member] = {}
        self.changes: list[Change] = []  # for whoever takes them
        self.health = 0  # 0 is well
        self.welcomed = False
        self.left = False  # it goes: it neither asks nor answers any more
        self.due_us = now  # the next tick
        self._period_us = now  # the next probe begins
        self._periods = 0
        self._number = draw.getrandbits(32)
        self._probe: _Probe | None = None
        self._round: list[str] = []
        self._news: dict[str, int] = {me: 0}  # how often it was told
        self._suspects: set[str] = set()
        self._tombs: set[str] = set()
        self._relays: dict[int, tuple[str, int, int, str]] = {}  # for whom, its number, until, target

    # ------------------------------------------------------------ what others may know

    def up(self) -> Iterator[Member]:
        return (m for m in self.others.values() if m.up)

    @property
    def size(self) -> int:
        """Members that are up, with this one."""
        return 1 + len(self.others) - len(self._tombs)

    def state_of(self, place: str) -> State | None:
        found = self.others.get(place)
        return None if found is None else found.state

    # ------------------------------------------------------------ time

    def tick(self, now: int) -> list[Out]:
        """What is due now."""
        if self.left:
            self.due_us = now + self.rules.forget_us
            return []
        out: list[Out] = []
        late = now - self.due_us
        if late > 2 * self.rules.period_us:
            self._stalled(late)
        probe = self._probe
        if probe is not None and not probe.asked and now >= probe.ask_us:
            out += self._ask_others(probe)
        if probe is not None and now >= probe.until_us:
            self._probe = None
            self._failed(probe, now)
        for number, (place, theirs, until, target) in list(self._relays.items()):
            if now >= until:
                del self._relays[number]
                out.append(self._say(place, Kind.NACK, theirs, target))
        for place in list(self._suspects):
            suspect = self.others[place]
            if now >= suspect.since_us + self._patience(suspect):
                self._become(suspect, State.DEAD, now)
        for place in [p for p in self._tombs if now >= self.others[p].since_us + self.rules.forget_us]:
            self._tombs.discard(place)
            self._news.pop(place, None)
            del self.others[place]
        if now >= self._period_us:
            out += self._period(now)
        self._plan(now)
        return out

    def _plan(self, now: int) -> None:
        times = [self._period_us]
        if self._probe is not None:
            times.append(self._probe.until_us if self._probe.asked else self._probe.ask_us)
        times += [until for _, _, until, _ in self._relays.values()]
        times += [m.since_us + self._patience(m) for m in map(self.others.__getitem__, self._suspects)]
        self.due_us = max(now + 1, min(times))

    def _stalled(self, late: int) -> None:
        """This process did not run for so long: what was due meanwhile proves nothing about others."""
        self._probe = None
        self._relays.clear()
        for place in self._suspects:
            self.others[place].since_us += late
        self._doubt()

    def _doubt(self) -> None:
        self.health = min(HEALTH_MOST, self.health + 1)

    def _period(self, now: int) -> list[Out]:
        self._periods += 1
        self._period_us = now + self.rules.period_us * (1 + self.health)
        out = []
        if not self.welcomed:
            out += [self._say(seed, Kind.JOIN) for seed in self._sample(self.seeds, HELPERS)]
        elif self._periods % RECALL == 0:
            lost = [s for s in (*self.seeds, *self._tombs) if s not in self.others or s in self._tombs]
            out += [self._say(place, Kind.JOIN) for place in self._sample(lost, 1)]
        if self._probe is None and (place := self._next()) is not None:
            number = self._count()
            wait = self._period_us - now
            self._probe = _Probe(place, number, now + int(ACK_SHARE * wait), now + wait)
            out.append(self._say(place, Kind.PING, number))
        return out

    def _next(self) -> str | None:
        """The next one to ping: everybody once a round, in an order of our own."""
        for _ in range(2):
            while self._round:
                place = self._round.pop()
                if place in self.others and place not in self._tombs:
                    return place
            self._round = [m.place for m in self.up()]
            self.draw.shuffle(self._round)
        return None

    def _ask_others(self, probe: _Probe) -> list[Out]:
        helpers = self._sample([m.place for m in self.up() if m.place != probe.place], HELPERS)
        probe.asked = max(1, len(helpers))
        return [self._say(place, Kind.ASK, probe.number, probe.place) for place in helpers]

    def _failed(self, probe: _Probe, now: int) -> None:
        if probe.refused < probe.asked:  # helpers are silent, too: it may be us
            self._doubt()
        target = self.others.get(probe.place)
        if target is not None and target.up:
            self._accuse(target, target.incarnation, checksum(self.me), now)

    def _patience(self, suspect: Member) -> int:
        """How long it may refute: the more accuse it, the shorter."""
        wanted = max(0, min(CONFIRM, self.size - 2))
        missing = max(0, wanted + 1 - len(suspect.accusers))
        return self.rules.suspect_us * (2 + missing) // 2 if wanted else self.rules.suspect_us

    # ------------------------------------------------------------ messages

    def hear(self, now: int, message: Message) -> list[Out]:
        """What a message changes, and what is to be answered."""
        if message.source == self.me or self.left:
            return []
        self._learn(Update(message.source, message.incarnation, State.ALIVE), now)
        source = self.others.get(message.source)
        if source is not None and message.incarnation >= source.incarnation:
            source.stamp = message.stamp
        for update in message.updates:
            self._learn(update, now)
        out = self._heard(now, message)
        self._plan(now)
        return out

    def _heard(self, now: int, message: Message) -> list[Out]:
        source, number = message.source, message.number
        match message.kind:
            case Kind.PING:
                return [self._say(source, Kind.ACK, number)]
            case Kind.ACK:
                return self._acked(message)
            case Kind.NACK:
                if self._probe is not None and self._probe.number == number:
                    self._probe.refused += 1
            case Kind.ASK:
                if message.target in self.others and len(self._relays) < RELAYS:
                    assert message.target is not None
                    mine = self._count()
                    until = now + self.rules.period_us // 2
                    self._relays[mine] = (source, number, until, message.target)
                    return [self._say(message.target, Kind.PING, mine)]
            case Kind.JOIN:
                return self._welcome(source)
            case Kind.WELCOME:
                self.welcomed = True
        return []

    def _acked(self, message: Message) -> list[Out]:
        probe = self._probe
        if probe is not None and probe.number == message.number:
            self._probe = None
            self.health = max(0, self.health - 1)
            return []
        relay = self._relays.pop(message.number, None)
        return [] if relay is None else [self._say(relay[0], Kind.ACK, relay[1], relay[3])]

    def _welcome(self, place: str) -> list[Out]:
        known = [m.update() for m in self.up() if m.place != place]
        self.draw.shuffle(known)
        empty = Message(VERSION, Kind.WELCOME, 0, self.me, self.incarnation, self.stamp)
        each = max(1, room(empty))
        parts = [known[n : n + each] for n in range(0, len(known), each)][:WELCOMES] or [[]]
        return [Out(place, replace(empty, updates=tuple(part))) for part in parts]

    def leave(self) -> list[Out]:
        """Some are told that this one goes on purpose; they tell the others."""
        self.left = True
        farewell = Update(self.me, self.incarnation, State.LEFT)
        places = self._sample([m.place for m in self.up()], 2 * HELPERS)
        return [Out(place, Message(
            VERSION, Kind.PING, self._count(), self.me, self.incarnation, None, None, (farewell,)
        )) for place in places]

    def _say(self, place: str, kind: Kind, number: int = 0, target: str | None = None) -> Out:
        bare = Message(VERSION, kind, number, self.me, self.incarnation, self.stamp, target)
        return Out(place, replace(bare, updates=self._rumours(place, room(bare))))

    def _rumours(self, place: str, most: int) -> tuple[Update, ...]:
        """What we think of the one we speak to, if that is no good, and the news that was told least."""
        found: list[Update] = []
        to = self.others.get(place)
        if to is not None and to.state is not State.ALIVE:
            found.append(to.update())
        often = NEWS * ceil(log10(self.size + 2))
        for name in sorted(self._news, key=self._news.__getitem__)[: max(0, most - len(found))]:
            if name == self.me:
                found.append(Update(self.me, self.incarnation, State.ALIVE))
            else:
                found.append(self.others[name].update())
            self._news[name] += 1
            if self._news[name] >= often:
                del self._news[name]
        return tuple(found)

    # ------------------------------------------------------------ the table

    def _learn(self, update: Update, now: int) -> None:
        if update.place == self.me:
            self._refute(update)
            return
        member = self.others.get(update.place)
        if member is None:
            if update.state in (State.ALIVE, State.SUSPECT) and len(self.others) < self.rules.most:
                member = Member(update.place, update.incarnation, State.ALIVE, now)
                self.others[update.place] = member
                self._round.insert(self.draw.randint(0, len(self._round)), update.place)
                self._tell(Change(update.place, None, State.ALIVE))
                if update.state is State.SUSPECT:
                    self._accuse(member, update.incarnation, update.by, now)
            return
        match update.state:
            case State.ALIVE:
                if update.incarnation > member.incarnation:
                    member.incarnation = update.incarnation
                    self._become(member, State.ALIVE, now)
            case State.SUSPECT:
                self._accuse(member, update.incarnation, update.by, now)
            case _:
                if member.up and update.incarnation >= member.incarnation:
                    member.incarnation = update.incarnation
                    self._become(member, update.state, now)

    def _refute(self, update: Update) -> None:
        """Somebody takes us for gone, or for suspect: say louder that we are here."""
        wrong = update.state is not State.ALIVE and update.incarnation >= self.incarnation
        if wrong and update.incarnation < INCARNATION_MOST:
            self.incarnation = update.incarnation + 1
            self._news[self.me] = 0
            self._doubt()

    def _accuse(self, member: Member, incarnation: int, by: int, now: int) -> None:
        if incarnation < member.incarnation or not member.up:
            return
        if member.state is State.ALIVE or incarnation > member.incarnation:
            member.incarnation = incarnation
            self._become(member, State.SUSPECT, now)
        if by not in member.accusers and len(member.accusers) <= CONFIRM:
            member.accusers.add(by)
            self._news[member.place] = 0

    def _become(self, member: Member, state: State, now: int) -> None:
        change = Change(member.place, member.state, state)
        member.state, member.since_us = state, now
        member.accusers = set()
        place = member.place
        self._suspects.discard(place)
        self._tombs.discard(place)
        if state is State.SUSPECT:
            self._suspects.add(place)
        elif state is not State.ALIVE:
            self._tombs.add(place)
            member.stamp = None
        self._tell(change)

    def _tell(self, change: Change) -> None:
        self._news[change.place] = 0
        if change.before is not change.now:
            self.changes.append(change)

    # ------------------------------------------------------------ small things

    def _count(self) -> int:
        self._number += 1
        return self._number

    def _sample(self, places: Iterable[str], most: int) -> list[str]:
        found = list(places)
        return self.draw.sample(found, min(most, len(found)))
