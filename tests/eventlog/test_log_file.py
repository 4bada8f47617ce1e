"""Log lines are written in the background, complete and in order."""

from __future__ import annotations

import json
from pathlib import Path

from rudderpass.observe import LogFile, log


def test_lines_are_written_in_order(tmp_path: Path) -> None:
    path = tmp_path / "log"
    destination = LogFile(path)
    destination.open()
    for number in range(500):
        log("route", f"decision {number}.", number=number)
    destination.close()
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    own = [line for line in lines if "number" in line]
    assert [line["number"] for line in own] == list(range(500))
    assert own[0]["text"] == "route: decision 0."


def test_a_full_queue_drops_lines_and_never_blocks(tmp_path: Path) -> None:
    destination = LogFile(tmp_path / "log")
    for number in range(25_000):
        destination({"number": number})
    assert destination.dropped == 5_000
