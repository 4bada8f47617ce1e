"""The records of the claim stream.

A claim says that one attempt wants to run the work that a key names. The first claim
of a key in offset order wins, whoever appended it; nothing else is needed to agree.
"""

from __future__ import annotations

import json
from typing import Annotated, Any, Literal, NewType

from pydantic import Field, TypeAdapter, ValidationError

from rudderpass.declarations import Spec

ClaimKey = NewType("ClaimKey", str)
"""Names one piece of work: a digest over team, route and idempotency key."""

AttemptId = NewType("AttemptId", str)
"""One request that wants to run it; unique over all nodes."""


class Claim(Spec):
    """An attempt wants to run the work of a key.

    :param digest: of the request's body, so that a key is not used for other work.
    """

    type: Literal["claim"] = "claim"
    key: str
    attempt: str
    digest: str


class Released(Spec):
    """The claimed work was not run and never will be by this attempt."""

    type: Literal["released"] = "released"
    key: str
    attempt: str


class Done(Spec):
    """The claimed work ran, and this was its answer."""

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
    """Return the bytes of one log record; the batch id makes them unique."""
    values: list[Any] = [
        record.model_dump(mode="json", by_alias=True) for record in records
    ]
    return json.dumps({"batch": batch_id, "records": values}).encode()


def parse_batch(data: bytes) -> tuple[ClaimRecord, ...]:
    """Return the records in one log record, none if it is not ours."""
    try:
        value = json.loads(data)
        return _BATCH.validate_python(value["records"])
    except (ValueError, KeyError, TypeError, ValidationError):
        return ()
