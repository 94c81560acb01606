"""The fixture of the members' process tests."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from measure.rig import Fleet


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()
