"""Caller legs: connections from clients, and the requests that arrive on them.

Each leg is one coroutine that owns its connection; ``_run_leg`` closes it.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import h11
import orjson

from tansygw.interface import DEFAULT_POLICY

from ..core.admission import Limiter, Rejection
from ..core.counters import CallerCounters
from ..core.decider import Decider
from ..core.lifecycle import Lifecycle, Phase
from ..core.log import Log
from ..core.loop import YIELD_TO_OTHERS, Coroutine, Loop, Task, Wait
from ..core.memory_budget import MemoryBudget
from ..core.transaction import Answer, Transaction, Verdict
from . import eviction
from .http import (
    MAX_BODY_BYTES,
    NO_DESCRIPTOR_ERRNOS,
    BadRequest,
    Header,
    Request,
    ambiguous_framing,
    end_to_end_headers,
    parse_fields,
    retry_after,
    status_of,
)
from .id_agreement import agree
from .job_headers import MAX_TIMEOUT_S, ClassDeadline, parse_job
from .leg import JobHandler, Leg, Successor
from .listener import Listener
from .nexthop import NextHops
from .request_reader import RequestReader
from .shutdown import ShutdownSchedule
from .startup_hold import HoldOutcome, StartupHold
from .stream import LINGER_US, InputDiscarded, Stream

IDLE_TIMEOUT_US = 75_000_000  # between two requests of a leg
# Time for a whole request, the first counted from the connect, a later one from its start: valid callers on
# slow lines need 2 s, and a request that never ends must be answered within 3 s.
REQUEST_TIMEOUT_US = 2_600_000
MAX_ACCEPTS_PER_TURN = 16  # so that a burst of connects does not block the loop
ERROR_PAUSE_US = 50_000  # pause of a leg after an invalid request
WRITE_TIMEOUT_US = 10_000_000  # a caller must read its answer within this time
RELIEF_INTERVAL_US = 50_000  # between two looks at the memory in use
ACCEPT_RETRY_US = 20_000  # pause of accepting when no descriptor is available
DRAIN_ACCEPT_US = 500_000  # after SIGTERM, new connections keep arriving for a moment
DRAIN_IDLE_US = 500_000  # first request of a leg accepted while draining
# Idle legs are closed one by one in this span after a change of phase; an answer tells most callers before.
IDLE_CLOSE_SPAN_US = {Phase.PAUSED: (500_000, 1_500_000), Phase.ENDING: (200_000, 600_000)}


class Callers:
    """Accepts caller connections, reads their requests and writes the answers."""

    def __init__(
        self, loop: Loop, log: Log, decider: Decider, hops: NextHops, classes: Mapping[str, ClassDeadline],
        tenants: Mapping[str, int], budget: int, lifecycle: Lifecycle, counters: CallerCounters,
        memory: MemoryBudget,
    ) -> None:
        self.loop = loop
        self.log = log
        self.decider = decider
        self.hops = hops
        self.classes = classes
        self.tenants = tenants
        self.counters = counters
        self.memory = memory
        self.budget = budget  # most legs at a time
        self.legs: dict[Leg, None] = {}
        self.jobs_api: JobHandler | None = None  # None: deferred jobs are disabled
        self.limiter: Limiter | None = None
        self.successor: Successor | None = None  # serves already, and takes over the legs when we end
        self.lifecycle = lifecycle
        self.shutdown: ShutdownSchedule | None = None  # set by the signal to end
        lifecycle.watch(self._on_phase_change)
        self.reader = RequestReader(loop, memory, lambda: self._handing_over, self._hand_over)
        self.startup = StartupHold(loop, lifecycle, self.wake)
        self.max_retry_after_us = 0  # highest Retry-After of an answer during the start; 0: none is sent
        self._listener: Listener | None = None
        self._acceptor: Task | None = None

    # ------------------------------------------------------------ accepting

    def listen(self, listener: Listener) -> None:
        """Accept connections from now on, and own the listener; no effect where that was done before."""
        if self._acceptor is not None:
            return
        self._listener = listener
        self._acceptor = self.loop.spawn(self._accept(listener))

    def _accept(self, listener: Listener) -> Coroutine[None]:
        while self._listener is listener:
            yield Wait(listener.sock.fileno(), select.EPOLLIN)
            if self._listener is not listener:
                return
            if len(self.legs) >= self.budget or not self._accept_some(listener.sock, MAX_ACCEPTS_PER_TURN):
                self._evict()
                if len(self.legs) < self.budget:  # the system, not the budget, is out of descriptors
                    self.hops.evict()
                yield Wait(until_us=self.loop.now_us() + ACCEPT_RETRY_US)

    def _accept_some(self, listener: socket.socket, limit: int) -> bool:
        """Accept up to ``limit`` connections within the budget; False if no descriptor is available."""
        for _ in range(min(limit, self.budget - len(self.legs))):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in NO_DESCRIPTOR_ERRNOS:
                    return False
                continue  # that connection was aborted in the backlog
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.adopt(sock, proven=False)
        return True

    def adopt(self, sock: socket.socket, proven: bool, elapsed_us: int = 0, unread: bytes = b"") -> None:
        """Own a connection, newly accepted or handed over by another process with its unread bytes.

        ``elapsed_us``: the time that has passed there for the request that ``unread`` begins, or, before the
        first valid request, since the connect.
        """
        sock.setblocking(False)
        leg = Leg(Stream(self.loop, sock, h11.SERVER, self.memory), self.loop.now_us() - elapsed_us)
        leg.proven = proven
        if unread:
            leg.stream.h11.receive_data(unread)
            leg.resumed = True
        else:
            leg.stream.last_received_us = leg.opened_us
        self.legs[leg] = None
        self.counters.accepted += 1
        leg.task = self.loop.spawn(self._run_leg(leg))

    def set_successor(self, successor: Successor | None) -> None:
        """Set the process that takes over the legs when this one ends."""
        self.successor = successor
        self._on_phase_change()

    @property
    def incomplete_requests(self) -> int:
        """Number of requests of which a part was read."""
        return sum(leg.reading_request for leg in self.legs)

    @property
    def _handing_over(self) -> bool:
        """Legs are handed over to the successor when between requests or within an incomplete one."""
        return self.successor is not None and self.lifecycle.phase is Phase.ENDING

    def _hand_over(self, leg: Leg, until_us: int) -> bool:
        """Pass the descriptor to the successor; the leg ends here without closing the connection.

        ``until_us``: end of the time for its request.  False if the leg stays: no successor can take it.
        """
        if not self._handing_over or leg.evicted or leg.stream.overrun or self.loop.now_us() >= until_us:
            return False
        unread = leg.unread
        assert self.successor is not None
        if unread is None or not self.successor.can_take(unread):
            return False
        sock = leg.stream.sock
        self.loop.unregister(sock.fileno())
        elapsed_us = max(0, self.loop.now_us() - leg.request_since_us)
        self.successor.hand_over(socket.socket(fileno=sock.detach()), leg.proven, elapsed_us, unread)
        return True

    def _evict(self) -> None:
        """Close legs to free descriptors; ``legs`` is in order of last use."""
        self._close(eviction.choose(self.legs, self.loop.now_us(), self.budget))

    def _close(self, legs: list[Leg]) -> None:
        for leg in legs:
            leg.evicted = True
            self.counters.evicted += 1
            self.wake(leg)

    def relieve_memory(self) -> Coroutine[None]:
        """Close legs that their callers have stalled, as long as memory is short, and let others have it."""
        while True:
            yield Wait(until_us=self.loop.now_us() + RELIEF_INTERVAL_US)
            if self.memory.is_short:
                self._close(eviction.choose_stalled(self.legs, self.loop.now_us()))
                self.memory.grant()

    def stop(self) -> Coroutine[None]:
        """Accept what is pending, then close the listener; at once if inherited, since others serve it."""
        listener = self._listener
        if listener is None:
            return
        if not listener.inherited:
            until = max(self.loop.now_us() + DRAIN_ACCEPT_US, self.serve_until_us)
            while self.loop.now_us() < until:
                yield Wait(until_us=until)
            self._accept_some(listener.sock, self.budget)
        self._listener = None
        self.loop.unregister(listener.sock.fileno())
        listener.close()

    def _on_phase_change(self) -> None:
        """After a change of phase or successor: schedule closing or handover of idle legs."""
        now = self.loop.now_us()
        if self.lifecycle.phase is Phase.ENDING and self.shutdown is None:
            longest = max((c.deadline_us for c in self.classes.values()), default=0)
            self.shutdown = ShutdownSchedule.from_signal(now, longest)
        if self._handing_over:
            for leg in self.legs:
                if leg.idle or leg.reading_request:
                    self.wake(leg)
            return
        span = IDLE_CLOSE_SPAN_US.get(self.lifecycle.phase)
        idle = [leg for leg in self.legs if leg.idle]
        for n, leg in enumerate(idle):
            leg.close_us = None
            if span is not None:
                leg.close_us = max(now, self.serve_until_us) + span[0] + (span[1] - span[0]) * n // len(idle)
            self.wake(leg)

    @property
    def serve_until_us(self) -> int:
        """End of the time for which an ending process without a successor goes on serving; else 0."""
        if self.shutdown is None or self.successor is not None or not self.lifecycle.started:
            return 0
        return self.shutdown.serve_until_us

    # ------------------------------------------------------------ one leg

    def _run_leg(self, leg: Leg) -> Coroutine[None]:
        try:
            while (yield from self._request(leg)):
                self.legs[leg] = self.legs.pop(leg)
                if leg.stream.unparsed:  # pipelined input: other tasks first
                    yield YIELD_TO_OTHERS
        except OSError:
            pass  # the caller disconnected
        finally:
            del self.legs[leg]
            leg.stream.close()
            if self._acceptor is not None and len(self.legs) == self.budget - 1:
                self.loop.wake(self._acceptor)

    def _request(self, leg: Leg) -> Coroutine[bool]:
        """Handle one request and its answer; True if the leg may carry another."""
        stream = leg.stream
        if not stream.unparsed and not stream.overrun and not (yield from self._idle(leg)):
            return False
        if leg.proven and not leg.resumed:
            leg.request_since_us = self.loop.now_us()
        leg.resumed = False
        until = leg.request_since_us + REQUEST_TIMEOUT_US
        try:
            head, raw_head = yield from self.reader.head(leg, until)
            if isinstance(head, h11.ConnectionClosed):
                return False
            if head is None:
                if self._hand_over(leg, until):
                    return False
                raise BadRequest(408, "the request did not come whole")
            if why := ambiguous_framing(raw_head):
                raise BadRequest(400, why)
            serving = self._serve(leg, head, raw_head, until)
            del head, raw_head  # thousands of clients may stop within a body
            try:
                return (yield from serving)
            finally:
                self.reader.release(leg)
        except InputDiscarded:
            yield from stream.linger()
            return False
        except BadRequest as bad:
            status, text, close = bad.status, f"{bad}\n", bad.unread
        except h11.RemoteProtocolError as error:
            if stream.ended:
                self.counters.left += 1
                return False  # the caller disconnected within a request
            status, text, close = error.error_status_hint, f"{error}\n", True
        elapsed_us = self.loop.now_us() - leg.request_since_us
        self.counters.reject(status, text.rstrip("\n"), stream.received, elapsed_us)
        if not (yield from self.reply(leg, status, text.encode(), close=close)):
            return False
        yield Wait(until_us=self.loop.now_us() + ERROR_PAUSE_US)
        return leg.proven or self.loop.now_us() < until

    def _idle(self, leg: Leg) -> Coroutine[bool]:
        """Wait for the first byte of a request; False if the leg is to be closed without one."""
        since = leg.idle_since_us = self.loop.now_us()
        leg.idle = True
        leg.close_us = None
        try:
            while not self._handing_over and not (
                yield Wait(leg.stream.sock.fileno(), select.EPOLLIN, self._idle_until(leg, since))
            ):
                expired = leg.evicted or self.loop.now_us() >= self._idle_until(leg, since)
                if expired and not leg.stream.readable():
                    return False
            return True
        finally:
            leg.idle = leg.evicted = False

    def _idle_until(self, leg: Leg, since: int) -> int:
        until = since + IDLE_TIMEOUT_US if leg.proven else leg.opened_us + REQUEST_TIMEOUT_US
        if self.lifecycle.draining:
            until = min(until, leg.close_us or max(since, self.serve_until_us) + DRAIN_IDLE_US)
        return until

    def _serve(self, leg: Leg, head: Any, raw_head: bytes, until_us: int) -> Coroutine[bool]:
        """Handle a request whose head was read."""
        stream = leg.stream
        headers: dict[bytes, bytes] = {}
        for name, value in head.headers:
            headers.setdefault(name, value)
        length = headers.get(b"content-length")
        chunked = b"transfer-encoding" in headers
        unread = chunked or length not in (None, b"0")
        path = head.target.partition(b"?")[0]
        if path == b"/healthz":
            if head.method not in (b"GET", b"HEAD"):
                raise BadRequest(405, "GET only", unread)
            leg.proven = not unread
            return (
                yield from self.reply(leg, 200 if self.lifecycle.accepts_work else 503, b"", close=unread)
            )
        if self.limiter is not None and path == b"/limits" and head.method == b"GET" and not unread:
            leg.proven = True
            json = [(b"Content-Type", b"application/json")]
            return (yield from self.reply(leg, 200, orjson.dumps(self.limiter.snapshot()), json))
        api = self.jobs_api
        if api is not None and (path == b"/jobs" or path.startswith(b"/jobs/")):
            return (yield from api.serve_resource(leg, head, headers, path, unread))
        cls = self.classes.get(path[1:].partition(b"/")[0].decode("latin-1"))
        if cls is None:
            raise BadRequest(404, "no such class", unread)
        if head.method != b"POST":
            raise BadRequest(405, "POST only", unread)
        if length is None and not chunked:
            raise BadRequest(411, "a length is needed")
        if length is not None and int(length) > MAX_BODY_BYTES:
            raise BadRequest(413, "too long a body")
        options = api.job_options(headers) if api is not None else None
        longest_s = api.longest_us / 1e6 if api is not None and options is not None else MAX_TIMEOUT_S
        job, wait_us = parse_job(headers, cls.number, self.tenants, longest_s)
        name = headers[b"x-request-id"].decode("ascii")
        method, target, size = head.method, head.target, None if chunked else int(length or 0)
        # Parsed headers take several times their bytes, so they aren't kept while the body is awaited.
        is_whole = size is not None and len(stream.unparsed) >= size
        fields = head.headers.raw_items() if is_whole else None
        del head, headers
        body = yield from self.reader.body(leg, raw_head, size, until_us)
        if body is None:
            return False
        received = self.loop.now_us()
        if api is None or options is None:
            # The caller may have disconnected while its request was queued on this leg or in the backlog.
            if not (yield from stream.wait_quiet()):
                self.counters.left += 1
                self.log.event("left before its request was read", id=name)
                return False
        self._check_id(name, cls)
        if not self.lifecycle.started:
            leg.proven = True
            caller_waits_us = cls.deadline_us if wait_us is None else wait_us
            outcome = yield from self.startup.hold(leg, received + caller_waits_us)
            if outcome is HoldOutcome.CALLER_LEFT:
                self.counters.left += 1
                self.log.event("left before the node could serve", id=name)
                return False
            if outcome is HoldOutcome.REJECT:
                return (yield from self._reject_while_starting(leg, cls))
            self._check_id(name, cls)
        fields = end_to_end_headers(fields if fields is not None else parse_fields(raw_head))
        payload = Request(name, method, target, fields, body)
        leg.proven = True
        if api is not None and options is not None:
            return (yield from api.submit(leg, options, job, payload, received, wait_us, cls.deadline_us))
        if self.decider.must_run_once(cls.number) and not (
            yield from agree(self.loop, self.decider.ids, leg, name)
        ):
            raise self._known_id(cls, "a request at another process of this node")
        wait_us = cls.deadline_us if wait_us is None else wait_us
        policy, permit = DEFAULT_POLICY, None
        if self.limiter is not None:
            admission = self.limiter.admit(cls.number, path, min(wait_us, cls.deadline_us), job.repeat)
            if isinstance(admission, Rejection):
                self.decider.ids.withdraw(name)
                self.decider.request_counters.add_early_answer(cls.number, admission.status)
                extra = retry_after(admission.retry_after_us)
                return (yield from self.reply(leg, admission.status, f"{admission.reason}\n".encode(), extra))
            wait_us = min(wait_us, admission.timeout_us)
            policy, permit = admission.policy, admission.permit
        until = received + wait_us
        if self.shutdown is not None:
            until = min(until, max(received, self.shutdown.answer_by_us))
        transaction = self.decider.submit(
            name, job, payload, received, until, lambda: self.wake(leg), policy=policy, permit=permit,
        )
        return (yield from self.await_answer(leg, transaction))

    def _check_id(self, name: str, cls: ClassDeadline) -> None:
        """Raises BadRequest if the id is of an open request, a deferred job, or one that may have run."""
        api, ids = self.jobs_api, self.decider.ids
        is_open = ids.is_open(name) or (api is not None and api.has_job(name))
        if is_open or ids.has_run(name):
            raise self._known_id(cls, "an open request" if is_open else "a request that may have run")

    def _known_id(self, cls: ClassDeadline, whose: str) -> BadRequest:
        self.decider.request_counters.add_early_answer(cls.number, 409)
        return BadRequest(409, f"X-Request-ID: the id of {whose}", unread=False)

    def _reject_while_starting(self, leg: Leg, cls: ClassDeadline) -> Coroutine[bool]:
        self.decider.request_counters.add_early_answer(cls.number, 503)
        extra = retry_after(min(self.startup.retry_after_us, self.max_retry_after_us))
        return (yield from self.reply(leg, 503, b"the node is starting\n", extra))

    def await_answer(self, leg: Leg, transaction: Transaction) -> Coroutine[bool]:
        """Wait for the final answer and send it; the transaction ends if the caller disconnects."""
        while transaction.answer is None:
            connected = yield from leg.stream.wait_connected()
            if not connected and transaction.answer is None:
                transaction.abandon()
                self._log(transaction)
                return False
        self._log(transaction)
        status, extra = _http(transaction.answer)
        return (yield from self.reply(leg, status, transaction.answer.result, extra))

    def wake(self, leg: Leg) -> None:
        if leg.task is not None:
            self.loop.wake(leg.task)

    def reply(
        self, leg: Leg, status: int, body: bytes, extra: list[Header] | None = None, close: bool = False
    ) -> Coroutine[bool]:
        """Send an answer; True if the leg may carry another request.  ``close``: announce and close it."""
        stream = leg.stream
        headers = [(b"Content-Length", b"%d" % len(body)), *(extra or [])]
        stays = self._handing_over or self.loop.now_us() < self.serve_until_us
        if close or (self.lifecycle.draining and not stays):
            headers.append((b"Connection", b"close"))
        events: list[Any] = [h11.Response(
            status_code=status, reason=HTTPStatus(status).phrase.encode(), headers=headers
        )]
        if body:
            events.append(h11.Data(data=body))
        stream.put([*events, h11.EndOfMessage()])
        until = self.loop.now_us() + WRITE_TIMEOUT_US
        while not (yield from stream.flush(until)):
            if self.loop.now_us() >= until or (leg.evicted and not leg.proven):
                return False
        if stream.h11.our_state is h11.MUST_CLOSE:
            yield from stream.linger(0 if leg.evicted else LINGER_US)
            return False
        while stream.h11.their_state is h11.SEND_BODY:  # the end event of a request without a body
            yield from stream.next_event(until)
        if not stream.done:
            return False
        stream.h11.start_next_cycle()
        return True

    def _log(self, transaction: Transaction) -> None:
        answer = transaction.answer
        self.log.event(
            "transaction", id=transaction.name, cls=transaction.job.cls,
            answer=answer.verdict.value if answer is not None else "gone",
            reason=answer.reason.value if answer is not None and answer.reason is not None else None,
            ms=(self.loop.now_us() - transaction.received_us) // 100 / 10,
            branches=[
                [b.worker, b.outcome.value if b.outcome is not None else "out",
                 (b.started_us - transaction.received_us) // 100 / 10]
                for b in transaction.branches
            ],
        )


def _http(answer: Answer) -> tuple[int, list[Header]]:
    if answer.verdict is Verdict.SERVED:
        return 200, [(b"Content-Type", b"application/octet-stream")]
    if answer.verdict is Verdict.BUSY:
        return 503, retry_after(answer.retry_after_us)
    return status_of(answer), []
