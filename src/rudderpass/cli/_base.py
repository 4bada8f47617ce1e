"""Error handling, JSON output and options that the commands share."""

from __future__ import annotations

import http.client
import json
import logging
from collections.abc import Callable
from typing import Any, TypeVar

import click

from rudderpass.errors import PeerError, RudderpassError

_F = TypeVar("_F", bound=Callable[..., Any])
_HOST_TIMEOUT_SECONDS = 3.0


class CommandGroup(click.Group):
    """A group whose commands may raise :class:`RudderpassError`."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run a command and print its error, if any, in one line."""
        try:
            return super().invoke(ctx)
        except RudderpassError as error:
            click.echo(f"Error: {error.show()}", err=True)
            ctx.exit(error.exit_code)


def silence_library_logs() -> None:
    """Keep the log lines of the HTTP library off the terminal."""
    logging.getLogger("waitress").setLevel(logging.CRITICAL)


def print_json(value: object) -> None:
    """Print a value as JSON, for scripts."""
    click.echo(json.dumps(value, default=str))


def request_host(host: str, method: str, path: str, step: str) -> str:
    """Send a request to a host's metrics address and return the response body.

    :raises PeerError: when the host does not answer, or answers with an error.
    """
    try:
        connection = http.client.HTTPConnection(host, timeout=_HOST_TIMEOUT_SECONDS)
        connection.request(method, path)
        response = connection.getresponse()
        text = response.read().decode()
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise PeerError(f"no answer: {error}", step=step, peer=host) from error
    if response.status != http.client.OK:
        raise PeerError(text.strip(), step=step, peer=host)
    return text


def json_option(command: _F) -> _F:
    """Add ``--json``."""
    return click.option(
        "--json", "as_json", is_flag=True, help="Print JSON for a script."
    )(command)


def log_service_option(command: _F) -> _F:
    """Add ``--log-service``."""
    return click.option(
        "--log-service",
        envvar="RUDDERPASS_LOG_SERVICE",
        show_envvar=True,
        required=True,
        metavar="IP:PORT",
        help="The platform's log service.",
    )(command)


def admin_option(command: _F) -> _F:
    """Add the repeatable option ``--admin``."""
    return click.option(
        "--admin",
        "admins",
        envvar="RUDDERPASS_ADMINS",
        show_envvar=True,
        multiple=True,
        metavar="IP:PORT",
        help="A node's admin address; may be given several times.",
    )(command)
