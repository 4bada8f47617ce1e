"""Commands over the requests that hosts have quarantined."""

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
    """See and lift the quarantine of requests that crashed upstreams."""


@quarantine.command("list")
@click.argument("host", metavar="IP:PORT")
@json_option
def list_quarantined(host: str, as_json: bool) -> None:
    """List what the host with this metrics address has quarantined."""
    listed = json.loads(_call(host, "GET", QUARANTINE_PATH))
    if as_json:
        print_json(listed)
        return
    for item in listed:
        click.echo(
            f"{item['fingerprint']} team {item['team'] or 'none'},"
            f" {item['seconds_left']:.0f} s left, crashed"
            f" {' '.join(item['upstreams'])}"
        )
    click.echo(f"{len(listed)} requests are quarantined")


@quarantine.command()
@click.argument("host", metavar="IP:PORT")
@click.argument("fingerprint")
def lift(host: str, fingerprint: str) -> None:
    """Release a request at all hosts; this one tells the others."""
    query = f"{LIFT_PATH}?fingerprint={fingerprint}"
    click.echo(_call(host, "POST", query).strip())


def _call(host: str, method: str, path: str) -> str:
    """Return a host's answer.

    :raises PeerError: when it does not answer, or answers that it cannot.
    """
    try:
        connection = http.client.HTTPConnection(host, timeout=_TIMEOUT_SECONDS)
        connection.request(method, path)
        reply = connection.getresponse()
        text = reply.read().decode()
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise PeerError(f"no answer: {error}", step="quarantine", peer=host) from error
    if reply.status != http.client.OK:
        raise PeerError(text.strip(), step="quarantine", peer=host)
    return text
