"""Log messages about one exchange."""

from __future__ import annotations

from rudderpass import _clock
from rudderpass._ids import Fingerprint, NodeId, PoolId, SoftwareVersion, UpstreamId
from rudderpass.errors import ConnectionCut, ConnectionRefused, UpstreamError
from rudderpass.eventlog import log, round_age
from rudderpass.exchange._assignment import Accepted, Assignment, RefusalReason, Refused
from rudderpass.exchange._budget import RetryDecision
from rudderpass.exchange._cold_starts import ColdChange
from rudderpass.exchange._load import Load
from rudderpass.exchange._progress import ExchangeSummary
from rudderpass.exchange._reachability import PathChange
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.streams import NextStep

SHOWN_CANDIDATES = 4
"""Candidates listed in a message; the others are only counted."""


def log_choice(
    request: ExchangeRequest, accepted: Accepted, assigned: Assignment | Refused
) -> None:
    """Log where a request is sent, and the inputs of that decision."""
    if isinstance(assigned, Refused):
        log(
            "route",
            f"{request.request_id} to nowhere, {assigned.reason.value}.",
            request=request.request_id,
            route=accepted.route.name,
            service=accepted.service,
            config_version=accepted.config_version,
            **_describe_resumption(request),
            **_describe_regions(assigned),
        )
        return
    choice = assigned.choice
    load = choice.chosen.load if choice.chosen else Load()
    slots = choice.chosen.upstream.slots if choice.chosen else 0
    shown = [
        f"{c.upstream.upstream} cost={c.cost:.3f} unread={c.unread_tokens}"
        f" hindrance={c.interference:.2f}"
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
        version=choice.chosen.upstream.version if choice.chosen else None,
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
        **({} if assigned.region is None else {"region": assigned.region}),
        **_describe_resumption(request),
    )


def _describe_resumption(request: ExchangeRequest) -> dict[str, object]:
    """Return the log fields of a request with which a caller resumes a stream."""
    fields = {"resumes": request.resumes, "last_event": request.last_event_id}
    return {name: value for name, value in fields.items() if value is not None}


def log_origin(
    request: ExchangeRequest,
    accepted: Accepted,
    version: SoftwareVersion | Refused | None,
) -> None:
    """Log which version must go on with a resumed stream, if any must."""
    if version is None:
        return
    is_known = not isinstance(version, Refused)
    found = f"of version {version}" if is_known else "of an unknown version"
    log(
        "origin",
        f"{request.request_id} resumes a stream {found}.",
        request=request.request_id,
        service=accepted.service,
        team=accepted.team,
        version=version if is_known else None,
        **_describe_resumption(request),
    )


def _describe_regions(refused: Refused) -> dict[str, object]:
    """Return the log fields of a refusal that is due to the allowed regions."""
    if refused.reason is not RefusalReason.NO_REGION:
        return {}
    return {"allowed_regions": list(refused.allowed_regions)}


def log_attempt(
    request: ExchangeRequest,
    assigned: Assignment,
    error: UpstreamError,
    sends: int,
    step: NextStep,
    retry: RetryDecision | None,
    fingerprint: Fingerprint | None = None,
) -> None:
    """Log a failed send and the next step.

    :param retry: the decision of the shared retry budget; None if not consulted.
    :param fingerprint: given if the connection was cut, to show whether one request was
        in flight at several upstreams when they crashed.
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
        repeats_left=None if retry is None else round(retry.left, 2),
        repeats_shared_by=None if retry is None else retry.hosts,
        cut=isinstance(error, ConnectionCut),
        nobody_listens=isinstance(error, ConnectionRefused),
        had_answered=assigned.has_response_started,
        under_way_for=round(_clock.now() - assigned.sent, 4),
        fingerprint=None if fingerprint is None else fingerprint.hex(),
        parts=[part.part for part in request.shared_parts] if fingerprint else [],
    )


def log_pause(
    request: ExchangeRequest, accepted: Accepted, assigned: Assignment, pause: float
) -> None:
    """Log that a stream continues after a pause beyond its route's target.

    Its engine was prefilling other prompts, or preempted it for more urgent requests.
    """
    log(
        "pause",
        f"{request.request_id} stalled for {pause:.3f} s at {assigned.upstream}.",
        request=request.request_id,
        upstream=assigned.upstream,
        tier=accepted.tier,
        seconds=round(pause, 4),
    )


def log_rate_limit(
    upstream: UpstreamId, rate: float | None, peer: NodeId | None = None
) -> None:
    """Log that an upstream's rate limit was set, changed or removed.

    :param peer: the peer that reported it; None if a response of the upstream did.
    """
    state = "removed" if rate is None else f"set to {rate:g} requests per second"
    text = f"Rate limit of {upstream} {state}."
    log("limit", text, upstream=upstream, rate=rate, peer=peer)


def log_leaving(upstream: UpstreamId, peer: NodeId | None = None) -> None:
    """Log that an upstream reported in a response that it is leaving.

    :param peer: the peer that forwarded the report; None if this host got the response.
    """
    text = f"{upstream} reports that it is leaving."
    log("leaving", text, upstream=upstream, peer=peer)


def log_brittle(service: PoolId, peer: NodeId | None = None) -> None:
    """Log that the upstreams of a service have become brittle.

    :param peer: the peer that reported it; None if a response of an upstream did.
    """
    text = f"The upstreams of {service} are brittle."
    log("brittle", text, service=service, peer=peer)


def log_cold(change: ColdChange) -> None:
    """Log that an upstream has become cold."""
    text = f"{change.upstream} is cold for {change.seconds:.1f} s by"
    log(
        "cold",
        f"{text} {change.source.value}.",
        upstream=change.upstream,
        source=change.source.name.lower(),
        seconds=round(change.seconds, 3),
    )


def log_path(change: PathChange | None, error: str = "") -> None:
    """Log that an upstream became unreachable for this host, or reachable again.

    :param change: None if nothing changed; then nothing is logged.
    :param error: why no connection could be established.
    """
    if change is None:
        return
    state = "can be connected to again" if change.is_reachable else "is unreachable"
    log(
        "path",
        f"{change.upstream} {state}.",
        upstream=change.upstream,
        reachable=change.is_reachable,
        error=error,
        unreachable_for=round_age(change.unreachable_for),
        unreachable_upstreams=change.unreachable_count,
    )


def log_relayed(request: ExchangeRequest, assigned: Assignment, relay: NodeId) -> None:
    """Log that the connection to an upstream leads through another host."""
    log(
        "path",
        f"{request.request_id} reaches {assigned.upstream} through {relay}.",
        request=request.request_id,
        upstream=assigned.upstream,
        relay=relay,
    )


def log_response(
    request: ExchangeRequest, summary: ExchangeSummary, status: int, cause: str
) -> None:
    """Log how an exchange ended; messages with a cause are dropped last."""
    log(
        "answer",
        f"{request.request_id} {summary.outcome.value}.",
        request=request.request_id,
        ending=summary.outcome.name.lower(),
        status=status,
        route=summary.route,
        team=summary.team,
        cause=cause,
        sends=summary.sends,
        first_answer=_rounded(summary.first_response),
        longest_pause=_rounded(summary.longest_pause),
        whole=_rounded(summary.duration),
    )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
