"""The command line, invoked in the test process."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from rudderpass.cli import main
from rudderpass.standins import StandInLog

EXAMPLES = Path(__file__).parents[2] / "examples"
NOURLIGHT = str(EXAMPLES / "nourlight")
NODE = ["node", "--peer", "127.0.0.1:1", "--zone", "a", "--peer-secret", "s" * 20]
PLATFORM = ["--log-service", "127.0.0.1:1", "--host-list", "127.0.0.1:1"]


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, arguments)


@pytest.fixture
def log() -> Iterator[StandInLog]:
    service = StandInLog()
    service.start()
    yield service
    service.close()


def test_check_accepts_the_examples() -> None:
    result = run("check", NOURLIGHT)
    assert result.exit_code == 0 and "objects are valid" in result.output


def test_check_reports_each_error_with_its_place(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text("kind: Team\nname: x\nspec:\n  clases: []\n")
    result = run("check", str(tmp_path))
    assert result.exit_code == 1
    assert "a.yaml:4: Team/x clases" in result.output
    value = json.loads(run("check", str(tmp_path), "--json").stdout)
    assert {"file", "line", "object", "field", "message", "hint"} <= set(
        value["findings"][0]
    )


def test_apply_diff_get_history(log: StandInLog) -> None:
    service = ("--log-service", log.address)
    before = run("diff", NOURLIGHT, *service)
    assert "+ ServiceClass/show-call" in before.output
    applied = run("apply", NOURLIGHT, *service, "--author", "ada")
    assert applied.exit_code == 0 and "version 1 accepted" in applied.output
    again = run("apply", NOURLIGHT, *service)
    assert "nothing to change" in again.output
    assert run("diff", NOURLIGHT, *service).output.startswith("0 changes")
    got = json.loads(run("get", "Team", "touring", *service, "--json").output)
    assert got[0]["author"] == "ada" and got[0]["version"] == 1
    shown = run("get", "ServiceClass", *service).output
    assert "kind: ServiceClass" in shown and "name: drafting" in shown
    history = run("history", *service).output
    assert "version 1 accepted, by ada" in history


def test_the_output_of_get_can_be_loaded_again(log: StandInLog, tmp_path: Path) -> None:
    service = ("--log-service", log.address)
    run("apply", NOURLIGHT, *service)
    (tmp_path / "all.yaml").write_text(run("get", *service).output)
    assert run("diff", str(tmp_path), *service).output.startswith("0 changes")


@pytest.mark.parametrize(
    ("arguments", "named"),
    [
        ([*NODE, *PLATFORM, "--listen", "localhost:1"], "--listen"),
        ([*NODE, *PLATFORM, "--listen", "127.0.0.1:99999"], "--listen"),
        ([*NODE, *PLATFORM, "--zone", ""], "--zone"),
        ([*NODE, *PLATFORM, "--threads", "1"], "--threads"),
        ([*NODE, *PLATFORM, "--stop-seconds", "0"], "--stop-seconds"),
        ([*NODE, *PLATFORM, "--peer-secret", "short"], "secret"),
        ([*NODE, *PLATFORM, "--peer-secret-file", "x"], "--peer-secret"),
        ([*NODE, "--log-service", "x:1", "--host-list", "x"], "--log-service"),
        (["status"], "--admin"),
        (["replay", __file__, "--declarations", NOURLIGHT], "test_cli.py:1"),
    ],
)
def test_an_invalid_setting_is_reported_by_name_in_one_line(
    arguments: list[str], named: str
) -> None:
    result = run(*arguments)
    assert result.exit_code == 2
    assert named in result.stderr
    assert len(result.stderr.strip().splitlines()) == 1


def test_settings_come_from_the_environment() -> None:
    environment = {"RUDDERPASS_PEER": "nowhere", "RUDDERPASS_ZONE": "a"}
    arguments = ["node", *PLATFORM, "--peer-secret", "s" * 20]
    result = CliRunner().invoke(main, arguments, env=environment)
    assert result.exit_code == 2 and "--peer is 'nowhere'" in result.stderr


def test_an_unreachable_platform_is_reported_with_its_address() -> None:
    result = run("get", "--log-service", "127.0.0.1:1")
    assert result.exit_code == 1 and "peer=127.0.0.1:1" in result.stderr


def test_replay_and_make_trace(tmp_path: Path) -> None:
    made = run(
        "make-trace", "steady-day", "--declarations", NOURLIGHT, "--scale", "0.05"
    )
    (tmp_path / "t.jsonl").write_text(made.output)
    result = run(
        "replay", str(tmp_path / "t.jsonl"), "--declarations", NOURLIGHT, "--json"
    )
    value = json.loads(result.output)
    assert value["policy"] == "owners" and value["unanswered"] == 0


def test_logs_are_rendered_readably(tmp_path: Path) -> None:
    lines = [
        {"timestamp": 0, "text": "route: r-1 to e1.", "request": "r-1", "pool": "p"},
        {"timestamp": 0, "text": "route: r-2 to e2.", "request": "r-2"},
    ]
    path = tmp_path / "log"
    path.write_text("".join(json.dumps(line) + "\n" for line in lines) + "oops\n")
    output = run("logs", str(path), "--request", "r-1").output
    assert "route: r-1 to e1." in output and "pool=p" in output
    assert "r-2" not in output and "? oops" in output
