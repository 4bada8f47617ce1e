"""Find failed requests in hosts' logs, and the causes."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from rudderpass.observe._records import LogRecord

_SERVED = "served"
_ROUTE_TYPE = "route"
_ANSWER_TYPE = "answer"
_STEP_AND_PEER = re.compile(r"\s*\[[^\]]*\]")
"""The step and peer at the end of an error message; causes are grouped without them."""

NO_ANSWER = "no answer was logged: the host lost its power or was killed"


@dataclass(frozen=True)
class FailureGroup:
    """Requests that failed in the same way.

    :param requests: their ids, in the order in which they ended.
    """

    outcome: str
    status: int
    cause: str
    requests: tuple[str, ...]


def find_failures(records: Iterable[LogRecord]) -> list[FailureGroup]:
    """Return the requests that were not served, grouped by cause, most first."""
    open_requests: dict[str, LogRecord] = {}
    groups: dict[tuple[str, int, str], list[str]] = defaultdict(list)
    for record in sorted(records, key=lambda record: record.timestamp):
        if not record.request:
            continue
        if record.message_type == _ROUTE_TYPE:
            open_requests.setdefault(record.request, record)
        elif record.message_type == _ANSWER_TYPE:
            open_requests.pop(record.request, None)
            if record.fields.get("ending") != _SERVED:
                groups[_group_key(record)].append(record.request)
    if open_requests:
        groups["cut", 0, NO_ANSWER] = list(open_requests)
    found = [FailureGroup(*key, tuple(names)) for key, names in groups.items()]
    return sorted(found, key=lambda group: (-len(group.requests), group.cause))


def _group_key(record: LogRecord) -> tuple[str, int, str]:
    fields = record.fields
    cause = (
        _STEP_AND_PEER.sub("", str(fields.get("cause") or "")) or "no cause was logged"
    )
    return str(fields.get("ending", "")), int(fields.get("status") or 0), cause
