"""Services of the node that request handlers use."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rudderpass._ids import ClassName
from rudderpass.claims import Claimer
from rudderpass.gateway._admission import Admission
from rudderpass.gateway._disconnect import DisconnectWatcher
from rudderpass.observe import NodeMetrics
from rudderpass.streams import Relay, RetryBudget


@dataclass
class Services:
    """Dependencies of a request handler.

    :param upstream_timeout: seconds without data after which an exchange fails.
    :param claimer: claims idempotency keys.
    :param is_full: returns whether the server is running out of threads.
    """

    admission: Admission
    relay: Relay
    disconnects: DisconnectWatcher
    metrics: NodeMetrics
    budgets: dict[ClassName, RetryBudget]
    upstream_timeout: float
    claimer: Claimer
    is_full: Callable[[], bool] = lambda: False
