"""The records of the claim stream.

A claim requests the right to run one attempt under a key. The first claim of a key in
offset order wins, whichever node appended it, so nodes need no further agreement.
"""

from __future__ import annotations

import json
from typing import Annotated, Any, Literal, NewType

from pydantic import Field, TypeAdapter, ValidationError

from rudderpass.declarations import Spec

ClaimKey = NewType("ClaimKey", str)
"""Identifies a request: a digest over team, route and idempotency key."""

AttemptId = NewType("AttemptId", str)
"""A caller's request that claims a key; unique across nodes."""


class Claim(Spec):
    """An attempt requests the right to run under a key.

    :param digest: of the request body, to detect a key reused for another request.
    """

    type: Literal["claim"] = "claim"
    key: str
    attempt: str
    digest: str


class Released(Spec):
    """The attempt did not run the claimed request and never will."""

    type: Literal["released"] = "released"
    key: str
    attempt: str


class Done(Spec):
    """The claimed request ran and returned this response."""

    type: Literal["done"] = "done"
    key: str
    attempt: str
    status: int
    content_type: str
    body: str


ClaimRecord = Claim | Released | Done

_BATCH: TypeAdapter[tuple[ClaimRecord, ...]] = TypeAdapter(
    tuple[Annotated[Claim | Released | Done, Field(discriminator="type")], ...]
)


def dump_batch(batch_id: str, records: tuple[ClaimRecord, ...]) -> bytes:
    """Encode one log record; the batch id makes its bytes unique."""
    values: list[Any] = [
        record.model_dump(mode="json", by_alias=True) for record in records
    ]
    return json.dumps({"batch": batch_id, "records": values}).encode()


def parse_batch(data: bytes) -> tuple[ClaimRecord, ...]:
    """Decode one log record; return nothing for a record of another format."""
    try:
        value = json.loads(data)
        return _BATCH.validate_python(value["records"])
    except (ValueError, KeyError, TypeError, ValidationError):
        return ()
