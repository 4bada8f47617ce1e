"""What serving a request needs of its node."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rudderpass._ids import ClassName
from rudderpass.claims import Claimer
from rudderpass.gateway._admission import Admission
from rudderpass.gateway._disconnect import CallerWatch
from rudderpass.observe import NodeMetrics
from rudderpass.streams import Relay, RetryBudget


@dataclass
class Services:
    """What serving needs, passed explicitly.

    :param upstream_timeout: seconds of silence after which an exchange failed.
    :param claimer: claims work that a key names.
    :param is_full: tells whether the server runs short of threads.
    """

    admission: Admission
    relay: Relay
    watch: CallerWatch
    metrics: NodeMetrics
    budgets: dict[ClassName, RetryBudget]
    upstream_timeout: float
    claimer: Claimer
    is_full: Callable[[], bool] = lambda: False
