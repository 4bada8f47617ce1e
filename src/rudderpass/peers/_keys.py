"""The deployment's secrets: who may speak to a node.

Every batch is signed with HMAC-SHA256. A node signs with the first secret and
accepts any of them, so a secret is rotated by adding the new one behind the old
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
    """Signs with the first secret and accepts any.

    :param secrets: the secrets, newest in use first.

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
        """Tell whether one of the secrets made ``mac``."""
        return any(
            hmac.compare_digest(_mac(secret, payload), mac) for secret in self._secrets
        )


def _mac(secret: bytes, payload: bytes) -> bytes:
    """Return HMAC-SHA256 truncated to 128 bits (RFC 2104, section 5)."""
    return hmac.digest(secret, payload, hashlib.sha256)[:MAC_BYTES]


class PeerKeyFile:
    """Secrets in a file, one a line, read again when the file changes.

    .. versionadded:: 0.1
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._stamp: tuple[int, int] | None = None
        self._keys = self._read()

    def current(self) -> PeerKeys:
        """Return the keys now in the file; the last good ones if it is broken."""
        try:
            stat = self._path.stat()
            if (stat.st_mtime_ns, stat.st_size) != self._stamp:
                self._keys = self._read()
        except (OSError, SettingsError):
            pass
        return self._keys

    def _read(self) -> PeerKeys:
        stat = self._path.stat()
        lines = self._path.read_bytes().splitlines()
        keys = PeerKeys(tuple(line.strip() for line in lines if line.strip()))
        self._stamp = (stat.st_mtime_ns, stat.st_size)
        return keys


class FixedKeys:
    """Secrets from a setting, the same as long as the process runs.

    .. versionadded:: 0.1
    """

    def __init__(self, keys: PeerKeys) -> None:
        self._keys = keys

    def current(self) -> PeerKeys:
        """Return the keys."""
        return self._keys


KeySource = PeerKeyFile | FixedKeys
