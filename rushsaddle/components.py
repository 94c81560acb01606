"""Components of a node that only an operator's settings enable; imported only then, to save memory."""

from __future__ import annotations

import gc
import os
import select
import socket
import sys
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any, Protocol

from tansygw.interface import Settings

from .config import Config
from .core.decider import Decider
from .core.durations import duration_us
from .core.list_entries import address
from .core.log import Log
from .core.loop import Coroutine, Loop, Wait
from .core.transaction import Transaction
from .fleet.members import Rules as MemberRules
from .fleet.saved_state import InvalidStateFile, Sections, StateWriter, read_state, saved_list
from .fleet.service import Fleet, FleetOptions
from .fleet.target_list import TargetList
from .fleet.wire import MIN_KEY_BYTES
from .limits.build import CompiledLimits, compile_limits
from .limits.records import Limits
from .limits.service import Limiter
from .net.caller import Callers
from .net.discovery import Discovery
from .net.jobs import HttpCodec
from .net.jobs_api import JobsApi
from .operator.explain import check_against_platform
from .operator.load import OperatorError, Source
from .operator.records import Fleet as FleetSection
from .operator.records import Operator
from .operator.records import Waiting as Section
from .waiting.handle import DeferralOptions
from .waiting.service import DeferredJobs
from .waiting.store import Store, StoreError

DEFAULT_SWITCH_S = sys.getswitchinterval()
READING_SWITCH_S = 0.0005  # while the settings are read, so that the loop gets the GIL back soon


class NodeContext(Protocol):
    """The attributes of a node that these components use."""

    config: Config
    loop: Loop
    log: Log
    decider: Decider
    callers: Callers
    discovery: Discovery
    read_operator: Callable[[], tuple[Operator, Source] | None]
    operator: Operator | None
    waiting: DeferredJobs | None
    limiter: Limiter | None


def deferral_options(section: Section) -> DeferralOptions:
    """Rules of the job queue from the section ``waiting``."""
    return DeferralOptions(
        section.most, section.pace, section.reserve, duration_us(section.longest),
        duration_us(section.remember), section.remember_most, duration_us(section.keep), section.keep_most,
    )


def build_waiting(node: NodeContext, section: Section) -> DeferredJobs:
    """Connect the queue of deferred jobs to a node; raises OperatorError if its store is unusable."""
    if "jobs" in node.config.class_names:
        raise OperatorError(["waiting.enabled: a class is named 'jobs', whose path is needed"])
    loop, store = node.loop, None
    if section.store:
        read_end, write_end = socket.socketpair()
        read_end.setblocking(False)
        write_end.setblocking(False)
        try:
            store = Store(Path(section.store), lambda: _wake(write_end))
        except StoreError as error:
            raise OperatorError([f"waiting.store: {error}"]) from None
        loop.spawn(_collect(loop, read_end, store))
    rules = deferral_options(section)
    waiting = DeferredJobs(loop, node.log, node.decider, node.config.settings, rules, HttpCodec(), store)
    node.callers.jobs_api = JobsApi(node.callers, waiting, rules.max_wait_us, section.legs_share)
    return waiting


def build_fleet(node: NodeContext, section: FleetSection) -> Fleet:
    """Connect membership and list forwarding to a node; raises OperatorError with all faults."""
    faults = []

    def checked(key: str, text: str) -> str:
        try:
            address(text)
        except ValueError as error:
            faults.append(f"fleet.{key}: {error}")
        return text

    checked("listen", section.listen)
    if section.told:
        checked("told", section.told)
    elif section.listen.startswith("0.0.0.0:"):
        faults.append("fleet.told: missing; others cannot be told 0.0.0.0")
    seeds = tuple(checked(f"seeds[{n}]", seed) for n, seed in enumerate(section.seeds))
    key = b""
    try:
        key = Path(section.key_file).read_bytes().strip()
        if len(key) < MIN_KEY_BYTES:
            faults.append(f"fleet.key_file: {section.key_file}: a key has {MIN_KEY_BYTES} bytes or more")
    except OSError as error:
        faults.append(f"fleet.key_file: {section.key_file or 'missing'}: {error.strerror}")
    if section.copy and not (Path(section.copy).is_dir() and os.access(section.copy, os.W_OK)):
        faults.append(f"fleet.copy: {section.copy}: not a folder that can be written to")
    if faults:
        raise OperatorError(faults)
    host, port = node.discovery.address
    target_list = node.discovery.observer = TargetList(f"{host}:{port}")
    rules = MemberRules(
        duration_us(section.period), duration_us(section.suspect), max_members=section.most,
        bytes_per_s=section.bytes,
    )

    def check(fields: Any) -> None:
        node.config.names.entries(fields["targets"])

    fleet = Fleet(
        node.loop, node.log, FleetOptions(address(section.listen), section.told or None, seeds, key, rules),
        target_list, check, node.discovery.apply_forwarded, Random(), duration_us(section.patience),
    )
    if section.copy:
        fleet.state_writer, fleet.restored_list = _open_copy(node, section, target_list, check)
    return fleet


def _open_copy(
    node: NodeContext, section: FleetSection, target_list: TargetList, check: Callable[[Any], None]
) -> tuple[StateWriter, Any]:
    """The writer of the local copy, and the list in it if it is valid and newer than the configured one.

    An unusable copy does not prevent the start: the reason is logged, and the copy is overwritten.
    """
    folder, sections, fields = Path(section.copy), Sections(), None
    try:
        sections = read_state(folder)
        if (kept := saved_list(sections)) is not None:
            age_us = node.loop.now_us() - kept.saved_us
            fields = kept.whole()
            check(fields)
            known = int(node.config.known["rev"])
            if kept.stamp.service != target_list.service:
                raise InvalidStateFile(f"saved from another service, {kept.stamp.service}")
            if age_us > duration_us(section.copy_longest):
                raise InvalidStateFile(f"too old: {age_us // 1_000_000} s")
            if known >= kept.stamp.rev and node.config.known["targets"]:
                raise InvalidStateFile(f"the configuration already has version {known}")
            target_list.era = kept.stamp.era
            node.log.event("copy used", version=kept.stamp.rev, age_s=age_us // 1_000_000)
    except (InvalidStateFile, KeyError, TypeError, ValueError) as error:
        fields = None
        node.log.event("copy not used", why=str(error))
    return StateWriter(folder, sections), fields


class CheckedSettings:
    """The operator's settings, checked against the platform's and ready to apply; raises OperatorError."""

    def __init__(self, operator: Operator, source: Source, platform: Settings) -> None:
        self.operator = operator
        self.shape: CompiledLimits | None = None
        check_against_platform(operator, source, platform)
        if operator.limits is not None:
            self.shape = compile_limits(operator.limits, platform)


class SettingsReader:
    """Reloads the operator's settings in a thread, so that a large file does not block the loop.

    One read runs at a time; a call meanwhile causes one more.  ``done`` is called in the loop's thread.
    """

    def __init__(self, node: NodeContext, done: Callable[[CheckedSettings | OperatorError], None]) -> None:
        self._node = node
        self._done = done
        self._again = False
        self._result: CheckedSettings | OperatorError | None = None
        self._thread: threading.Thread | None = None
        self._read_end, self._write_end = socket.socketpair()
        self._read_end.setblocking(False)
        self._write_end.setblocking(False)
        node.loop.spawn(self._collect())

    def read(self) -> None:
        """Start reading, or read again after the current read."""
        if self._thread is not None:
            self._again = True
            return
        sys.setswitchinterval(READING_SWITCH_S)
        gc.disable()  # a collection among so many new objects would pause both threads
        self._thread = threading.Thread(target=self._run, name="operator", daemon=True)
        self._thread.start()

    def _run(self) -> None:
        try:
            found = self._node.read_operator()
            assert found is not None
            self._result = CheckedSettings(*found, self._node.config.settings)
        except OperatorError as error:
            self._result = error
        except Exception as error:  # the old settings stay in force after any failure
            self._result = OperatorError([f"reading failed: {type(error).__name__}: {error}"])
        _wake(self._write_end)

    def _collect(self) -> Coroutine[None]:
        while True:
            yield Wait(self._read_end.fileno(), select.EPOLLIN)
            self._read_end.recv(4096)
            if self._thread is None or self._result is None:
                continue
            self._thread.join()
            sys.setswitchinterval(DEFAULT_SWITCH_S)
            gc.freeze()
            gc.enable()
            self._thread = None
            result, self._result = self._result, None
            self._done(result)
            if self._again:
                self._again = False
                self.read()


def build_limiter(node: NodeContext, shape: CompiledLimits) -> Limiter:
    """Connect limits by class and route to a node."""
    limiter = Limiter(node.loop.now_us, node.log, node.config.settings, shape)
    node.callers.limiter = limiter
    if node.waiting is not None:
        node.waiting.limiter = limiter
    before = node.decider.on_end

    def over(transaction: Transaction) -> None:
        limiter.release(transaction)
        if before is not None:
            before(transaction)

    node.decider.on_end = over
    return limiter


def apply_settings(node: NodeContext, checked: CheckedSettings) -> list[str]:
    """Apply reloaded settings, all at once; returns the keys that take effect only after a restart."""
    operator, old = checked.operator, node.operator
    node.operator = operator
    assert old is not None
    if node.waiting is not None:
        apply_waiting(node, operator.waiting)
    if node.limiter is not None:
        node.limiter.swap(checked.shape or compile_limits(Limits(), node.config.settings))
    pairs = {
        "waiting.enabled": (old.waiting.enabled, operator.waiting.enabled),
        "waiting.store": (old.waiting.store, operator.waiting.store), "log.format": (old.log, operator.log),
        "fleet": (old.fleet, operator.fleet),
        "limits": (node.limiter is not None, operator.limits is not None or node.limiter is not None),
    }
    return [key for key, (was, now) in pairs.items() if was != now]


def apply_waiting(node: NodeContext, section: Section) -> None:
    """Apply what can change without a restart.  Jobs beyond a lowered limit stay queued."""
    waiting, jobs_api = node.waiting, node.callers.jobs_api
    if waiting is None or not isinstance(jobs_api, JobsApi):
        return
    rules = waiting.options = deferral_options(section)
    jobs_api.longest_us, jobs_api.legs_share = rules.max_wait_us, section.legs_share
    scheduler = waiting.scheduler
    scheduler.max_jobs, scheduler.paced, scheduler.pacer.reserve = rules.max_jobs, rules.pace, rules.reserve
    scheduler.outcomes.retention_us, scheduler.outcomes.max_entries = (
        rules.outcome_retention_us, rules.max_outcomes
    )


def _wake(write_end: socket.socket) -> None:
    """Wake the loop from another thread; a full socket buffer already does."""
    with suppress(BlockingIOError):
        write_end.send(b"\0")


def _collect(loop: Loop, read_end: socket.socket, store: Store) -> Coroutine[None]:
    """Deliver completed store calls in the loop's thread."""
    while True:
        yield Wait(read_end.fileno(), select.EPOLLIN)
        read_end.recv(4096)
        store.deliver_results()
