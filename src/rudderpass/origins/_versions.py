"""The software versions that a service has had recently."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rudderpass._ids import PoolId, SoftwareVersion
from rudderpass.directory import RegisteredUpstream

MIN_REMEMBERED_SECONDS = 10.0
"""How long a version counts at least after its last upstream has gone."""

SETTLING_SECONDS = 2.0
"""From when a host sees a new version until it begins streams there, if others serve.
A host that has heard neither the store nor a peer for less does not know of it."""

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
        self._appeared: dict[tuple[PoolId, SoftwareVersion], float] = {}
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

    def is_settled(self, service: PoolId, version: SoftwareVersion, now: float) -> bool:
        """Return whether all hosts in touch have heard of a version.

        The first version of a service that a host sees is taken to be an old one.
        """
        appeared = self._appeared.get((service, version))
        return appeared is None or now - appeared >= SETTLING_SECONDS

    def describe_several(
        self, now: float
    ) -> dict[PoolId, dict[SoftwareVersion, float]]:
        """Return the ages of the versions, for services that have several."""
        described = self.describe(now)
        return {service: ages for service, ages in described.items() if len(ages) > 1}

    def describe(self, now: float) -> dict[PoolId, dict[SoftwareVersion, float]]:
        """Return the ages of the versions of each service, several or a single one."""
        current = {service: self._current(service, now) for service in self._seen}
        return {
            service: {version: now - at for version, at in seen.items()}
            for service, seen in current.items()
            if seen
        }

    def remove_expired(self, now: float) -> None:
        """Remove versions that count no longer."""
        self._seen = {service: self._current(service, now) for service in self._seen}
        self._appeared = {
            (service, version): at
            for (service, version), at in self._appeared.items()
            if version in self._seen[service]
        }

    def _current(self, service: PoolId, now: float) -> dict[SoftwareVersion, float]:
        earliest = now - self.remembered
        seen = self._seen.get(service, {})
        return {version: at for version, at in seen.items() if at >= earliest}

    def _record(self, service: PoolId, version: SoftwareVersion, at: float) -> None:
        seen = self._seen.setdefault(service, {})
        if seen and version not in seen:
            self._appeared[service, version] = at
        seen[version] = max(at, seen.get(version, at))
        if len(seen) > MAX_VERSIONS:
            del seen[min(seen, key=lambda name: seen[name])]
