"""Render a structured log readably."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from datetime import datetime, timezone

_HIDDEN = {"timestamp", "task_uuid", "task_level", "message_type", "text"}


def render_lines(lines: Iterable[str], request: str | None = None) -> Iterator[str]:
    """Yield one readable line for each log line.

    :param request: keep only the lines about this request id.
    """
    for line in lines:
        try:
            message = json.loads(line)
        except ValueError:
            yield f"? {line.rstrip()}"
            continue
        if request is not None and not _is_about(message, request):
            continue
        yield _render(message)


def _is_about(message: dict[str, object], request: str) -> bool:
    return str(message.get("request", "")).startswith(request)


def _render(message: dict[str, object]) -> str:
    seconds = message.get("timestamp", 0.0)
    moment = datetime.fromtimestamp(
        float(seconds) if isinstance(seconds, (int, float)) else 0.0, timezone.utc
    )
    clock = moment.strftime("%H:%M:%S.%f")[:-3]
    fields = " ".join(
        f"{name}={_short(value)}"
        for name, value in message.items()
        if name not in _HIDDEN and value not in (None, {}, [])
    )
    return f"{clock} {message.get('text', '')} {fields}".rstrip()


def _short(value: object) -> str:
    if isinstance(value, dict):
        return ",".join(f"{key}({why})" for key, why in value.items())
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)
