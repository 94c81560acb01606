"""Next hops: connection pools, branches and probes.

``NextHops`` owns every connection.  A connection is either idle in the pool of its next hop or carries one
branch or probe; ``_release`` and ``_discard`` end that use.
"""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from typing import Any

import h11
import orjson

from tansygw.interface import Event, Outcome, ProbeResult, Progress, Report, WorkerEntry, WorkerState
from tansygw.settings import named_report

from ..core.departures import Departures
from ..core.list_entries import Address
from ..core.log import Log
from ..core.loop import YIELD_TO_OTHERS, Coroutine, Loop, Wait
from ..core.memory_budget import MemoryBudget
from ..core.transaction import Branch
from .answer_limits import MAX_LINE_BYTES, AnswerLimits, BadAnswer
from .http import MAX_BODY_BYTES, NO_DESCRIPTOR_ERRNOS, LineSplitter, Request
from .idle_limit import IdleLimit
from .stream import Stream

# The rest of the answer must follow its last object within this time, else the connection is not reused.
ANSWER_END_TIMEOUT_US = 500_000
LINES_PER_TURN = 16  # of one answer in a turn of the loop
SWEEP_INTERVAL_US = 1_000_000
TRANSIENT_STATUSES = (408, 425, 429)  # 4xx statuses that a retry may not get again


class Abandoned(Exception):
    """The branch or probe was cancelled, or its deadline has passed."""


class NextHopLeaving(Exception):
    """The list announced that the next hop is leaving, after the branch was drawn."""


class Unwanted(Exception):
    """The caller left, another branch answered, or the window ended before the request was written."""


class Probe:
    """Deadline and cancellation of a probe, with the interface of a branch."""

    __slots__ = ("cancelled", "until_us")

    def __init__(self, until_us: int) -> None:
        self.until_us = until_us
        self.cancelled = False

    def may_begin(self, now: int) -> bool:
        return True


class Hop:
    """A next hop and its idle connections."""

    __slots__ = ("address", "idle", "listed", "uid")

    def __init__(self, uid: str, address: Address) -> None:
        self.uid = uid
        self.address = address
        self.listed = True
        self.idle: list[Connection] = []  # longest idle first


class Connection:
    """A connection to a next hop."""

    __slots__ = ("address", "answered", "connected", "idle_since_us", "idle_us", "limits", "stream",
                 "written")

    def __init__(self, stream: Stream, address: Address) -> None:
        self.stream = stream
        self.address = address
        self.connected = False
        self.idle_since_us = 0
        self.idle_us: int | None = None  # idle time before the current request; None: new connection
        self.answered = False  # the current request has the head of its answer
        self.limits = AnswerLimits(0, stream.loop.now_us())  # of the answer to the current request
        self.written = False  # the kernel has the last byte of the current request


class NextHops:
    """Sends branches and probes to next hops, and owns the connections to them."""

    def __init__(
        self, loop: Loop, log: Log, put: Callable[[Event], None], budget: int, connect_timeout_us: int,
        idle_us: int, report_names: dict[str, str], on_sent: Callable[[], None], departures: Departures,
        memory: MemoryBudget,
    ) -> None:
        self.loop = loop
        self.log = log
        self.put = put
        self.budget = budget  # connections at once
        self.connect_timeout_us = connect_timeout_us
        self.probe_timeout_us = 2 * connect_timeout_us
        self.idle_limit = IdleLimit(idle_us)
        self.report_names = report_names
        self.on_sent = on_sent  # called for each branch that is written in full
        self.departures = departures
        self.memory = memory
        self.hops: dict[str, Hop] = {}
        self._pooled: dict[Hop, None] = {}  # hops with idle connections; may include emptied ones
        self._unlisted: dict[str, Hop] = {}  # removed from the list since the last sweep
        self.open = 0
        self.probing = True

    # ------------------------------------------------------------ the list

    def update_list(self, complete: bool, entries: list[tuple[WorkerEntry, Address]]) -> None:
        """Apply list entries.  The address of a hop may change; a removed hop stays until the next sweep."""
        listed_uids = set()
        for entry, address in entries:
            listed_uids.add(entry.worker)
            hop = self.hops.setdefault(entry.worker, Hop(entry.worker, address))
            hop.listed = entry.state is not WorkerState.GONE
            if not hop.listed or hop.address != address:
                self._close_idle(hop)
            if address[0]:
                hop.address = address
            if not hop.listed:
                self._unlisted[hop.uid] = hop
        if complete:
            for hop in self.hops.values():
                if hop.uid not in listed_uids:
                    hop.listed = False
                    self._unlisted[hop.uid] = hop
                    self._close_idle(hop)

    def _close_idle(self, hop: Hop) -> None:
        while hop.idle:
            self._discard(hop.idle.pop())
        self._pooled.pop(hop, None)

    def shut_down(self) -> None:
        """Stop probing and close idle connections: the process ends and its successor needs descriptors."""
        self.probing = False
        for hop in list(self._pooled):
            self._close_idle(hop)

    def sweep(self) -> Coroutine[None]:
        """Close connections that were idle too long, or that the peer has closed or written to."""
        while True:
            yield Wait(until_us=self.loop.now_us() + SWEEP_INTERVAL_US)
            before = self.loop.now_us() - self.idle_limit.limit(self.loop.now_us())
            for hop in self._unlisted.values():
                if not hop.listed and self.hops.get(hop.uid) is hop:
                    del self.hops[hop.uid]
            self._unlisted.clear()
            for hop in list(self._pooled):
                idle, hop.idle = hop.idle, []
                for connection in idle:
                    if connection.idle_since_us < before or connection.stream.readable():
                        self._discard(connection)
                    else:
                        hop.idle.append(connection)
                if not hop.idle:
                    del self._pooled[hop]

    # ------------------------------------------------------------ connections

    def _acquire(self, hop: Hop) -> Connection | None:
        """An idle connection of the hop, else a new one; None if no socket is available."""
        now = self.loop.now_us()
        limit = self.idle_limit.limit(now)
        while hop.idle:
            connection = hop.idle.pop()
            connection.idle_us = now - connection.idle_since_us
            # A request on a connection that the peer has closed would be lost, with no proof that it
            # never ran.  Such a connection is readable.
            if connection.idle_us <= limit and not connection.stream.readable():
                connection.written = connection.answered = False
                connection.limits = AnswerLimits(connection.stream.received, now)
                return connection
            self._discard(connection)
        if self.open >= self.budget and not self.evict():
            return None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as error:
            if error.errno not in NO_DESCRIPTOR_ERRNOS or not self.evict():
                self.log.error("no socket available for a next hop", error)
                return None
            return self._acquire(hop)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open += 1
        return Connection(Stream(self.loop, sock, h11.CLIENT), hop.address)

    def evict(self) -> bool:
        """Close the connection that has been idle longest; False if none is idle."""
        hops = [hop for hop in self._pooled if hop.idle]
        if not hops:
            return False
        self._discard(min(hops, key=lambda hop: hop.idle[0].idle_since_us).idle.pop(0))
        return True

    def _release(self, hop: Hop, connection: Connection) -> None:
        """Return the connection to the pool, unless it received bytes beyond its answer."""
        more = connection.stream.h11.trailing_data[0]
        if not hop.listed or connection.address != hop.address or more:
            self._discard(connection)
            return
        connection.stream.h11.start_next_cycle()
        connection.idle_since_us = self.loop.now_us()
        hop.idle.append(connection)
        self._pooled[hop] = None

    def _discard(self, connection: Connection) -> None:
        self.open -= 1
        connection.stream.close()

    # ------------------------------------------------------------ one request to a hop

    def _check_deadline(self, attempt: Branch | Probe) -> None:
        if attempt.cancelled or self.loop.now_us() >= attempt.until_us:
            raise Abandoned

    def _check_needed(self, attempt: Branch | Probe) -> None:
        """Check before each write until the last byte is written, which makes the branch an attempt."""
        self._check_deadline(attempt)
        if not attempt.may_begin(self.loop.now_us()):
            raise Unwanted("before it was written")

    def _send_request(
        self, connection: Connection, events: Callable[[], list[Any]], attempt: Branch | Probe
    ) -> Coroutine[Any]:
        """Connect if needed, write the request, and return the head of the answer."""
        stream = connection.stream
        if not connection.connected:
            until = min(self.loop.now_us() + self.connect_timeout_us, attempt.until_us)
            code = stream.sock.connect_ex(connection.address)
            if code == errno.EINPROGRESS:
                while not (yield Wait(stream.sock.fileno(), select.EPOLLOUT, until)):
                    self._check_needed(attempt)
                    if self.loop.now_us() >= until:
                        raise TimeoutError("no connection in time")
                code = stream.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, errno.errorcode.get(code, "connect"))
            connection.connected = True
        if isinstance(attempt, Branch) and self.departures.departed_since(attempt.worker) is not None:
            raise NextHopLeaving("told while the connection came up")  # nothing was written, so it never ran
        self._check_needed(attempt)
        stream.put(events())
        while not (yield from stream.flush(attempt.until_us, once=True)):
            self._check_needed(attempt)
        connection.written = True
        if isinstance(attempt, Branch):
            self.on_sent()
        while True:
            event = yield from self._next_event(connection, attempt)
            if isinstance(event, h11.Response):
                connection.answered = True
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionError("connection ended without an answer")
            connection.limits.count_interim()

    def _next_event(self, connection: Connection, attempt: Branch | Probe) -> Coroutine[Any]:
        """The next event of the answer, which is bounded in time and bytes."""
        stream = connection.stream
        while True:
            self._check_deadline(attempt)
            connection.limits.check_bytes(stream.received, self.memory.is_short)
            event = yield from stream.next_event(attempt.until_us)
            if event is not None:
                return event

    def _on_stale_reset(self, hop: Hop, idle_us: int) -> None:
        """A reused connection broke under a request: close the other idle ones to this next hop."""
        self._close_idle(hop)
        if self.idle_limit.connection_reset(hop.uid, idle_us, self.loop.now_us()):
            self.log.event(
                "idle connections are dropped early", idle_us=idle_us, limit_us=self.idle_limit.limit_us
            )

    def _outcome(
        self, error: Exception, hop: Hop, connection: Connection, attempt: Branch | Probe
    ) -> Outcome:
        """Outcome of a branch or probe that ended with an exception."""
        if attempt.cancelled:
            return Outcome.CANCELLED
        if not connection.written:  # a next hop starts only once it has the last byte
            return Outcome.NOT_SENT if isinstance(error, Unwanted) else Outcome.UNREACHABLE
        if isinstance(error, Abandoned):
            return Outcome.TIMED_OUT
        if isinstance(error, OSError) or connection.stream.ended:
            if connection.idle_us is not None and not connection.answered:
                self._on_stale_reset(hop, connection.idle_us)
            return Outcome.CONNECTION_LOST
        return Outcome.FAILURE

    def _report(self, text: Any) -> Report | None:
        """Parse a load report; None if it is malformed."""
        if isinstance(text, bytes):
            try:
                text = orjson.loads(text)
            except orjson.JSONDecodeError:
                return None
        return named_report(text, self.report_names)

    # ------------------------------------------------------------ branches

    def start(self, branch: Branch) -> bool:
        """Start a branch; False if there is no connection for it."""
        hop = self.hops.get(branch.worker)
        connection = self._acquire(hop) if hop is not None else None
        if hop is None or connection is None:
            return False
        task = self.loop.spawn(self._run(branch, hop, connection))
        branch.on_cancel(lambda: self.loop.wake(task))
        return True

    def _run(self, branch: Branch, hop: Hop, connection: Connection) -> Coroutine[None]:
        reusable = False
        try:
            reusable = yield from self._exchange(branch, connection)
        except Exception as error:
            outcome = self._outcome(error, hop, connection, branch)
            if branch.outcome is None and outcome not in (Outcome.CANCELLED, Outcome.TIMED_OUT):
                self.log.error("branch ended", error, next_hop=branch.worker, outcome=outcome)
            branch.end(self.loop.now_us(), outcome)
        finally:
            if reusable:
                self._release(hop, connection)
            else:
                self._discard(connection)

    def _exchange(self, branch: Branch, connection: Connection) -> Coroutine[bool]:
        """Send the request and read the answer; True if the connection may be reused."""
        payload = branch.transaction.payload
        assert isinstance(payload, Request)
        head = yield from self._send_request(
            connection, lambda: payload.events(branch.until_us - self.loop.now_us()), branch
        )
        headers = dict(head.headers)
        if head.status_code != 200:
            not_processed = head.status_code in (503, 504) and headers.get(b"x-not-processed") == b"1"
            report = self._report(headers.get(b"x-server-load"))
            outcome = Outcome.OVERLOADED if not_processed else Outcome.FAILURE
            if 400 <= head.status_code < 500 and head.status_code not in TRANSIENT_STATUSES:
                outcome = Outcome.REJECTED
            if not not_processed:
                self.log.event(
                    "branch refused", id=payload.id, next_hop=branch.worker, status=head.status_code
                )
            branch.end(self.loop.now_us(), outcome, report)
            return (yield from self._read_to_end(connection))
        lines, count = LineSplitter(MAX_LINE_BYTES, skip_empty=True), 0
        while branch.outcome is None:
            event = yield from self._next_event(connection, branch)
            more = isinstance(event, h11.Data)
            # The last line may lack its newline, so the end of the answer ends it.
            for line in lines.feed(bytes(event.data) if more else b"\n"):
                count += 1
                if count % LINES_PER_TURN == 0:
                    yield YIELD_TO_OTHERS
                    self._check_deadline(branch)
                if line.strip() and branch.outcome is None:
                    self._on_object(branch, payload.id, line, connection)
            if not more:
                ended = isinstance(event, h11.EndOfMessage)
                if not ended or branch.outcome is None:
                    raise ConnectionError("answer ended before its final object")
                return connection.stream.done
        return (yield from self._read_to_end(connection))

    def _on_object(self, branch: Branch, id: str, line: bytes, connection: Connection) -> None:
        """Handle one object of the answer; raises BadAnswer."""
        try:
            fields = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise BadAnswer(f"not JSON: {error}") from None
        if not isinstance(fields, dict):
            raise BadAnswer("not an object")
        # A late second answer on a reused connection, to another request, must not reach this caller.
        is_first_request = connection.idle_us is None
        if fields.get("id", id if is_first_request else None) != id:
            raise BadAnswer("answer to another request")
        state, load = fields.get("state"), self._report(fields.get("load"))
        now = self.loop.now_us()
        if state in ("started", "running"):
            if connection.limits.takes_progress(now):
                _report_progress(branch, state, fields.get("share"))
        elif state == "done":
            result = fields.get("result")
            if result is None:  # an empty body would be a made-up result
                raise BadAnswer("done without a result")
            branch.end(
                now, Outcome.SUCCESS, load,
                result.encode() if isinstance(result, str) else orjson.dumps(result),
            )
        elif state == "failed":
            branch.end(now, Outcome.FAILURE, load)
        elif state == "returned":
            branch.end(now, Outcome.OVERLOADED, load)
        elif state == "lost":
            branch.end(now, Outcome.CONNECTION_LOST, load)

    def _read_to_end(self, connection: Connection) -> Coroutine[bool]:
        """Read the rest of an answer whose outcome is known; True if the connection may be reused."""
        until = self.loop.now_us() + ANSWER_END_TIMEOUT_US
        while (
            self.loop.now_us() < until and not connection.limits.exceeded(connection.stream.received)
        ):
            event = yield from connection.stream.next_event(until)
            if isinstance(event, h11.EndOfMessage):
                return connection.stream.done
            if event is not None and not isinstance(event, h11.Data):
                return False
        return False

    # ------------------------------------------------------------ probes

    def probe(self, worker: str) -> None:
        """Probe a next hop; the result is put as a CheckResult event."""
        hop = self.hops.get(worker)
        connection = self._acquire(hop) if hop is not None and self.probing else None
        if hop is None or connection is None:
            self.put(ProbeResult(worker, Outcome.NOT_SENT))
            return
        self.loop.spawn(self._probe(hop, connection))

    def _probe(self, hop: Hop, connection: Connection) -> Coroutine[None]:
        began, reusable = self.loop.now_us(), False
        probe = Probe(began + self.probe_timeout_us)
        outcome, report = Outcome.FAILURE, None
        try:
            request = h11.Request(method="GET", target="/load", headers=[("Host", hop.uid)])
            head = yield from self._send_request(connection, lambda: [request, h11.EndOfMessage()], probe)
            body = b""
            while isinstance(event := (yield from self._next_event(connection, probe)), h11.Data):
                body += bytes(event.data)
                if len(body) > MAX_BODY_BYTES:
                    raise BadAnswer("load report too long")
            reusable = connection.stream.done
            if head.status_code == 200:
                outcome, report = Outcome.SUCCESS, self._report(body)
        except Exception as error:
            outcome = self._outcome(error, hop, connection, probe)
            self.log.error("probe ended", error, next_hop=hop.uid, outcome=outcome)
            if outcome is Outcome.TIMED_OUT:
                # The host may be unreachable: requests on its idle connections would be lost without an
                # error, where a failed connect proves that nothing has run.
                self._close_idle(hop)
        finally:
            self.put(ProbeResult(hop.uid, outcome, self.loop.now_us() - began, report))
            if reusable:
                self._release(hop, connection)
            else:
                self._discard(connection)


def _report_progress(branch: Branch, state: str, share: Any) -> None:
    if state == "started":
        branch.report_progress(Progress.STARTED, 0.0)
    elif isinstance(share, int | float):
        branch.report_progress(Progress.FRACTION_DONE, float(share))
