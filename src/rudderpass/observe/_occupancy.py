"""Find in hosts' logs the requests in flight at an upstream at a given time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from rudderpass.observe._records import LogRecord

_ROUTE_TYPE = "route"
_ATTEMPT_TYPE = "attempt"
_PAUSE_TYPE = "pause"
_ANSWER_TYPE = "answer"


class InFlightState(Enum):
    """The state of a request at an upstream."""

    RUNNING = "running"
    WAITING = "waiting"
    PAUSED = "paused"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class InFlightRequest:
    """A request in flight at the upstream. Times are seconds since the epoch.

    :param rank: the priority sent to the upstream; 0 is the most urgent.
    :param tokens: of its prompt, plus the maximum of its output.
    :param state: paused while its events stalled for longer than the route's target;
        unknown if no end was logged, since then the start of the response is unknown.
    """

    request: str
    rank: int
    route_tier: int
    team_tier: int | None
    tokens: int
    sent: float
    state: InFlightState


@dataclass(frozen=True)
class Occupancy:
    """The requests in flight at an upstream, the most urgent and oldest first.

    :param in_flight: number of requests in flight there, as last estimated by the host
        that chose the upstream.
    :param slots: how many requests it runs at once, as known to that host.
    """

    requests: tuple[InFlightRequest, ...]
    in_flight: int | None
    slots: int | None


@dataclass
class _RequestHistory:
    """The log records of one request, by message type and in order of time."""

    sends: list[LogRecord] = field(default_factory=list)
    failures: list[LogRecord] = field(default_factory=list)
    pauses: list[LogRecord] = field(default_factory=list)
    response: LogRecord | None = None


def find_occupancy(records: Iterable[LogRecord], upstream: str, at: float) -> Occupancy:
    """Return the requests in flight at an upstream at a given time.

    :param at: seconds since the epoch.
    """
    ordered = sorted(records, key=lambda record: record.timestamp)
    requests = [
        found
        for request, history in _group_by_request(ordered).items()
        if (found := _find_request(request, history, upstream, at)) is not None
    ]
    requests.sort(key=lambda request: (request.rank, request.sent))
    last = _find_last_decision(ordered, upstream, at)
    if last is None:
        return Occupancy(tuple(requests), None, None)
    return Occupancy(
        tuple(requests), last.fields.get("under_way"), last.fields.get("slots")
    )


def _group_by_request(records: Iterable[LogRecord]) -> dict[str, _RequestHistory]:
    histories: dict[str, _RequestHistory] = {}
    for record in records:
        if not record.request:
            continue
        history = histories.setdefault(record.request, _RequestHistory())
        if record.message_type == _ROUTE_TYPE:
            history.sends.append(record)
        elif record.message_type == _ATTEMPT_TYPE:
            history.failures.append(record)
        elif record.message_type == _PAUSE_TYPE:
            history.pauses.append(record)
        elif record.message_type == _ANSWER_TYPE:
            history.response = record
    return histories


def _find_last_decision(
    records: Iterable[LogRecord], upstream: str, at: float
) -> LogRecord | None:
    decisions = [
        record
        for record in records
        if record.timestamp <= at
        and _is_sent_to(record, upstream)
        and "slots" in record.fields
    ]
    return decisions[-1] if decisions else None


def _is_sent_to(record: LogRecord, upstream: str) -> bool:
    return (
        record.message_type == _ROUTE_TYPE and record.fields.get("chosen") == upstream
    )


def _find_request(
    request: str, history: _RequestHistory, upstream: str, at: float
) -> InFlightRequest | None:
    sends = [record for record in history.sends if record.timestamp <= at]
    if not sends or not _is_sent_to(sends[-1], upstream):
        return None
    send = sends[-1]
    ends = [
        record.timestamp
        for record in history.failures
        if record.timestamp >= send.timestamp
    ]
    if history.response is not None:
        ends.append(history.response.timestamp)
    if any(end <= at for end in ends):
        return None
    fields = send.fields
    return InFlightRequest(
        request,
        int(fields.get("tier") or 0),
        int(fields.get("route_tier") or 0),
        fields.get("team_tier"),
        int(fields.get("prompt") or 0) + int(fields.get("output") or 0),
        send.timestamp,
        _find_state(history, upstream, at),
    )


def _find_state(history: _RequestHistory, upstream: str, at: float) -> InFlightState:
    for pause in history.pauses:
        stalled_at = pause.timestamp - float(pause.fields.get("seconds") or 0.0)
        if (
            pause.fields.get("upstream") == upstream
            and stalled_at <= at < pause.timestamp
        ):
            return InFlightState.PAUSED
    if history.response is None:
        return InFlightState.UNKNOWN
    fields = history.response.fields
    first = fields.get("first_answer")
    if first is None:
        return InFlightState.WAITING
    started_at = (
        history.response.timestamp - float(fields.get("whole") or 0.0) + float(first)
    )
    return InFlightState.RUNNING if started_at <= at else InFlightState.WAITING
