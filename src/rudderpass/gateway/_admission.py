"""The gateway's interface to a node: request a slot, release it."""

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
class PendingRequest:
    """A submitted request that waits for the node's decision.

    :param admitted: the class, route and pool matched; None if it was rejected.
    :param future: completes with the decision.
    """

    request_id: RequestId
    admitted: Admitted | None = None
    future: Future[Decision] = field(default_factory=Future)


class Admission(Protocol):
    """Admission of requests by the node."""

    @property
    def catalog(self) -> Catalog:
        """The catalog of the configuration in force."""

    def submit(self, submission: Submission) -> PendingRequest:
        """Request a slot."""

    def finish(self, request_id: RequestId, usage: Usage) -> None:
        """Release all that a request holds and record its usage."""

    def record_progress(self, request_id: RequestId, tokens: int) -> None:
        """Report the tokens that a running request has produced so far."""

    def shed_lowest(self, reason: str) -> None:
        """Shed the newest waiting request of the lowest tier."""
