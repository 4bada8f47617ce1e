"""Shared secrets that authenticate messages between nodes.

Every batch is signed with HMAC-SHA256. A node signs with the first secret and
accepts any of them, so a secret is rotated by adding the new one after the old
on all nodes, then moving it to the front, then removing the old one.
"""

from __future__ import annotations

import hashlib
import hmac
from pathlib import Path

from rudderpass.errors import SettingsError

MIN_SECRET_LENGTH = 16
MAC_BYTES = 16


class PeerKeys:
    """Signs with the first secret and verifies against all of them.

    :param secrets: the secrets; the first one signs.

    .. versionadded:: 0.1
    """

    def __init__(self, secrets: tuple[bytes, ...]) -> None:
        if not secrets:
            raise SettingsError("no peer secret is given", step="settings")
        if any(len(secret) < MIN_SECRET_LENGTH for secret in secrets):
            text = f"a peer secret needs at least {MIN_SECRET_LENGTH} bytes"
            raise SettingsError(text, step="settings")
        self._secrets = secrets

    def sign(self, payload: bytes) -> bytes:
        """Return the MAC of ``payload``."""
        return _mac(self._secrets[0], payload)

    def verify(self, payload: bytes, mac: bytes) -> bool:
        """Return whether ``mac`` was made with one of the secrets."""
        return any(
            hmac.compare_digest(_mac(secret, payload), mac) for secret in self._secrets
        )


def _mac(secret: bytes, payload: bytes) -> bytes:
    """Return HMAC-SHA256 truncated to 128 bits (RFC 2104, section 5)."""
    return hmac.digest(secret, payload, hashlib.sha256)[:MAC_BYTES]


class PeerKeyFile:
    """Secrets in a file, one per line, read again when the file changes.

    .. versionadded:: 0.1
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._file_version: tuple[int, int] | None = None
        self._keys = self._read()

    def current(self) -> PeerKeys:
        """Return the keys in the file; the last valid ones if reading it fails."""
        try:
            stat = self._path.stat()
            if (stat.st_mtime_ns, stat.st_size) != self._file_version:
                self._keys = self._read()
        except (OSError, SettingsError):
            pass
        return self._keys

    def _read(self) -> PeerKeys:
        stat = self._path.stat()
        lines = self._path.read_bytes().splitlines()
        keys = PeerKeys(tuple(line.strip() for line in lines if line.strip()))
        self._file_version = (stat.st_mtime_ns, stat.st_size)
        return keys


class FixedKeys:
    """Secrets from a setting, constant for the life of the process.

    .. versionadded:: 0.1
    """

    def __init__(self, keys: PeerKeys) -> None:
        self._keys = keys

    def current(self) -> PeerKeys:
        """Return the keys."""
        return self._keys


KeySource = PeerKeyFile | FixedKeys
