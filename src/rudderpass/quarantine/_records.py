"""Records and messages about requests under which upstreams crashed."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from rudderpass._ids import Fingerprint, PartId, RequestDigest, TeamId, UpstreamId

MAX_REQUESTS_PER_CRASH = 4
"""Digests kept of the requests with one part that were in flight at a crash."""


@dataclass(frozen=True)
class Crash:
    """An upstream that crashed while a request was in flight there.

    :param sent: when the request was first sent there, on the local clock; in an update
        for peers, its age in seconds.
    :param at: when its connection was cut, likewise.
    :param silent: whether no copy of the request had received a response byte there.
    :param requests: if this is the crash of a prompt part, some of the requests with it
        that were in flight there; empty for the crash of a request.
    """

    upstream: UpstreamId
    sent: float
    at: float
    silent: bool
    requests: frozenset[RequestDigest] = frozenset()

    def merge(self, other: Crash) -> Crash:
        """Return the combination of two hosts' records of one crash."""
        return Crash(
            self.upstream,
            min(self.sent, other.sent),
            min(self.at, other.at),
            self.silent and other.silent,
            frozenset(sorted(self.requests | other.requests)[:MAX_REQUESTS_PER_CRASH]),
        )


@dataclass(frozen=True)
class SuspectUpdate:
    """A message between hosts about one request or prompt part.

    All times are ages in seconds.

    :param served: since a copy of it last completed; None if never.
    :param part: the prompt part; None for a request.
    :param trial: since a copy of it was sent on trial; None if none is known.
    """

    fingerprint: Fingerprint
    team: TeamId | None
    crashes: tuple[Crash, ...] = ()
    served: float | None = None
    trial: float | None = None
    part: PartId | None = None


class VerdictKind(Enum):
    """What may be done with a request."""

    FREE = "may be sent anywhere"
    TRIAL = "may be sent where few others run"
    WAIT = "another copy is on trial"
    QUARANTINED = "must not be sent"


@dataclass(frozen=True)
class Verdict:
    """What may be done with a request now.

    :param crashes: the number under it that no other request explains.
    :param seconds: until the trial or the quarantine ends.
    :param part: the prompt part that decides; None if the request itself does.
    """

    kind: VerdictKind
    crashes: int = 0
    seconds: float = 0.0
    part: PartId | None = None


FREE = Verdict(VerdictKind.FREE)


@dataclass(frozen=True)
class QuarantineChange:
    """A request or prompt part that was quarantined or released.

    :param is_local: whether this host observed one of the crashes itself.
    """

    fingerprint: Fingerprint
    team: TeamId | None
    is_quarantined: bool
    upstreams: tuple[UpstreamId, ...] = field(default=())
    is_local: bool = False
    part: PartId | None = None
