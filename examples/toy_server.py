"""Two toy workers and their discovery on loopback, to try a node by hand.

    python examples/toy_server.py [PORT]

Discovery listens on PORT (default 8500; 0 takes a free port), the workers on free ports.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, ClassVar

SLOTS = 4
WORK_S = 0.1  # running time of a job


class Handler(BaseHTTPRequestHandler):
    """Writes plain and chunked HTTP/1.1 responses."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True  # with Nagle's algorithm the second small write waits 40 ms for an ACK

    def answer(self, status: int, body: bytes, **headers: str) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def start_chunked(self) -> None:
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def line(self, text: str) -> None:
        data = text.encode() + b"\n"
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def log_message(self, format: str, *args: Any) -> None:
        host, port = self.connection.getsockname()
        print(f"{host}:{port}: {format % args}", file=sys.stderr)


class ToyWorker(Handler):
    """Runs a job by sleeping; rejects jobs while all its slots are taken."""

    free = threading.Semaphore(SLOTS)

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if not self.free.acquire(blocking=False):
            self.answer(503, b"", X_Not_Processed="1")
            return
        try:
            self.start_chunked()
            time.sleep(WORK_S)
            result = f"sent {len(body)} bytes of text"
            self.line(json.dumps({"id": self.headers["X-Request-ID"], "state": "done", "result": result}))
            self.wfile.write(b"0\r\n\r\n")
        finally:
            self.free.release()

    def do_GET(self) -> None:
        self.answer(200, json.dumps({"x0": self.free._value, "util": 0.0}).encode())


class Discovery(Handler):
    """Serves the list of workers, once or as a watch."""

    targets: ClassVar[list[dict[str, Any]]] = []

    def do_GET(self) -> None:
        complete_list = json.dumps({"rev": 1, "all": True, "targets": self.targets})
        if "watch=1" not in self.path:
            self.answer(200, complete_list.encode())
            return
        self.start_chunked()
        self.line(complete_list)
        while True:  # the list never changes; empty lines keep the watch alive
            time.sleep(2)
            self.line("")


def serve(port: int, handler: type[Handler]) -> str:
    """Serve in a thread; returns the address."""
    server = ThreadingHTTPServer(("127.0.0.1", port), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return f"127.0.0.1:{server.server_address[1]}"


def main() -> None:
    for n in range(2):
        worker = type(f"ToyWorker{n}", (ToyWorker,), {"free": threading.Semaphore(SLOTS)})
        Discovery.targets.append({
            "uid": f"s-{n}", "endpoint": serve(0, worker), "az": "north", "model": "standard-box",
            "pod_group": 0, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0,
        })
    address = serve(int(sys.argv[1]) if len(sys.argv) > 1 else 8500, Discovery)
    print(f"discovery on {address}", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
