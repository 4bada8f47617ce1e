"""The trace format: one JSON object per line. See docs/TRACES.md."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter, ValidationError

from rudderpass.declarations._base import Spec
from rudderpass.errors import RudderpassError


class TraceError(RudderpassError):
    """A trace cannot be read."""

    exit_code = 2


class Arrival(Spec):
    """One request of a trace.

    :param at: seconds from the start of the trace.
    :param entry: the node that receives the request, as a position from 0 to 1 among
        the live nodes; None lets the replay choose one.
    """

    type: Literal["arrival"] = "arrival"
    at: Annotated[float, Field(ge=0)]
    id: str
    service_class: str
    team: str
    model: str | None = None
    path: str = "/v1/chat/completions"
    labels: dict[str, str] = {}
    prompt_tokens: Annotated[int, Field(ge=0)] = 0
    output_tokens: Annotated[int, Field(ge=0)] = 0
    prefix: str = ""
    stream: bool = True
    repeatable: bool = True
    key: str | None = None
    entry: Annotated[float, Field(ge=0, lt=1)] | None = None


class Fault(Spec):
    """One fault of a trace, active until ``until``.

    :param target: the affected upstream, node (by number) or zone.
    :param factor: the slowdown for ``engine-slow``; the lag in seconds for
        ``reports-lag``.
    """

    type: Literal["fault"] = "fault"
    at: Annotated[float, Field(ge=0)]
    until: Annotated[float, Field(ge=0)]
    kind: Literal[
        "engine-slow",
        "engine-crash",
        "node-crash",
        "node-pause",
        "zone-cut",
        "reports-lag",
        "log-down",
    ]
    target: str = ""
    factor: Annotated[float, Field(gt=0)] = 1.0


TraceLine = Arrival | Fault

_LINE: TypeAdapter[TraceLine] = TypeAdapter(
    Annotated[Arrival | Fault, Field(discriminator="type")]
)


def read_trace(path: Path) -> tuple[TraceLine, ...]:
    """Read a trace, sorted by time.

    :raises TraceError: with the file and line of the first error.
    """
    lines: list[TraceLine] = []
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise TraceError(f"{path}: {error}", step="read trace") from error
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        try:
            lines.append(_LINE.validate_json(line))
        except ValidationError as error:
            detail = error.errors()[0]
            field = ".".join(str(step) for step in detail["loc"])
            message = f"{path}:{number}: {field}: {detail['msg']}"
            raise TraceError(message, step="read trace") from error
    if not any(isinstance(line, Arrival) for line in lines):
        raise TraceError(f"{path}: contains no arrivals", step="read trace")
    return tuple(sorted(lines, key=lambda item: item.at))


def write_trace(path: Path, lines: Iterable[TraceLine]) -> None:
    """Write a trace, without the fields that have their default values."""
    text = "".join(dump_line(line) + "\n" for line in lines)
    path.write_text(text, encoding="utf-8")


def dump_line(line: TraceLine) -> str:
    """Return one line of a trace as JSON."""
    copy = line.model_copy()
    values = copy.model_dump_json(by_alias=True, exclude_defaults=True)
    return values.replace("{", f'{{"type":"{line.type}",', 1)
