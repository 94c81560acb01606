"""Adapter to the simulator's protocol on standard input and output: framing and translation only.

Run as ``python -m tansygw.benchlink``.  It makes no decisions.  Malformed input ends the
process with exit code 2 and a message on standard error; an exception inside one instance is
reported to the simulator as that instance's ``Panic``.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from . import interface as i
from .decide import Dispatcher
from .settings import Fields, named_report, settings_from

OUTCOMES = {o.value: o for o in i.Outcome}
STATES = {"on": i.WorkerState.READY, "fading": i.WorkerState.DRAINING, "off": i.WorkerState.GONE}
LIST_KINDS = {
    "FULL": i.ListKind.COMPLETE,
    "INCREMENTAL": i.ListKind.CHANGES,
    "SAVED": i.ListKind.SAVED,
    "FAILED": i.ListKind.FAILED,
}
PROGRESS = {1: i.Progress.STARTED, 2: i.Progress.FRACTION_DONE}


class ProtocolError(Exception):
    """The input violates the protocol."""


def _entries(lines: Any) -> tuple[i.WorkerEntry, ...]:
    found = []
    for line in lines:
        state = STATES.get(line.get("Health", "on"))
        if state is not None:  # a state of a newer protocol version: skip the entry
            found.append(i.WorkerEntry(
                str(line["Runner"]), state, line.get("Campus", 0), line.get("Machine", 0),
                line.get("Block", 0), line.get("CapacityHint", 1.0), line.get("BootTimeUs", 0),
            ))
    return tuple(found)


class Instance:
    """One dispatcher, its events of the current batch, and the names of its load report fields."""

    __slots__ = ("dispatcher", "events", "names")

    def __init__(self, dispatcher: Dispatcher, names: dict[str, str]) -> None:
        self.dispatcher = dispatcher
        self.events: list[i.Event] = []
        self.names = names

    def report(self, load: Any) -> i.Report | None:
        """Return a load report under the names that the decision module reads."""
        return named_report(load, self.names)


def _arrival(_: Instance, f: Fields) -> i.Event:
    get = f.get
    return i.RequestArrived(
        f["Xid"], get("Cls", 0), f["TimeLeftUs"], get("CoresNeeded", 1.0), get("Mem", 0.0), get("Project", 0),
        get("RouteKey", ""), get("AgainByClient", False), get("PredictedUs", 0),
    )


def _returned(instance: Instance, f: Fields) -> i.Event:
    get = f.get
    return i.AttemptEnded(
        f["Xid"], get("Copy", 0), f["Runner"], OUTCOMES.get(f["StateCode"], i.Outcome.FAILURE),
        get("DurationUs", 0), get("Ended", False), instance.report(get("Load")),
    )


def _note(_: Instance, f: Fields) -> i.Event | None:
    progress = PROGRESS.get(f.get("Topic", 0))
    if progress is None:
        return None
    return i.AttemptProgress(f["Xid"], f.get("Copy", 0), f["Runner"], progress, f.get("Value", 0.0))


def _checked(instance: Instance, f: Fields) -> i.Event:
    return i.ProbeResult(
        f["Runner"], OUTCOMES.get(f["StateCode"], i.Outcome.FAILURE), f.get("DurationUs", 0),
        instance.report(f.get("Load")),
    )


def _first(_: Instance, f: Fields) -> i.Event:
    return i.StreamStarted(f["Xid"], f.get("Copy", 0), f["Runner"], f.get("DurationUs", 0))


READERS: dict[str, Callable[[Instance, Fields], i.Event | None]] = {
    "Arrival": _arrival,
    "Returned": _returned,
    "Note": _note,
    "HealthResult": _checked,
    "First": _first,
    "Bell": lambda _, f: i.TimerFired(f.get("Ctx", 0)),
    "Dropped": lambda _, f: i.RequestAbandoned(f["Xid"]),
    "PeerData": lambda _, f: i.PeerMessage(f.get("Src", 0), str(f.get("Blob", ""))),
}


def _send(who: str, a: Any) -> Fields:
    fields = {"Who": who, "Xid": a.request, "Runner": a.worker}
    if a.timeout_us:
        fields["AllowForUs"] = a.timeout_us
    return {"Route": fields}


def _refuse(who: str, a: Any) -> Fields:
    fields = {"Who": who, "Xid": a.request}
    if a.retry_after_us:
        fields["ComeBackUs"] = a.retry_after_us
    return {"NotNow": fields}


WRITERS: dict[type, Callable[[str, Any], Fields]] = {
    i.Send: _send,
    i.Refuse: _refuse,
    i.Fail: lambda who, a: {"Error": {"Who": who, "Xid": a.request}},
    i.Cancel: lambda who, a: {"DropAttempt": {"Who": who, "Xid": a.request, "Copy": a.attempt}},
    i.Probe: lambda who, a: {"Sample": {"Who": who, "Runner": a.worker}},
    i.SetTimer: lambda who, a: {"WakeAt": {"Who": who, "AfterUs": a.after_us, "Ctx": a.token}},
    i.Subscribe: lambda who, a: {"Subscribe": {"Who": who, "On": True}},
    i.Broadcast: lambda who, a: {"Say": {"Who": who, "NeighbourId": None, "Blob": a.data}},
    i.Log: lambda who, a: {"Log": {"Who": who, "Words": a.text}},
}


class Link:
    """All instances of this process and the batch that is being read."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, tuple[i.WorkerEntry, ...]] = {}
        self.batch: dict[str, Instance] = {}
        self.panics: list[bytes] = []
        self.now: int | None = None

    def line(self, raw: bytes) -> bytes | None:
        """Process one line; return the reply where it completes a batch.

        Raises ProtocolError, KeyError, TypeError, ValueError or AttributeError on malformed input.
        """
        try:
            message = orjson.loads(raw)
        except orjson.JSONDecodeError as error:
            raise ProtocolError(f"not JSON: {error}") from None
        if not isinstance(message, dict) or len(message) != 1:
            raise ProtocolError("not an object with a single key")
        ((name, fields),) = message.items()
        if not isinstance(fields, dict):
            raise ProtocolError(f"{name}: value is not an object")
        if name == "Round":
            if self.now is not None:
                raise ProtocolError("Round inside a batch")
            self.now = fields["TUs"]
            if type(self.now) is not int:
                raise ProtocolError("Round: TUs is not an integer")
            return None
        if self.now is None:
            raise ProtocolError(f"{name} outside a batch")
        if name == "OverToYou":
            return self.reply()
        self.event(name, fields)
        return None

    def event(self, name: str, fields: Fields) -> None:
        """Process one message inside a batch; unknown messages are ignored."""
        reader = READERS.get(name)
        if reader is not None:
            instance = self.instances.get(fields["Who"])
            if instance is None:  # halted or never configured
                return
            event = reader(instance, fields)
            if event is not None:
                instance.events.append(event)
            self.batch[fields["Who"]] = instance
        elif name == "Roster":
            self.lists[fields["SetId"]] = _entries(fields["Lines"])
        elif name == "Endpoints":
            instance = self.instances.get(fields["Who"])
            kind = LIST_KINDS.get(fields["Form"])
            if instance is None or kind is None:
                return
            entries = () if kind is i.ListKind.FAILED else self.lists[fields["SetId"]]
            instance.events.append(i.WorkerList(kind, entries, fields.get("Index", 0)))
            self.batch[fields["Who"]] = instance
        elif name == "Configure":
            who = fields["Who"]
            try:
                settings, names = settings_from(fields["ProfileData"])
                dispatcher = Dispatcher(settings, fields["Prng"])
            except ValueError as error:
                raise ProtocolError(f"Configure: {error}") from None
            self.instances[who] = self.batch[who] = Instance(dispatcher, names)
        elif name == "Halt":
            self.instances.pop(fields["Who"], None)
            self.batch.pop(fields["Who"], None)

    def reply(self) -> bytes:
        """Run the steps of the batch and return the actions of all instances, one a line."""
        assert self.now is not None
        out: list[bytes] = []
        for who, instance in self.batch.items():
            events, instance.events = instance.events, []
            try:
                actions = instance.dispatcher.step(self.now, events)
                out.extend(orjson.dumps(WRITERS[type(a)](who, a)) for a in actions)
            except Exception as error:  # the protocol reports faults of the decision code as Panic
                text = f"{type(error).__name__}: {error}"
                out.append(orjson.dumps({"Panic": {"Who": who, "Words": text}}))
        self.batch.clear()
        self.now = None
        out.append(b'{"Yield":{}}\n')
        return b"\n".join(out)


def run(source: BinaryIO, sink: BinaryIO) -> int:
    """Process lines until the input ends; return the exit code."""
    link = Link()
    for number, raw in enumerate(source, 1):
        if raw.isspace():
            continue
        try:
            reply = link.line(raw)
        except ProtocolError as error:
            print(f"tansygw.benchlink: line {number}: {error}", file=sys.stderr)
            return 2
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            what = f"missing field {error}" if isinstance(error, KeyError) else str(error)
            print(f"tansygw.benchlink: line {number}: {what}", file=sys.stderr)
            return 2
        if reply is not None:
            sink.write(reply)
            sink.flush()
    if link.now is not None:
        print("tansygw.benchlink: input ends inside a batch", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """Run the adapter on standard input and output."""
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)  # few reference cycles arise: frequent collection costs more
    return run(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
