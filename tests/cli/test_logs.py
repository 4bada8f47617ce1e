"""``rudderpass logs`` on the lines of one or more processes."""

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


HOST_1_LOG = (
    line(2.0, "route", "r-1")
    + answer(3.0, "r-1", "served", 200, "")
    + line(4.0, "route", "r-2")
    + answer(5.0, "r-2", "unknown", 502, "cut [step=read peer=10.0.0.1:1]")
)
HOST_2_LOG = (
    line(1.0, "route", "r-3")
    + line(4.5, "attempt", "r-2")
    + line(4.6, "route", "r-4")
    + answer(6.0, "r-4", "unknown", 502, "cut [step=read peer=10.0.0.2:1]")
)


@pytest.fixture
def files(tmp_path: Path) -> list[str]:
    for name, text in (("host-1.log", HOST_1_LOG), ("host-2.log", HOST_2_LOG)):
        (tmp_path / name).write_text(text)
    return [str(tmp_path / "host-1.log"), str(tmp_path / "host-2.log")]


def test_the_lines_of_a_request_are_merged_over_hosts_by_time(
    files: list[str],
) -> None:
    printed = run("--request", "r-2", *files).output.splitlines()
    assert [row.split()[1] for row in printed] == ["host-1", "host-2", "host-1"]
    assert ["route", "attempt", "answer"] == [
        row.split()[2].rstrip(":") for row in printed
    ]


def test_failures_are_counted_by_cause_whatever_the_peer(files: list[str]) -> None:
    printed = run("--failed", *files).output.splitlines()
    assert printed == [
        "    2 unknown 502 cut",
        "      r-2 r-4",
        "    1 cut 0 no answer was logged: the host lost its power or was killed",
        "      r-3",
        "3 requests failed, with 2 causes",
    ]


def test_a_prefix_before_the_json_object_names_the_process() -> None:
    text = "what happened\n  12.5 host-7 " + answer(5.0, "r-2", "refused", 503, "full")
    assert "host-7 answer: r-2." in run(text=text).output
    assert "    1 refused 503 full" in run("--failed", text=text).output


def test_an_invalid_line_is_shown_and_not_counted() -> None:
    assert run(text="oops {not json\n").output == "? oops {not json\n"
    assert run("--failed", text="oops {\n").output.startswith("0 requests")


def test_request_and_failed_exclude_each_other() -> None:
    result = run("--failed", "--request", "r-1", text="")
    assert result.exit_code == 2
    assert "exclude each other" in result.output


def route(at: float, request: str, rank: int, upstream: str = "u1") -> str:
    tiers = {"tier": rank, "route_tier": rank % 3, "team_tier": rank // 3}
    size = {"prompt": 100, "output": 20, "under_way": rank, "slots": 2}
    return line(at, "route", request, chosen=upstream, **tiers, **size)


def ended(at: float, request: str, first: float | None, whole: float) -> str:
    return line(at, "answer", request, first_answer=first, whole=whole)


ENGINE = (
    route(10.0, "runs", 3)
    + ended(16.0, "runs", 1.0, 6.0)
    + route(10.5, "elsewhere", 3, "u2")
    + route(10.6, "stands", 4)
    + line(14.0, "pause", "stands", upstream="u1", seconds=2.5)
    + ended(15.0, "stands", 0.1, 4.4)
    + route(10.7, "moved", 0)
    + line(11.0, "attempt", "moved", upstream="u1")
    + route(11.0, "moved", 0, "u2")
    + route(11.2, "waits", 0)
    + ended(15.0, "waits", 3.0, 3.8)
    + route(11.5, "cut", 0)
    + ended(11.9, "served before", 0.1, 1.0)
    + route(11.8, "served before", 0)
    + route(13.0, "comes later", 5)
)


def test_requests_at_an_upstream_are_counted_by_rank() -> None:
    printed = run("--upstream", "u1", "--at", "12.5", text=ENGINE).output.splitlines()
    assert printed == [
        "    1 unknown  rank=0 route_tier=0 team_tier=0 tokens=120",
        "    1 waiting  rank=0 route_tier=0 team_tier=0 tokens=120",
        "    1 running  rank=3 route_tier=0 team_tier=1 tokens=120",
        "    1 paused   rank=4 route_tier=1 team_tier=1 tokens=120",
        "4 requests at u1; last routing estimate: 0 in flight, slots 2",
    ]


@pytest.mark.parametrize(
    ("at", "states"),
    [
        ("10.8", ["unknown", "waiting", "running"]),
        ("13.1", ["unknown", "waiting", "running", "paused", "unknown"]),
        ("14.5", ["running", "unknown", "running", "running", "unknown"]),
    ],
)
def test_request_states_depend_on_the_given_time(at: str, states: list[str]) -> None:
    printed = run("--upstream", "u1", "--at", at, text=ENGINE).output.splitlines()
    assert [row.split()[1] for row in printed[:-1]] == states


def test_an_upstream_that_was_never_chosen_has_no_requests() -> None:
    printed = run("--upstream", "u9", "--at", "12.5", text=ENGINE).output
    assert printed.startswith("0 requests at u9; last routing estimate: None")


@pytest.mark.parametrize(
    "arguments",
    [
        ("--upstream", "u1"),
        ("--at", "3"),
        ("--upstream", "u1", "--at", "3", "--failed"),
        ("--upstream", "u1", "--at", "soon"),
    ],
)
def test_upstream_and_at_require_each_other_and_exclude_other_modes(
    arguments: tuple[str, ...],
) -> None:
    result = run(*arguments, text="")
    assert result.exit_code == 2
    assert "--at" in result.output or "exclude each other" in result.output


def cut(at: float, request: str, upstream: str, fingerprint: str, *parts: str) -> str:
    return line(
        at,
        "attempt",
        request,
        upstream=upstream,
        cut=True,
        fingerprint=fingerprint,
        under_way_for=0.08,
        had_answered=request != "r-bad",
        parts=parts,
    )


def refusal(at: float, upstream: str) -> str:
    return line(at, "attempt", "r-later", upstream=upstream, nobody_listens=True)


def test_crashed_upstreams_are_listed_with_their_requests_in_flight() -> None:
    text = (
        cut(1.0, "r-bad", "u1", "aa")
        + cut(1.0, "r-2", "u1", "bb")
        + refusal(1.1, "u1")
        + cut(2.0, "r-bad", "u2", "aa")
        + refusal(2.5, "u2")
    )
    printed = run("--crashes", text=text).output.splitlines()
    assert printed == [
        "1.000 u1 crashed, 2 sends were cut",
        "      aa r-bad from <stdin> after 0.080 s, silent",
        "      bb r-2 from <stdin> after 0.080 s, answered",
        "2.000 u2 crashed, 1 sends were cut",
        "      aa r-bad from <stdin> after 0.080 s, silent",
        "    2 upstreams crashed under aa",
        "2 upstreams crashed",
    ]


def test_parts_that_were_not_answered_at_several_crashes_are_counted() -> None:
    text = (
        cut(1.0, "r-bad", "u1", "aa", "0a1b", "dead")
        + refusal(1.1, "u1")
        + cut(2.0, "r-bad", "u2", "bb", "0a1b", "dead")
        + refusal(2.5, "u2")
        + cut(3.0, "r-2", "u3", "cc", "0a1b")
        + cut(3.0, "r-bad", "u3", "dd", "dead")
        + refusal(3.5, "u3")
    )
    printed = run("--crashes", text=text).output.splitlines()
    assert printed[-3:] == [
        "    3 upstreams crashed before they answered part dead",
        "    2 upstreams crashed before they answered part 0a1b",
        "3 upstreams crashed",
    ]


@pytest.mark.parametrize(
    "text",
    [
        cut(1.0, "r-1", "u1", "aa"),
        refusal(0.5, "u1") + cut(1.0, "r-1", "u1", "aa"),
        cut(1.0, "r-1", "u1", "aa") + refusal(7.0, "u1"),
        refusal(1.0, "u1"),
    ],
    ids=["nobody was refused", "refused before", "refused much later", "no cut"],
)
def test_a_cut_connection_alone_is_not_a_crash(text: str) -> None:
    assert run("--crashes", text=text).output == "0 upstreams crashed\n"
