"""Tracks requests and prompt parts that may crash upstreams; decides what to send."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from rudderpass._ids import Fingerprint, PartId, TeamId, UpstreamId
from rudderpass.quarantine._answered_parts import AnsweredParts
from rudderpass.quarantine._attribution import (
    count_independent_crashes,
    drop_later_sends,
    exclude,
    find_culprit_parts,
    find_culprits,
)
from rudderpass.quarantine._completed import CompletedRequests
from rudderpass.quarantine._cuts import CutSend, CutSends, PartKey
from rudderpass.quarantine._records import (
    FREE,
    Crash,
    QuarantineChange,
    SuspectUpdate,
    Verdict,
    VerdictKind,
)
from rudderpass.quarantine._suspect import NEVER, Suspect

SUSPECT_RETENTION_SECONDS = 300.0
"""How long a crash, or a complete response that refutes one, is kept."""

MAX_SUSPECTS_PER_TEAM = 32
"""Requests kept per team, so that no team can evict another team's. Those with the
fewest crashes are evicted first, then the oldest."""

MAX_SUSPECT_PARTS_PER_TEAM = 64
"""Likewise for prompt parts."""

SENDS_PER_UPDATE = 3
"""Heartbeats that carry each change, since datagrams get lost."""

MAX_UPDATES_PER_HEARTBEAT = 16
"""Requests in one heartbeat, about 100 bytes each."""

RESEND_SECONDS = 1.5
"""How often quarantined requests are sent to all peers, so that a host that was
partitioned or suspended knows them within 3 s of its return."""

SAME_EVENT_SECONDS = 0.5
"""The times of one event on two hosts differ by the delivery delay. Without this margin
each host would take the other's update for a later event, and forward it."""


_SEVERITY = {
    VerdictKind.FREE: 0,
    VerdictKind.TRIAL: 1,
    VerdictKind.WAIT: 2,
    VerdictKind.QUARANTINED: 3,
}


@dataclass(frozen=True)
class _Attribution:
    """The attribution of all known crashes.

    :param crashes: those that each request or part may have caused.
    :param culprits: the requests and parts that caused crashes, with the number of
        crashes.
    :param explained: the upstreams that the culprits crashed.
    :param explained_by_parts: of these, the ones that prompt parts crashed.
    """

    crashes: Mapping[Fingerprint, Collection[Crash]]
    culprits: Mapping[Fingerprint, int]
    explained: Collection[UpstreamId]
    explained_by_parts: Collection[UpstreamId]

    def unexplained(self, fingerprint: Fingerprint, is_part: bool) -> list[Crash]:
        """Return the crashes that no culprit explains.

        A request that crashes upstreams does not clear its parts: one of them may be
        the cause of that.
        """
        explained = self.explained_by_parts if is_part else self.explained
        return exclude(self.crashes.get(fingerprint, ()), explained)


class QuarantineTracker:
    """Tracks the requests and prompt parts under which upstreams crashed.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, Suspect] = {}
        self._cuts = CutSends()
        self._crashed: dict[UpstreamId, float] = {}
        self._retracted: dict[UpstreamId, float] = {}
        self._attribution: _Attribution | None = None
        self._completed = CompletedRequests()
        self._answered = AnsweredParts()
        self._announced: set[Fingerprint] = set()

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspect; if not, fingerprints need not be computed."""
        return bool(self._suspects)

    @property
    def suspect_count(self) -> int:
        """How many requests and prompt parts are tracked."""
        return len(self._suspects)

    @property
    def quarantined(self) -> Collection[Fingerprint]:
        """The requests and prompt parts found to crash upstreams."""
        return self._attribute_crashes().culprits.keys()

    @property
    def quarantined_part_count(self) -> int:
        """How many prompt parts are found to crash upstreams."""
        return sum(self._suspects[name].part is not None for name in self.quarantined)

    def judge_all(self, fingerprints: Iterable[Fingerprint], now: float) -> Verdict:
        """Return what may be done with a request, given its and its parts' crashes."""
        verdicts = [self.judge(fingerprint, now) for fingerprint in fingerprints]
        return max(
            verdicts,
            key=lambda v: (_SEVERITY[v.kind], v.crashes, v.seconds),
            default=FREE,
        )

    def judge(self, fingerprint: Fingerprint, now: float) -> Verdict:
        """Return what may be done with a request or prompt part now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return FREE
        attribution = self._attribute_crashes()
        count = attribution.culprits.get(fingerprint, 0)
        if count:
            remaining = suspect.release_time(count) - now
            if remaining > 0:
                kind = VerdictKind.QUARANTINED
                return Verdict(kind, count, remaining, suspect.part)
        else:
            is_part = suspect.part is not None
            unexplained = attribution.unexplained(fingerprint, is_part)
            count = count_independent_crashes(unexplained)
            if not suspect.needs_trial(unexplained, count):
                return Verdict(VerdictKind.FREE, count)
        remaining = suspect.trial_remaining(now)
        if remaining > 0:
            return Verdict(VerdictKind.WAIT, count, remaining, suspect.part)
        return Verdict(VerdictKind.TRIAL, count, part=suspect.part)

    def record_cut(self, cut: CutSend, now: float) -> None:
        """Record a send whose connection was cut."""
        self._cuts.record(cut)
        if cut.crash.upstream in self._crashed:
            self.record_crash(cut.crash.upstream, now)

    def record_crash(self, upstream: UpstreamId, now: float) -> list[CutSend]:
        """Record the crash of an upstream; return the sends that it cut."""
        self._crashed[upstream] = now
        cuts = self._cuts.pop_crashed(upstream, now)
        for cut in cuts:
            suspect = self._get_or_add_suspect(cut.fingerprint, cut.team)
            suspect.is_local = True
            if suspect.add(cut.crash):
                self._record_change(suspect)
            for key in cut.parts:
                self._record_part_crash(key, cut)
        return cuts

    def record_completed(
        self, fingerprint: Fingerprint, team: TeamId | None, now: float
    ) -> None:
        """Record that a copy of a request completed."""
        self._completed.record(fingerprint, team, now)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.crashes:
            suspect.clear(now)
            self._record_change(suspect)

    def record_answered(
        self, parts: Iterable[PartKey], team: TeamId | None, now: float
    ) -> list[PartId]:
        """Record that an upstream answered a prompt with these parts and survived.

        :returns: the parts that this clears of crashes.
        """
        keys = list(parts)
        self._answered.record(keys, team, now)
        cleared = []
        for key in keys:
            suspect = self._suspects.get(key.fingerprint)
            if suspect is None or not suspect.crashes:
                continue
            is_of_interest = suspect.is_of_interest
            suspect.clear(now)
            self._attribution = None
            if is_of_interest:
                self._record_change(suspect)
                cleared.append(key.part)
        return cleared

    def begin_trial(self, fingerprint: Fingerprint, now: float) -> None:
        """Record that a copy is sent on trial; other copies must wait."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trial = now
            suspect.sends_left = SENDS_PER_UPDATE

    def end_trial(self, fingerprint: Fingerprint) -> None:
        """End a trial without a result, for example because the caller disconnected."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trial = NEVER

    def lift(self, fingerprint: Fingerprint, now: float) -> bool:
        """Discard all crashes under a request, here and on peers.

        Return whether there were any.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        if suspect.part is None:
            self.record_completed(fingerprint, suspect.team, now)
        else:
            key = PartKey(fingerprint, suspect.part)
            self.record_answered([key], suspect.team, now)
            self._record_change(suspect)
        return True

    def retract_crash(self, upstream: UpstreamId, now: float) -> None:
        """Discard the crash of an upstream that turned out to be alive."""
        self._crashed.pop(upstream, None)
        self._retracted[upstream] = now
        for suspect in self._suspects.values():
            suspect.crashes.pop(upstream, None)
        self._attribution = None

    def record_alive(self, upstream: UpstreamId, sent: float, now: float) -> None:
        """Record that an upstream responds to a request that was sent at ``sent``."""
        crashed = self._crashed.get(upstream)
        if crashed is not None and sent > crashed:
            self.retract_crash(upstream, now)

    def crashed_since(self, moment: float) -> set[UpstreamId]:
        """Return the upstreams that crashed after a given time, as far as is known."""
        return {upstream for upstream, at in self._crashed.items() if at >= moment}

    def crashed_before(self, moment: float) -> list[UpstreamId]:
        """Return the upstreams whose crash was known before a given time."""
        return [upstream for upstream, at in self._crashed.items() if at < moment]

    def merge(
        self, updates: Iterable[SuspectUpdate], forwards: bool, now: float
    ) -> None:
        """Merge the updates of a peer.

        :param forwards: whether this host forwards what it receives.
        """
        for update in updates:
            suspect = self._get_or_add_suspect(
                update.fingerprint, update.team, update.part
            )
            if self._merge(suspect, update, now):
                self._attribution = None
                suspect.sends_left = (
                    SENDS_PER_UPDATE if forwards else suspect.sends_left
                )

    def due_updates(self, now: float) -> tuple[SuspectUpdate, ...]:
        """Return the updates for the next heartbeat, and count them as sent."""
        culprits = self._attribute_crashes().culprits
        due = [
            (_send_priority(suspect), fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
            if suspect.sends_left
            or (fingerprint in culprits and now - suspect.last_sent >= RESEND_SECONDS)
        ]
        selected = heapq.nsmallest(
            MAX_UPDATES_PER_HEARTBEAT, due, key=lambda item: item[:2]
        )
        for _, _, suspect in selected:
            suspect.last_sent = now
            suspect.sends_left = max(0, suspect.sends_left - 1)
        return tuple(
            self._describe(fingerprint, suspect, now)
            for _, fingerprint, suspect in selected
        )

    def describe_quarantined(self, now: float) -> tuple[SuspectUpdate, ...]:
        """Return the quarantined requests, for a host that may know none of them."""
        newest = heapq.nlargest(
            MAX_UPDATES_PER_HEARTBEAT,
            self._attribute_crashes().culprits,
            key=lambda fingerprint: self._suspects[fingerprint].last_crash,
        )
        return tuple(
            self._describe(fingerprint, self._suspects[fingerprint], now)
            for fingerprint in newest
        )

    def tick(self, now: float) -> list[QuarantineChange]:
        """Evict expired state; return the requests newly quarantined or released."""
        self._cuts.evict_expired(now)
        for known in (self._crashed, self._retracted):
            for upstream in [
                u for u, at in known.items() if now - at > SUSPECT_RETENTION_SECONDS
            ]:
                del known[upstream]
        if not self._suspects:
            self._completed.clear()
        for fingerprint in [
            n for n, s in self._suspects.items() if self._is_expired(n, s, now)
        ]:
            del self._suspects[fingerprint]
            self._attribution = None
        culprits = self._attribute_crashes().culprits
        changes = [
            self._make_change(fingerprint, True)
            for fingerprint in culprits.keys() - self._announced
        ]
        changes += [
            self._make_change(fingerprint, False)
            for fingerprint in self._announced - culprits.keys()
        ]
        self._announced = set(culprits)
        return changes

    def _merge(self, suspect: Suspect, update: SuspectUpdate, now: float) -> bool:
        """Merge one update; return whether it changed anything."""
        is_changed = False
        if (
            update.served is not None
            and now - update.served > suspect.served + SAME_EVENT_SECONDS
        ):
            suspect.clear(now - update.served)
            is_changed = True
        for crash in update.crashes:
            if crash.upstream in self._retracted:
                continue
            received = replace(crash, sent=now - crash.sent, at=now - crash.at)
            if received.at + SAME_EVENT_SECONDS <= suspect.served:
                suspect.sends_left = max(1, suspect.sends_left)  # The peer missed it.
            elif suspect.add(received):
                is_changed = True
        if update.trial is not None:
            started = now - update.trial
            if started > suspect.trial + SAME_EVENT_SECONDS:
                suspect.trial = started
                is_changed = True
        return is_changed

    def _record_part_crash(self, key: PartKey, cut: CutSend) -> None:
        suspect = self._get_or_add_suspect(key.fingerprint, cut.team, key.part)
        suspect.is_local = True
        is_new = suspect.add(cut.part_crash)
        if not suspect.is_of_interest:
            suspect.sends_left = 0
            self._attribution = None
        elif is_new:
            self._record_change(suspect)

    def _get_or_add_suspect(
        self, fingerprint: Fingerprint, team: TeamId | None, part: PartId | None = None
    ) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            self._evict_least_important(team, part is not None)
            suspect = self._suspects[fingerprint] = Suspect(team, part=part)
            completed = (
                self._completed.find(fingerprint, team)
                if part is None
                else self._answered.find(fingerprint)
            )
            if completed is not None:
                suspect.served = completed
                self._record_change(suspect)
        return suspect

    def _evict_least_important(self, team: TeamId | None, is_part: bool) -> None:
        """Evict one of a team's requests or prompt parts if the limit is reached."""
        same_team = [
            fingerprint
            for fingerprint, s in self._suspects.items()
            if s.team == team and (s.part is not None) is is_part
        ]
        limit = MAX_SUSPECT_PARTS_PER_TEAM if is_part else MAX_SUSPECTS_PER_TEAM
        if len(same_team) < limit:
            return
        least = min(
            same_team, key=lambda fingerprint: self._suspects[fingerprint].retention_key
        )
        del self._suspects[least]
        self._attribution = None

    def _record_change(self, suspect: Suspect) -> None:
        suspect.sends_left = SENDS_PER_UPDATE
        self._attribution = None

    def _attribute_crashes(self) -> _Attribution:
        if self._attribution is None:
            crashes = drop_later_sends(
                {
                    fingerprint: s.crashes.values()
                    for fingerprint, s in self._suspects.items()
                }
            )
            recently_completed = {
                n for n, s in self._suspects.items() if s.was_recently_completed
            }
            parts = {n: list(cs) for n, cs in crashes.items() if self._suspects[n].part}
            culprit_parts = find_culprit_parts(parts, recently_completed)
            by_parts = {c.upstream for n in culprit_parts for c in parts[n]}
            requests = {
                n: exclude(cs, by_parts) for n, cs in crashes.items() if n not in parts
            }
            culprits = find_culprits(requests, recently_completed)
            explained = by_parts | {c.upstream for n in culprits for c in requests[n]}
            self._attribution = _Attribution(
                crashes, {**culprit_parts, **culprits}, explained, by_parts
            )
        return self._attribution

    def _is_expired(
        self, fingerprint: Fingerprint, suspect: Suspect, now: float
    ) -> bool:
        count = self._attribute_crashes().culprits.get(fingerprint)
        newest = max(suspect.last_crash, suspect.served, suspect.trial)
        if count is not None:
            newest = suspect.release_time(count)
        return now - newest > SUSPECT_RETENTION_SECONDS

    def _describe(
        self, fingerprint: Fingerprint, suspect: Suspect, now: float
    ) -> SuspectUpdate:
        """Return the update for peers; only a culprit's has its explained crashes too.

        A peer that does not know the culprit would count these against the request.
        """
        attribution = self._attribute_crashes()
        crashes: Collection[Crash] = suspect.crashes.values()
        if fingerprint not in attribution.culprits:
            crashes = attribution.unexplained(fingerprint, suspect.part is not None)
        return SuspectUpdate(
            fingerprint,
            suspect.team,
            tuple(
                replace(crash, sent=now - crash.sent, at=now - crash.at)
                for crash in crashes
            ),
            None if suspect.served == NEVER else now - suspect.served,
            now - suspect.trial if suspect.trial_remaining(now) > 0 else None,
            suspect.part,
        )

    def _make_change(
        self, fingerprint: Fingerprint, is_quarantined: bool
    ) -> QuarantineChange:
        suspect = self._suspects.get(fingerprint, Suspect(None))
        return QuarantineChange(
            fingerprint,
            suspect.team,
            is_quarantined,
            tuple(sorted(suspect.crashes)),
            suspect.is_local,
            suspect.part,
        )


def _send_priority(suspect: Suspect) -> tuple[bool, int, float]:
    """Return the sort key for updates: the likeliest causes are sent first."""
    is_request = suspect.part is None
    crashes = 0 if is_request else count_independent_crashes(suspect.crashes.values())
    return is_request, -crashes, suspect.last_sent
