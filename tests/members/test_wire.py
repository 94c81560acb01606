"""What strangers, the torn and the old do to a sealed message: nothing."""

from __future__ import annotations

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rushsaddle.fleet.service import BadList, Passed, pack, unpack
from rushsaddle.fleet.wire import (
    MESSAGE_MOST,
    UPDATES_MOST,
    VERSION,
    Kind,
    Message,
    Stamp,
    State,
    Update,
    decode,
    encode,
    room,
    sealed,
)

KEY = b"a key of the fleet"
PLACE = "10.200.100.250:65535"
numbers = st.integers(0, 2**62 - 1)
stamps = st.builds(Stamp, st.just(PLACE), numbers, numbers)
updates = st.builds(Update, st.just(PLACE), numbers, st.sampled_from(State), st.integers(0, 2**32 - 1))
messages = st.builds(
    Message, st.just(VERSION), st.sampled_from(Kind), numbers, st.just(PLACE), numbers,
    st.none() | stamps, st.none() | st.just(PLACE), st.lists(updates, max_size=UPDATES_MOST).map(tuple),
)


@given(messages)
def test_a_message_comes_back_whole_and_fits_with_as_many_updates_as_there_is_room_for(m: Message) -> None:
    bare = msgspec.structs.replace(m, updates=())
    m = msgspec.structs.replace(bare, updates=m.updates[: room(bare)])
    data = encode(KEY, m)
    assert len(data) <= MESSAGE_MOST and decode(KEY, data) == m


@given(messages, st.data())
def test_a_changed_byte_or_another_key_makes_it_nothing(m: Message, data: st.DataObject) -> None:
    whole = encode(KEY, msgspec.structs.replace(m, updates=()))
    at = data.draw(st.integers(0, len(whole) - 1))
    flipped = whole[:at] + bytes([whole[at] ^ data.draw(st.integers(1, 255))]) + whole[at + 1 :]
    assert decode(KEY, flipped) is None
    assert decode(KEY, whole[:at]) is None and decode(KEY, whole + b"\0") is None
    assert decode(b"another key of the fleet", whole) is None


@given(st.binary(max_size=2 * MESSAGE_MOST))
def test_noise_is_nothing_sealed_or_not(noise: bytes) -> None:
    assert decode(KEY, noise) is None
    decode(KEY, sealed(KEY, noise))


@pytest.mark.parametrize("fields", [
    [VERSION + 1, 0, 1, PLACE, 1], [VERSION, 9, 1, PLACE, 1], [VERSION, 0, -1, PLACE, 1],
    [VERSION, 0, 1, "somewhere", 1], [VERSION, 0, 1, PLACE, 2**62], [VERSION, 0, 1, PLACE], {}, 5, None,
    [VERSION, 0, 1, PLACE, 1, None, None, [[PLACE, 1, 0, 0]] * (UPDATES_MOST + 1)],
    [VERSION, 0, 1, PLACE, 1, None, None, [[PLACE, 1, 7]]], [VERSION, 0, 1, PLACE, 1, [PLACE, 1]],
])
def test_each_field_is_checked_of_what_has_the_key(fields: object) -> None:
    assert decode(KEY, sealed(KEY, msgspec.msgpack.encode(fields))) is None


def test_a_list_that_is_torn_long_or_the_answer_to_another_call_is_not_taken() -> None:
    stamp = Stamp(PLACE, 0, 7)
    whole = {"rev": 7, "all": True, "targets": [{"uid": "s-1"}]}
    good = pack(KEY, 5, stamp, whole)
    assert unpack(KEY, 5, good) == (stamp, whole)

    def packed(data: bytes) -> bytes:
        return sealed(KEY, msgspec.msgpack.encode(Passed(5, stamp, data)))

    bomb = zlib.compress(b" " * (5 * 1024 * 1024))
    bad = [good[:-1], b"", packed(b"no zlib"), packed(zlib.compress(b"{}")[:-2]), packed(bomb),
           packed(zlib.compress(b"[]")), packed(zlib.compress(b"{")), sealed(KEY, b"\x93")]
    for number, data in [(6, good), *((5, data) for data in bad)]:
        with pytest.raises(BadList):
            unpack(KEY, number, data)
