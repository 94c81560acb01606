"""Whole nodes and their list.  No cap under 1,024 servers or nodes: so many are heard whole and served by."""

from __future__ import annotations

import json
from pathlib import Path

from measure.leaving import Stands, sized
from measure.rig import SETTINGS, Node

COUNT = 1024


def test_a_node_of_1024_with_1024_servers_takes_a_changed_list_and_serves(tmp_path: Path) -> None:
    found = sized(COUNT, tmp_path)
    assert found["entries"] == COUNT and found["leaving"] == COUNT // 2
    assert found["bytes"] > 200_000
    assert found["served"] == found["jobs"] and found["to_leaving"] == 0


def test_where_lists_are_pushed_a_new_process_hears_the_agent_before_it_takes_callers(tmp_path: Path) -> None:
    """What the agent has counts as told from the first moment of a process; its file may be old."""
    entry = {"uid": "s-1", "az": "north", "model": "box", "pod_group": 0, "capacity_hint": 1.0, "boot_ms": 0}
    left = {"rev": 2, "all": False, "targets": [{**entry, "state": "draining", "endpoint": "127.0.0.1:9"}]}
    stands = Stands(json.dumps(left).encode() + b"\n")
    known = {"rev": 1, "all": True, "targets": [{**entry, "state": "ready", "endpoint": stands.sender}]}
    node = Node(tmp_path, stands.service, {}, settings={**SETTINGS, "Discovery": "pushed"}, known=known)
    try:
        kinds = [event["event"] for event in node.events("list", "ready")]
        assert kinds == ["list", "list", "ready"]
    finally:
        node.process.kill()
        node.process.wait()
        stands.stop()
