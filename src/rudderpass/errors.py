"""The exception hierarchy.

Every exception carries what is shown to a user (message, hint, exit code), and the step
and the peer at which it arose, if there is one.
"""

from __future__ import annotations

from enum import Enum
from typing import ClassVar


class RudderpassError(Exception):
    """Base of all errors raised on purpose.

    :param message: one sentence for the user.
    :param hint: what the user can do about it.
    :param step: the step that failed, for example ``"append"``.
    :param peer: the remote side, for example an upstream's address.

    .. versionadded:: 0.1
    """

    exit_code: ClassVar[int] = 1

    def __init__(
        self,
        message: str,
        *,
        hint: str | None = None,
        step: str | None = None,
        peer: str | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint
        self.step = step
        self.peer = peer

    def show(self) -> str:
        """Return the error as one line for a terminal or a log."""
        where = " ".join(
            part
            for part in (
                f"step={self.step}" if self.step else "",
                f"peer={self.peer}" if self.peer else "",
            )
            if part
        )
        line = self.message
        if where:
            line = f"{line} [{where}]"
        if self.hint:
            line = f"{line} ({self.hint})"
        return line


class SettingsError(RudderpassError):
    """A flag or environment variable is missing or wrong."""

    exit_code = 2


class DeclarationError(RudderpassError):
    """Declarations are invalid or were refused."""


class PlatformError(RudderpassError):
    """A service of the platform did not respond, or responded with an error."""


class UnusableReason(Enum):
    """Why a record cannot be used."""

    UNREADABLE = "not readable"
    FIELD = "a field is missing or wrong"
    KEY = "the key is no id"


class UnusableRecord(PlatformError):
    """A record that the platform's store holds cannot be used.

    :param reason: what is wrong with it.
    """

    def __init__(self, reason: UnusableReason, message: str, *, step: str) -> None:
        super().__init__(message, step=step)
        self.reason = reason


class ConnectionLost(PlatformError):
    """A reused connection failed before a response arrived.

    The service may still be available on a new connection.
    """


class PeerError(RudderpassError):
    """Another node could not be reached, or refused or sent an invalid message."""


class UpstreamError(RudderpassError):
    """An upstream failed.

    :param sent: whether any byte of the request may have left this host.
    :param refused: whether the upstream itself reported that it did not run it.
    :param retry_after: seconds that the upstream asked to wait before further requests;
        None if it sent no valid value.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        message: str,
        *,
        sent: bool,
        refused: bool = False,
        retry_after: float | None = None,
        step: str | None = None,
        peer: str | None = None,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.sent = sent
        self.refused = refused
        self.retry_after = retry_after


class UpstreamReplaced(UpstreamError):
    """The address now belongs to another upstream than the intended one."""


class ConnectionCut(UpstreamError):
    """A connection broke before the response was complete; its upstream may be down."""


class StaleConnection(ConnectionCut):
    """A kept-alive connection had been closed by the time it was reused."""


class ConnectionRefused(UpstreamError):
    """No process listens on the upstream's port: its machine refuses connections."""


class UpstreamUnreachable(UpstreamError):
    """No connection could be established, and none was refused: it may be silent."""


class CallerGone(RudderpassError):
    """The caller closed its connection."""


class GuaranteeViolated(RudderpassError):
    """A check of the demo or of a replay found that a guarantee was violated."""

    exit_code = 3
