"""Commands that list and lift quarantines at hosts."""

from __future__ import annotations

import json

import click

from rudderpass.cli._base import json_option, print_json, request_host
from rudderpass.host._admin import LIFT_PATH, QUARANTINE_PATH

_STEP = "quarantine"


@click.group()
def quarantine() -> None:
    """List and lift quarantines of requests and prompt parts that crash upstreams."""


@quarantine.command("list")
@click.argument("host", metavar="IP:PORT")
@json_option
def list_quarantined(host: str, as_json: bool) -> None:
    """List what is quarantined by the host with this metrics address."""
    items = json.loads(request_host(host, "GET", QUARANTINE_PATH, _STEP))
    if as_json:
        print_json(items)
        return
    for item in items:
        part = f" part {item['part']}" if item.get("part") else ""
        click.echo(
            f"{item['fingerprint']}{part} team {item['team'] or 'none'},"
            f" {item['seconds_left']:.0f} s left, crashed"
            f" {' '.join(item['upstreams'])}"
        )
    click.echo(f"{len(items)} requests or prompt parts are quarantined")


@quarantine.command()
@click.argument("host", metavar="IP:PORT")
@click.argument("fingerprint")
def lift(host: str, fingerprint: str) -> None:
    """Lift a quarantine; the given host notifies all others."""
    query = f"{LIFT_PATH}?fingerprint={fingerprint}"
    click.echo(request_host(host, "POST", query, _STEP).strip())
