"""Records of deferred jobs as the store keeps them: MessagePack with a CRC-32C checksum.  No I/O."""

from __future__ import annotations

from typing import TypeVar

import crc32c
import msgspec

from tansygw.interface import EarlierAttempt

from ..core.transaction import Job

R = TypeVar("R", "StoredJob", "AttemptRecord", "FinalAnswer")


class CorruptRecord(Exception):
    """A record whose content does not match its checksum or cannot be decoded."""


class StoredJob(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A job as submitted, without its payload.

    ``cls`` is the name of the class, since class numbers change with the settings.  Times are in
    microseconds since the Unix epoch.
    """

    name: str
    cls: str
    due_us: int
    give_up_us: int
    after: tuple[str, ...]
    slots: float
    memory: float
    tenant: int
    key: str
    repeat: bool
    expected_us: int
    has_dedup_key: bool = True  # last and with a default, since records of older versions lack it

    def job(self, cls: int) -> Job:
        """The job as submitted to the decider; ``cls`` is the current number of its class."""
        return Job(
            cls, self.slots, self.memory, self.tenant, self.key, self.repeat, self.expected_us,
            self.has_dedup_key,
        )


class AttemptRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One attempt, written before its first byte is sent.  ``zone`` and ``cell`` are those of the worker."""

    number: int
    worker: str
    zone: int
    cell: int
    at_us: int

    def earlier(self) -> EarlierAttempt:
        """The attempt in the form in which the dispatcher is given earlier attempts."""
        return EarlierAttempt(self.worker, self.zone, self.cell, self.at_us)


class FinalAnswer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A job's only final answer: ``state`` is served, refused, failed or cancelled; ``status`` is of HTTP."""

    state: str
    status: int
    at_us: int
    result: bytes = b""
    reason: str = ""


def record_checksum(kind: str, name: str, content: bytes) -> int:
    """CRC-32C over record kind, job name and content, so that no row is accepted in place of another."""
    return crc32c.crc32c(content, crc32c.crc32c(f"{kind}\0{name}\0".encode()))


def verify_content(label: str, name: str, content: bytes, checksum: int) -> bytes:
    """Return the content; raises CorruptRecord where the checksum does not match."""
    if record_checksum(label, name, content) != checksum:
        raise CorruptRecord(f"{label} of {name!r}: wrong checksum")
    return content


def encode_record(record: StoredJob | AttemptRecord | FinalAnswer) -> bytes:
    """Encode a record as MessagePack."""
    return msgspec.msgpack.encode(record)


def decode_record(kind: type[R], label: str, name: str, content: bytes, checksum: int) -> R:
    """Decode a record; raises CorruptRecord where it is damaged."""
    try:
        return msgspec.msgpack.decode(verify_content(label, name, content, checksum), type=kind)
    except msgspec.DecodeError as error:
        raise CorruptRecord(f"{label} of {name!r}: {error}") from None
