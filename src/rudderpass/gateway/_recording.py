"""Record what one request's answer was like."""

from __future__ import annotations

import time

from rudderpass._ids import ClassName
from rudderpass.declarations import Targets
from rudderpass.gateway._request import CallerRequest
from rudderpass.gateway._services import Services
from rudderpass.observe import Latency
from rudderpass.streams import Outcome


class AnswerRecorder:
    """Keeps one request's times and counts its answer once.

    :param arrived: when the request came, on the monotonic clock.

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
        self._worst_gap = 0.0

    def note_first_token(self, moment: float) -> None:
        """Note when the first token passed; later ones change nothing."""
        if self._first_token is None:
            self._first_token = moment - self._arrived

    def note_gap(self, seconds: float) -> None:
        """Note the longest gap between two tokens of one attempt."""
        self._worst_gap = max(self._worst_gap, seconds)

    def record(self, outcome: Outcome, produced: int) -> None:
        """Count an answer that no target applies to, and the work lost with it."""
        if self.service_class is None:
            return
        metrics = self._services.metrics
        metrics.record_response(self.service_class, outcome, None)
        if outcome is not Outcome.COMPLETED and produced:
            metrics.record_tokens(self.service_class, 0, produced)

    def record_completed(self, tokens: int) -> None:
        """Count a whole answer, its latencies, and whether it met its targets."""
        name = self.service_class
        if name is None:
            return
        metrics = self._services.metrics
        whole = time.monotonic() - self._arrived
        metrics.record_latency(Latency.WHOLE_ANSWER, name, whole)
        if self._first_token is not None:
            metrics.record_latency(Latency.FIRST_TOKEN, name, self._first_token)
            metrics.record_latency(Latency.BETWEEN_TOKENS, name, self._worst_gap)
        metrics.record_tokens(name, tokens, 0)
        spec = self._services.admission.catalog.classes.get(name)
        attained = None
        if spec is not None:
            attained = self._has_attained(spec.targets, whole, tokens)
        metrics.record_response(name, Outcome.COMPLETED, attained)

    def _has_attained(self, targets: Targets, whole: float, tokens: int) -> bool:
        first_token = whole if self._first_token is None else self._first_token
        if targets.first_token_seconds is not None and self._request.stream:
            if first_token > targets.first_token_seconds:
                return False
        if targets.between_tokens_seconds is not None and tokens > 1:
            mean_gap = (whole - first_token) / (tokens - 1)
            if mean_gap > targets.between_tokens_seconds:
                return False
        if targets.whole_answer_seconds is not None:
            return whole <= targets.whole_answer_seconds
        return True
