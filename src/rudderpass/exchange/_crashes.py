"""Detection of upstream crashes, and of crashes that were assumed wrongly."""

from __future__ import annotations

import math

from rudderpass._ids import PoolId, UpstreamId
from rudderpass.directory import Directory
from rudderpass.exchange._choice import RoutingState
from rudderpass.quarantine import CutSend, QuarantineTracker

CRASH_DISPROOF_SECONDS = 10.0
MAX_LIST_AGE_SECONDS = 5.0
"""An upstream that is still listed this long after its port refused connections has not
crashed, unless the list is stale: an entry expires after three heartbeat intervals. The
network link failed, and the requests in flight there are not to blame."""


SPARED_SECONDS = 5.0
"""How long after a crash the last upstream of a service is spared from prompts that may
crash it. Others have usually restarted by then."""


class CrashDetector:
    """Reports the upstream crashes seen by a host to its quarantine.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(
        self,
        directory: Directory,
        state: RoutingState,
        quarantine: QuarantineTracker,
    ) -> None:
        self._directory = directory
        self._state = state
        self._quarantine = quarantine

    def record_cut(self, cut: CutSend, now: float) -> bool:
        """Record a cut send; return whether its upstream may have crashed.

        An upstream that was about to leave closes its connections as planned.
        """
        if self._directory.is_leaving_or_removed(cut.crash.upstream, now):
            return False
        self._quarantine.record_cut(cut, now)
        return True

    def record_refused_connection(
        self, upstream: UpstreamId, now: float
    ) -> list[CutSend]:
        """Record that the port refuses connections; return the sends cut before."""
        self._state.record_unreachable(upstream, now)
        return self._quarantine.record_crash(upstream, now)

    def record_removed(self, upstream: UpstreamId, now: float) -> None:
        """Record that an upstream's entry was removed, also after a planned stop."""
        self._quarantine.record_crash(upstream, now)

    def may_risk_upstream(self, service: PoolId, now: float) -> bool:
        """Return whether a service can lose an upstream to a prompt that may crash it.

        It cannot while a single one is left: after a crash, until others have had time
        to restart, and while the list is stale, since restarted ones are not listed.
        """
        crashed = self._quarantine.crashed_since(-math.inf)
        listed = self._directory.serving(service)
        if sum(entry.upstream not in crashed for entry in listed) > 1:
            return True
        is_stale = self._directory.list_age(now) > MAX_LIST_AGE_SECONDS
        return not (is_stale or self._quarantine.crashed_since(now - SPARED_SECONDS))

    def retract_disproved(self, now: float) -> None:
        """Retract the crashes of upstreams that still renew their entries."""
        if self._directory.list_age(now) > MAX_LIST_AGE_SECONDS:
            return
        for upstream in self._quarantine.crashed_before(now - CRASH_DISPROOF_SECONDS):
            if self._directory.is_ready(upstream, now):
                self._quarantine.retract_crash(upstream, now)
