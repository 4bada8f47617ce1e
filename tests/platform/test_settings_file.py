"""The settings file is read, or rejected with the field and the reason."""

from __future__ import annotations

from pathlib import Path

import pytest

from rudderpass.errors import SettingsError
from rudderpass.host import ColdLimit
from rudderpass.platform import read_settings_file

GOOD = """
node = "edge-1"
bootstrap = true
ip = "10.1.0.40"
zone = "hall-a"
internalPortRange = [7340, 7355]
seeds = ["10.1.0.41:8229", "10.2.0.29:8229"]
somethingNew = { a = 1 }
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
drainMs = 2000
graceS = 8
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 54
retryAfterS = 9.6
[platform]
address = "10.200.1.7:8223"
"""


def write(folder: Path, text: str) -> Path:
    path = folder / "settings.toml"
    path.write_text(text)
    return path


def test_the_fields_are_read_and_unknown_ones_ignored(tmp_path: Path) -> None:
    settings = read_settings_file(write(tmp_path, GOOD))
    assert settings.listen == "10.1.0.40:8227"
    assert settings.ready == "10.1.0.40:8220"
    assert settings.peer == "10.1.0.40:7340"
    assert settings.seeds == ("10.1.0.41:7340", "10.2.0.29:7340")
    assert settings.link_mbps == 0
    assert settings.store == "10.200.1.7:8223"
    assert settings.stop_grace == 8.0
    assert settings.is_first_start
    assert settings.reread_window == 9.6
    assert settings.retries.slack == 54.0


@pytest.mark.parametrize(("line", "seconds"), [("", 3.6), ("heartbeatMs = 2000", 6.0)])
def test_the_lifetime_of_entries_follows_the_upstreams_heartbeat(
    tmp_path: Path, line: str, seconds: float
) -> None:
    settings = read_settings_file(write(tmp_path, f"{line}\n{GOOD}"))
    assert settings.entry_lifetime == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("old", "new", "field", "reason"),
    [
        ('node = "edge-1"', "", "node", "is missing"),
        ('zone = "hall-a"', "zone = 3", "zone", "wrong type, int"),
        ("graceS = 8", "graceS = true", "graceS", "wrong type, bool"),
        ("[7340, 7355]", "[]", "internalPortRange", "list of integers"),
        ("bootstrap = true", "bootstrap = 1", "bootstrap", "wrong type, int"),
        ('seeds = ["10.1.0.41:8229"', "seeds = [4", "seeds", "list of strings"),
        ("bootstrap = true", 'heartbeatMs = "1"', "heartbeatMs", "wrong type, str"),
        ("[platform]", "[other]", "platform", "is missing"),
        ("[bounds]", "[bounds", "TOML", "TOML"),
    ],
)
def test_an_invalid_field_is_reported(
    tmp_path: Path, old: str, new: str, field: str, reason: str
) -> None:
    path = write(tmp_path, GOOD.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        read_settings_file(path)
    assert field in caught.value.show()
    assert reason in caught.value.show()
    assert caught.value.exit_code == 2


def test_a_missing_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as caught:
        read_settings_file(tmp_path / "none.toml")
    assert "none.toml" in caught.value.show()


def test_a_start_is_not_the_first_by_default(tmp_path: Path) -> None:
    text = GOOD.replace("bootstrap = true\n", "")
    assert not read_settings_file(write(tmp_path, text)).is_first_start


DUTIES = """
[cloud]
address = "10.200.0.113:8424"
duties = ["usage_report", "autoscale", "somethingNew"]
"""
DUTY_BOUNDS = """
fencingRequired = true
leaseMs = 3000
thawSlackMs = 300
reportWindowS = 5
usageLateS = 10
"""


def with_duties(text: str = DUTIES) -> str:
    return GOOD.replace("[platform]", DUTY_BOUNDS + "[platform]") + text


def test_without_known_duties_there_are_no_duty_settings(tmp_path: Path) -> None:
    assert read_settings_file(write(tmp_path, GOOD)).duties is None
    other = with_duties('[cloud]\naddress = "10.0.0.1:1"\nduties = ["other"]\n')
    assert read_settings_file(write(tmp_path, other)).duties is None


def test_the_duty_settings_are_read(tmp_path: Path) -> None:
    duties = read_settings_file(write(tmp_path, with_duties())).duties
    assert duties is not None
    assert duties.platform == "10.200.0.113:8424"
    assert duties.reports_usage and duties.orders_upstreams
    assert duties.lease_policy.is_fenced
    assert (duties.lease_policy.lease, duties.lease_policy.thaw_slack) == (3.0, 0.3)
    assert (duties.window, duties.report_delay) == (5.0, 10.0)


def test_only_listed_duties_are_enabled(tmp_path: Path) -> None:
    text = with_duties(DUTIES.replace('"usage_report", ', ""))
    text = text.replace("reportWindowS = 5\nusageLateS = 10\n", "")
    duties = read_settings_file(write(tmp_path, text)).duties
    assert duties is not None
    assert duties.orders_upstreams and not duties.reports_usage


@pytest.mark.parametrize(
    ("old", "field"),
    [("leaseMs = 3000", "leaseMs"), ("reportWindowS = 5", "reportWindowS")],
)
def test_a_missing_bound_that_a_duty_needs_is_reported(
    tmp_path: Path, old: str, field: str
) -> None:
    path = write(tmp_path, with_duties().replace(old, ""))
    with pytest.raises(SettingsError, match=field):
        read_settings_file(path)


def test_regions_and_the_bound_on_cold_upstreams_are_read(tmp_path: Path) -> None:
    text = f'region = "north"\n{GOOD}'.replace(
        "[bounds]\n", "[bounds]\ncoldOverage = 1.5\ncoldSlack = 5\n"
    )
    zones = '[zones]\nhall-a = "north"\nhall-b = "south"\n'
    settings = read_settings_file(write(tmp_path, text + zones))
    assert settings.region == "north"
    assert settings.zones == {"hall-a": "north", "hall-b": "south"}
    assert settings.cold_limit == ColdLimit(1.5, 5.0)


def test_regions_may_be_missing(tmp_path: Path) -> None:
    settings = read_settings_file(write(tmp_path, GOOD))
    assert settings.region is None
    assert not settings.zones
    assert settings.cold_limit == ColdLimit(1.0, 0.0)


def test_a_zone_whose_region_is_no_text_is_reported(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="zones.hall-a is not a string"):
        read_settings_file(write(tmp_path, f"{GOOD}[zones]\nhall-a = 3\n"))


@pytest.mark.parametrize(("last", "tunnel"), [("7355", True), ("7340", False)])
def test_tunnels_use_the_second_internal_port_if_there_is_one(
    tmp_path: Path, last: str, tunnel: bool
) -> None:
    text = GOOD.replace("[7340, 7355]", f"[7340, {last}]")
    settings = read_settings_file(write(tmp_path, text))
    ip = settings.peer.rpartition(":")[0]
    assert settings.peer == f"{ip}:7340"
    assert settings.tunnel == (f"{ip}:7341" if tunnel else None)
