"""A node: assembles the components, handles signals, reloads the configuration and shuts down."""

from __future__ import annotations

import faulthandler
import gc
import os
import resource
import select
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from tansygw import Dispatcher
from tansygw.lists import LIST_PROPAGATION_US

from . import config
from .core.allocator import return_large_blocks
from .core.counters import CallerCounters, RequestCounters
from .core.decider import Decider
from .core.departures import Departures
from .core.lifecycle import Lifecycle, Phase
from .core.list_entries import Address
from .core.log import Log
from .core.loop import Clock, Coroutine, Loop, Wait
from .core.loop_delays import LoopDelays
from .core.memory_budget import MemoryBudget
from .core.memory_usage import MB, MemoryMonitor, MemoryUsage, peak_bytes
from .net import listener
from .net.caller import Callers
from .net.discovery import Discovery
from .net.job_headers import ClassDeadline
from .net.list_retry import ListRetry
from .net.nexthop import NextHops
from .net.peers import PeerLink

if TYPE_CHECKING:  # imported at run time only if an operator's settings need them, to save memory
    from .components import CheckedSettings, SettingsReader
    from .fleet.service import Fleet
    from .limits.service import Limiter
    from .operator.load import OperatorError, Source
    from .operator.records import Operator
    from .takeover.service import Takeover
    from .waiting.service import DeferredJobs

ReadOperator = Callable[[], "tuple[Operator, Source] | None"]

MIN_BUDGET = 4
RESERVED_DESCRIPTORS = 40  # for the loop, the log, discovery and sockets being closed
POLL_US = 20_000  # interval of polling for readiness or for the end of draining
# A process that replaces another waits this long for a list newer than the saved one.
SUCCESSOR_LIST_TIMEOUT_US = 2_500_000
# An agent that pushes lists answers at once or is down for long, so a start waits no longer for it.
PUSHED_LIST_TIMEOUT_US = 250_000
GC_THRESHOLDS = (50_000, 20, 100)  # few cycles are created; frequent collections cost more than they free


# Fields of the configuration that take effect without a restart.
RELOADABLE = ("discovery", "memory_bytes", "sockets")


def _connection_budget(sockets: int) -> int:
    """Number of caller legs, and likewise of connections to next hops, for so many descriptors.

    If the system allows fewer descriptors than are configured, callers must not use up those that discovery
    and next hops need.
    """
    system, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system != resource.RLIM_INFINITY:
        sockets = min(sockets, system)
    return max(MIN_BUDGET, (sockets - RESERVED_DESCRIPTORS) // 2)


def _signals() -> socket.socket:
    """A socket that receives signal numbers; these signals no longer end the process."""
    signals, write_end = socket.socketpair()
    signals.setblocking(False)
    write_end.setblocking(False)
    signal.set_wakeup_fd(write_end.detach(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    return signals


class Node:
    """The components of one node, connected to each other."""

    def __init__(self, node_config: config.Config, read_operator: ReadOperator) -> None:
        settings, limits = node_config.settings, node_config.settings.limits
        clock = Clock()
        self.code = 0
        self.stop_reason = "event loop stopped"
        self.read_operator = read_operator  # loads the operator's settings
        self.operator: Operator | None = None
        checked: CheckedSettings | None = None
        if (found := read_operator()) is not None:
            from .components import CheckedSettings

            checked = CheckedSettings(*found, node_config.settings)
            self.operator = checked.operator
        self.log = Log(node_config.name, clock.now_us)
        if self.operator is not None:
            from .structured import StructuredLog

            self.log = StructuredLog(node_config.name, clock.now_us, self.operator.log.format == "text")
        self.loop = Loop(clock, lambda error: self.log.error("a connection's code failed", error))
        self.loop_delays = LoopDelays(self.log, clock.now_us)
        self.loop.on_late_timers = self.loop_delays.timer
        self.memory = MemoryBudget(clock.now_us, lambda: self.config.memory_bytes)
        self.lifecycle = Lifecycle()
        self.request_counters = RequestCounters(len(settings.classes))
        self.caller_counters = CallerCounters(self.log, clock.now_us)
        self.decider = Decider(
            self.loop, self.log, Dispatcher(settings, node_config.seed), settings.tick_us,
            limits.max_attempts, self.fail, self.request_counters, self.loop_delays,
        )
        budget = _connection_budget(node_config.sockets)
        connect_us = limits.connect_timeout_us or 250_000
        departures = Departures()
        self.hops = NextHops(
            self.loop, self.log, self.decider.put, budget, connect_us, node_config.conn_idle_us // 2,
            node_config.report_names, self.request_counters.sent, departures, self.memory,
        )
        self.decider.branch_sender = self.hops
        self.discovery = Discovery(
            self.loop, self.log, self.decider.put, self.hops, node_config.names, node_config.discovery,
            connect_us, Random(node_config.seed).random,
            ListRetry(not settings.list_on_request, settings.rules.drain_grace_us, settings.group_size),
            departures,
        )
        self.decider.subscribe = self.discovery.subscribe
        self.peers: PeerLink | None = None
        if node_config.peers is not None:
            self.peers = PeerLink(self.loop, self.log, self.decider.put, node_config.peers, settings.rank)
            self.decider.broadcast = self.peers.send
        classes = {c.name: ClassDeadline(n, c.deadline_us) for n, c in enumerate(settings.classes)}
        tenants = {name: n for n, name in enumerate(node_config.tenant_names)}
        self.callers = Callers(
            self.loop, self.log, self.decider, self.hops, classes, tenants, budget, self.lifecycle,
            self.caller_counters, self.memory,
        )
        self.memory.connections = lambda: len(self.callers.legs)
        if limits.retry_after:
            self.callers.max_retry_after_us = limits.max_retry_after_us or LIST_PROPAGATION_US
        self.deadline_us = max(c.deadline_us for c in settings.classes)
        self.config = node_config
        self.takeover: Takeover | None = None
        self.waiting: DeferredJobs | None = None
        if self.operator is not None and self.operator.waiting.enabled:
            from .components import build_waiting

            self.waiting = build_waiting(self, self.operator.waiting)
        self.fleet: Fleet | None = None
        if self.operator is not None and self.operator.fleet.enabled:
            from .components import build_fleet

            self.fleet = build_fleet(self, self.operator.fleet)
        self.limiter: Limiter | None = None
        if checked is not None and checked.shape is not None:
            from .components import build_limiter

            self.limiter = build_limiter(self, checked.shape)
        self.reader: SettingsReader | None = None

    def run(self, signals: socket.socket) -> int:
        """Serve until a signal to end; returns the exit code; raises ListenerError."""
        node_config = self.config
        fd = node_config.inherited_fd
        listen = listener.open_listener(node_config.listen) if fd is None else listener.inherit_listener(fd)
        admin = self._open_admin(node_config.admin) if node_config.admin is not None else None
        if fd is not None and os.environ.get("TMPDIR"):
            self.takeover = self._open_takeover(Path(os.environ["TMPDIR"]))
        known = (
            node_config.known if self.fleet is None or self.fleet.restored_list is None
            else self.fleet.restored_list
        )
        self.discovery.start(known)
        if self.fleet is not None:
            self.fleet.start()
        self.decider.start()
        if self.waiting is not None:
            self.waiting.start()
        self.loop.spawn(self.hops.sweep())
        self.loop.spawn(self._memory_monitor().run())
        self.loop.spawn(self.callers.relieve_memory())
        if self.peers is not None:
            self.loop.spawn(self.peers.run())
        self.loop.spawn(self._handle_signals(signals))
        if self.takeover is not None and self.takeover.connect_to_predecessor(lambda: self._listen(listen)):
            self.loop.spawn(self._serve_when(
                listen, admin, SUCCESSOR_LIST_TIMEOUT_US, lambda: self.discovery.watching
            ))
        elif self.fleet is not None:
            self._listen(listen)
            self.loop.spawn(self._serve_when(
                listen, admin, self.fleet.first_list_timeout_us, self.fleet.has_list
            ))
        else:
            self._listen(listen)
            # Older changes of the list count as known to the node from its start, whatever the configuration
            # file holds.  So requests are not sent by that possibly outdated list alone while the service can
            # be called.  The first call, including its time queued at the service, ends within
            # LIST_PROPAGATION_US.
            longest = PUSHED_LIST_TIMEOUT_US if self.discovery.retry.pushed else LIST_PROPAGATION_US
            self.loop.spawn(self._serve_when(listen, admin, longest, lambda: self.discovery.list_resolved))
        self._run_loop()
        if self.waiting is not None:
            self.waiting.close()
        self.log.event("stopped", code=self.code, reason=self.stop_reason, peak_mb=peak_bytes() // MB)
        return self.code

    def _run_loop(self) -> None:
        try:
            self.loop.run()
        except Exception as error:
            self.log.error("event loop failed", error)
            self.code, self.stop_reason = 1, "event loop failed"

    def _memory_monitor(self) -> MemoryMonitor:
        def details() -> dict[str, int]:
            return {
                "legs": len(self.callers.legs), "incomplete_requests": self.callers.incomplete_requests,
                "transactions": len(self.decider.transactions), "next_hop_connections": self.hops.open,
                "timers": self.loop.timers, "shortages": self.memory.shortages,
            }

        return MemoryMonitor(self.loop, self.log, lambda: self.config.memory_bytes, details)

    def _listen(self, listen: listener.Listener) -> None:
        """Accept callers; their requests are held until the node can serve."""
        if self.lifecycle.phase is not Phase.ENDING:
            self.callers.listen(listen)

    def _serve(self, listen: listener.Listener, admin: str | None) -> None:
        """Start serving callers."""
        held = len(self.callers.startup)
        self._listen(listen)
        self.lifecycle.ready()
        if self.takeover is not None:
            self.takeover.announce_ready()
        rules = self.config.settings.rules
        self.log.event(
            "ready", listen=listen.name, door=admin, next_hops=len(self.hops.hops),
            drain_grace_us=rules.drain_grace_us, must_ask_in_us=rules.must_ask_in_us, held_requests=held,
        )

    def _serve_when(
        self, listen: listener.Listener, admin: str | None, longest_us: int, is_ready: Callable[[], bool]
    ) -> Coroutine[None]:
        """Wait for the list of next hops, up to ``longest_us``, before serving callers."""
        until = self.callers.startup.ready_by_us = self.loop.now_us() + longest_us
        while self.loop.now_us() < until and not is_ready():
            yield Wait(until_us=self.loop.now_us() + POLL_US)
        if self.lifecycle.phase is Phase.STARTING:
            self._serve(listen, admin)

    def _open_takeover(self, folder: Path) -> Takeover:
        from .takeover.service import Takeover

        def held() -> int:
            return RESERVED_DESCRIPTORS + len(self.callers.legs) + self.hops.open

        takeover = Takeover(
            self.loop, self.log, folder, self.callers, lambda: self.config.sockets, self._resize, held,
            self.discovery,
        )
        self.memory.other_processes = takeover.other_processes
        return takeover

    def _resize(self, sockets: int) -> None:
        self.hops.budget = self.callers.budget = _connection_budget(sockets)

    def _open_admin(self, address: Address) -> str:
        from .admin import metrics
        from .admin.server import AdminServer

        def lines() -> list[str]:
            census = self.decider.dispatcher.worker_counts()
            held = len(self.callers.startup)
            return metrics.lines(
                self.request_counters, held, self.loop_delays, self.config.class_names, *census,
                self.caller_counters, len(self.callers.legs), MemoryUsage.now(), self.memory.shortages,
            )

        listen = listener.open_listener(address)
        AdminServer(self.loop, self.log, self.lifecycle, lines).listen(listen)
        return listen.name

    def fail(self) -> None:
        """Stop with exit code 1: the decision module failed, and nothing works without it."""
        self.code, self.stop_reason = 1, "decision module failed"
        self.loop.stopped = True

    def _handle_signals(self, signals: socket.socket) -> Coroutine[None]:
        """Handle signals; each arrives as one byte, its number."""
        while True:
            yield Wait(signals.fileno(), select.EPOLLIN)
            numbers = signals.recv(4096)
            if signal.SIGHUP in numbers:
                self._reload()
            if (signal.SIGTERM in numbers or signal.SIGINT in numbers) and self.lifecycle.end():
                self.log.event(
                    "draining", legs=len(self.callers.legs),
                    incomplete_requests=self.callers.incomplete_requests,
                )
                self.loop.spawn(self._drain())

    def _reload(self) -> None:
        """Reload the configuration file; an invalid file changes nothing.  Other changes need a restart."""
        began = self.loop.now_us()
        try:
            new = config.reread()
        except config.ConfigError as error:
            self.log.error("configuration kept", error)
            return
        old, self.config = self.config, new
        self.discovery.change_service(new.discovery)
        if self.takeover is not None:
            self.takeover.update_share()
        else:
            self._resize(new.sockets)
        if self.operator is not None:
            self._reload_operator()
        deferred = [f.name for f in fields(new) if getattr(new, f.name) != getattr(old, f.name)]
        deferred = [name for name in deferred if name not in RELOADABLE]
        self.log.event("configuration read", at_next_start=deferred, us=self.loop.now_us() - began)

    def _reload_operator(self) -> None:
        """Reload the operator's settings, completely or not at all."""
        if self.reader is None:
            from .components import SettingsReader

            self.reader = SettingsReader(self, self._take_operator)
        self.reader.read()

    def _take_operator(self, checked: CheckedSettings | OperatorError) -> None:
        from .components import CheckedSettings, apply_settings

        if not isinstance(checked, CheckedSettings):
            self.log.error("operator's settings kept", checked, faults=len(checked.faults))
            return
        began = self.loop.now_us()
        deferred = apply_settings(self, checked)
        self.log.event("operator's settings read", at_next_start=deferred, us=self.loop.now_us() - began)

    def _drain(self) -> Coroutine[None]:
        """Accept pending connections, finish open requests, then stop."""
        if self.waiting is not None:
            self.waiting.drain()
        if self.takeover is not None and self.takeover.successor is not None:
            self.hops.shut_down()
            self.takeover.announce_ending()
        yield from self.callers.stop()
        self.hops.shut_down()
        if self.fleet is not None:
            self.fleet.leave()
        until = self.loop.now_us() + self.deadline_us
        while self.loop.now_us() < until and self._busy():
            yield Wait(until_us=self.loop.now_us() + POLL_US)
        self.stop_reason = "told to end"
        self.loop.stopped = True

    def _busy(self) -> bool:
        handed = self.takeover is None or self.takeover.idle
        return bool(self.callers.legs or self.decider.transactions or not handed)


def serve(read_operator: ReadOperator | None = None) -> int:
    """Run a node until a signal to end; returns the exit code."""
    return_large_blocks()
    faulthandler.enable()  # a fatal signal writes where it came to standard error
    signals = _signals()
    if read_operator is None:
        read_operator = _from_environment
    try:
        node = Node(config.read(), read_operator)
    except (config.ConfigError, ValueError) as error:
        print(f"rushsaddle: {error}", file=sys.stderr)
        return 2
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        return node.run(signals)
    except listener.ListenerError as error:
        print(f"rushsaddle: {error}", file=sys.stderr)
        return 2


def _from_environment() -> tuple[Operator, Source] | None:
    """The operator's settings, without command-line flags; None if there are none."""
    if not any(name.startswith("RUSHSADDLE_") for name in os.environ):
        return None
    from .operator.load import read_with_source

    return read_with_source(None, os.environ, {})
