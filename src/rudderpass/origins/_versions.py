"""The software versions that a service has had recently."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rudderpass._ids import PoolId, SoftwareVersion
from rudderpass.directory import RegisteredUpstream

MIN_REMEMBERED_SECONDS = 10.0
"""How long a version counts at least after its last upstream has gone."""

MAX_VERSIONS = 16
"""Maximum number of versions remembered of a service; the oldest is evicted first."""


class ServiceVersions:
    """When each software version of a service was last seen.

    A version counts as long as callers may resume streams that it began.

    :ivar remembered: for how long a version that is gone counts, seconds.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._seen: dict[PoolId, dict[SoftwareVersion, float]] = {}
        self.remembered = MIN_REMEMBERED_SECONDS

    def record(self, entries: Iterable[RegisteredUpstream], now: float) -> None:
        """Record upstreams that are listed, or were until now."""
        for entry in entries:
            self._record(entry.service, entry.version, now)

    def merge(
        self, ages: Mapping[PoolId, Mapping[SoftwareVersion, float]], now: float
    ) -> None:
        """Merge what a peer has seen, as ages in seconds."""
        for service, versions in ages.items():
            for version, age in versions.items():
                self._record(service, version, now - max(0.0, age))

    def has_several(self, service: PoolId, now: float) -> bool:
        """Return whether streams of a service may have begun at several versions."""
        return len(self._current(service, now)) > 1

    def describe_several(
        self, now: float
    ) -> dict[PoolId, dict[SoftwareVersion, float]]:
        """Return the ages of the versions, for services that have several."""
        return {
            service: {
                version: now - at for version, at in self._current(service, now).items()
            }
            for service in self._seen
            if self.has_several(service, now)
        }

    def remove_expired(self, now: float) -> None:
        """Remove versions that count no longer."""
        self._seen = {service: self._current(service, now) for service in self._seen}

    def _current(self, service: PoolId, now: float) -> dict[SoftwareVersion, float]:
        earliest = now - self.remembered
        seen = self._seen.get(service, {})
        return {version: at for version, at in seen.items() if at >= earliest}

    def _record(self, service: PoolId, version: SoftwareVersion, at: float) -> None:
        seen = self._seen.setdefault(service, {})
        seen[version] = max(at, seen.get(version, at))
        if len(seen) > MAX_VERSIONS:
            del seen[min(seen, key=lambda name: seen[name])]
