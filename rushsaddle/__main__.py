"""``python -m rushsaddle``: without a word the node serves, as the platform starts it; else the commands."""

from __future__ import annotations

import sys


def main() -> int:
    if len(sys.argv) == 1:
        from .node import serve

        return serve()
    from .cli import command

    command.main(prog_name="rushsaddle")
    return 0


if __name__ == "__main__":
    sys.exit(main())
