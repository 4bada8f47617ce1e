"""Loading declarations: every error is reported with its file, line and field."""

from __future__ import annotations

from pathlib import Path

import pytest
from returns.result import Failure, Success

from rudderpass.declarations import Finding, load_declarations

GOOD = """\
kind: ServiceClass
name: urgent
spec:
  tier: 1
  targets:
    firstTokenSeconds: 1.1
---
kind: Team
name: crew
spec:
  tokenDigests:
    - {digest}
  classes: [urgent]
""".format(digest="a" * 64)


def load_findings(tmp_path: Path, text: str) -> tuple[Finding, ...]:
    (tmp_path / "a.yaml").write_text(text)
    loaded = load_declarations(tmp_path)
    assert isinstance(loaded, Failure)
    found: tuple[Finding, ...] = loaded.failure()
    return found


def test_valid_files_load(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text(GOOD)
    loaded = load_declarations(tmp_path)
    assert isinstance(loaded, Success)
    assert {str(key) for key in loaded.unwrap().objects} == {
        "ServiceClass/urgent",
        "Team/crew",
    }


@pytest.mark.parametrize(
    ("old", "new", "line", "field", "message"),
    [
        ("tier: 1", "tier: 0", 4, "tier", "greater than or equal to 1"),
        ("tier: 1", "tier: 1\n  teir: 2", 5, "teir", "Extra inputs"),
        ("  tier: 1\n", "", 3, "tier", "Field required"),
        ("firstTokenSeconds: 1.1", "firstTokenSeconds: -1", 6, "", "greater than 0"),
        ("classes: [urgent]", "classes: [fast]", 13, "classes.0", "not declared"),
        ("kind: Team", "kind: Crew", 8, "kind", "is not a kind"),
        ("name: crew", "name: 7", 9, "name", "must be a non-empty string"),
        ("name: crew", "nmae: crew", 9, "nmae", "unknown field"),
        ("a" * 64, "secret", 12, "tokenDigests.0", "64 lower-case hex digits"),
        ("kind: Team\nname: crew", "name: crew\nname: crew", 9, "name", "twice"),
    ],
)
def test_an_error_is_reported_with_line_and_field(
    tmp_path: Path, old: str, new: str, line: int, field: str, message: str
) -> None:
    assert old in GOOD
    found = load_findings(tmp_path, GOOD.replace(old, new))
    assert any(
        item.line == line and field in item.field and message in item.message
        for item in found
    ), [item.show() for item in found]


def test_all_errors_are_reported_at_once(tmp_path: Path) -> None:
    text = GOOD.replace("tier: 1", "tier: 0").replace("a" * 64, "x")
    assert len(load_findings(tmp_path, text)) >= 2


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (GOOD + "---\n" + GOOD, "declared twice"),
        ("kind: [", "is not YAML"),
        ("- 1", "is not a mapping"),
    ],
)
def test_invalid_files_are_errors(tmp_path: Path, text: str, message: str) -> None:
    assert any(message in item.message for item in load_findings(tmp_path, text))


def test_a_file_that_is_not_utf8_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_bytes(b"kind: \xff")
    loaded = load_declarations(tmp_path)
    assert isinstance(loaded, Failure)
    assert "not UTF-8" in loaded.failure()[0].message


def test_an_empty_directory_is_an_error(tmp_path: Path) -> None:
    assert isinstance(load_declarations(tmp_path), Failure)
