"""Command that lists the availability zones that a host knows as evacuated."""

from __future__ import annotations

import json

import click

from rudderpass.cli._base import json_option, print_json, request_host
from rudderpass.host._admin import EVACUATIONS_PATH


@click.group()
def evacuations() -> None:
    """List evacuated availability zones."""


@evacuations.command("list")
@click.argument("host", metavar="IP:PORT")
@json_option
def list_evacuated(host: str, as_json: bool) -> None:
    """List the zones evacuated as the host with this metrics address knows."""
    items = json.loads(request_host(host, "GET", EVACUATIONS_PATH, "evacuations"))
    if as_json:
        print_json(items)
        return
    for item in items:
        click.echo(
            f"{item['zone']} known for {item['seconds_known']:.0f} s,"
            f" {item['running']} requests still running"
        )
    click.echo(f"{len(items)} zones are evacuated")
