"""HTTP API of deferred jobs: accepts requests that are to wait, and serves the resource ``/jobs/``.

The coroutines run inside the coroutine of the caller's leg, which also releases the leg.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from ..core.loop import Coroutine
from ..core.transaction import Job
from ..waiting.handle import STATUS, JobHandle
from ..waiting.records import FinalAnswer
from ..waiting.scheduler import EndReason
from ..waiting.service import DeferredJobs
from ..waiting.store import StoreFailure
from .caller import Callers
from .http import BadRequest, Header, Request, retry_after
from .jobs import JobOptions, job_location, job_name, pack_request, parse_job_options, parse_prefer, shown
from .leg import Leg

# Not forwarded: a next hop must not defer the job again.
LOCAL_HEADERS = frozenset((b"x-not-before", b"x-after", b"prefer"))
JSON = (b"Content-Type", b"application/json")
STORE_BUSY_RETRY_US = 1_000_000  # Retry-After while the store's disk is behind


class JobsApi:
    """Accepts deferred jobs and answers for them.

    ``longest_us``: longest time that a job may wait; ``legs_share``: highest share of all caller legs that
    waiting requests may hold.
    """

    def __init__(self, callers: Callers, waiting: DeferredJobs, longest_us: int, legs_share: float) -> None:
        self.callers = callers
        self.waiting = waiting
        self.loop = callers.loop
        self.longest_us = longest_us
        self.legs_share = legs_share

    def job_options(self, headers: Mapping[bytes, bytes]) -> JobOptions | None:
        """Options of a deferred request, before its body is read; None for any other request."""
        return parse_job_options(headers)

    def has_job(self, name: str) -> bool:
        return self.waiting.is_known(name)

    # ------------------------------------------------------------ accepting jobs

    def submit(
        self, leg: Leg, options: JobOptions, job: Job, payload: Request, received_us: int,
        wait_us: int | None, limit_us: int,
    ) -> Coroutine[bool]:
        """Handle one deferred request; True if its leg may carry another."""
        payload.headers = [(n, v) for n, v in payload.headers if n.lower() not in LOCAL_HEADERS]
        latest = received_us + self.longest_us
        if wait_us is not None:
            give_up = min(received_us + wait_us, latest)
        else:
            give_up = latest if options.after else max(options.due_us, received_us) + limit_us
        if options.due_us > latest:
            return (yield from self._refuse(leg, EndReason.UNSATISFIABLE))
        if options.respond_async:
            return (yield from self._store(leg, job, payload, options.due_us, give_up, options.after))
        if not self._can_wait():
            return (yield from self._refuse(leg, EndReason.QUEUE_FULL))
        handle = self.waiting.submit_attached(
            payload.id, job, payload, options.due_us, give_up, options.after, lambda: self.callers.wake(leg)
        )
        if isinstance(handle, EndReason):
            return (yield from self._refuse(leg, handle))
        self.waiting.legs += 1
        try:
            while handle.transaction is None and handle.final is None:
                connected = yield from leg.stream.wait_connected()
                if not connected and handle.transaction is None and handle.final is None:
                    self.waiting.caller_left(payload.id, handle)
                    return False
        finally:
            self.waiting.legs -= 1
        if handle.transaction is not None:
            return (yield from self.callers.await_answer(leg, handle.transaction))
        final = handle.final
        assert final is not None
        self.callers.decider.request_counters.add_early_answer(job.cls, final.status)
        extra = retry_after(handle.retry_after_us)
        return (yield from self.callers.reply(leg, final.status, f"{final.reason}\n".encode(), extra))

    def _can_wait(self) -> bool:
        return self.waiting.legs < int(self.callers.budget * self.legs_share)

    def _refuse(self, leg: Leg, why: EndReason) -> Coroutine[bool]:
        extra: list[Header] = []
        if why in (EndReason.QUEUE_FULL, EndReason.SHUTTING_DOWN, EndReason.DEADLINE_UNREACHABLE):
            extra = retry_after(self.waiting.retry_after_us())
        return (yield from self.callers.reply(leg, STATUS[why], f"{why.value}\n".encode(), extra))

    def _store(
        self, leg: Leg, job: Job, payload: Request, due_us: int, give_up_us: int, after: tuple[str, ...]
    ) -> Coroutine[bool]:
        """Store the job and answer 202 once it is on disk."""
        if self.waiting.store is None:
            raise BadRequest(501, "Prefer: respond-async needs a store", unread=False)
        handle = self.waiting.submit_stored(
            payload.id, job, pack_request(payload), due_us, give_up_us, after, lambda: self.callers.wake(leg)
        )
        if isinstance(handle, EndReason):
            return (yield from self._refuse(leg, handle))
        if not (yield from self._await_stored(leg, handle)):
            return False
        if not handle.stored:
            why = handle.final.reason if handle.final is not None else ""
            extra = retry_after(STORE_BUSY_RETRY_US)
            return (yield from self.callers.reply(leg, 503, f"{why}\n".encode(), extra))
        extra = [(b"Location", job_location(payload.id)), (b"Preference-Applied", b"respond-async")]
        return (yield from self.callers.reply(leg, 202, b"", extra))

    def _await_stored(self, leg: Leg, handle: JobHandle) -> Coroutine[bool]:
        """Wait until the job is on disk; False if the caller disconnected (the job stays accepted)."""
        while not handle.stored and handle.final is None:
            connected = yield from leg.stream.wait_connected()
            if not connected and not handle.stored and handle.final is None:
                return False
        return True

    # ------------------------------------------------------------ the resource

    def serve_resource(
        self, leg: Leg, head: Any, headers: Mapping[bytes, bytes], path: bytes, unread: bool
    ) -> Coroutine[bool]:
        """GET and DELETE of ``/jobs/<id>``, and GET of the list at ``/jobs``."""
        if unread:
            raise BadRequest(400, "no body is wanted here")
        leg.proven = True
        name = job_name(path)
        if name is None:
            raise BadRequest(404, "no such job", unread=False)
        if not name:
            if head.method != b"GET":
                raise BadRequest(405, "GET only", unread=False)
            return (yield from self._list(leg, head.target.partition(b"?")[2]))
        if head.method == b"DELETE":
            return (yield from self._delete(leg, name))
        if head.method != b"GET":
            raise BadRequest(405, "GET or DELETE", unread=False)
        wait_s = parse_prefer(headers[b"prefer"]).wait_s if b"prefer" in headers else 0.0
        if wait_s and self.waiting.describe(name) is not None:
            if not (yield from self._await_change(leg, name, self.loop.now_us() + int(wait_s * 1e6))):
                return False
        return (yield from self._show(leg, name))

    def _show(self, leg: Leg, name: str, status: int = 200) -> Coroutine[bool]:
        job = self.waiting.describe(name)
        if job is None:
            if name not in self.waiting.answers or self.waiting.store is None:
                raise BadRequest(404, "no such job", unread=False)
            found: list[object] = []

            def read(result: object) -> None:
                found.append(result)
                self.callers.wake(leg)

            self.waiting.store.read_answer(name, read)
            while not found:
                if not (yield from leg.stream.wait_connected()):
                    return False
            if not isinstance(found[0], FinalAnswer):
                why = (
                    found[0].reason if isinstance(found[0], StoreFailure) else "its answer is not written yet"
                )
                extra = retry_after(STORE_BUSY_RETRY_US)
                return (yield from self.callers.reply(leg, 503, f"{why}\n".encode(), extra))
            job = shown(name, found[0])
        return (yield from self.callers.reply(leg, status, orjson.dumps(job), [JSON]))

    def _await_change(self, leg: Leg, name: str, until_us: int) -> Coroutine[bool]:
        """Wait for a change of the job until ``until_us``; False if the caller disconnected.

        Returns at once if too many legs are waiting already.
        """
        if not self._can_wait():
            return True
        changed: list[bool] = []

        def change() -> None:
            changed.append(True)
            self.callers.wake(leg)

        self.waiting.watch(name, change)
        self.waiting.legs += 1
        try:
            while not changed and self.loop.now_us() < until_us:
                if not (yield from leg.stream.wait_connected(until_us)):
                    return False
        finally:
            self.waiting.legs -= 1
            self.waiting.unwatch(name, change)
        return True

    def _delete(self, leg: Leg, name: str) -> Coroutine[bool]:
        """Cancel a job: 200 with its final state, 409 if it was already released to a next hop."""
        done = self.waiting.cancel(name)
        if done is None:
            raise BadRequest(404, "no such job", unread=False)
        if not done:
            return (yield from self._show(leg, name, 409))
        if name in self.waiting.answers:
            return (yield from self._show(leg, name))
        body = orjson.dumps({"id": name, "state": "cancelled"})
        return (yield from self.callers.reply(leg, 200, body, [JSON]))

    def _list(self, leg: Leg, query: bytes) -> Coroutine[bool]:
        """``/jobs?from=0&most=100``: unanswered jobs in order of arrival, and counts by state."""
        start, limit = 0, 100
        for item in query.split(b"&"):
            name, _, value = item.partition(b"=")
            if name in (b"from", b"most"):
                if not value.isdigit() or len(value) > 9:
                    raise BadRequest(400, f"{name.decode()}: not a number", unread=False)
                start, limit = (int(value), limit) if name == b"from" else (start, int(value))
        body = orjson.dumps(
            {"counts": self.waiting.counts(), "jobs": list(self.waiting.list_jobs(start, limit))}
        )
        return (yield from self.callers.reply(leg, 200, body, [JSON]))
