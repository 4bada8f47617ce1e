"""Reads the platform's settings file into a host's settings."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from rudderpass._ids import AvailabilityZone, Region
from rudderpass.directory import ENTRY_LIFETIME_SECONDS
from rudderpass.duties import LeasePolicy
from rudderpass.errors import SettingsError
from rudderpass.exchange import BudgetRule
from rudderpass.host import ColdLimit, DutySettings, HostSettings

SETTINGS_VARIABLE = "RUDDERPASS_SETTINGS"
"""The environment variable that holds the path of the settings file."""

METRICS_PORT = 9464
"""The metrics port, as in ``deploy/system.toml``."""

_PEER_PORT_OFFSET = 0
_TUNNEL_PORT_OFFSET = 1
"""The ports that hosts use among themselves, from the first of the internal range."""
_USAGE_DUTY = "usage_report"
_SCALE_DUTY = "autoscale"
_MS = 1000.0
_HEARTBEATS_PER_ENTRY = 3
"""Heartbeats of an upstream that may be missing before its entry is removed."""


def read_settings_file(path: Path) -> HostSettings:
    """Return the settings in the file at ``path``.

    :raises SettingsError: naming the field that is missing or wrong.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"settings file {path} cannot be read: {error}", step="settings"
        ) from error
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(
            f"settings file {path} is not TOML: {error}", step="settings"
        ) from error
    return _read_settings(_Table(table, str(path)))


class _Table:
    """A TOML table that checks the types of its fields when they are read.

    :param location: names the table in error messages.
    """

    def __init__(self, values: dict[str, Any], location: str) -> None:
        self._values = values
        self._location = location

    def has(self, name: str) -> bool:
        return name in self._values

    def table(self, name: str) -> _Table:
        return _Table(self._get(name, dict), f"{self._location}: {name}")

    def text(self, name: str) -> str:
        value: str = self._get(name, str)
        return value

    def number(self, name: str) -> float:
        return float(self._get(name, (int, float)))

    def flag(self, name: str) -> bool:
        """Return a boolean field; false if it is missing."""
        value = self._values.get(name, False)
        if not isinstance(value, bool):
            raise self._make_error(name, f"has the wrong type, {type(value).__name__}")
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        values: list[Any] = self._get(name, list)
        if not all(isinstance(value, str) for value in values):
            raise self._make_error(name, "is not a list of strings")
        return tuple(values)

    def text_table(self, name: str) -> dict[str, str]:
        """Return a table of strings; empty if it is missing."""
        values: dict[str, Any] = self._get(name, dict) if self.has(name) else {}
        for key, value in values.items():
            if not isinstance(value, str):
                raise self._make_error(f"{name}.{key}", "is not a string")
        return values

    def numbers(self, name: str) -> tuple[int, ...]:
        values: list[Any] = self._get(name, list)
        if not values or not all(isinstance(value, int) for value in values):
            raise self._make_error(name, "is not a list of integers")
        return tuple(values)

    def _get(self, name: str, expected_type: type | tuple[type, ...]) -> Any:
        if name not in self._values:
            raise self._make_error(name, "is missing")
        value = self._values[name]
        if not isinstance(value, expected_type) or isinstance(value, bool):
            raise self._make_error(name, f"has the wrong type, {type(value).__name__}")
        return value

    def _make_error(self, name: str, problem: str) -> SettingsError:
        return SettingsError(f"{self._location}: {name} {problem}", step="settings")


def _read_link_mbps(table: _Table) -> int:
    """Return the bandwidth of the host's link in Mbit/s; 0 if it is not set."""
    if not table.has("limits"):
        return 0
    limits = table.table("limits")
    return int(limits.number("linkMbps")) if limits.has("linkMbps") else 0


def _read_max_descriptors(table: _Table) -> int | None:
    """Return the limit of the process's descriptors; None if it is not set."""
    if not table.has("limits"):
        return None
    limits = table.table("limits")
    value = int(limits.number("maxFds")) if limits.has("maxFds") else 0
    return value if value > 0 else None


def _read_duties(table: _Table, bounds: _Table) -> DutySettings | None:
    """Return the settings of the duties that the file lists; None if it lists none."""
    if not table.has("cloud"):
        return None
    cloud = table.table("cloud")
    if not cloud.has("duties"):
        return None
    duties = cloud.texts("duties")
    reports_usage = _USAGE_DUTY in duties
    orders_upstreams = _SCALE_DUTY in duties
    if not (reports_usage or orders_upstreams):
        return None
    defaults = DutySettings("", False, False, LeasePolicy(0.0, 0.0, False))
    return DutySettings(
        platform=cloud.text("address"),
        reports_usage=reports_usage,
        orders_upstreams=orders_upstreams,
        lease_policy=LeasePolicy(
            lease=bounds.number("leaseMs") / _MS,
            thaw_slack=bounds.number("thawSlackMs") / _MS,
            is_fenced=bounds.flag("fencingRequired"),
        ),
        window=bounds.number("reportWindowS") if reports_usage else defaults.window,
        report_delay=(
            bounds.number("usageLateS") if reports_usage else defaults.report_delay
        ),
    )


def _read_cold_limit(bounds: _Table) -> ColdLimit:
    """Return the bound on requests to cold upstreams."""
    defaults = ColdLimit()
    return ColdLimit(
        bounds.number("coldOverage") if bounds.has("coldOverage") else defaults.overage,
        bounds.number("coldSlack") if bounds.has("coldSlack") else defaults.slack,
    )


def _read_entry_lifetime(table: _Table) -> float:
    """Return after how many seconds an entry that is not renewed is removed."""
    if not table.has("heartbeatMs"):
        return ENTRY_LIFETIME_SECONDS
    return _HEARTBEATS_PER_ENTRY * table.number("heartbeatMs") / _MS


def _read_tunnel_address(ip: str, ports: tuple[int, ...]) -> str | None:
    """Return the address for tunnels; None if the range holds only one port."""
    port = ports[0] + _TUNNEL_PORT_OFFSET
    return f"{ip}:{port}" if port <= ports[-1] else None


def _read_settings(table: _Table) -> HostSettings:
    listen = table.table("listen")
    bounds = table.table("bounds")
    ip = table.text("ip")
    ports = table.numbers("internalPortRange")
    peer_port = ports[0] + _PEER_PORT_OFFSET
    return HostSettings(
        name=table.text("node"),
        zone=AvailabilityZone(table.text("zone")),
        listen=listen.text("front"),
        ready=listen.text("ready"),
        peer=f"{ip}:{peer_port}",
        metrics=f"{ip}:{METRICS_PORT}",
        store=table.table("platform").text("address"),
        link_mbps=_read_link_mbps(table),
        seeds=tuple(
            f"{seed.rpartition(':')[0]}:{peer_port}" for seed in table.texts("seeds")
        ),
        is_first_start=table.flag("bootstrap"),
        stop_grace=bounds.number("graceS"),
        drain_bound=bounds.number("drainMs") / _MS,
        reread_window=bounds.number("retryAfterS"),
        retries=BudgetRule(
            ratio=bounds.number("retryBudgetRatio"),
            slack=bounds.number("retrySlack"),
            window=bounds.number("retryWindowS"),
        ),
        duties=_read_duties(table, bounds),
        entry_lifetime=_read_entry_lifetime(table),
        region=Region(table.text("region")) if table.has("region") else None,
        zones={
            AvailabilityZone(zone): Region(region)
            for zone, region in table.text_table("zones").items()
        },
        cold_limit=_read_cold_limit(bounds),
        tunnel=_read_tunnel_address(ip, ports),
        max_descriptors=_read_max_descriptors(table),
    )
