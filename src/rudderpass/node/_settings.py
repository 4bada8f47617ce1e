"""Settings of one node, validated at start."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field
from pathlib import Path

from rudderpass.errors import SettingsError
from rudderpass.peers import FixedKeys, KeySource, PeerKeyFile, PeerKeys
from rudderpass.webserver import ServerLimits

MIN_THREADS = 32


@dataclass(frozen=True)
class NodeSettings:
    """Settings of a node.

    :param listen: ``ip:port`` for callers.
    :param admin: ``ip:port`` for liveness, readiness, metrics and status.
    :param peer: ``ip:port`` for other nodes; also the node's id.
    :param zone: the availability zone of this host.
    :param log_service: ``ip:port`` of the platform's log service.
    :param host_list: ``ip:port`` of the platform's host list.
    :param stop_seconds: how long a planned stop waits at most for requests in flight.
    :param snapshot_seconds: maximum age of the newest snapshot in the log.

    .. versionadded:: 0.1
    """

    listen: str
    admin: str
    peer: str
    zone: str
    log_service: str
    host_list: str
    keys: KeySource
    limits: ServerLimits = field(default_factory=ServerLimits)
    upstream_timeout: float = 60.0
    stop_seconds: float = 600.0
    snapshot_seconds: float = 3600.0

    def check(self) -> None:
        """Validate every setting.

        :raises SettingsError: naming the first invalid setting.
        """
        for name in ("listen", "admin", "peer", "log_service", "host_list"):
            check_address(name, getattr(self, name))
        if not self.zone:
            raise _invalid("zone", "must not be empty")
        if self.limits.threads < MIN_THREADS:
            raise _invalid("threads", f"must be at least {MIN_THREADS}")
        for name in ("upstream_timeout", "stop_seconds", "snapshot_seconds"):
            if getattr(self, name) <= 0:
                raise _invalid(name, "must be greater than 0")


def _invalid(name: str, reason: str) -> SettingsError:
    flag = "--" + name.replace("_", "-")
    return SettingsError(f"setting {flag} {reason}", step="settings")


def check_address(name: str, value: str) -> None:
    """Validate an ``ip:port`` setting.

    :raises SettingsError: naming the setting, if it is invalid.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise _invalid(name, f"is {value!r}, not ip:port") from None
    if not port.isdigit() or int(port) > 65535:
        raise _invalid(name, f"is {value!r}, which has no valid port")


def read_keys(secret: str | None, file: Path | None) -> KeySource:
    """Return the peer keys from a value or a file; exactly one must be given.

    :raises SettingsError: if neither or both are given, or the keys are invalid.
    """
    if (secret is None) == (file is None):
        raise _invalid("peer_secret", "or --peer-secret-file must be given, not both")
    if file is None:
        assert secret is not None
        parts = tuple(part.encode() for part in secret.split(",") if part)
        return FixedKeys(PeerKeys(parts))
    try:
        return PeerKeyFile(file)
    except OSError as error:
        raise _invalid(
            "peer_secret_file", f"cannot be read: {error.strerror}"
        ) from error
