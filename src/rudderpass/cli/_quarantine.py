"""Commands that list and lift the quarantine of requests at hosts."""

from __future__ import annotations

import http.client
import json

import click

from rudderpass.cli._base import json_option, print_json
from rudderpass.errors import PeerError
from rudderpass.host._admin import LIFT_PATH, QUARANTINE_PATH

_TIMEOUT_SECONDS = 3.0


@click.group()
def quarantine() -> None:
    """List and lift the quarantine of requests that crashed upstreams."""


@quarantine.command("list")
@click.argument("host", metavar="IP:PORT")
@json_option
def list_quarantined(host: str, as_json: bool) -> None:
    """List the requests quarantined by the host with this metrics address."""
    items = json.loads(_request(host, "GET", QUARANTINE_PATH))
    if as_json:
        print_json(items)
        return
    for item in items:
        click.echo(
            f"{item['fingerprint']} team {item['team'] or 'none'},"
            f" {item['seconds_left']:.0f} s left, crashed"
            f" {' '.join(item['upstreams'])}"
        )
    click.echo(f"{len(items)} requests are quarantined")


@quarantine.command()
@click.argument("host", metavar="IP:PORT")
@click.argument("fingerprint")
def lift(host: str, fingerprint: str) -> None:
    """Lift a request's quarantine; the given host notifies all others."""
    query = f"{LIFT_PATH}?fingerprint={fingerprint}"
    click.echo(_request(host, "POST", query).strip())


def _request(host: str, method: str, path: str) -> str:
    """Send a request to a host and return the response body.

    :raises PeerError: when the host does not answer, or answers with an error.
    """
    try:
        connection = http.client.HTTPConnection(host, timeout=_TIMEOUT_SECONDS)
        connection.request(method, path)
        response = connection.getresponse()
        text = response.read().decode()
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise PeerError(f"no answer: {error}", step="quarantine", peer=host) from error
    if response.status != http.client.OK:
        raise PeerError(text.strip(), step="quarantine", peer=host)
    return text
