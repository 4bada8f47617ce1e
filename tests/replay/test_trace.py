"""The trace format."""

from __future__ import annotations

from pathlib import Path

import pytest

from rudderpass.replay import Arrival, Fault, TraceError, read_trace, write_trace

ARRIVAL = '{"type":"arrival","at":1,"id":"a","serviceClass":"x","team":"t"}'


def test_written_traces_are_read_back_unchanged(tmp_path: Path) -> None:
    lines = (
        Arrival(at=0.5, id="a", service_class="x", team="t", labels={"k": "v"}),
        Fault(at=1, until=2, kind="engine-slow", target="e1", factor=3),
    )
    write_trace(tmp_path / "t.jsonl", lines)
    assert read_trace(tmp_path / "t.jsonl") == lines


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (ARRIVAL + "\nnot json", ":2:"),
        (ARRIVAL + "\n" + ARRIVAL.replace("team", "crew"), ":2:"),
        (ARRIVAL.replace('"at":1', '"at":-1'), "at"),
        (ARRIVAL.replace("arrival", "departure"), ":1:"),
        ("", "no arrivals"),
    ],
)
def test_errors_name_the_line_or_field(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "t.jsonl"
    path.write_text(text)
    with pytest.raises(TraceError, match=message):
        read_trace(path)
