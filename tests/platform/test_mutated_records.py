"""A record with any content is decoded, or raises the documented error."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, strategies as st

from rudderpass.errors import PlatformError, UnusableRecord
from rudderpass.platform import decode_config, decode_upstream
from rudderpass.platform._schemas import CachedPartList, Schema
from tests.fuzz import make_settings
from tests.platform.test_records import CONFIG, ENTRY, encode_entry

CACHED = {"epoch": "e", "nextPageToken": 3, "held": [["", "ab", 800, "m"]], "born": 5}

_ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from([[], {}, [[]], {"": None}, 10**400, -1, "\ud800", "\x00"]),
)


@st.composite
def mutated(draw: st.DrawFn, good: dict[str, Any]) -> bytes:
    """Return the bytes of a valid record with a change at some depth."""
    value = json.loads(json.dumps(good))
    container: Any = value
    for _ in range(draw(st.integers(0, 4))):
        inner = [item for item in _items(container) if isinstance(item, (dict, list))]
        if not inner:
            break
        container = draw(st.sampled_from(inner))
    _change(draw, container)
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


def _items(container: Any) -> list[Any]:
    return list(container.values()) if isinstance(container, dict) else list(container)


def _change(draw: st.DrawFn, container: Any) -> None:
    if isinstance(container, dict) and container:
        key = draw(st.sampled_from(sorted(container)))
        if draw(st.booleans()):
            container[key] = draw(_ODD_VALUES)
        else:
            del container[key]
    elif isinstance(container, list) and container:
        container[draw(st.integers(0, len(container) - 1))] = draw(_ODD_VALUES)


@make_settings(300)
@given(mutated(ENTRY), st.text(max_size=8))
def test_an_upstream_entry_is_decoded_or_unusable(data: bytes, key: str) -> None:
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
def test_a_configuration_is_decoded_or_unusable(data: bytes) -> None:
    try:
        config = decode_config(data)
    except PlatformError:
        return
    assert all(route.timeout >= 0 for route in config.routes)


@make_settings(200)
@given(mutated(CACHED))
def test_a_list_of_cached_parts_is_decoded_or_unusable(data: bytes) -> None:
    try:
        cached = Schema(CachedPartList, "list").read(data)
    except UnusableRecord:
        return
    assert all(tokens >= 0 for _, _, tokens, _ in cached.held)


@make_settings(200)
@given(st.binary(max_size=60))
def test_random_bytes_are_not_a_record(data: bytes) -> None:
    with pytest.raises(UnusableRecord):
        decode_upstream("i-1", data)


def test_the_record_is_valid_before_the_mutation() -> None:
    assert decode_upstream("i-1", encode_entry()).slots == ENTRY["slots"]
