"""Whatever stands in a record, it is read or it raises the one error."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, strategies as st

from rudderpass.errors import PlatformError, UnusableRecord
from rudderpass.platform import decode_config, decode_upstream
from rudderpass.platform._schemas import KeptList, Schema
from tests.fuzz import make_settings
from tests.platform.test_records import CONFIG, ENTRY, encode_entry

KEPT = {"epoch": "e", "nextPageToken": 3, "held": [["", "ab", 800, "m"]], "born": 5}

_ODD = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from([[], {}, [[]], {"": None}, 10**400, -1, "\ud800", "\x00"]),
)


@st.composite
def mutated(draw: st.DrawFn, good: dict[str, Any]) -> bytes:
    """Return a good record's bytes with something changed at some depth."""
    value = json.loads(json.dumps(good))
    place: Any = value
    for _ in range(draw(st.integers(0, 4))):
        inner = [item for item in _items(place) if isinstance(item, (dict, list))]
        if not inner:
            break
        place = draw(st.sampled_from(inner))
    _change(draw, place)
    data = json.dumps(value).encode()
    match draw(st.integers(0, 5)):
        case 0:
            return data[: draw(st.integers(0, len(data)))]
        case 1:
            at = draw(st.integers(0, len(data)))
            return data[:at] + draw(st.binary(max_size=4)) + data[at:]
        case 2:
            at = draw(st.integers(0, len(data)))
            return data[:at] + draw(st.sampled_from([b"[", b'{"a":'])) * 100_000
        case 3 if data.startswith(b'{"'):
            return b'{"' + data[2 : data.index(b":")] + b":7," + data[1:]
        case _:
            return data


def _items(place: Any) -> list[Any]:
    return list(place.values()) if isinstance(place, dict) else list(place)


def _change(draw: st.DrawFn, place: Any) -> None:
    if isinstance(place, dict) and place:
        key = draw(st.sampled_from(sorted(place)))
        if draw(st.booleans()):
            place[key] = draw(_ODD)
        else:
            del place[key]
    elif isinstance(place, list) and place:
        place[draw(st.integers(0, len(place) - 1))] = draw(_ODD)


@make_settings(300)
@given(mutated(ENTRY), st.text(max_size=8))
def test_an_upstreams_entry_is_usable_or_the_one_error(data: bytes, key: str) -> None:
    try:
        entry = decode_upstream(key, data)
    except UnusableRecord:
        return
    assert entry.slots > 0
    assert isinstance(entry.address, str) and isinstance(entry.zone, str)
    host, _, port = entry.address.rpartition(":")
    assert host.count(".") == 3 and 0 < int(port) < 65536
    assert key.isascii() and key.isprintable() and " " not in key


@make_settings(300)
@given(mutated(CONFIG))
def test_a_configuration_is_read_or_the_one_error(data: bytes) -> None:
    try:
        config = decode_config(data)
    except PlatformError:
        return
    assert all(route.timeout >= 0 for route in config.routes)


@make_settings(200)
@given(mutated(KEPT))
def test_a_list_of_kept_parts_is_read_or_the_one_error(data: bytes) -> None:
    try:
        kept = Schema(KeptList, "list").read(data)
    except UnusableRecord:
        return
    assert all(tokens >= 0 for _, _, tokens, _ in kept.held)


@make_settings(200)
@given(st.binary(max_size=60))
def test_bytes_are_no_record(data: bytes) -> None:
    with pytest.raises(UnusableRecord):
        decode_upstream("i-1", data)


def test_the_good_record_is_what_is_mutated() -> None:
    assert decode_upstream("i-1", encode_entry()).slots == ENTRY["slots"]
