"""No cap under 1,024 servers or nodes: a list of so many, with indents, is heard whole and served by."""

from __future__ import annotations

from pathlib import Path

from measure.leaving import sized

COUNT = 1024


def test_a_node_of_1024_with_1024_servers_takes_a_changed_list_and_serves(tmp_path: Path) -> None:
    found = sized(COUNT, tmp_path)
    assert found["entries"] == COUNT and found["leaving"] == COUNT // 2
    assert found["bytes"] > 200_000
    assert found["served"] == found["jobs"] and found["to_leaving"] == 0
