"""The error tree.

Every member knows how to show itself to a user (message, hint, exit code), and
carries the step and the peer at which it arose where there is one.
"""

from __future__ import annotations

from enum import Enum
from typing import ClassVar


class RudderpassError(Exception):
    """Base of all errors raised on purpose.

    :param message: one sentence for the user.
    :param hint: what the user can do about it.
    :param step: the step that failed, for example ``"append"``.
    :param peer: the other side, for example an upstream's address.

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
    """A service of the platform did not answer as it should."""


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
    """A connection that had served before brought no answer.

    That says nothing of the service, which may answer on a new connection.
    """


class PeerError(RudderpassError):
    """Another node could not be reached or refused a message."""


class UpstreamError(RudderpassError):
    """An upstream failed.

    :param sent: whether any byte of the request may have left this host.
    :param refused: whether the upstream itself said that it did not run it.
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
    """Another upstream has the address of the one that was meant."""


class ConnectionCut(UpstreamError):
    """A connection ended before the answer did; its upstream may have ended too."""


class StaleConnection(ConnectionCut):
    """A kept connection had been closed by the time it was used again."""


class NobodyListens(UpstreamError):
    """An upstream's machine refuses connections to the upstream's port."""


class CallerGone(RudderpassError):
    """The caller closed its connection."""


class PromiseBroken(RudderpassError):
    """A check of the demo or of a replay found a broken promise."""

    exit_code = 3
