"""Records the outcome and latencies of one request."""

from __future__ import annotations

import time

from rudderpass._ids import ClassName
from rudderpass.declarations import Targets
from rudderpass.gateway._request import CallerRequest
from rudderpass.gateway._services import Services
from rudderpass.observe import Latency
from rudderpass.streams import Outcome


class ResponseRecorder:
    """Collects one request's latencies and counts its response once.

    :param arrived: when the request arrived, on the monotonic clock.

    .. versionadded:: 0.1
    """

    def __init__(
        self, services: Services, request: CallerRequest, arrived: float
    ) -> None:
        self.service_class: ClassName | None = None
        self._services = services
        self._request = request
        self._arrived = arrived
        self._first_token: float | None = None
        self._max_gap = 0.0

    def record_first_token(self, at: float) -> None:
        """Record when the first token was relayed; later calls have no effect."""
        if self._first_token is None:
            self._first_token = at - self._arrived

    def record_gap(self, seconds: float) -> None:
        """Record the longest gap between two tokens of one attempt."""
        self._max_gap = max(self._max_gap, seconds)

    def record(self, outcome: Outcome, produced: int) -> None:
        """Count a response to which no target applies, and any wasted tokens."""
        if self.service_class is None:
            return
        metrics = self._services.metrics
        metrics.record_response(self.service_class, outcome, None)
        if outcome is not Outcome.COMPLETED and produced:
            metrics.record_tokens(self.service_class, 0, produced)

    def record_completed(self, tokens: int) -> None:
        """Count a complete response, its latencies, and whether it met its targets."""
        name = self.service_class
        if name is None:
            return
        metrics = self._services.metrics
        duration = time.monotonic() - self._arrived
        metrics.record_latency(Latency.WHOLE_ANSWER, name, duration)
        if self._first_token is not None:
            metrics.record_latency(Latency.FIRST_TOKEN, name, self._first_token)
            metrics.record_latency(Latency.BETWEEN_TOKENS, name, self._max_gap)
        metrics.record_tokens(name, tokens, 0)
        spec = self._services.admission.catalog.classes.get(name)
        attained = None
        if spec is not None:
            attained = self._meets_targets(spec.targets, duration, tokens)
        metrics.record_response(name, Outcome.COMPLETED, attained)

    def _meets_targets(self, targets: Targets, duration: float, tokens: int) -> bool:
        first_token = duration if self._first_token is None else self._first_token
        if targets.first_token_seconds is not None and self._request.stream:
            if first_token > targets.first_token_seconds:
                return False
        if targets.between_tokens_seconds is not None and tokens > 1:
            mean_gap = (duration - first_token) / (tokens - 1)
            if mean_gap > targets.between_tokens_seconds:
                return False
        if targets.whole_answer_seconds is not None:
            return duration <= targets.whole_answer_seconds
        return True
