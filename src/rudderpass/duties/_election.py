"""Who holds the duties that one host at a time has.

A host claims them by a record in the platform's log, written only if nothing was
written since it read the log. The record's place is the fencing token: it rises with
each claim, and no two claims share one, whoever is killed or whatever is dropped from
the log. The holder is kept by what hosts hear of one another, so that the log is called
only at a change.
"""

from __future__ import annotations

from dataclasses import dataclass

from rudderpass._ids import FencingToken
from rudderpass.duties._messages import DutyHolder, DutyLog, DutyNews

TAKEOVER_SECONDS = 1.6
"""A holder that was not heard for so long is replaced: it beats twice a second, and the
next one is to act within three seconds."""

STAGGER_SECONDS = 0.3
"""The next candidate waits so much longer for the one before it."""

STANDSTILL_SECONDS = 0.8
"""A holder that did nothing for so long may have been replaced meanwhile."""

ALONE_SECONDS = 1.2
"""A holder that has heard no peer for so long may have been replaced."""


@dataclass(frozen=True)
class HoldingRule:
    """What the platform asks for. Times are seconds.

    :param lease: within which a host that lost the duties does not hold them again.
    :param thaw_slack: by which a holder that stood still may act too late.
    :param is_fenced: whether the platform refuses calls with a lower token.
    """

    lease: float
    thaw_slack: float
    is_fenced: bool


class Holding:
    """One host's view of who holds the duties.

    :param own: this start of this host.
    :param now: when it started.

    Not thread-safe: the host's lock guards it.
    """

    def __init__(self, own: DutyHolder, rule: HoldingRule, now: float) -> None:
        self._own = own
        self._rule = rule
        self._token: FencingToken | None = None
        self._known = FencingToken(0)
        self._heard = now
        self._barred_until = now
        self._acts_from = now
        self._looked = now
        self._confirmed = now
        self._read_at = now
        self._in_doubt = False

    @property
    def token(self) -> FencingToken | None:
        """The token with which this host holds the duties; None if it does not."""
        return self._token

    @property
    def known_token(self) -> FencingToken:
        """The newest token that this host knows of; 0 before the first."""
        return self._known

    def hear(self, news: DutyNews, is_stopping: bool, now: float) -> None:
        """Take what a peer tells; a newer token ends this host's own holding.

        :param is_stopping: whether the peer stops in order; then nobody waits for it.
        """
        if news.token < self._known:
            return
        if news.token > self._known or news.holds:
            self._heard = now
        if news.holds and is_stopping:
            self._heard = now - TAKEOVER_SECONDS
        self._known = news.token
        if self._token is not None and self._token < news.token:
            self.lose(now)

    def is_due(self, place: int, now: float) -> bool:
        """Tell whether this host is to claim the duties.

        :param place: how many candidates come before it.
        """
        if self._token is not None or now < self._barred_until:
            return False
        return now - self._heard >= TAKEOVER_SECONDS + place * STAGGER_SECONDS

    def take_log(self, log: DutyLog, now: float) -> bool:
        """Take what the log holds; tell whether this host may claim the duties.

        A claim that was not known yet is given the time to be heard.
        """
        if log.token < self._known:
            return False  # An old copy of the log.
        if log.holder == self._own:
            self._take_own(log.token, now)
            return False
        is_news = log.token > self._known
        self._known = log.token
        if self._token is not None:
            self.lose(now)
            return False
        is_earlier_start = log.holder is not None and log.holder.host == self._own.host
        if is_news and not is_earlier_start:
            self._heard = now
            return False
        return True

    def note_claimed(self, token: FencingToken, now: float) -> bool:
        """Take note that this host's claim stands in the log.

        Tell whether it still counts: a newer one may have been heard meanwhile.
        """
        if token < self._known:
            return False
        self._take_own(token, now)
        return True

    def lose(self, now: float) -> None:
        """Take note that this host does not hold the duties any more."""
        self._token = None
        self._heard = now
        self._barred_until = now + self._rule.lease + self._rule.thaw_slack

    def doubt(self) -> None:
        """Have the log read before anything else is done as the holder."""
        self._in_doubt = True

    def look(self, last_heard: float | None, now: float) -> None:
        """Note whether the holder is in touch; to be called several times a second.

        :param last_heard: when any peer was heard last; None where there is none.
        """
        stood_still = now - self._looked > STANDSTILL_SECONDS
        # What the log said a moment ago is as good as a peer's word.
        is_alone = (
            last_heard is not None
            and now - max(last_heard, self._read_at) > ALONE_SECONDS
        )
        self._looked = now
        if stood_still or is_alone:
            self._in_doubt = True
        if not self._in_doubt:
            self._confirmed = now
        if self._token is not None and now - self._confirmed > self._rule.lease:
            self.lose(now)

    @property
    def needs_check(self) -> bool:
        """Whether the log must be read before anything is done as the holder."""
        return self._token is not None and self._in_doubt

    def may_act(self, now: float) -> bool:
        """Tell whether this host may make calls with its token now."""
        is_holder = self._token is not None and now >= self._acts_from
        return is_holder and not self._in_doubt

    def _take_own(self, token: FencingToken, now: float) -> None:
        is_first = self._token is None
        self._token = self._known = token
        self._confirmed = self._looked = self._read_at = now
        self._in_doubt = False
        if is_first and not self._rule.is_fenced:
            # The one before must have stopped by itself, as nothing refuses its calls.
            self._acts_from = now + self._rule.lease + self._rule.thaw_slack
