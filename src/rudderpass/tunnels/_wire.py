"""The tunnel protocol: a fixed-size request, a status, then the connection's bytes.

Bytes to the upstream pass unchanged. Bytes from it are framed, so that the end of its
connection can be told from the end of the relaying host: a body without a length would
otherwise look complete when the relay dies.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from enum import Enum

_MAGIC = b"RPT1"
_OPEN = struct.Struct("!4s4sHH")
OPEN_BYTES = _OPEN.size

FRAME_HEADER = struct.Struct("!H")
"""The length of a frame's data; 0 ends the upstream's side of the connection."""

MAX_FRAME_BYTES = 2**16 - 1
_MS = 1000.0
_MAX_TIMEOUT_MS = 10_000


class TunnelStatus(Enum):
    """A relaying host's reply to a request for a tunnel."""

    OPEN = 0
    REFUSED = 1
    UNREACHABLE = 2
    BUSY = 3
    NOT_ALLOWED = 4
    STOPPING = 5


@dataclass(frozen=True)
class OpenRequest:
    """A request to connect to an upstream.

    :param target: ``ip:port`` of the upstream, IPv4.
    :param timeout: seconds that connecting may take.
    """

    target: str
    timeout: float


def encode_open(request: OpenRequest) -> bytes:
    """Return the encoded request.

    :raises ValueError: when the target is no IPv4 address and port.
    """
    host, _, port = request.target.rpartition(":")
    milliseconds = min(_MAX_TIMEOUT_MS, max(1, int(request.timeout * _MS)))
    try:
        return _OPEN.pack(_MAGIC, socket.inet_aton(host), int(port), milliseconds)
    except (OSError, struct.error) as error:
        raise ValueError(f"{request.target} is no IPv4 address and port") from error


def decode_open(data: bytes) -> OpenRequest:
    """Return a decoded request.

    :raises ValueError: when it is not valid.
    """
    if len(data) != OPEN_BYTES:
        raise ValueError(f"a request has {OPEN_BYTES} bytes, not {len(data)}")
    magic, host, port, milliseconds = _OPEN.unpack(data)
    if magic != _MAGIC:
        raise ValueError(f"a request begins with {_MAGIC!r}, not {magic!r}")
    if port == 0 or milliseconds > _MAX_TIMEOUT_MS:
        raise ValueError(f"port {port} or timeout {milliseconds} ms out of range")
    return OpenRequest(f"{socket.inet_ntoa(host)}:{port}", milliseconds / _MS)
