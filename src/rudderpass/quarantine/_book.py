"""What one host knows of requests that may crash upstreams, and its verdicts."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from rudderpass._ids import Fingerprint, TeamId, UpstreamId
from rudderpass.quarantine._blame import (
    PROVING_CRASHES,
    count_causes,
    exclude,
    find_culprits,
)
from rudderpass.quarantine._cuts import CutSend, CutSends
from rudderpass.quarantine._records import (
    FREE,
    Crash,
    QuarantineChange,
    SuspectNews,
    Verdict,
    VerdictKind,
)

SUSPECT_SECONDS = 300.0
"""How long a crash, or a whole answer that disproves one, is remembered."""

QUARANTINE_SECONDS = 120.0
LONGEST_QUARANTINE_SECONDS = 3600.0
"""From the last crash on, until one copy may be tried once more: a release may have
mended the upstreams. Doubled by each further crash, up to the second."""

TRIAL_SECONDS = 2.0
"""How long a copy on trial holds others up. One that has run for so long is not the
kind that crashes its upstream when it begins."""

MAX_SUSPECTS_EACH_TEAM = 32
"""Requests remembered of one team, so that none can push out another team's. Those
with the fewest crashes go first, then the oldest."""

MAX_CRASHES = 8
"""Crashes remembered of one request, the newest."""

TELLS = 3
"""Beats in which a change is told, since datagrams get lost."""

MAX_TOLD = 16
"""Requests told in one beat, some 100 bytes each."""

RETELL_SECONDS = 1.5
"""How often quarantined requests are told to all, so that a host that was cut off or
stood still knows them within 3 s of its return."""

SAME_SECONDS = 0.5
"""Moments of one event as two hosts know them differ by the way of the news. Without
this margin each would take the other's word for a later event, and tell it on."""

_NEVER = float("-inf")


@dataclass
class _Suspect:
    """One request. Times are on the holder's clock.

    :ivar served: when a copy was last answered whole; earlier crashes do not count.
    :ivar trial: when the newest copy was sent on trial.
    :ivar tells_left: in how many beats it is still to be told.
    :ivar told: when it was last told.
    :ivar is_own: whether this host saw one of the crashes.
    """

    team: TeamId | None
    crashes: dict[UpstreamId, Crash] = field(default_factory=dict)
    served: float = _NEVER
    trial: float = _NEVER
    tells_left: int = 0
    told: float = _NEVER
    is_own: bool = False

    @property
    def last_crash(self) -> float:
        """When the latest crash under it was."""
        return max((crash.at for crash in self.crashes.values()), default=_NEVER)

    def trial_left(self, now: float) -> float:
        """Return for how long a copy on trial still holds others up; 0 without one."""
        if self.trial <= max(self.last_crash, self.served):
            return 0.0
        return max(0.0, self.trial + TRIAL_SECONDS - now)

    def add(self, crash: Crash) -> bool:
        """Take a crash; tell whether it says anything new."""
        if crash.at <= self.served:
            return False
        known = self.crashes.get(crash.upstream)
        merged = crash if known is None else known.merge(crash)
        self.crashes[crash.upstream] = merged
        if len(self.crashes) > MAX_CRASHES:
            oldest = min(self.crashes.values(), key=lambda crash: crash.at)
            del self.crashes[oldest.upstream]
        return known is None or known.silent is not merged.silent

    def clear(self, served: float) -> None:
        """Take a whole answer: crashes before it were not this request's doing."""
        self.served = served
        self.crashes = {
            name: crash for name, crash in self.crashes.items() if crash.at > served
        }


class QuarantineBook:
    """Knows the requests under which upstreams crashed.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._cuts = CutSends()
        self._crashed: dict[UpstreamId, float] = {}
        self._disproved: dict[UpstreamId, float] = {}
        self._culprits: dict[Fingerprint, int] | None = {}
        self._announced: set[Fingerprint] = set()

    @property
    def is_watching(self) -> bool:
        """Whether any request is suspect, so that fingerprints are worth their cost."""
        return bool(self._suspects)

    @property
    def suspect_count(self) -> int:
        """How many requests are remembered."""
        return len(self._suspects)

    @property
    def quarantined(self) -> Collection[Fingerprint]:
        """The requests that upstreams' crashes are put down to."""
        return self._find_culprits().keys()

    def judge(self, fingerprint: Fingerprint, now: float) -> Verdict:
        """Return what may be done with a request now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return FREE
        culprits = self._find_culprits()
        count = culprits.get(fingerprint, 0)
        if count:
            left = _release(suspect, count) - now
            if left > 0:
                return Verdict(VerdictKind.QUARANTINED, count, left)
        else:
            unexplained = exclude(suspect.crashes.values(), self._explained(culprits))
            count = count_causes(unexplained)
            if count < 2 and not any(crash.silent for crash in unexplained):
                return Verdict(VerdictKind.FREE, count)
        left = suspect.trial_left(now)
        if left > 0:
            return Verdict(VerdictKind.WAIT, count, left)
        return Verdict(VerdictKind.TRIAL, count)

    def note_cut(self, cut: CutSend, now: float) -> None:
        """Take note of a send whose connection was cut."""
        self._cuts.note(cut)
        if cut.crash.upstream in self._crashed:
            self.note_crashed(cut.crash.upstream, now)

    def note_crashed(self, upstream: UpstreamId, now: float) -> list[CutSend]:
        """Take note that an upstream has crashed; return the sends it was cut under."""
        self._crashed[upstream] = now
        cuts = self._cuts.take(upstream, now)
        for cut in cuts:
            suspect = self._suspect(cut.fingerprint, cut.team)
            suspect.is_own = True
            if suspect.add(cut.crash):
                self._note_change(suspect)
        return cuts

    def note_served(self, fingerprint: Fingerprint, now: float) -> None:
        """Take note that a copy of a request was answered whole."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.crashes:
            suspect.clear(now)
            self._note_change(suspect)

    def begin_trial(self, fingerprint: Fingerprint, now: float) -> None:
        """Take note that a copy is sent on trial; other copies are to wait."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trial = now
            suspect.tells_left = TELLS

    def end_trial(self, fingerprint: Fingerprint) -> None:
        """Take note that the trial has shown nothing: its caller left, or the like."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trial = _NEVER

    def lift(self, fingerprint: Fingerprint, now: float) -> bool:
        """Forget all crashes under a request, and have peers do so too.

        Tell whether there were any.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        self.note_served(fingerprint, now)
        return True

    def disprove(self, upstream: UpstreamId, now: float) -> None:
        """Take note that an upstream has not crashed: it is there all the same."""
        self._crashed.pop(upstream, None)
        self._disproved[upstream] = now
        for suspect in self._suspects.values():
            suspect.crashes.pop(upstream, None)
        self._culprits = None

    def note_alive(self, upstream: UpstreamId, sent: float, now: float) -> None:
        """Take note that an upstream answers what it was sent at a moment."""
        crashed = self._crashed.get(upstream)
        if crashed is not None and sent > crashed:
            self.disprove(upstream, now)

    def crashed_before(self, moment: float) -> list[UpstreamId]:
        """Return the upstreams whose crash was known before a moment."""
        return [name for name, at in self._crashed.items() if at < moment]

    def take(self, news: Iterable[SuspectNews], passes_on: bool, now: float) -> None:
        """Take what a peer tells.

        :param passes_on: whether this host tells others what it hears.
        """
        for item in news:
            suspect = self._suspect(item.fingerprint, item.team)
            if self._merge(suspect, item, now):
                self._culprits = None
                suspect.tells_left = TELLS if passes_on else suspect.tells_left

    def has_untold(self) -> bool:
        """Tell whether anything has not been told yet."""
        return any(s.tells_left == TELLS for s in self._suspects.values())

    def tell(self, now: float) -> tuple[SuspectNews, ...]:
        """Return what is to be told in the next beat."""
        culprits = self._find_culprits()
        due = [
            (suspect.told, fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
            if suspect.tells_left
            or (fingerprint in culprits and now - suspect.told >= RETELL_SECONDS)
        ]
        told = heapq.nsmallest(MAX_TOLD, due, key=lambda item: item[:2])
        for _, _, suspect in told:
            suspect.told = now
            suspect.tells_left = max(0, suspect.tells_left - 1)
        return tuple(_describe(name, suspect, now) for _, name, suspect in told)

    def describe_quarantined(self, now: float) -> tuple[SuspectNews, ...]:
        """Return the quarantined requests, for a host that may know none of them."""
        newest = heapq.nlargest(
            MAX_TOLD,
            self._find_culprits(),
            key=lambda name: self._suspects[name].last_crash,
        )
        return tuple(_describe(name, self._suspects[name], now) for name in newest)

    def tick(self, now: float) -> list[QuarantineChange]:
        """Forget what is out of date; return who came into quarantine or left it."""
        self._cuts.forget_old(now)
        for known in (self._crashed, self._disproved):
            for upstream in [
                u for u, at in known.items() if now - at > SUSPECT_SECONDS
            ]:
                del known[upstream]
        culprits = self._find_culprits()
        for name in [n for n, s in self._suspects.items() if self._is_old(n, s, now)]:
            del self._suspects[name]
            self._culprits = None
        culprits = self._find_culprits()
        changes = [
            self._change(name, True) for name in culprits.keys() - self._announced
        ]
        changes += [
            self._change(name, False) for name in self._announced - culprits.keys()
        ]
        self._announced = set(culprits)
        return changes

    def _merge(self, suspect: _Suspect, item: SuspectNews, now: float) -> bool:
        """Take one piece of news; tell whether anything is new."""
        is_news = False
        if (
            item.served is not None
            and now - item.served > suspect.served + SAME_SECONDS
        ):
            suspect.clear(now - item.served)
            is_news = True
        for crash in item.crashes:
            if crash.upstream in self._disproved:
                continue
            heard = Crash(
                crash.upstream, now - crash.sent, now - crash.at, crash.silent
            )
            if heard.at + SAME_SECONDS <= suspect.served:
                suspect.tells_left = max(1, suspect.tells_left)  # The peer missed it.
            elif suspect.add(heard):
                is_news = True
        if item.trial is not None:
            began = now - item.trial
            if began > suspect.trial + SAME_SECONDS:
                suspect.trial = began
                is_news = True
        return is_news

    def _suspect(self, fingerprint: Fingerprint, team: TeamId | None) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            self._make_room(team)
            suspect = self._suspects[fingerprint] = _Suspect(team)
        return suspect

    def _make_room(self, team: TeamId | None) -> None:
        """Forget one of a team's requests if there are too many."""
        teams = [name for name, s in self._suspects.items() if s.team == team]
        if len(teams) < MAX_SUSPECTS_EACH_TEAM:
            return
        least = min(teams, key=lambda name: _importance(self._suspects[name]))
        del self._suspects[least]
        self._culprits = None

    def _note_change(self, suspect: _Suspect) -> None:
        suspect.tells_left = TELLS
        self._culprits = None

    def _find_culprits(self) -> dict[Fingerprint, int]:
        if self._culprits is None:
            self._culprits = find_culprits(
                {
                    name: list(suspect.crashes.values())
                    for name, suspect in self._suspects.items()
                    if suspect.crashes
                }
            )
        return self._culprits

    def _explained(self, culprits: Iterable[Fingerprint]) -> set[UpstreamId]:
        return {
            upstream for name in culprits for upstream in self._suspects[name].crashes
        }

    def _is_old(self, name: Fingerprint, suspect: _Suspect, now: float) -> bool:
        count = self._find_culprits().get(name)
        newest = max(suspect.last_crash, suspect.served, suspect.trial)
        if count is not None:
            newest = _release(suspect, count)
        return now - newest > SUSPECT_SECONDS

    def _change(self, name: Fingerprint, is_quarantined: bool) -> QuarantineChange:
        suspect = self._suspects.get(name, _Suspect(None))
        return QuarantineChange(
            name,
            suspect.team,
            is_quarantined,
            tuple(sorted(suspect.crashes)),
            suspect.is_own,
        )


def _release(suspect: _Suspect, count: int) -> float:
    """Return when one copy of a quarantined request may be tried once more."""
    doubled = QUARANTINE_SECONDS * 2.0 ** (count - PROVING_CRASHES)
    return suspect.last_crash + min(doubled, LONGEST_QUARANTINE_SECONDS)


def _importance(suspect: _Suspect) -> tuple[int, float]:
    return count_causes(suspect.crashes.values()), suspect.last_crash


def _describe(name: Fingerprint, suspect: _Suspect, now: float) -> SuspectNews:
    return SuspectNews(
        name,
        suspect.team,
        tuple(
            Crash(crash.upstream, now - crash.sent, now - crash.at, crash.silent)
            for crash in suspect.crashes.values()
        ),
        None if suspect.served == _NEVER else now - suspect.served,
        now - suspect.trial if suspect.trial_left(now) > 0 else None,
    )
