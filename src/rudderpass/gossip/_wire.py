"""Helpers for converting thrift structs."""

from __future__ import annotations

from typing import TypeVar

_V = TypeVar("_V")

MAX_I32 = 2**31 - 1
"""Upper bound of encoded numbers. Callers declare the length of their prompts, and an
absurd sum must not stop the heartbeats."""


def required(value: _V | None) -> _V:
    """Return a field's value; thrift leaves None where the sender omitted it."""
    if value is None:
        raise TypeError("a field is missing")
    return value
