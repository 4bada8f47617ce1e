"""How long an upstream is retained after its entry ended.

Entries that expired during an outage of the store are back soon after its return. An
entry that ends later, or stays away for most of the drain bound, belongs to an upstream
that has left. All periods run from the earliest time at which the event can have
happened, not from when this host learned of it: hosts whose first response came 7.5 s
after the store's return took an upstream that had left for an expired entry, and sent
it a request after 2.8 s, where 2.0 s are allowed.
"""

from __future__ import annotations

RETURN_GRACE_SECONDS = 2.7
"""How long an entry that expired during an outage of the store is retained, from the
start of the last call that the store left unanswered. The store returned at that time
at the earliest and 1.6 s later at the latest; the platform promises that entries are
back within about 2 s of its return. The value stays below the 3 s after which the
platform regards a host as connected again and holds it to the drain bound."""

ENTRY_LIFETIME_SECONDS = 3.6
"""Default time after which the platform removes the entry of an upstream that does not
renew it: three of its heartbeats."""

CONFIRM_MARGIN_SECONDS = 1.4
"""Added to the lifetime of an entry before an entry that a restored store lists counts
as renewed: the removal is written and read, and heartbeats are not exact."""

DRAIN_BOUND_SECONDS = 2.0
"""Default time for which a leaving upstream may still get new requests."""

MAX_RETAINED_SHARE = 0.85
"""Maximum share of the drain bound for which an ended entry is retained. The remainder
covers requests in flight: without it, one reached its upstream 2,088 ms after the entry
ended, where 2,000 ms are allowed."""


class RetentionPolicy:
    """Decides how long ended entries are retained, from the store's outages.

    :param drain_bound: seconds for which a leaving upstream may still get new requests.
    """

    def __init__(self, drain_bound: float = DRAIN_BOUND_SECONDS) -> None:
        self._drain_bound = drain_bound
        self._store_unavailable_at = float("-inf")
        self._confirmed_at = float("-inf")

    def list_age(self, now: float) -> float:
        """Return the seconds since the list was last confirmed."""
        return now - self._confirmed_at

    def record_confirmed(self, as_of: float) -> None:
        """Record that the list was complete at a time."""
        self._confirmed_at = max(self._confirmed_at, as_of)

    def record_store_unavailable(self, called_at: float) -> None:
        """Record that a call made at a time got no answer."""
        self._store_unavailable_at = max(self._store_unavailable_at, called_at)

    def retain_until_restored(self, now: float) -> float:
        """Return when to remove an upstream that a restored store does not list.

        Its entry has not ended: the copy lacks it, and the upstream writes it again.
        """
        drain_deadline = now + MAX_RETAINED_SHARE * self._drain_bound
        if self._store_unavailable_at <= self._confirmed_at:
            return drain_deadline
        return_deadline = self._store_unavailable_at + RETURN_GRACE_SECONDS
        return max(now, min(return_deadline, drain_deadline))

    def retain_until(self, now: float) -> float:
        """Return when to remove an upstream whose entry is found ended now."""
        return_deadline = self._store_unavailable_at + RETURN_GRACE_SECONDS
        is_confirmed_later = self._confirmed_at >= self._store_unavailable_at
        drain_start = self._confirmed_at if is_confirmed_later else now
        drain_deadline = drain_start + MAX_RETAINED_SHARE * self._drain_bound
        return max(now, min(return_deadline, drain_deadline))
