"""What is known and told of requests under which upstreams crashed."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from rudderpass._ids import Fingerprint, TeamId, UpstreamId


@dataclass(frozen=True)
class Crash:
    """An upstream that crashed while a request was under way there.

    :param sent: when the request was first sent there, on the holder's clock; seconds
        before it was told, where it is news.
    :param at: when its connection was cut, likewise.
    :param silent: whether no copy of the request had been answered a byte there.
    """

    upstream: UpstreamId
    sent: float
    at: float
    silent: bool

    def merge(self, other: Crash) -> Crash:
        """Return what two hosts' sights of one crash say together."""
        return Crash(
            self.upstream,
            min(self.sent, other.sent),
            min(self.at, other.at),
            self.silent and other.silent,
        )


@dataclass(frozen=True)
class SuspectNews:
    """What hosts tell one another of one request. All times are ages in seconds.

    :param served: since a copy of it was last answered whole; None if never.
    :param trial: since a copy of it was sent on trial; None if none is known.
    """

    fingerprint: Fingerprint
    team: TeamId | None
    crashes: tuple[Crash, ...] = ()
    served: float | None = None
    trial: float | None = None


class VerdictKind(Enum):
    """What may be done with a request."""

    FREE = "may be sent anywhere"
    TRIAL = "may be sent where few others run"
    WAIT = "another copy is on trial"
    QUARANTINED = "must not be sent"


@dataclass(frozen=True)
class Verdict:
    """What may be done with a request now.

    :param crashes: under it that nothing else explains.
    :param seconds: until that changes: the trial or the quarantine is over.
    """

    kind: VerdictKind
    crashes: int = 0
    seconds: float = 0.0


FREE = Verdict(VerdictKind.FREE)


@dataclass(frozen=True)
class QuarantineChange:
    """A request was put into quarantine or released.

    :param is_own: whether this host saw one of the crashes itself.
    """

    fingerprint: Fingerprint
    team: TeamId | None
    is_quarantined: bool
    upstreams: tuple[UpstreamId, ...] = field(default=())
    is_own: bool = False
