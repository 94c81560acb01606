"""``python -m rushsaddle``: runs a node without arguments, as the platform starts it; else a command."""

from __future__ import annotations

import sys


def main() -> int:
    """Run a node or a command; returns the exit code."""
    if len(sys.argv) == 1:
        from .node import serve

        return serve()
    from .cli import command

    command.main(prog_name="rushsaddle")
    return 0


if __name__ == "__main__":
    sys.exit(main())
