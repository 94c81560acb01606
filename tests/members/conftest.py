"""The fixture of the members' process tests."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from .group import Group


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    group = Group(tmp_path)
    yield group
    if group.fleet is not None:
        group.fleet.stop()
    if group.link is not None:
        group.link.stop()
