"""The demo's client: sends one request and records what the checks need."""

from __future__ import annotations

import http.client
import json
import time
from dataclasses import dataclass, field

from rudderpass.demo._deployment import demo_token
from rudderpass.gateway import (
    CLASS_HEADER,
    KEY_HEADER,
    LABELS_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)
from rudderpass.replay import Arrival
from rudderpass.standins import booking_number, mark_prompt, plan_answer
from rudderpass.streams import Outcome

_TIMEOUT_SECONDS = 120.0
_PREFIX_REPEATS = 24
_DATA_PREFIX = "data: "
_DONE_EVENT = "[DONE]"


@dataclass
class Answer:
    """The answer to one request.

    :param first_token: seconds from sending the request to the first token.
    :param duration: seconds from sending the request to the end of its answer.
    :param text: the answer's text, or the booking number.
    :param expected: the correct text.
    :param gaps: seconds between consecutive tokens.
    """

    arrival: Arrival
    node: int
    sent_at: float
    status: int = 0
    request_id: str = ""
    outcome: Outcome | None = None
    reason: str = ""
    text: str = ""
    expected: str = ""
    booking: str = ""
    tokens: int = 0
    first_token: float = 0.0
    duration: float = 0.0
    gaps: list[float] = field(default_factory=list)
    error: str = ""

    @property
    def completed(self) -> bool:
        """Whether the reported outcome is that the request completed."""
        return self.outcome is Outcome.COMPLETED


def send(arrival: Arrival, node: int, address: str) -> Answer:
    """Send one request and read the complete answer."""
    answer = Answer(arrival, node, time.monotonic())
    body = _build_body(arrival)
    _set_expected(answer, arrival, body)
    connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_SECONDS)
    try:
        connection.request("POST", arrival.path, body, _build_headers(arrival))
        response = connection.getresponse()
        answer.status = response.status
        answer.request_id = response.getheader(REQUEST_ID_HEADER, "")
        _read(answer, response)
    except (OSError, http.client.HTTPException, ValueError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        answer.duration = time.monotonic() - answer.sent_at
        connection.close()
    return answer


def _build_prompt(arrival: Arrival) -> str:
    text = f"{arrival.prefix} " * _PREFIX_REPEATS + "x" * arrival.prompt_tokens
    return mark_prompt(text, arrival.id, arrival.output_tokens)


def _build_body(arrival: Arrival) -> bytes:
    if arrival.model is None:
        return json.dumps({"id": arrival.id, "item": "moving head"}).encode()
    messages = [{"role": "user", "content": _build_prompt(arrival)}]
    value = {"model": arrival.model, "messages": messages, "stream": arrival.stream}
    return json.dumps(value).encode()


def _set_expected(answer: Answer, arrival: Arrival, body: bytes) -> None:
    if arrival.model is None:
        answer.booking = answer.expected = booking_number(body)
        return
    answer.expected = plan_answer(_build_prompt(arrival)).text()


def _build_headers(arrival: Arrival) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {demo_token(arrival.team)}",
        "Content-Type": "application/json",
        CLASS_HEADER: arrival.service_class,
    }
    if arrival.labels:
        pairs = (f"{name}={value}" for name, value in arrival.labels.items())
        headers[LABELS_HEADER] = ",".join(pairs)
    if arrival.key is not None:
        headers[KEY_HEADER] = arrival.key
    return headers


def _read(answer: Answer, response: http.client.HTTPResponse) -> None:
    content_type = response.getheader("Content-Type", "")
    if content_type.startswith("text/event-stream"):
        _read_stream(answer, response)
        return
    body = response.read()
    answer.outcome = Outcome(response.getheader(OUTCOME_HEADER, "unknown"))
    value = json.loads(body)
    if "error" in value:
        answer.reason = str(value["error"].get("message", ""))
    elif "booking" in value:
        answer.text = str(value["booking"])
    else:
        answer.text = str(value["choices"][0]["message"]["content"])
        answer.tokens = int(value["usage"]["completion_tokens"])


def _read_stream(answer: Answer, response: http.client.HTTPResponse) -> None:
    contents: list[str] = []
    last = 0.0
    saw_done = False
    for raw in response:
        line = raw.decode().rstrip("\n")
        if line.startswith(": outcome="):
            outcome = line.removeprefix(": outcome=").split(" ")[0]
            answer.outcome = Outcome(outcome)
        if not line.startswith(_DATA_PREFIX):
            continue
        payload = line.removeprefix(_DATA_PREFIX)
        if payload == _DONE_EVENT:
            saw_done = True
            continue
        now = time.monotonic()
        value = json.loads(payload)
        if "error" in value:
            answer.reason = str(value["error"].get("message", ""))
            continue
        contents.append(str(value["choices"][0]["delta"]["content"]))
        if answer.tokens == 0:
            answer.first_token = now - answer.sent_at
        else:
            answer.gaps.append(now - last)
        answer.tokens += 1
        last = now
    answer.text = "".join(contents)
    if not saw_done and not answer.reason:
        answer.error = "stream ended without a [DONE] event"
