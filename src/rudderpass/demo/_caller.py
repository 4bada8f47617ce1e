"""A caller of the demo: sends one request and keeps all it needs to check it."""

from __future__ import annotations

import http.client
import json
import time
from dataclasses import dataclass, field

from rudderpass.demo._deployment import token_of
from rudderpass.gateway import (
    CLASS_HEADER,
    KEY_HEADER,
    LABELS_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)
from rudderpass.replay import Arrival
from rudderpass.standins import booking_of, mark_prompt, plan_answer
from rudderpass.streams import Outcome

_TIMEOUT = 120.0
_PREFIX_REPEATS = 24
_DATA = "data: "
_DONE = "[DONE]"


@dataclass
class Answer:
    """What one request got. Times are seconds from its sending.

    :param text: the answer's text, or the booking's number.
    :param expected: what the text must be.
    :param gaps: seconds between one token and the next.
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
    whole: float = 0.0
    gaps: list[float] = field(default_factory=list)
    error: str = ""

    @property
    def completed(self) -> bool:
        """Whether the caller was told that its request completed."""
        return self.outcome is Outcome.COMPLETED


def send(arrival: Arrival, node: int, address: str) -> Answer:
    """Send one request and read its answer to the end."""
    answer = Answer(arrival, node, time.monotonic())
    body = _body_of(arrival)
    _expect(answer, arrival, body)
    connection = http.client.HTTPConnection(address, timeout=_TIMEOUT)
    try:
        connection.request("POST", arrival.path, body, _headers_of(arrival))
        response = connection.getresponse()
        answer.status = response.status
        answer.request_id = response.getheader(REQUEST_ID_HEADER, "")
        _read(answer, response)
    except (OSError, http.client.HTTPException, ValueError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        answer.whole = time.monotonic() - answer.sent_at
        connection.close()
    return answer


def _prompt_of(arrival: Arrival) -> str:
    text = f"{arrival.prefix} " * _PREFIX_REPEATS + "x" * arrival.prompt_tokens
    return mark_prompt(text, arrival.id, arrival.output_tokens)


def _body_of(arrival: Arrival) -> bytes:
    if arrival.model is None:
        return json.dumps({"id": arrival.id, "item": "moving head"}).encode()
    messages = [{"role": "user", "content": _prompt_of(arrival)}]
    value = {"model": arrival.model, "messages": messages, "stream": arrival.stream}
    return json.dumps(value).encode()


def _expect(answer: Answer, arrival: Arrival, body: bytes) -> None:
    if arrival.model is None:
        answer.booking = answer.expected = booking_of(body)
        return
    answer.expected = plan_answer(_prompt_of(arrival)).text()


def _headers_of(arrival: Arrival) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {token_of(arrival.team)}",
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
    pieces: list[str] = []
    last = 0.0
    saw_done = False
    for raw in response:
        line = raw.decode().rstrip("\n")
        if line.startswith(": outcome="):
            word = line.removeprefix(": outcome=").split(" ")[0]
            answer.outcome = Outcome(word)
        if not line.startswith(_DATA):
            continue
        payload = line.removeprefix(_DATA)
        if payload == _DONE:
            saw_done = True
            continue
        now = time.monotonic()
        value = json.loads(payload)
        if "error" in value:
            answer.reason = str(value["error"].get("message", ""))
            continue
        pieces.append(str(value["choices"][0]["delta"]["content"]))
        if answer.tokens == 0:
            answer.first_token = now - answer.sent_at
        else:
            answer.gaps.append(now - last)
        answer.tokens += 1
        last = now
    answer.text = "".join(pieces)
    if not saw_done and not answer.reason:
        answer.error = "the stream ended without its end marker"
