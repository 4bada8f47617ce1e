"""What one host knows of requests that may crash upstreams, and its verdicts."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from rudderpass._ids import Fingerprint, TeamId, UpstreamId
from rudderpass.quarantine._attribution import (
    count_causes,
    drop_later_sends,
    exclude,
    find_culprits,
)
from rudderpass.quarantine._completed import AnsweredRequests
from rudderpass.quarantine._cuts import CutSend, CutSends
from rudderpass.quarantine._records import (
    FREE,
    Crash,
    QuarantineChange,
    SuspectNews,
    Verdict,
    VerdictKind,
)
from rudderpass.quarantine._suspect import NEVER, Suspect

SUSPECT_SECONDS = 300.0
"""How long a crash, or a whole answer that disproves one, is remembered."""

MAX_SUSPECTS_EACH_TEAM = 32
"""Requests remembered of one team, so that none can push out another team's. Those
with the fewest crashes go first, then the oldest."""

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


@dataclass(frozen=True)
class _Blame:
    """What all crashes together show.

    :param crashes: those that each request may have caused.
    :param culprits: the requests that crashes are put down to, with how many.
    :param explained: the upstreams that these crashed.
    """

    crashes: Mapping[Fingerprint, Collection[Crash]]
    culprits: Mapping[Fingerprint, int]
    explained: Collection[UpstreamId]

    def unexplained(self, name: Fingerprint) -> list[Crash]:
        """Return the crashes of a request that no culprit explains."""
        return exclude(self.crashes.get(name, ()), self.explained)


class QuarantineBook:
    """Knows the requests under which upstreams crashed.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, Suspect] = {}
        self._cuts = CutSends()
        self._crashed: dict[UpstreamId, float] = {}
        self._disproved: dict[UpstreamId, float] = {}
        self._blame: _Blame | None = None
        self._answered = AnsweredRequests()
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
        return self._find_blame().culprits.keys()

    def judge(self, fingerprint: Fingerprint, now: float) -> Verdict:
        """Return what may be done with a request now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return FREE
        blame = self._find_blame()
        count = blame.culprits.get(fingerprint, 0)
        if count:
            left = suspect.release(count) - now
            if left > 0:
                return Verdict(VerdictKind.QUARANTINED, count, left)
        else:
            unexplained = blame.unexplained(fingerprint)
            count = count_causes(unexplained)
            if not suspect.is_grave(unexplained, count):
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

    def note_served(
        self, fingerprint: Fingerprint, team: TeamId | None, now: float
    ) -> None:
        """Take note that a copy of a request was answered whole."""
        self._answered.note(fingerprint, team, now)
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
            suspect.trial = NEVER

    def lift(self, fingerprint: Fingerprint, now: float) -> bool:
        """Forget all crashes under a request, and have peers do so too.

        Tell whether there were any.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        self.note_served(fingerprint, suspect.team, now)
        return True

    def disprove(self, upstream: UpstreamId, now: float) -> None:
        """Take note that an upstream has not crashed: it is there all the same."""
        self._crashed.pop(upstream, None)
        self._disproved[upstream] = now
        for suspect in self._suspects.values():
            suspect.crashes.pop(upstream, None)
        self._blame = None

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
                self._blame = None
                suspect.tells_left = TELLS if passes_on else suspect.tells_left

    def tell(self, now: float) -> tuple[SuspectNews, ...]:
        """Return what is to be told in the next beat."""
        culprits = self._find_blame().culprits
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
        return tuple(self._describe(name, suspect, now) for _, name, suspect in told)

    def describe_quarantined(self, now: float) -> tuple[SuspectNews, ...]:
        """Return the quarantined requests, for a host that may know none of them."""
        newest = heapq.nlargest(
            MAX_TOLD,
            self._find_blame().culprits,
            key=lambda name: self._suspects[name].last_crash,
        )
        return tuple(self._describe(name, self._suspects[name], now) for name in newest)

    def tick(self, now: float) -> list[QuarantineChange]:
        """Forget what is out of date; return who came into quarantine or left it."""
        self._cuts.forget_old(now)
        for known in (self._crashed, self._disproved):
            for upstream in [
                u for u, at in known.items() if now - at > SUSPECT_SECONDS
            ]:
                del known[upstream]
        if not self._suspects:
            self._answered.clear()
        for name in [n for n, s in self._suspects.items() if self._is_old(n, s, now)]:
            del self._suspects[name]
            self._blame = None
        culprits = self._find_blame().culprits
        changes = [
            self._change(name, True) for name in culprits.keys() - self._announced
        ]
        changes += [
            self._change(name, False) for name in self._announced - culprits.keys()
        ]
        self._announced = set(culprits)
        return changes

    def _merge(self, suspect: Suspect, item: SuspectNews, now: float) -> bool:
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

    def _suspect(self, fingerprint: Fingerprint, team: TeamId | None) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            self._make_room(team)
            suspect = self._suspects[fingerprint] = Suspect(team)
            answered = self._answered.find(fingerprint, team)
            if answered is not None:
                suspect.served = answered
                self._note_change(suspect)
        return suspect

    def _make_room(self, team: TeamId | None) -> None:
        """Forget one of a team's requests if there are too many."""
        teams = [name for name, s in self._suspects.items() if s.team == team]
        if len(teams) < MAX_SUSPECTS_EACH_TEAM:
            return
        least = min(teams, key=lambda name: self._suspects[name].importance)
        del self._suspects[least]
        self._blame = None

    def _note_change(self, suspect: Suspect) -> None:
        suspect.tells_left = TELLS
        self._blame = None

    def _find_blame(self) -> _Blame:
        if self._blame is None:
            crashes = drop_later_sends(
                {name: s.crashes.values() for name, s in self._suspects.items()}
            )
            vouched = {n for n, s in self._suspects.items() if s.is_vouched}
            culprits = find_culprits(crashes, vouched)
            explained = {c.upstream for name in culprits for c in crashes[name]}
            self._blame = _Blame(crashes, culprits, explained)
        return self._blame

    def _is_old(self, name: Fingerprint, suspect: Suspect, now: float) -> bool:
        count = self._find_blame().culprits.get(name)
        newest = max(suspect.last_crash, suspect.served, suspect.trial)
        if count is not None:
            newest = suspect.release(count)
        return now - newest > SUSPECT_SECONDS

    def _describe(self, name: Fingerprint, suspect: Suspect, now: float) -> SuspectNews:
        """Return what peers are told: of others than culprits, what nothing explains.

        A peer that knows less would count the rest against them.
        """
        blame = self._find_blame()
        crashes: Collection[Crash] = suspect.crashes.values()
        if name not in blame.culprits:
            crashes = blame.unexplained(name)
        return SuspectNews(
            name,
            suspect.team,
            tuple(
                Crash(crash.upstream, now - crash.sent, now - crash.at, crash.silent)
                for crash in crashes
            ),
            None if suspect.served == NEVER else now - suspect.served,
            now - suspect.trial if suspect.trial_left(now) > 0 else None,
        )

    def _change(self, name: Fingerprint, is_quarantined: bool) -> QuarantineChange:
        suspect = self._suspects.get(name, Suspect(None))
        return QuarantineChange(
            name,
            suspect.team,
            is_quarantined,
            tuple(sorted(suspect.crashes)),
            suspect.is_own,
        )
