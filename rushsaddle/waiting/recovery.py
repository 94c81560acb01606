"""Recovery of stored jobs at start: which are deferred again, resumed or failed.  No I/O, no clock.

The rules on repeats hold across restarts: a job that may have run is dispatched again only where a repeat
does no harm, and the dispatcher is given the attempts of the earlier process, so that its own checks apply.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from tansygw.interface import DedupGroup, Effect, RequestClass

from .records import AttemptRecord, StoredJob


@dataclass(slots=True, frozen=True)
class KeepWaiting:
    """The job was never sent: defer it again on the same conditions."""


@dataclass(slots=True, frozen=True)
class Resume:
    """The job may have run and may run again: dispatch it at once, but not after ``until_us``."""

    until_us: int


@dataclass(slots=True, frozen=True)
class FailJob:
    """The job's final answer is a failure."""

    status: int
    reason: str


RecoveryAction = KeepWaiting | Resume | FailJob


def recovery_action(
    now: int, job: StoredJob, attempts: Sequence[AttemptRecord], classes: Mapping[str, RequestClass],
    max_attempts: int,
) -> RecoveryAction:
    """How to proceed with one stored job that has no answer; ``attempts`` are its own, oldest first."""
    info = classes.get(job.cls)
    if info is None:
        return FailJob(502, "its class is not known any more")
    if not attempts:
        return FailJob(504, "its time was up") if now >= job.give_up_us else KeepWaiting()
    if info.effect is Effect.FRAGILE or (info.effect is Effect.DEDUP and not job.has_dedup_key):
        return FailJob(502, "it may have run before a restart and must not run twice")
    if len(attempts) >= max_attempts:
        return FailJob(502, "it may have run before a restart and has no attempt left")
    # The class's deadline counts from the release, which was no later than the first attempt.
    first = min(attempt.at_us for attempt in attempts)
    until = min(job.give_up_us, first + info.deadline_us)
    if info.effect is Effect.DEDUP:
        until = min(until, first + info.window_us)
        if info.group is DedupGroup.CELL and len({attempt.cell for attempt in attempts}) > 1:
            return FailJob(502, "it may have run before a restart at two racks")
        if info.group is DedupGroup.ZONE and len({attempt.zone for attempt in attempts}) > 1:
            return FailJob(502, "it may have run before a restart in two zones")
    if now >= until:
        return FailJob(502, "it may have run before a restart, too long ago to be sent again")
    return Resume(until)
