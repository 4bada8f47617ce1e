"""Decides which software version may go on with a stream, without clocks or sockets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from hashlib import blake2b

from rudderpass._ids import PoolId, RequestId, SoftwareVersion, TeamId, UpstreamId
from rudderpass.directory import Directory, RegisteredUpstream
from rudderpass.origins._table import (
    MAX_KEPT_SECONDS,
    OriginTable,
    StreamKey,
    StreamOrigin,
)
from rudderpass.origins._versions import ServiceVersions

_KEY_BYTES = 12
"""Large enough to rule out collisions among the streams of a few minutes."""


def make_stream_key(
    service: PoolId, team: TeamId | None, request_id: RequestId
) -> StreamKey:
    """Return the key of the stream that a request began.

    The team is part of it: the id of another team's request finds nothing.
    """
    digest = blake2b(digest_size=_KEY_BYTES)
    for field in (service, team or "", request_id):
        encoded = field.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return StreamKey(digest.digest())


class StreamOrigins:
    """The origins of streams that this host knows, and the versions of each service.

    Streams that this host began are kept whether or not their service has several
    versions: a second version may appear while they run.

    :ivar is_informed: whether the host has learned which versions ended before its
        start.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._versions = ServiceVersions()
        self._own: dict[PoolId, OriginTable] = {}
        self._kept = OriginTable()
        self.is_informed = True

    @property
    def count(self) -> int:
        """Number of streams whose origin is known here."""
        return sum(map(len, self._own.values())) + len(self._kept)

    def has_several_versions(self, service: PoolId, now: float) -> bool:
        """Return whether streams of a service may have begun at several versions."""
        listed = self._directory.listed.values()
        self._versions.record(
            (item.entry for item in listed if item.entry.service == service), now
        )
        return self._versions.has_several(service, now)

    def prefer_lasting(
        self,
        service: PoolId,
        upstreams: Sequence[RegisteredUpstream],
        excluded: Collection[UpstreamId],
        now: float,
    ) -> Sequence[RegisteredUpstream]:
        """Return the upstreams at which a new stream should begin.

        A stream can go on only at its version, so it should not begin at the only
        upstream of one, nor at a version that other hosts may not have heard of.

        :param excluded: upstreams that the request must not go to again.
        :returns: all upstreams if too few are left.
        """
        usable = [entry for entry in upstreams if entry.upstream not in excluded]
        counts = Counter(entry.version for entry in usable)
        if len(counts) < 2:
            return upstreams
        lasting = [
            entry
            for entry in usable
            if counts[entry.version] > 1
            and self._versions.is_settled(service, entry.version, now)
        ]
        return lasting if 2 * len(lasting) >= len(usable) else upstreams

    def record_begun(
        self,
        service: PoolId,
        key: StreamKey,
        version: SoftwareVersion,
        left: float,
        now: float,
    ) -> StreamOrigin:
        """Record that this host passes on a stream of a version.

        :param left: seconds for which the caller may resume it.
        """
        origin = StreamOrigin(key, version, min(left, MAX_KEPT_SECONDS))
        self._own.setdefault(service, OriginTable()).add(origin, now)
        self._remember_for(origin.left)
        return origin

    def merge(self, origins: Iterable[StreamOrigin], now: float) -> None:
        """Keep origins that a peer or the store tells."""
        for origin in origins:
            self._kept.add(origin, now)
            self._remember_for(min(origin.left, MAX_KEPT_SECONDS))

    def merge_versions(
        self, ages: Mapping[PoolId, Mapping[SoftwareVersion, float]], now: float
    ) -> None:
        """Merge the versions that a peer has seen, as ages in seconds."""
        self._versions.merge(ages, now)

    def describe_versions(
        self, now: float
    ) -> dict[PoolId, dict[SoftwareVersion, float]]:
        """Return the ages of the versions of each service that has several."""
        return self._versions.describe_several(now)

    def describe_all_versions(
        self, now: float
    ) -> dict[PoolId, dict[SoftwareVersion, float]]:
        """Return the ages of the versions of each service, several or a single one.

        Services with several come first.
        """
        described = self._versions.describe(now)
        return dict(sorted(described.items(), key=lambda item: -len(item[1])))

    def is_listed(self, service: PoolId) -> bool:
        """Return whether any upstream of a service is listed."""
        listed = self._directory.listed.values()
        return any(record.entry.service == service for record in listed)

    def find(self, key: StreamKey, now: float) -> StreamOrigin | None:
        """Return a stream's origin, if this host knows it."""
        found = (table.find(key, now) for table in self._own.values())
        own = next((origin for origin in found if origin is not None), None)
        return own or self._kept.find(key, now)

    def list_own(self, now: float) -> list[StreamOrigin]:
        """Return the streams that this host passed on of services of several versions.

        The oldest of each service come first.
        """
        return [
            origin
            for service, table in self._own.items()
            if self._versions.has_several(service, now)
            for origin in table.list_all(now)
        ]

    def list_all(self, now: float) -> list[StreamOrigin]:
        """Return the streams of services of several versions that this host knows."""
        return [*self._kept.list_all(now), *self.list_own(now)]

    def tick(self, removed: Iterable[RegisteredUpstream], now: float) -> None:
        """Record the listed versions, and remove expired state.

        :param removed: upstreams that were listed until now.
        """
        listed = (record.entry for record in self._directory.listed.values())
        self._remember_for(self._find_longest_timeout())
        self._versions.record((*listed, *removed), now)
        self._versions.remove_expired(now)
        for table in self._own.values():
            table.remove_expired(now)
        self._kept.remove_expired(now)

    def _find_longest_timeout(self) -> float:
        config = self._directory.config
        routes = () if config is None else config.routes
        timeouts = (route.timeout for route in routes if route.resumable)
        return min(MAX_KEPT_SECONDS, max(timeouts, default=0.0))

    def _remember_for(self, seconds: float) -> None:
        versions = self._versions
        versions.remembered = max(versions.remembered, seconds)
