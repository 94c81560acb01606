"""Store of deferred jobs: SQLite in WAL mode, used by one thread; many calls share one commit and one fsync.

Calls are made from the event loop's thread and never block.  They are queued, and their ``done`` callback is
run by ``deliver_results``, again in the event loop's thread, once the commit is on disk or has failed.
``notify`` is called from the store's thread when there are results to deliver.
"""

from __future__ import annotations

import fcntl
import os
import sqlite3
import threading
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from .records import (
    AttemptRecord,
    CorruptRecord,
    FinalAnswer,
    StoredJob,
    decode_record,
    encode_record,
    record_checksum,
    verify_content,
)

SCHEMA_VERSION = 1  # a store with a newer version is refused and not changed
MAX_QUEUED_CALLS = 4096  # new jobs are rejected while more calls wait for the disk
MAX_BATCH_CALLS = 512  # per commit
RETRY_INTERVAL_S = 1.0  # between attempts at writes that must not be lost
MAX_DELETED_ANSWERS = 1000  # per commit
DATABASE_FILE = "waiting.sqlite"
TABLES = """
create table if not exists jobs(name text primary key, content blob not null, seal integer not null,
    payload blob not null, payload_seal integer not null);
create table if not exists sends(name text not null, number integer not null, content blob not null,
    seal integer not null, primary key(name, number)) without rowid;
create table if not exists met(name text not null, other text not null, primary key(name, other)) without
rowid; create table if not exists answers(name text primary key, at_us integer not null, content blob not
null,
    seal integer not null);
create index if not exists answers_at on answers(at_us);
"""

Work = Callable[[sqlite3.Connection], object]


class StoreError(Exception):
    """The store cannot be used; the message is one line."""


class StoredState:
    """The content of a store at start.

    Unanswered jobs, their attempts, their dependencies already met, answers, and corrupt records by job name.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, StoredJob] = {}
        self.attempts: dict[str, list[AttemptRecord]] = {}
        self.met_dependencies: dict[str, set[str]] = {}
        self.answers: dict[str, tuple[int, bool]] = {}  # time and whether it was served
        self.corrupt: dict[str, str] = {}


class StoreCall:
    """One queued operation on the database with its callback."""

    __slots__ = ("done", "must_write", "result", "work")

    def __init__(self, work: Work, done: Callable[[object], None], must_write: bool) -> None:
        self.work = work
        self.done = done
        self.must_write = must_write  # retried until written
        self.result: object = None


class StoreFailure:
    """The result of a call that failed."""

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Store:
    """Access to the store in ``folder``; raises StoreError where it cannot be opened."""

    def __init__(self, folder: Path, notify: Callable[[], None]) -> None:
        self.folder = folder
        self.last_error = ""  # of the last commit; empty after a successful one
        self._notify = notify
        self._queue: deque[StoreCall] = deque()
        self._condition = threading.Condition()
        self._finished: deque[StoreCall] = deque()
        self._ending = False
        self._thread: threading.Thread | None = None
        self._lock = self._take_lock()
        try:
            self._db = self._open()
        except StoreError:
            os.close(self._lock)
            raise

    # ------------------------------------------------------------ opening

    def _take_lock(self) -> int:
        """Lock the folder for this process: two processes would send the same jobs twice."""
        try:
            lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        except OSError as error:
            raise StoreError(f"{self.folder}: {error.strerror}") from None
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise StoreError(f"{self.folder}: in use by another process") from None
        return lock

    def _open(self) -> sqlite3.Connection:
        path = self.folder / DATABASE_FILE
        try:
            db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, cached_statements=64)
            (version,) = db.execute("pragma user_version").fetchone()
            if version > SCHEMA_VERSION:
                db.close()
                raise StoreError(
                    f"{path}: written by a newer version: format {version}, not {SCHEMA_VERSION}"
                )
            db.execute("pragma journal_mode=wal")
            db.execute("pragma synchronous=full")
            db.execute("begin immediate")  # fails at once in a read-only folder
            for statement in TABLES.split(";"):
                db.execute(statement)
            db.execute(f"pragma user_version={SCHEMA_VERSION}")
            db.execute("commit")
            folder = os.open(self.folder, os.O_RDONLY)
            os.fsync(folder)
            os.close(folder)
        except (sqlite3.Error, OSError) as error:
            raise StoreError(f"{path}: {error}") from None
        return db

    def load(self) -> StoredState:
        """Read everything that is stored; call it before ``start``."""
        found = StoredState()
        db = self._db
        try:
            for name, content, checksum in db.execute("select name, content, seal from jobs order by rowid"):
                try:
                    found.jobs[name] = decode_record(StoredJob, "job", name, content, checksum)
                except CorruptRecord as error:
                    found.corrupt[name] = str(error)
            for name, _, content, checksum in db.execute("select name, number, content, seal from sends"):
                try:
                    found.attempts.setdefault(name, []).append(
                        decode_record(AttemptRecord, "send", name, content, checksum)
                    )
                except CorruptRecord as error:
                    found.corrupt[name] = str(error)
            for name, other in db.execute("select name, other from met"):
                found.met_dependencies.setdefault(name, set()).add(other)
            for name, at, content, checksum in db.execute("select name, at_us, content, seal from answers"):
                try:
                    found.answers[name] = (
                        at, decode_record(FinalAnswer, "answer", name, content, checksum).state == "served"
                    )
                except CorruptRecord:
                    found.answers[name] = (at, False)
        except sqlite3.Error as error:
            raise StoreError(f"{self.folder / DATABASE_FILE}: {error}") from None
        for name in found.corrupt:
            found.jobs.pop(name, None)
        return found

    def start(self) -> None:
        """Start the store's thread."""
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Write the queued calls, end the thread and release the lock."""
        if self._thread is not None:
            with self._condition:
                self._ending = True
                self._condition.notify()
            self._thread.join()
        self._db.close()
        os.close(self._lock)

    # ------------------------------------------------------------ calls

    @property
    def queued(self) -> int:
        """The number of calls that wait for the disk."""
        return len(self._queue)

    @property
    def full(self) -> bool:
        """Whether new jobs are rejected because too many calls wait for the disk."""
        return len(self._queue) >= MAX_QUEUED_CALLS

    def add_job(self, job: StoredJob, payload: bytes, done: Callable[[object], None]) -> bool:
        """Write a new job; False if the queue is full.  ``done`` is given None or StoreFailure.

        ``payload`` is encoded by the codec of the protocol that received the job.
        """
        if self.full:
            return False
        content = encode_record(job)
        row = (
            job.name, content, record_checksum("job", job.name, content), payload,
            record_checksum("payload", job.name, payload),
        )
        self._enqueue(lambda db: db.execute("insert into jobs values(?, ?, ?, ?, ?)", row) and None, done)
        return True

    def read_job(self, name: str, done: Callable[[object], None]) -> None:
        """Read a job for release; ``done`` is given the job and its payload, or StoreFailure."""

        def work(db: sqlite3.Connection) -> tuple[StoredJob, bytes] | StoreFailure:
            row = db.execute(
                "select content, seal, payload, payload_seal from jobs where name = ?", (name,)
            ).fetchone()
            if row is None:
                return StoreFailure("its record is gone")
            try:
                return (
                    decode_record(StoredJob, "job", name, *row[:2]),
                    verify_content("payload", name, *row[2:]),
                )
            except CorruptRecord as error:
                return StoreFailure(str(error))

        self._enqueue(work, done, must_write=True, first=True)

    def delete_job(self, name: str) -> None:
        """Delete a job that was rejected because its write failed, in case it reached the disk after all."""
        self._enqueue(
            lambda db: db.execute("delete from jobs where name = ?", (name,)) and None, _ignore_result,
            must_write=True,
        )

    def record_attempt(self, name: str, attempt: AttemptRecord, done: Callable[[object], None]) -> None:
        """Record that an attempt may run from now on; queued first, as a released job waits for it."""
        content = encode_record(attempt)
        row = (name, attempt.number, content, record_checksum("send", name, content))
        self._enqueue(
            lambda db: db.execute("insert into sends values(?, ?, ?, ?)", row) and None, done, first=True
        )

    def record_dependency_met(self, name: str, other: str) -> None:
        """Record that dependency ``other`` of a job was served."""
        self._enqueue(
            lambda db: db.execute("insert or ignore into met values(?, ?)", (name, other)) and None,
            _ignore_result, must_write=True,
        )

    def record_answer(self, name: str, final: FinalAnswer, done: Callable[[object], None]) -> None:
        """Write a final answer; ``done`` is given True, or False if the job already has one."""
        content = encode_record(final)
        row = (name, final.at_us, content, record_checksum("answer", name, content))

        def work(db: sqlite3.Connection) -> bool:
            first = db.execute("insert or ignore into answers values(?, ?, ?, ?)", row).rowcount == 1
            for table in ("jobs", "sends", "met"):
                db.execute(f"delete from {table} where name = ?", (name,))
            return first

        self._enqueue(work, done, must_write=True)

    def read_answer(self, name: str, done: Callable[[object], None]) -> None:
        """Read a final answer; ``done`` is given FinalAnswer, None if there is none, or StoreFailure."""

        def work(db: sqlite3.Connection) -> FinalAnswer | StoreFailure | None:
            row = db.execute("select content, seal from answers where name = ?", (name,)).fetchone()
            try:
                return decode_record(FinalAnswer, "answer", name, *row) if row else None
            except CorruptRecord as error:
                return StoreFailure(str(error))

        self._enqueue(work, done)

    def delete_answers_before(self, before_us: int, done: Callable[[object], None]) -> None:
        """Delete the oldest answers before ``before_us``, bounded per call; ``done`` is given their names."""

        def work(db: sqlite3.Connection) -> list[str]:
            rows = db.execute(
                "select name from answers where at_us < ? order by at_us limit ?",
                (before_us, MAX_DELETED_ANSWERS),
            ).fetchall()
            db.executemany("delete from answers where name = ?", rows)
            return [name for (name,) in rows]

        self._enqueue(work, done)

    def _enqueue(
        self, work: Work, done: Callable[[object], None], must_write: bool = False, first: bool = False
    ) -> None:
        with self._condition:
            if first:
                self._queue.appendleft(StoreCall(work, done, must_write))
            else:
                self._queue.append(StoreCall(work, done, must_write))
            self._condition.notify()

    def deliver_results(self) -> int:
        """Run the callbacks of finished calls in the event loop's thread; return their number."""
        count = 0
        while self._finished:
            call = self._finished.popleft()
            call.done(call.result)
            count += 1
        return count

    # ------------------------------------------------------------ the thread

    def _run(self) -> None:
        pending: list[StoreCall] = []  # calls that must be written and failed
        while True:
            with self._condition:
                while not self._queue and not self._ending and not pending:
                    self._condition.wait()
                if pending and not self._queue and not self._ending:
                    self._condition.wait(RETRY_INTERVAL_S)
                batch, pending = pending, []
                while self._queue and len(batch) < MAX_BATCH_CALLS:
                    batch.append(self._queue.popleft())
                if not batch and self._ending:
                    return
            try:
                self._commit_each(batch)
                self.last_error = ""
            except (sqlite3.Error, OSError) as error:
                self._roll_back()
                self.last_error = str(error)
                if not self._ending:
                    pending = [call for call in batch if call.must_write]
                    batch = [call for call in batch if not call.must_write]
                for call in batch:
                    call.result = StoreFailure(str(error))
            self._finished.extend(batch)
            if batch:
                self._notify()
            if pending:
                time.sleep(RETRY_INTERVAL_S / 20)  # no busy loop on a full disk

    def _commit_each(self, batch: list[StoreCall]) -> None:
        """Commit all calls at once; on a constraint violation one by one, so that only the culprit fails."""
        try:
            self._commit(batch)
        except sqlite3.IntegrityError:
            self._roll_back()
            for call in batch:
                try:
                    self._commit([call])
                except sqlite3.IntegrityError as error:
                    self._roll_back()
                    call.result = StoreFailure(str(error))

    def _commit(self, batch: list[StoreCall]) -> None:
        db = self._db
        db.execute("begin immediate")
        for call in batch:
            call.result = call.work(db)
        db.execute("commit")

    def _roll_back(self) -> None:
        with suppress(sqlite3.Error):
            self._db.execute("rollback")


def _ignore_result(_: object) -> None:
    pass
