"""``rudderpass logs`` over one or many processes' lines."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from rudderpass.cli import main


def run(*arguments: str, text: str | None = None) -> Result:
    return CliRunner().invoke(main, ["logs", *arguments], input=text)


def line(at: float, part: str, request: str, **fields: object) -> str:
    value = {
        "timestamp": at,
        "message_type": part,
        "text": f"{part}: {request}.",
        "request": request,
        **fields,
    }
    return json.dumps(value) + "\n"


def answer(at: float, request: str, ending: str, status: int, cause: str) -> str:
    return line(at, "answer", request, ending=ending, status=status, cause=cause)


ONE = (
    line(2.0, "route", "r-1")
    + answer(3.0, "r-1", "served", 200, "")
    + line(4.0, "route", "r-2")
    + answer(5.0, "r-2", "unknown", 502, "cut [step=read peer=10.0.0.1:1]")
)
OTHER = (
    line(1.0, "route", "r-3")
    + line(4.5, "attempt", "r-2")
    + line(4.6, "route", "r-4")
    + answer(6.0, "r-4", "unknown", 502, "cut [step=read peer=10.0.0.2:1]")
)


@pytest.fixture
def files(tmp_path: Path) -> list[str]:
    for name, text in (("host-1.log", ONE), ("host-2.log", OTHER)):
        (tmp_path / name).write_text(text)
    return [str(tmp_path / "host-1.log"), str(tmp_path / "host-2.log")]


def test_a_requests_story_is_told_over_all_hosts_in_times_order(
    files: list[str],
) -> None:
    told = run("--request", "r-2", *files).output.splitlines()
    assert [row.split()[1] for row in told] == ["host-1", "host-2", "host-1"]
    assert ["route", "attempt", "answer"] == [
        row.split()[2].rstrip(":") for row in told
    ]


def test_failures_are_counted_by_cause_whatever_the_peer(files: list[str]) -> None:
    told = run("--failed", *files).output.splitlines()
    assert told == [
        "    2 unknown 502 cut",
        "      r-2 r-4",
        "    1 cut 0 no answer was logged: the host lost its power or was killed",
        "      r-3",
        "3 requests ended badly, for 2 causes",
    ]


def test_words_before_a_lines_object_name_the_process() -> None:
    text = "what happened\n  12.5 host-7 " + answer(5.0, "r-2", "refused", 503, "full")
    assert "host-7 answer: r-2." in run(text=text).output
    assert "    1 refused 503 full" in run("--failed", text=text).output


def test_what_is_no_line_is_shown_and_not_counted() -> None:
    assert run(text="oops {not json\n").output == "? oops {not json\n"
    assert run("--failed", text="oops {\n").output.startswith("0 requests")


def test_a_request_and_all_failures_exclude_each_other() -> None:
    result = run("--failed", "--request", "r-1", text="")
    assert result.exit_code == 2
    assert "exclude each other" in result.output
