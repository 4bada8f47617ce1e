"""Tracks the load of upstreams from this host's requests and its peers' reports."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import zip_longest

from rudderpass._ids import AvailabilityZone, NodeId, PoolId, UpstreamId
from rudderpass.learning import DecayingSum

PEER_LOAD_SECONDS = 2.5
"""How long a peer's load report is valid; peers send theirs every half second."""

MAX_SENT_HEARTBEATS = 16
"""Number of sent heartbeats whose load is kept, to subtract it from a relay's total:
the total includes a heartbeat that is at most 2.5 s old, and four heartbeats are sent
per second."""

PREFILL_RATE_HALF_LIFE = 1.5
"""Half-life of the prefill rate, in seconds: bursts come without warning and last for
seconds, and the sizes of prompts differ by a factor of ten."""

_PREFILL_RATE_MEAN_SECONDS = PREFILL_RATE_HALF_LIFE / math.log(2.0)


@dataclass(frozen=True)
class Load:
    """The load of one upstream.

    :param running: requests in flight.
    :param unread_tokens: prompt tokens of requests whose response has not begun, except
        those that the upstream is expected to have in its cache.
    :param tight: sum over the requests of how likely prefills make their streams late
        at the slowest upstream; a stream that tolerates no prefill counts as 1.
    :param ranks: number of requests to an engine by rank, starting with rank 0.
    :param unread_ranks: their unread tokens by rank.
    """

    running: int = 0
    unread_tokens: int = 0
    tight: float = 0.0
    ranks: tuple[int, ...] = ()
    unread_ranks: tuple[int, ...] = ()

    def unread_before(self, rank: int) -> int:
        """Return the tokens prefilled before those of a new request of ``rank``."""
        return max(0, self.unread_tokens - sum(self.unread_ranks[rank + 1 :]))

    def __add__(self, other: Load) -> Load:
        return Load(
            self.running + other.running,
            self.unread_tokens + other.unread_tokens,
            self.tight + other.tight,
            _add_ranks(self.ranks, other.ranks),
            _add_ranks(self.unread_ranks, other.unread_ranks),
        )

    def __sub__(self, other: Load) -> Load:
        """Subtract a load that was counted twice; no result is below zero."""
        return Load(
            max(0, self.running - other.running),
            max(0, self.unread_tokens - other.unread_tokens),
            max(0.0, self.tight - other.tight),
            _subtract_ranks(self.ranks, other.ranks),
            _subtract_ranks(self.unread_ranks, other.unread_ranks),
        )


def request_load(
    unread_tokens: int, tight: float, rank: int | None, running: int = 1
) -> Load:
    """Return the load of one request.

    :param rank: None for a request to an upstream that does not use ranks.
    :param running: 0 to count only its unread tokens.
    """
    if rank is None:
        return Load(running, unread_tokens, tight)
    before = (0,) * rank
    return Load(
        running, unread_tokens, tight, (*before, running), (*before, unread_tokens)
    )


def _add_ranks(one: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    if not one or not other:
        return one or other
    return tuple(a + b for a, b in zip_longest(one, other, fillvalue=0))


def _subtract_ranks(one: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    """Return ``one`` minus ``other``; no count is below zero."""
    return tuple(max(0, a - b) for a, b in zip_longest(one, other, fillvalue=0))


@dataclass(frozen=True)
class PrefillRate:
    """Prompt tokens per second that a service's engines are sent to read (prefill).

    :param tight: for streams whose gap target is too short for the pauses of prefills.
    :param other: for all other requests.
    """

    tight: float = 0.0
    other: float = 0.0

    def __add__(self, other: PrefillRate) -> PrefillRate:
        return PrefillRate(self.tight + other.tight, self.other + other.other)

    def __sub__(self, other: PrefillRate) -> PrefillRate:
        """Subtract a rate that was counted twice; rounding makes no result negative."""
        return PrefillRate(
            max(0.0, self.tight - other.tight), max(0.0, self.other - other.other)
        )


@dataclass(frozen=True)
class LoadReport:
    """The load that a host reports for itself, or a relay for many hosts.

    :param loads: by upstream.
    :param prefill_rates: the prefill rate that the hosts cause, by service.
    """

    loads: Mapping[UpstreamId, Load]
    prefill_rates: Mapping[PoolId, PrefillRate]


_EMPTY_REPORT = LoadReport({}, {})


@dataclass(frozen=True)
class _ReceivedReport:
    report: LoadReport
    received_at: float
    zone: AvailabilityZone | None = None

    def is_fresh(self, now: float) -> bool:
        return now - self.received_at <= PEER_LOAD_SECONDS


class LoadTracker:
    """Computes the total load of each upstream.

    In a large deployment a host receives a relay's total over all hosts and subtracts
    its own part. A relay receives the reports of the hosts in its zone and a sum for
    each other zone.

    :ivar is_relay: whether this host computes totals for other hosts, and therefore
        uses its own.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._own: dict[UpstreamId, Load] = {}
        self._prefilled: dict[PoolId, tuple[DecayingSum, DecayingSum]] = {}
        self._peers: dict[NodeId, _ReceivedReport] = {}
        self._zones: dict[AvailabilityZone, _ReceivedReport] = {}
        self._total: _ReceivedReport | None = None
        self._own_in_total = _EMPTY_REPORT
        self._sent: OrderedDict[int, LoadReport] = OrderedDict()
        self.is_relay = False

    @property
    def own(self) -> dict[UpstreamId, Load]:
        """The load from this host's requests, by upstream."""
        return dict(self._own)

    def begin(self, upstream: UpstreamId, load: Load) -> None:
        """Add the load of a request that is sent to an upstream."""
        self._own[upstream] = self._own.get(upstream, Load()) + load

    def end(self, upstream: UpstreamId, load: Load) -> None:
        """Remove a request's load, or part of it, from an upstream."""
        left = self._own.get(upstream, Load()) - load
        if left.running > 0:
            self._own[upstream] = left
        else:
            self._own.pop(upstream, None)

    def record_prefill(
        self, service: PoolId, unread_tokens: int, tight: float, now: float
    ) -> None:
        """Record the tokens that a service's engines must read for a request."""
        sums = self._prefilled.setdefault(service, (DecayingSum(), DecayingSum()))
        sums[0].add(unread_tokens * tight, now, PREFILL_RATE_HALF_LIFE)
        sums[1].add(unread_tokens * (1.0 - tight), now, PREFILL_RATE_HALF_LIFE)

    def own_prefill_rates(self, now: float) -> dict[PoolId, PrefillRate]:
        """Return the prefill rate that this host's requests cause, by service."""
        return {
            service: PrefillRate(
                tight.read(now, PREFILL_RATE_HALF_LIFE) / _PREFILL_RATE_MEAN_SECONDS,
                other.read(now, PREFILL_RATE_HALF_LIFE) / _PREFILL_RATE_MEAN_SECONDS,
            )
            for service, (tight, other) in self._prefilled.items()
        }

    def prefill_rate(self, service: PoolId, now: float) -> PrefillRate:
        """Return the prefill rate that all hosts' requests cause at a service."""
        total = self.own_prefill_rates(now).get(service, PrefillRate())
        for report in self._other_reports(now):
            total = total + report.prefill_rates.get(service, PrefillRate())
        if self._uses_total(now):
            total = total - self._own_in_total.prefill_rates.get(service, PrefillRate())
        return total

    def record_peer(
        self,
        peer: NodeId,
        report: LoadReport,
        zone: AvailabilityZone | None,
        now: float,
    ) -> None:
        """Record a peer's report of its own load."""
        self._peers[peer] = _ReceivedReport(report, now, zone)

    def record_zone(
        self, zone: AvailabilityZone, report: LoadReport, now: float
    ) -> None:
        """Record a relay's sum over the hosts of another zone."""
        self._zones[zone] = _ReceivedReport(report, now)

    def record_total(self, report: LoadReport, number: int | None, now: float) -> None:
        """Record a relay's total over all hosts.

        :param number: the number of this host's heartbeat in the total, if any.
        """
        self._total = _ReceivedReport(report, now)
        self._own_in_total = _EMPTY_REPORT
        if number is not None:
            self._own_in_total = self._sent.get(number, _EMPTY_REPORT)

    def record_sent_heartbeat(self, number: int, now: float) -> None:
        """Record that this host sends its load in a heartbeat."""
        self._sent[number] = LoadReport(self.own, self.own_prefill_rates(now))
        while len(self._sent) > MAX_SENT_HEARTBEATS:
            self._sent.popitem(last=False)

    def totals(self, now: float) -> dict[UpstreamId, Load]:
        """Return the total load of each upstream that has any."""
        sums = dict(self._own)
        for report in self._other_reports(now):
            _add_loads(sums, report.loads)
        if self._uses_total(now):
            for upstream, load in self._own_in_total.loads.items():
                sums[upstream] = sums.get(upstream, Load()) - load
        return sums

    def sum_zone(self, zone: AvailabilityZone, now: float) -> LoadReport:
        """Return the load of this host and its peers in ``zone``, its own zone."""
        peers = [received for received in self._peers.values() if received.zone == zone]
        return self._sum(
            [received.report for received in peers if received.is_fresh(now)], now
        )

    def sum_all(self, now: float) -> LoadReport:
        """Return the load of all hosts with a fresh report."""
        return self._sum(self._other_reports(now), now)

    def _sum(self, others: Iterable[LoadReport], now: float) -> LoadReport:
        loads = dict(self._own)
        prefill_rates = self.own_prefill_rates(now)
        for report in others:
            _add_loads(loads, report.loads)
            for service, rate in report.prefill_rates.items():
                prefill_rates[service] = (
                    prefill_rates.get(service, PrefillRate()) + rate
                )
        return LoadReport(loads, prefill_rates)

    def _uses_total(self, now: float) -> bool:
        total = self._total
        return not self.is_relay and total is not None and total.is_fresh(now)

    def _other_reports(self, now: float) -> list[LoadReport]:
        """Return reports that count each other host once."""
        if self._uses_total(now):
            assert self._total is not None
            return [self._total.report]
        for peer in [
            name for name, received in self._peers.items() if not received.is_fresh(now)
        ]:
            del self._peers[peer]
        zones = {
            zone: received
            for zone, received in self._zones.items()
            if received.is_fresh(now)
        }
        peers = [
            received for received in self._peers.values() if received.zone not in zones
        ]
        return [received.report for received in (*zones.values(), *peers)]


def _add_loads(sums: dict[UpstreamId, Load], loads: Mapping[UpstreamId, Load]) -> None:
    for upstream, load in loads.items():
        sums[upstream] = sums.get(upstream, Load()) + load
