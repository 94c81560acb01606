"""HTTP/1.1 requests: their headers, framing and bodies, and the parsing of lines and JSON objects."""

from __future__ import annotations

import errno
import re
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

import h11
import orjson

from ..core.transaction import Answer, Verdict

MAX_BODY_BYTES = 64 * 1024  # of a request body
MAX_HEAD_LINES = 130  # of a request: its first line, up to 128 fields, and the empty line
NO_DESCRIPTOR_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

Header = tuple[bytes, bytes]

# Hop-by-hop headers: they describe one connection and are generated anew for the next one.
HOP_BY_HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"content-length", b"expect",
))
# The next hop depends on these: a Connection header must not remove them.
ALWAYS_FORWARDED = frozenset((b"x-request-id", b"idempotency-key"))
SINGLE_VALUE_HEADERS = frozenset((
    b"host", b"content-length", b"transfer-encoding", b"x-request-id", b"idempotency-key", b"x-timeout",
))
NUMBER_PATTERN = re.compile(rb"[0-9]+(\.[0-9]*)?([eE][-+]?[0-9]+)?")
HEAD_END = re.compile(rb"\n\r?\n")
LINE = re.compile(rb"([^\n]*)\n")
FILLED_LINE = re.compile(rb"([^\r\n][^\n]*)\n")
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # a JSON string literal
ID_PATTERN = re.compile(rb"[!-+\--~]{1,128}")  # visible ASCII but the comma, which joins repeated headers


class BadRequest(Exception):
    """An invalid request: the status of the answer, and whether body bytes may still be unread."""

    def __init__(self, status: int, why: str, unread: bool = True) -> None:
        super().__init__(why)
        self.status = status
        self.unread = unread


def number(name: str, text: bytes, maximum: float) -> float:
    """Parse a number in a caller's header, from 0 to ``maximum``; raises BadRequest."""
    if not NUMBER_PATTERN.fullmatch(text):  # float() also accepts 1_0 and infinity
        raise BadRequest(400, f"{name}: not a number")
    value = float(text)
    if not 0 <= value <= maximum:
        raise BadRequest(400, f"{name}: out of range")
    return value


def status_of(answer: Answer) -> int:
    """HTTP status of an answer."""
    if answer.verdict is Verdict.SERVED:
        return 200
    if answer.verdict is Verdict.BUSY:
        return 503
    return 400 if answer.request_rejected else 504 if answer.late else 502


def retry_after(us: int) -> list[Header]:
    """A Retry-After header in seconds; no header for 0."""
    return [(b"Retry-After", b"%.3f" % (us / 1e6))] if us else []


class Request:
    """A caller's request, forwarded unchanged."""

    __slots__ = ("body", "headers", "id", "method", "target")

    def __init__(
        self, id: str, method: bytes, target: bytes, headers: Sequence[Header], body: bytes
    ) -> None:
        self.id = id
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def events(self, timeout_us: int) -> list[Any]:
        """The request as sent to a next hop, which may take up to ``timeout_us``."""
        headers = [*self.headers, (b"X-Timeout", b"%.3f" % (timeout_us / 1e6))]
        headers.append((b"Content-Length", b"%d" % len(self.body)))
        head = h11.Request(method=self.method, target=self.target, headers=headers)
        return [head, h11.Data(data=self.body), h11.EndOfMessage()]


def check_head_size(raw: bytes) -> None:
    """Raises BadRequest if a head, complete or not, has too many fields; to be called before it is parsed.

    Each field takes some 300 bytes once it is parsed, and its share of the processor, however short it is.
    """
    end = HEAD_END.search(raw)
    if raw.count(b"\n", 0, end.end() if end else len(raw)) > MAX_HEAD_LINES:
        raise BadRequest(431, "too many header fields")


def ambiguous_framing(raw: bytes) -> str:
    """Why two parsers may read this request head differently; empty if they may not.

    h11 drops a Content-Length beside a Transfer-Encoding, joins folded lines, accepts "5, 5" or the same
    length twice, and accepts lines that end without CR.  A parser that reads such a head differently finds
    another request in its body (request smuggling).
    """
    end = HEAD_END.search(raw)
    lines = (raw[: end.start() + 1] if end else raw).removesuffix(b"\r\n").split(b"\r\n")
    seen: dict[bytes, bytes] = {}
    for line in lines:
        if b"\n" in line or line[:1] in (b" ", b"\t"):
            return "a folded line, or one that does not end in CR LF"
        name, _, value = line.partition(b":")
        name = name.lower()
        if name in SINGLE_VALUE_HEADERS:
            if name in seen:
                return "a header that may come only once came twice"
            seen[name] = value.strip(b" \t")
    if b"transfer-encoding" in seen and (b"content-length" in seen or lines[0].endswith(b"HTTP/1.0")):
        return "two framings"
    if not seen.get(b"content-length", b"0").isdigit():
        return "Content-Length: not a number"
    if b"x-request-id" in seen and not ID_PATTERN.fullmatch(seen[b"x-request-id"]):
        return "X-Request-ID: not an id"
    return ""


def parse_fields(raw_head: bytes) -> list[Header]:
    """The headers of a request's head that h11 has accepted before, with the names as received."""
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(raw_head)
    head = parser.next_event()
    assert isinstance(head, h11.Request)
    return list(head.headers.raw_items())


def end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """The headers to forward to the next hop; X-Timeout is set anew there."""
    kept = list(headers)
    drop = {b"x-timeout"}
    for name, value in kept:
        if name.lower() == b"connection":
            drop.update(option.strip().lower() for option in value.split(b","))
    drop -= ALWAYS_FORWARDED
    passed = [(n, v) for n, v in kept if n.lower() not in HOP_BY_HOP and n.lower() not in drop]
    if not any(n.lower() == b"host" for n, _ in passed):  # HTTP/1.0 does not require Host
        passed.insert(0, (b"Host", b"localhost"))
    return passed


class LineTooLong(Exception):
    """A line or an object from a next hop or from discovery exceeds its maximum length."""


class LineSplitter:
    """Reassembles lines from chunks of arbitrary boundaries; ``maximum``: bytes of a line.

    ``skip_empty``: empty lines mean nothing, and are passed over.
    """

    __slots__ = ("_pattern", "_pending", "maximum")

    def __init__(self, maximum: int, skip_empty: bool = False) -> None:
        self.maximum = maximum
        self._pattern = FILLED_LINE if skip_empty else LINE
        self._pending = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the lines that ``data`` completes; raises LineTooLong."""
        self._pending += data
        complete = b""
        if b"\n" in data:  # else don't look again: a long line may come in many small chunks
            end = self._pending.rindex(b"\n") + 1
            complete = bytes(self._pending[:end])
            del self._pending[:end]
        if len(self._pending) > self.maximum:
            raise LineTooLong(f"line longer than {self.maximum} bytes")
        # One by one: all short lines at once would take 60 times their bytes.
        yield from (found[1] for found in self._pattern.finditer(complete))


class JsonSplitter:
    """Reassembles JSON objects from chunks: one per line, or one indented over many lines.

    An empty line is a heartbeat between two objects; inside an object it shows that the rest is lost.
    """

    __slots__ = ("_depth", "_lines", "_pending")

    def __init__(self, maximum: int) -> None:
        self._lines = LineSplitter(maximum)
        self._pending = bytearray()  # the lines of an object that is not complete
        self._depth = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield the objects that ``data`` completes; raises orjson.JSONDecodeError or LineTooLong."""
        for line in self._lines.feed(data):
            if not self._pending:
                if not line.strip():
                    continue
                try:
                    yield orjson.loads(line)
                    continue
                except orjson.JSONDecodeError:
                    if _bracket_balance(line) <= 0:
                        raise
            self._pending += line + b"\n"
            if len(self._pending) > self._lines.maximum:
                raise LineTooLong(f"object longer than {self._lines.maximum} bytes")
            self._depth += _bracket_balance(line)
            if self._depth <= 0 or not line.strip():
                text = bytes(self._pending)
                self._pending, self._depth = bytearray(), 0
                yield orjson.loads(text)


def _bracket_balance(line: bytes) -> int:
    """Number of brackets that the line opens less those that it closes."""
    bare = JSON_STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
