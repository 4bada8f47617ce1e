"""Election of the holder: the one host at a time that performs the duties.

A host claims the duties by appending a record to the platform's log, on condition that
nothing was appended since it read the log. The store's era and the record's offset
determine the fencing token, which increases with each claim and is never reused, even
if hosts are killed, records are removed, or the store comes back from a copy that lacks
claims. The holder then claims the duties again. Heartbeats between hosts keep the
holder in place, so that the log is called only when the holder or the era changes.
"""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import FencingToken, StoreEra
from rudderpass.duties._messages import DutyHolder, DutyLog, DutyStatus, era_of

TAKEOVER_SECONDS = 1.6
"""A holder that was silent for this long is replaced. It sends two heartbeats a second,
and the next holder must act within three seconds."""

STAGGER_SECONDS = 0.3
"""Extra time that each candidate waits for the one ranked before it."""

MAX_TICK_GAP_SECONDS = 0.8
"""A holder that was suspended for this long may have been replaced meanwhile."""

ISOLATION_SECONDS = 1.2
"""A holder that has heard from no peer for this long may have been replaced."""


@dataclass(frozen=True)
class LeasePolicy:
    """Requirements of the platform. Times are in seconds.

    :param lease: for which a host that lost the duties must not hold them again.
    :param thaw_slack: how long after the lease a resumed holder may still make calls.
    :param is_fenced: whether the platform refuses calls with a lower token.
    """

    lease: float
    thaw_slack: float
    is_fenced: bool


class HolderElection:
    """One host's view of who holds the duties.

    :param own: this instance of this host.
    :param now: when it started.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(self, own: DutyHolder, policy: LeasePolicy, now: float) -> None:
        self._own = own
        self._policy = policy
        self._token: FencingToken | None = None
        self._known_token = FencingToken(0)
        self._holder_last_seen = now
        self._ineligible_until = now
        self._may_act_from = now
        self._last_tick = now
        self._last_confirmed = now
        self._log_read_at = now
        self._is_stale = False
        self._needs_renewal = False

    @property
    def token(self) -> FencingToken | None:
        """The token with which this host holds the duties; None if it does not."""
        return self._token

    @property
    def known_token(self) -> FencingToken:
        """The newest token known to this host; 0 before the first."""
        return self._known_token

    def receive(self, status: DutyStatus, is_stopping: bool, now: float) -> None:
        """Apply a peer's status; a newer token means that this host lost the duties.

        :param is_stopping: whether the peer is shutting down and can be replaced now.
        """
        if status.token < self._known_token:
            return
        if status.token > self._known_token or status.holds:
            self._holder_last_seen = now
        if status.holds and is_stopping:
            self._holder_last_seen = now - TAKEOVER_SECONDS
        self._known_token = status.token
        if self._token is not None and self._token < status.token:
            self.lose(now)

    def should_claim(self, rank: int, now: float) -> bool:
        """Return whether this host should claim the duties.

        :param rank: how many candidates are ranked before it.
        """
        if self._token is not None or now < self._ineligible_until:
            return False
        return now - self._holder_last_seen >= TAKEOVER_SECONDS + rank * STAGGER_SECONDS

    def apply_log(self, log: DutyLog, now: float) -> bool:
        """Apply the contents of the log; return whether this host may claim the duties.

        The holder of a claim that was not known yet is given time to send heartbeats.
        """
        self._needs_renewal = False
        if log.era < era_of(self._known_token):
            return False  # Read before the store was restored.
        if log.era > 0 and not log.has_current_claim:
            return self._apply_restored_log(log, now)
        if log.token < self._known_token:
            return False  # A stale copy of the log.
        if log.holder == self._own:
            self._apply_own_claim(log.token, now)
            return False
        if self._token is not None:
            self._known_token = log.token
            self.lose(now)
            return False
        return self._can_replace_holder(log, now)

    def _apply_restored_log(self, log: DutyLog, now: float) -> bool:
        """Apply a log in which nobody has claimed the duties in its era.

        Claims may be lost. Whoever holds the duties still does, and claims them again.
        """
        if self._token is not None:
            self._needs_renewal = True
            return False
        return self._can_replace_holder(log, now)

    def _can_replace_holder(self, log: DutyLog, now: float) -> bool:
        """Return whether a host that does not hold the duties may claim them."""
        is_new = log.token > self._known_token
        self._known_token = max(self._known_token, log.token)
        is_earlier_start = log.holder is not None and log.holder.host == self._own.host
        if is_new and not is_earlier_start:
            self._holder_last_seen = now
            return False
        return True

    def record_claim(self, token: FencingToken, now: float) -> bool:
        """Record that this host's claim is in the log.

        Return whether it is still the newest: a newer one may have been received.
        """
        if token < self._known_token:
            return False
        self._apply_own_claim(token, now)
        return True

    def lose(self, now: float) -> None:
        """Record that this host no longer holds the duties."""
        self._token = None
        self._needs_renewal = False
        self._holder_last_seen = now
        self._ineligible_until = now + self._policy.lease + self._policy.thaw_slack

    def record_era(self, era: StoreEra) -> None:
        """Record the era of the store; in a later one, the claim may be lost."""
        if self._token is not None and era > era_of(self._token):
            self._is_stale = True

    def mark_stale(self) -> None:
        """Require that the log is read before this host acts as the holder again."""
        self._is_stale = True

    def tick(self, last_heard: float | None, now: float) -> None:
        """Check whether the holder is still connected; call it several times a second.

        :param last_heard: when any peer was last heard from; None without peers.
        """
        was_suspended = now - self._last_tick > MAX_TICK_GAP_SECONDS
        # A recent read of the log is as good as a heartbeat from a peer.
        is_isolated = (
            last_heard is not None
            and now - max(last_heard, self._log_read_at) > ISOLATION_SECONDS
        )
        self._last_tick = now
        if was_suspended or is_isolated:
            self._is_stale = True
        if not self._is_stale:
            self._last_confirmed = now
        if self._token is not None and now - self._last_confirmed > self._policy.lease:
            self.lose(now)

    @property
    def needs_check(self) -> bool:
        """Whether the log must be read before this host acts as the holder."""
        return self._token is not None and self._is_stale

    @property
    def needs_renewal(self) -> bool:
        """Whether this host must claim the duties again, which it still holds."""
        return self._needs_renewal

    def may_act(self, now: float) -> bool:
        """Return whether this host may make calls with its token now."""
        is_holder = self._token is not None and now >= self._may_act_from
        return is_holder and not self._is_stale

    def _apply_own_claim(self, token: FencingToken, now: float) -> None:
        is_first = self._token is None
        self._token = self._known_token = token
        self._last_confirmed = self._last_tick = self._log_read_at = now
        self._is_stale = self._needs_renewal = False
        if is_first and not self._policy.is_fenced:
            # Nothing refuses the calls of the previous holder, so wait until it stops.
            self._may_act_from = now + self._policy.lease + self._policy.thaw_slack
