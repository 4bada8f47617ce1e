"""What a host expects of a service's engines, from streams, loads and reading told."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from rudderpass._ids import PoolId, UpstreamId
from rudderpass.directory import Directory, RegisteredUpstream
from rudderpass.exchange._assignment import Accepted
from rudderpass.exchange._load import LoadBook
from rudderpass.exchange._placement import Demand, Harms
from rudderpass.learning import StreamSample, StreamStats

MAX_TOLD_STREAMS = 4
"""Streams told to peers in one beat; of 100 hosts, each then hears of 800 a second at
the most, far more than it needs to know 50 engines."""


class Forecasts:
    """Learns from streams, the host's own and its peers', and forecasts from them.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self, directory: Directory, loads: LoadBook) -> None:
        self._directory = directory
        self._loads = loads
        self._streams = StreamStats()
        self._untold: list[StreamSample] = []

    @property
    def passed_over(self) -> int:
        """Streams told or seen whose times cannot be true."""
        return self._streams.rejected_samples

    def note_stream(self, sample: StreamSample, now: float) -> None:
        """Take note of a stream that one upstream brought whole; tell the peers."""
        if sample.is_plausible and len(self._untold) < MAX_TOLD_STREAMS:
            self._untold.append(sample)
        self.take_streams([sample], now)

    def take_streams(self, samples: Collection[StreamSample], now: float) -> None:
        """Take what streams showed, as a peer tells it."""
        for sample in samples:
            record = self._directory.listed.get(sample.upstream)
            if record is not None:
                self._streams.record(record.entry.service, sample, now)

    def drain_streams(self) -> list[StreamSample]:
        """Return what streams showed since the last call, to be told to peers."""
        untold, self._untold = self._untold, []
        return untold

    def forget_upstream(self, upstream: UpstreamId) -> None:
        """Forget an upstream that has gone."""
        self._streams.forget_upstream(upstream)

    def harms(
        self, accepted: Accepted, upstreams: Sequence[RegisteredUpstream], now: float
    ) -> Harms:
        """Return how surely reading makes streams late at each upstream."""
        service, gap = accepted.service, accepted.route.gap_target
        config = self._directory.config
        tightest = None if config is None else config.shortest_gap_target(service)
        own: dict[UpstreamId, float] = {}
        others: dict[UpstreamId, float] = {}
        for entry in upstreams:
            slowness = self._streams.slowness(service, entry.upstream)
            own[entry.upstream] = self._streams.late_probability(
                service, gap, tightest, now, slowness
            )
            others[entry.upstream] = self._streams.late_probability(
                service, tightest, tightest, now, slowness
            )
        return Harms(
            self._streams.late_probability(service, gap, tightest, now),
            own,
            others,
        )

    def demand(
        self, service: PoolId, upstreams: Sequence[RegisteredUpstream], now: float
    ) -> Demand:
        """Return what the upstreams of a service have to bear."""
        slowness = {
            entry.upstream: self._streams.slowness(service, entry.upstream)
            for entry in upstreams
        }
        return Demand(self._loads.reading(service, now), slowness)
