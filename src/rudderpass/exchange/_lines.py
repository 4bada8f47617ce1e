"""The log's lines about one exchange."""

from __future__ import annotations

from rudderpass import _clock
from rudderpass._ids import Fingerprint, NodeId, UpstreamId
from rudderpass.errors import ConnectionCut, ConnectionRefused, UpstreamError
from rudderpass.eventlog import log, round_age
from rudderpass.exchange._assignment import Accepted, Assignment, Refused
from rudderpass.exchange._budget import RepeatDecision
from rudderpass.exchange._load import Load
from rudderpass.exchange._progress import ExchangeEnd
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.streams import NextStep

SHOWN_CANDIDATES = 4
"""Candidates listed in a line; the rest is counted."""


def log_choice(
    request: ExchangeRequest, accepted: Accepted, assigned: Assignment | Refused
) -> None:
    """Log where a request goes, and what that was decided on."""
    if isinstance(assigned, Refused):
        log(
            "route",
            f"{request.request_id} to nowhere, {assigned.reason.value}.",
            request=request.request_id,
            route=accepted.route.name,
            service=accepted.service,
            config_version=accepted.config_version,
        )
        return
    choice = assigned.choice
    load = choice.chosen.load if choice.chosen else Load()
    slots = choice.chosen.upstream.slots if choice.chosen else 0
    shown = [
        f"{c.upstream.upstream} cost={c.cost:.3f} unread={c.unread_tokens}"
        f" hindrance={c.hindrance:.2f}"
        for c in choice.candidates[:SHOWN_CANDIDATES]
    ]
    log(
        "route",
        f"{request.request_id} to {assigned.upstream}.",
        request=request.request_id,
        route=accepted.route.name,
        service=accepted.service,
        tier=accepted.tier,
        route_tier=accepted.route.tier,
        team_tier=accepted.team_tier,
        prompt=request.prompt_tokens,
        output=request.output_tokens,
        under_way=load.running,
        under_way_by_rank=list(load.ranks),
        slots=slots,
        chosen=assigned.upstream,
        tight=round(assigned.tight, 2),
        expected=round(assigned.expected, 4),
        copy_from=assigned.copy_from,
        reread=choice.chosen.reread_tokens if choice.chosen else 0,
        candidates=shown,
        candidate_count=len(choice.candidates),
        throttled=assigned.throttled,
        ruled_out=list(choice.ruled_out[:SHOWN_CANDIDATES]),
        config_version=accepted.config_version,
        list_offset=assigned.list_offset,
        list_age=round_age(assigned.list_age),
    )


def log_attempt(
    request: ExchangeRequest,
    assigned: Assignment,
    error: UpstreamError,
    sends: int,
    step: NextStep,
    repeat: RepeatDecision | None,
    fingerprint: Fingerprint | None = None,
) -> None:
    """Log a failed send and what follows.

    :param repeat: what the shared budget said, where it was asked.
    :param fingerprint: given where the connection was cut, so that it shows whether
        one request was under way at several upstreams when they ended.
    """
    log(
        "attempt",
        f"{request.request_id} failed at {assigned.upstream}, {step.value}.",
        request=request.request_id,
        upstream=assigned.upstream,
        error=error.show(),
        sent=error.sent,
        refused=error.refused,
        retry_after=error.retry_after,
        sends=sends,
        next=step.value,
        repeats_left=None if repeat is None else round(repeat.left, 2),
        repeats_shared_by=None if repeat is None else repeat.hosts,
        cut=isinstance(error, ConnectionCut),
        nobody_listens=isinstance(error, ConnectionRefused),
        had_answered=assigned.is_answering,
        under_way_for=round(_clock.now() - assigned.sent, 4),
        fingerprint=None if fingerprint is None else fingerprint.hex(),
    )


def log_pause(
    request: ExchangeRequest, accepted: Accepted, assigned: Assignment, pause: float
) -> None:
    """Log that a stream goes on after a pause beyond its route's target.

    Its engine read prompts of others meanwhile, or gave its slot to more urgent work.
    """
    log(
        "pause",
        f"{request.request_id} stood still for {pause:.3f} s at {assigned.upstream}.",
        request=request.request_id,
        upstream=assigned.upstream,
        tier=accepted.tier,
        seconds=round(pause, 4),
    )


def log_rate_limit(
    upstream: UpstreamId, rate: float | None, peer: NodeId | None = None
) -> None:
    """Log that an upstream's rate limit was set, changed or removed.

    :param peer: the peer that reported it; None if an answer from the upstream did.
    """
    state = "removed" if rate is None else f"set to {rate:g} requests per second"
    text = f"Rate limit of {upstream} {state}."
    log("limit", text, upstream=upstream, rate=rate, peer=peer)


def log_leaving(upstream: UpstreamId, peer: NodeId | None = None) -> None:
    """Log that an upstream reported in an answer that it is leaving.

    :param peer: the peer that passed the report on; None if this host got the answer.
    """
    text = f"{upstream} reports that it is leaving."
    log("leaving", text, upstream=upstream, peer=peer)


def log_answer(
    request: ExchangeRequest, end: ExchangeEnd, status: int, cause: str
) -> None:
    """Log how an exchange ended; a cause makes it a line that is dropped last."""
    log(
        "answer",
        f"{request.request_id} {end.ending.value}.",
        request=request.request_id,
        ending=end.ending.name.lower(),
        status=status,
        route=end.route,
        team=end.team,
        cause=cause,
        sends=end.sends,
        first_answer=_rounded(end.first_answer),
        longest_pause=_rounded(end.longest_pause),
        whole=_rounded(end.whole),
    )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
