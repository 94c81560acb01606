"""``rushsaddle jobs``: deferred jobs of a running node, or of a store that no node has open."""

from __future__ import annotations

import http.client
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click
import orjson

from .waiting.records import FinalAnswer
from .waiting.store import Store, StoreError, StoreFailure

PAGE_SIZE = 500
TIMEOUT_S = 10.0


class JobsError(Exception):
    """A failure with a message of one line and the exit code of the command."""

    def __init__(self, text: str, code: int = 1) -> None:
        super().__init__(text)
        self.code = code


class RunningNode:
    """A node that serves at ``address`` (HOST:PORT)."""

    def __init__(self, address: str) -> None:
        self.address = address

    def call(self, method: str, path: str, headers: Mapping[str, str]) -> tuple[int, str, bytes]:
        """Status, content type and body of a response; raises JobsError."""
        try:
            connection = http.client.HTTPConnection(self.address, timeout=TIMEOUT_S)
            connection.request(method, path, headers=dict(headers))
            answer = connection.getresponse()
            body = answer.read()
            connection.close()
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise JobsError(f"{self.address}: {error}") from None
        return answer.status, answer.getheader("Content-Type") or "", body

    def ask(self, method: str, path: str) -> tuple[int, Any]:
        """Status and body of a response, decoded where it is JSON."""
        status, kind, body = self.call(method, path, {})
        if "json" in kind:
            return status, orjson.loads(body)
        return status, body.decode("latin-1").strip()

    def jobs(self) -> Iterator[dict[str, Any]]:
        """All jobs without an answer; raises JobsError."""
        start = 0
        while True:
            status, reply = self.ask("GET", f"/jobs?from={start}&most={PAGE_SIZE}")
            if status != 200:
                raise JobsError(f"{self.address}: {status}: no jobs wait at this node ({reply})")
            yield from reply["jobs"]
            if len(reply["jobs"]) < PAGE_SIZE:
                return
            start += PAGE_SIZE

    def show(self, name: str) -> dict[str, Any]:
        """One job, with or without an answer; raises JobsError."""
        status, reply = self.ask("GET", f"/jobs/{quote(name, safe='')}")
        if status != 200:
            raise JobsError(f"{name}: {status}: {reply}")
        shown: dict[str, Any] = reply
        return shown

    def cancel(self, name: str) -> dict[str, Any]:
        """Cancel a job that was not released; raises JobsError."""
        status, reply = self.ask("DELETE", f"/jobs/{quote(name, safe='')}")
        if status == 409:
            raise JobsError(f"{name}: {reply['state']}: too late to cancel")
        if status != 200:
            raise JobsError(f"{name}: {status}: {reply}")
        shown: dict[str, Any] = reply
        return shown


class OfflineStore:
    """A store opened by this command; raises JobsError where a node has it open."""

    def __init__(self, folder: str) -> None:
        self.results: list[object] = []
        try:
            self.store = Store(Path(folder), lambda: None)
            self.found = self.store.load()
        except StoreError as error:
            raise JobsError(str(error), 2) from None
        self.store.start()

    def wait(self, call: Callable[[Callable[[object], None]], None]) -> object:
        """Make a call of the store and return its result; raises JobsError after TIMEOUT_S seconds."""
        self.results.clear()
        call(self.results.append)
        until = time.monotonic() + TIMEOUT_S
        while not self.results:
            if time.monotonic() > until:
                raise JobsError(f"the store does not answer: {self.store.last_error or 'busy'}")
            time.sleep(0.002)
            self.store.deliver_results()
        return self.results[0]

    def jobs(self) -> Iterator[dict[str, Any]]:
        """All jobs without an answer, damaged ones last."""
        for name, job in self.found.jobs.items():
            yield {
                "id": name, "state": "released" if self.found.attempts.get(name) else "waiting",
                "due": job.due_us / 1e6 or None, "after": list(job.after), "give_up": job.give_up_us / 1e6,
                "status": None, "result": None,
            }
        for name, reason in self.found.corrupt.items():
            yield {"id": name, "state": "damaged", "due": None, "after": [], "give_up": None, "status": None,
                   "result": reason}

    def show(self, name: str) -> dict[str, Any]:
        """One job, with or without an answer; raises JobsError."""
        from .net.jobs import shown

        for job in self.jobs():
            if job["id"] == name:
                return job
        final = self.wait(lambda done: self.store.read_answer(name, done))
        if isinstance(final, FinalAnswer):
            return shown(name, final)
        raise JobsError(f"{name}: {final.reason if isinstance(final, StoreFailure) else 'no such job'}")

    def cancel(self, name: str) -> dict[str, Any]:
        """Cancel a job that was not released; raises JobsError."""
        job = self.show(name)
        if job["state"] != "waiting":
            raise JobsError(f"{name}: {job['state']}: too late to cancel")
        final = FinalAnswer("cancelled", 410, time.time_ns() // 1000, reason="cancelled")
        if self.wait(lambda done: self.store.record_answer(name, final, done)) is not True:
            raise JobsError(f"{name}: not cancelled")
        return {"id": name, "state": "cancelled"}


@dataclass(slots=True)
class JobSource:
    """Where a command reads jobs: exactly one of a node's address and a store's folder."""

    node: str | None
    store: str | None

    def open(self) -> RunningNode | OfflineStore:
        """Open the source; raises JobsError unless exactly one is named."""
        if (self.node is None) == (self.store is None):
            raise JobsError("name a running node with --node, or a store with --store", 2)
        return RunningNode(self.node) if self.node is not None else OfflineStore(self.store or "")


def _line(job: dict[str, Any]) -> str:
    due = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(job["due"])) if job.get("due") else "-"
    after = ",".join(job.get("after") or ()) or "-"
    return f"{job['id']}  {job['state']}  due {due}  after {after}"


def fail(text: object, code: int = 2) -> None:
    """Print one line on standard error and exit."""
    print(f"rushsaddle: {text}", file=sys.stderr)
    sys.exit(code)


def _run(work: Callable[[], None]) -> None:
    try:
        work()
    except JobsError as error:
        fail(error, error.code)


@click.group()
@click.option("--node", metavar="HOST:PORT", help="Address of a running node.")
@click.option("--store", metavar="FOLDER", type=click.Path(), help="A store that no node has open.")
@click.pass_context
def jobs(context: click.Context, node: str | None, store: str | None) -> None:
    """Deferred jobs: list, show, cancel.

    Example: rushsaddle jobs --node 127.0.0.1:7070 list
    """
    context.obj = JobSource(node, store)


@jobs.command("list")
@click.option("--json", "as_json", is_flag=True, help="One line of JSON per job.")
@click.pass_obj
def list_(source: JobSource, as_json: bool) -> None:
    """List the jobs without a final answer, in order of arrival.

    Example: rushsaddle jobs --store /var/lib/rushsaddle list --json
    """

    def work() -> None:
        for job in source.open().jobs():
            click.echo(orjson.dumps(job) if as_json else _line(job))

    _run(work)


@jobs.command()
@click.argument("name", metavar="ID")
@click.option("--json", "as_json", is_flag=True, help="JSON output.")
@click.pass_obj
def show(source: JobSource, name: str, as_json: bool) -> None:
    """Show one job, with or without a final answer.

    Example: rushsaddle jobs --node 127.0.0.1:7070 show reminder-1
    """

    def work() -> None:
        job = source.open().show(name)
        if as_json:
            click.echo(orjson.dumps(job))
        else:
            for key, value in job.items():
                click.echo(f"{key}: {value if value is not None else '-'}")

    _run(work)


@jobs.command()
@click.argument("name", metavar="ID")
@click.option("--json", "as_json", is_flag=True, help="JSON output.")
@click.pass_obj
def cancel(source: JobSource, name: str, as_json: bool) -> None:
    """Cancel a job that is not released yet.

    Example: rushsaddle jobs --node 127.0.0.1:7070 cancel reminder-1
    """

    def work() -> None:
        reply = source.open().cancel(name)
        click.echo(orjson.dumps(reply) if as_json else f"{name}: cancelled")

    _run(work)
