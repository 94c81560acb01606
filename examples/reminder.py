"""Sends one deferred job, due in five seconds, and follows it until it is done, on free ports.

Starts toy workers and a node that stores deferred jobs.

    python examples/reminder.py [SECONDS]
"""

from __future__ import annotations

import http.client
import json
import os
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).parent


def main() -> int:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 5.0
    with tempfile.TemporaryDirectory() as folder:
        toy = subprocess.Popen(
            [sys.executable, str(HERE / "toy_server.py"), "0"], stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL, text=True,
        )
        node = None
        try:
            assert toy.stdout is not None
            config = json.loads((HERE / "config.json").read_text())
            config |= {"listen": "127.0.0.1:0", "discovery": toy.stdout.readline().split()[-1]}
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(config))
            env = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "RUSHSADDLE_"))}
            env["GW_CONFIG"] = str(path)
            node = subprocess.Popen(
                [sys.executable, "-m", "rushsaddle", "serve", "--waiting-enabled", "true", "--waiting-store",
                 folder],
                cwd=HERE.parent, env=env, stdout=subprocess.PIPE, text=True,
            )
            assert node.stdout is not None
            lines = iter(node.stdout.readline, "")
            ready = next(filter(None, (re.search(r'"listen":"([\d.]+):(\d+)"', line) for line in lines)))
            caller = http.client.HTTPConnection(ready[1], int(ready[2]), timeout=seconds + 20)
            due = time.time() + seconds
            caller.request("POST", "/single-text", b"Your appointment is at nine.", {
                "X-Request-ID": "reminder-1", "X-Not-Before": f"{due:.3f}", "Prefer": "respond-async",
            })
            taken = caller.getresponse()
            taken.read()
            print(f"{taken.status}: the node keeps {taken.headers['Location']}, due in {seconds:g} s")
            state = "waiting"
            while state in ("waiting", "released"):
                caller.request("GET", "/jobs/reminder-1", headers={"Prefer": "wait=10"})
                status = json.loads(caller.getresponse().read())
                if status["state"] != state:
                    state = status["state"]
                    late = time.time() - due
                    print(f"{late:+.2f} s after its due time: {state}, {status['result'] or 'no result yet'}")
            caller.close()
            return int(state != "served")
        finally:
            for process in (node, toy):
                if process is not None:
                    process.terminate()
                    process.communicate()


if __name__ == "__main__":
    sys.exit(main())
