"""The README's example runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_the_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(example, "README.md", "exec"), {})
    printed = capsys.readouterr().out
    assert "Send(request=7" in printed and "SetTimer(" in printed
