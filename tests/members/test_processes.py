"""Several nodes as processes, with faults between them: killed, paused, cut off, lied to, on two services."""

from __future__ import annotations

import socket
from collections.abc import Callable

import h11
import pytest

from measure.rig import NOBODY, PATIENCE, Fleet, until
from rushsaddle.fleet.service import pack
from rushsaddle.fleet.wire import VERSION, Kind, Message, Stamp, encode

LIST = {"rev": 7, "all": True, "targets": [
    {"uid": f"s-{n}", "endpoint": f"127.0.0.1:{20 + n}", "az": "north", "model": "box", "pod_group": 0,
     "state": "ready", "capacity_hint": 1.0, "boot_ms": 0} for n in range(3)
]}


def test_the_service_is_down_and_one_has_the_list_of_before(group: Fleet) -> None:
    group.start(5, lists={3: LIST})
    until("all have its list", lambda: all(group.has_list(n) for n in range(5)))
    passed = [node.events("list")[-1].get("by") for node in group.nodes]
    assert passed[3] is None and None not in passed[:3]


def test_a_killed_one_is_found_dead_and_taken_back_when_it_starts_again(group: Fleet) -> None:
    nodes = group.start(4)
    until("all know all", group.all_know_all)
    place = group.places[3]
    nodes[3].kill()
    until("it is dead for all", lambda: {group.states(n).get(place) for n in range(3)} == {"dead"})
    assert all(list(group.states(n).values()).count("alive") == 2 for n in range(3))
    nodes[3].begin()
    until("all know all again", group.all_know_all)


def test_one_that_stands_still_is_suspected_and_refutes(group: Fleet) -> None:
    nodes = group.start(4)
    until("all know all", group.all_know_all)
    place = group.places[2]
    before = group.told(2)["incarnation"]
    nodes[2].pause()
    try:
        until("it is suspected", lambda: group.states(0).get(place) in ("suspect", "dead"))
    finally:
        nodes[2].resume()
    until("all know all again", group.all_know_all)
    assert group.told(2)["incarnation"] > before


def test_one_that_is_told_to_end_is_gone_at_once(group: Fleet) -> None:
    nodes = group.start(4)
    until("all know all", group.all_know_all)
    place = group.places[1]
    assert nodes[1].stop() == 0
    until("it has left", lambda: {group.states(n).get(place) for n in (0, 2, 3)} == {"left"})


def test_a_node_that_hears_of_no_list_takes_callers_in_the_end(group: Fleet) -> None:
    nodes = group.start(3, begin=False)
    nodes[2].operator["RUSHSADDLE_FLEET__PATIENCE"] = "1ms"
    for node in nodes:
        node.begin()
    until("it is ready without a list", lambda: nodes[2].events("ready"))
    assert not nodes[0].events("ready")


def test_members_that_are_cut_off_from_all_but_one_still_hear_the_list(group: Fleet) -> None:
    """0, 1 and 4 hear nothing from 3, which has the list, and it nothing from them: 2 stands between."""
    nodes = group.start(5, lists={3: LIST}, link=True, begin=False)
    assert group.link is not None
    for n in (0, 1, 4):
        group.link.cut(n, 3)
        group.link.cut(3, n)
    for node in nodes:
        node.begin()
    until("all have its list", lambda: all(group.has_list(n) for n in range(5)))


def test_the_members_network_is_down_and_comes_back(group: Fleet) -> None:
    nodes = group.start(4, lists={0: LIST}, link=True, begin=False)
    assert group.link is not None
    group.link.cut("*", "*")
    for node in nodes:
        node.begin()
    until("all run", lambda: all(node.events("members") for node in nodes) and nodes[0].events("ready"))
    assert not any(group.has_list(n) or nodes[n].events("ready") for n in (1, 2, 3))
    group.link.heal()
    until("all have the list", lambda: all(group.has_list(n) for n in range(4)))
    until("and take callers", lambda: all(node.events("ready") for node in nodes))


def test_a_fleet_cut_in_two_finds_together_again(group: Fleet) -> None:
    group.start(4, link=True)
    until("all know all", group.all_know_all)
    assert group.link is not None
    for a in (0, 1):
        for b in (2, 3):
            group.link.cut(a, b)
            group.link.cut(b, a)
    until("each half is by itself", lambda: all(
        sorted(group.states(n).values()) == ["alive", "dead", "dead"] for n in range(4)
    ))
    group.link.heal()
    until("all know all again", group.all_know_all)


def test_two_services_that_disagree_stay_apart(group: Fleet) -> None:
    """2 and 3 are told of another service already: the old one's list, however new, is not theirs."""
    other = "127.0.0.1:10"
    newer = {**LIST, "rev": 99}
    nodes = group.start(4, [NOBODY, NOBODY, other, other], {0: newer, 2: LIST})
    until("each has its service's", lambda: group.has_list(1, 99) and group.has_list(3, 7))
    until("they have heard of each other", group.all_know_all)
    assert {group.told(n)["list"][0] for n in (2, 3)} == {other}
    assert not [e for n in (2, 3) for e in nodes[n].events("list") if e["version"] == 99]


def test_a_stranger_changes_nothing(group: Fleet) -> None:
    nodes = group.start(4, begin=False)
    key = group.folder / "another.key"
    key.write_text("another key of sixteen bytes")
    nodes[3].operator["RUSHSADDLE_FLEET__KEY_FILE"] = str(key)
    for node in nodes:
        node.begin()
    until("it has knocked", lambda: nodes[3].events("members") and all(
        group.states(n) for n in range(3)) and group.told(0)["strangers"] > 3)
    assert all(group.places[3] not in group.states(n) for n in range(3))


def lie(sock: socket.socket, listener: socket.socket, key: bytes, to: str, answer: Callable[[int], bytes],
        service: str) -> None:
    """One round of a member that says that it has a newer list, and hands out what ``answer`` makes."""
    me = f"127.0.0.1:{listener.getsockname()[1]}"
    host, _, port = to.partition(":")
    message = Message(VERSION, Kind.PING, 1, me, 1, Stamp(service, 0, 1000))
    sock.sendto(encode(key, message), (host, int(port)))
    listener.settimeout(0.2)
    try:
        connection, _ = listener.accept()
    except TimeoutError:
        return
    with connection:
        parser = h11.Connection(h11.SERVER)
        connection.settimeout(PATIENCE)
        while not isinstance(event := parser.next_event(), h11.Request):
            assert event is h11.NEED_DATA
            parser.receive_data(connection.recv(65536))
        body = answer(int(event.target.rpartition(b"/")[2]))
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def test_a_member_that_lies_about_its_list_changes_nothing(group: Fleet) -> None:
    nodes = group.start(3, lists={0: LIST})
    until("all have the list", lambda: all(group.has_list(n) for n in range(3)))
    key, stamp = group.key, Stamp(NOBODY, 0, 1000)
    bad: dict[str, Callable[[int], bytes]] = {
        "not sealed": lambda number: b"x" * 100,
        "another call": lambda number: pack(key, number + 1, stamp, {**LIST, "rev": 1000}),
        "KeyError": lambda number: pack(key, number, stamp, {"rev": 1000}),
        "not an IPv4": lambda number: pack(key, number, stamp, {
            **LIST, "rev": 1000, "targets": [{**LIST["targets"][0], "endpoint": "nowhere"}],  # type: ignore
        }),
    }
    to = group.own[1]

    def refused(why: str) -> bool:
        lie(sock, own, key, to, bad[why], NOBODY)
        return any(why in e["error"] for e in nodes[1].events("list not passed on"))

    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with sock, socket.create_server(("127.0.0.1", 0)) as own:
        for why in bad:
            until(f"it is refused: {why}", lambda why=why: refused(why))  # type: ignore[misc]
    assert all(group.has_list(n, 7) for n in range(3))


@pytest.mark.parametrize(("settings", "fault"), [
    ({"LISTEN": "nowhere"}, "fleet.listen: 'nowhere' is not an IPv4 address and port"),
    ({"LISTEN": "0.0.0.0:0", "TOLD": ""}, "fleet.told: missing"),
    ({"SEEDS": '["127.0.0.1:1", "x"]'}, "fleet.seeds[1]: 'x' is not"),
    ({"KEY_FILE": "/dev/null"}, "fleet.key_file: /dev/null: a key has 16 bytes or more"),
    ({"KEY_FILE": ""}, "fleet.key_file: missing"),
    ({"COPY": "/nowhere"}, "fleet.copy: /nowhere: not a folder that can be written to"),
    ({"PERIOD": "0s"}, "fleet.period: '0s' is not between"),
    ({"MOST": "1"}, "fleet.most: "),
    ({"SEED": "x"}, "fleet.seed: no such key; did you mean seeds?"),
])
def test_settings_that_make_no_sense_end_the_start(
    group: Fleet, settings: dict[str, str], fault: str
) -> None:
    (node,) = group.start(1, begin=False)
    node.operator |= {f"RUSHSADDLE_FLEET__{key}": value for key, value in settings.items()}
    node.begin()
    assert node.process.wait(PATIENCE) == 2
    assert fault in node.log.read_text() and len(node.log.read_text().splitlines()) == 1
