"""The state of a node that survives its process: one small file in a persistent folder, replaced atomically.

``pack`` and ``unpack`` do no I/O.  The file is a line that names the format, the CRC-32C of what follows, and
a MessagePack map from section to bytes.  ``list`` is the only section so far; a section unknown to this
version is written back unchanged.  ``StateWriter`` writes in a thread of its own behind a queue of one: a
slow or full disk blocks nothing else, and only the newest state matters.
"""

from __future__ import annotations

import os
import queue
import threading
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

import crc32c
import msgspec

from .wire import Stamp, compress_list, decompress_list

MAGIC = b"rushsaddle kept 1\n"
CHECKSUM_DIGITS = 8  # hexadecimal, before an LF
MAX_FILE_BYTES = 8 * 1024 * 1024
FILE_NAME = "kept"


class InvalidStateFile(ValueError):
    """The saved state cannot be used; the message says why."""


class SavedList(msgspec.Struct, array_like=True, frozen=True):
    """A target list: ``saved_us`` is Unix time in microseconds, ``compressed`` the compressed JSON."""

    stamp: Stamp
    saved_us: int
    compressed: bytes

    @classmethod
    def of(cls, stamp: Stamp, saved_us: int, whole: Mapping[str, Any]) -> SavedList:
        """Compresses a whole list."""
        return cls(stamp, saved_us, compress_list(whole))

    def whole(self) -> dict[str, Any]:
        """The list in the service's format; raises InvalidStateFile."""
        try:
            fields = decompress_list(self.compressed)
        except ValueError as error:
            raise InvalidStateFile(f"invalid target list: {error}") from None
        if not isinstance(fields.get("targets"), list):
            raise InvalidStateFile("invalid target list: it has no targets")
        return fields


Sections = dict[str, msgspec.Raw]


def pack(sections: Mapping[str, Any]) -> bytes:
    """The file's bytes."""
    body = msgspec.msgpack.encode(sections)
    return MAGIC + f"{crc32c.crc32c(body):08x}\n".encode() + body


def unpack(data: bytes) -> Sections:
    """The sections, undecoded; raises InvalidStateFile for truncated, foreign or unsupported data."""
    if not data.startswith(MAGIC):
        raise InvalidStateFile("unknown file format")
    check, body = (
        data[len(MAGIC) : len(MAGIC) + CHECKSUM_DIGITS + 1], data[len(MAGIC) + CHECKSUM_DIGITS + 1 :]
    )
    if check != f"{crc32c.crc32c(body):08x}\n".encode():
        raise InvalidStateFile("corrupt file: wrong checksum")
    try:
        return msgspec.msgpack.decode(body, type=Sections)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise InvalidStateFile(str(error)) from None


def saved_list(sections: Sections) -> SavedList | None:
    """Decodes the list section; None if there is none.  Raises InvalidStateFile."""
    if "list" not in sections:
        return None
    try:
        return msgspec.msgpack.decode(sections["list"], type=SavedList)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise InvalidStateFile(f"invalid section list: {error}") from None


def read_state(folder: Path) -> Sections:
    """Reads the file's sections, none if there is no file; raises InvalidStateFile."""
    try:
        with open(folder / FILE_NAME, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return {}
    except OSError as error:
        raise InvalidStateFile(error.strerror or str(error)) from None
    if len(data) > MAX_FILE_BYTES:
        raise InvalidStateFile(f"file is larger than {MAX_FILE_BYTES} bytes")
    return unpack(data)


class StateWriter:
    """The only writer of the file.  ``failed`` says why the last write failed; it is empty after success."""

    def __init__(self, folder: Path, sections: Sections) -> None:
        self.folder = folder
        self.sections: dict[str, Any] = dict(sections)
        self.failed = ""
        self.written = 0
        self._queue: queue.Queue[bytes] = queue.Queue(1)
        self._thread: threading.Thread | None = None

    def save(self, section: str, value: Any) -> bool:
        """Queues a section for writing; returns False, to be retried, while an earlier write is queued."""
        if self._queue.full():
            return False
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="kept", daemon=True)
            self._thread.start()
        self.sections[section] = value
        self._queue.put_nowait(pack(self.sections))
        return True

    def _run(self) -> None:
        while True:
            data = self._queue.get()
            try:
                write_state(self.folder, data)
                self.failed = ""
                self.written += 1
            except OSError as error:
                self.failed = error.strerror or str(error)


def write_state(folder: Path, data: bytes) -> None:
    """Replaces the file atomically and flushes it to disk; raises OSError."""
    new = folder / f"{FILE_NAME}.{os.getpid()}"
    try:
        with open(new, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, folder / FILE_NAME)
    except OSError:
        with suppress(OSError):
            new.unlink()
        raise
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
