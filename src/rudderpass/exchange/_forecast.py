"""Predicts prefill load and stalls of a service's engines from streams and reports."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from rudderpass._ids import PoolId, UpstreamId
from rudderpass.directory import Directory, RegisteredUpstream
from rudderpass.exchange._assignment import Accepted
from rudderpass.exchange._load import LoadTracker
from rudderpass.exchange._placement import Demand, StallRisk
from rudderpass.learning import StreamSample, StreamStats

MAX_SENT_STREAMS = 4
"""Maximum number of stream samples in one heartbeat. With 100 hosts, each then receives
up to 800 samples per second, far more than it needs for 50 engines."""


class Forecasts:
    """Predicts engine behavior from the streams of this host and its peers.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self, directory: Directory, loads: LoadTracker) -> None:
        self._directory = directory
        self._loads = loads
        self._streams = StreamStats()
        self._pending: list[StreamSample] = []

    @property
    def rejected_samples(self) -> int:
        """Number of own and received stream samples with impossible times."""
        return self._streams.rejected_samples

    def record_stream(self, sample: StreamSample, now: float) -> None:
        """Record a stream that one upstream sent completely; queue it for the peers."""
        if sample.is_plausible and len(self._pending) < MAX_SENT_STREAMS:
            self._pending.append(sample)
        self.merge_streams([sample], now)

    def merge_streams(self, samples: Collection[StreamSample], now: float) -> None:
        """Merge stream samples from a peer."""
        for sample in samples:
            record = self._directory.listed.get(sample.upstream)
            if record is not None:
                self._streams.record(record.entry.service, sample, now)

    def drain_streams(self) -> list[StreamSample]:
        """Return and clear the stream samples to send to peers."""
        pending, self._pending = self._pending, []
        return pending

    def forget_upstream(self, upstream: UpstreamId) -> None:
        """Remove the records of an upstream that is no longer listed."""
        self._streams.forget_upstream(upstream)

    def stall_risk(
        self, accepted: Accepted, upstreams: Sequence[RegisteredUpstream], now: float
    ) -> StallRisk:
        """Return how likely prefills make streams late at each upstream."""
        service, gap = accepted.service, accepted.route.gap_target
        config = self._directory.config
        tightest = None if config is None else config.shortest_gap_target(service)
        own: dict[UpstreamId, float] = {}
        tightest_streams: dict[UpstreamId, float] = {}
        for entry in upstreams:
            slowness = self._streams.slowness(service, entry.upstream)
            own[entry.upstream] = self._streams.late_probability(
                service, gap, tightest, now, slowness
            )
            tightest_streams[entry.upstream] = self._streams.late_probability(
                service, tightest, tightest, now, slowness
            )
        return StallRisk(
            self._streams.late_probability(service, gap, tightest, now),
            own,
            tightest_streams,
        )

    def demand(
        self, service: PoolId, upstreams: Sequence[RegisteredUpstream], now: float
    ) -> Demand:
        """Return the prefill load of a service's upstreams, and how fast they are."""
        slowness = {
            entry.upstream: self._streams.slowness(service, entry.upstream)
            for entry in upstreams
        }
        return Demand(self._loads.prefill_rate(service, now), slowness)
