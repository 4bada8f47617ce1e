"""What the gateway needs of a node: ask for a slot, give it back."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Protocol

from rudderpass._ids import RequestId
from rudderpass.core import Admitted, Rejected, Submission
from rudderpass.declarations import Catalog
from rudderpass.pools import Granted, Refused
from rudderpass.routing import Usage

Decision = Granted | Refused | Rejected


@dataclass
class Ticket:
    """A request's place at the node until it is decided.

    :param admitted: what the request was matched to; None when it was rejected.
    :param future: the decision.
    """

    request_id: RequestId
    admitted: Admitted | None = None
    future: Future[Decision] = field(default_factory=Future)


class Admission(Protocol):
    """The node behind the gateway."""

    @property
    def catalog(self) -> Catalog:
        """The declared objects in force."""

    def submit(self, submission: Submission) -> Ticket:
        """Ask for a slot."""

    def finish(self, request_id: RequestId, usage: Usage) -> None:
        """Give back whatever a request holds."""

    def note_progress(self, request_id: RequestId, tokens: int) -> None:
        """Tell how many tokens a running request has brought so far."""

    def shed_lowest(self, reason: str) -> None:
        """Refuse the newest waiting request of the lowest tier."""
