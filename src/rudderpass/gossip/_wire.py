"""What all of the peers' structs have in common."""

from __future__ import annotations

from typing import TypeVar

_V = TypeVar("_V")

MAX_I32 = 2**31 - 1
"""Callers say how long their prompts are; a sum beyond this is told as this, so that an
absurd one does not end the beats."""


def given(value: _V | None) -> _V:
    """Return a field's value; thrift leaves out what the sender left out."""
    if value is None:
        raise TypeError("a field is missing")
    return value
