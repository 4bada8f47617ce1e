"""Commands over running nodes: node, status."""

from __future__ import annotations

import http.client
import json
import signal
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from types import FrameType
from typing import Any

import click

from rudderpass.cli._base import (
    admin_option,
    json_option,
    log_service_option,
    print_json,
    quiet_libraries,
)
from rudderpass.errors import PeerError, SettingsError
from rudderpass.node import Node, NodeSettings, read_keys
from rudderpass.observe import LogFile
from rudderpass.webserver import ServerLimits

_STATUS_TIMEOUT = 3.0
_POLL_SECONDS = 0.1
_FILE = click.Path(dir_okay=False, path_type=Path)


@click.command()
@click.option(
    "--listen",
    envvar="RUDDERPASS_LISTEN",
    show_envvar=True,
    default="127.0.0.1:8080",
    show_default=True,
    metavar="IP:PORT",
    help="Where callers reach the node.",
)
@click.option(
    "--admin",
    envvar="RUDDERPASS_ADMIN",
    show_envvar=True,
    default="127.0.0.1:8081",
    show_default=True,
    metavar="IP:PORT",
    help="Liveness, readiness, metrics and status.",
)
@click.option(
    "--peer",
    envvar="RUDDERPASS_PEER",
    show_envvar=True,
    required=True,
    metavar="IP:PORT",
    help="Where other nodes reach it; also the node's id.",
)
@click.option(
    "--zone",
    envvar="RUDDERPASS_ZONE",
    show_envvar=True,
    required=True,
    help="The host's availability zone.",
)
@log_service_option
@click.option(
    "--host-list",
    envvar="RUDDERPASS_HOST_LIST",
    show_envvar=True,
    required=True,
    metavar="IP:PORT",
    help="The platform's list of hosts.",
)
@click.option(
    "--peer-secret",
    envvar="RUDDERPASS_PEER_SECRET",
    show_envvar=True,
    help="The deployment's secrets, newest first, with commas between.",
)
@click.option(
    "--peer-secret-file",
    envvar="RUDDERPASS_PEER_SECRET_FILE",
    show_envvar=True,
    type=_FILE,
    help="A file of secrets, one a line, read again when it changes.",
)
@click.option(
    "--threads",
    envvar="RUDDERPASS_THREADS",
    show_envvar=True,
    type=int,
    default=384,
    show_default=True,
    help="Requests that may wait or run at once, plus headroom.",
)
@click.option(
    "--max-body-bytes",
    envvar="RUDDERPASS_MAX_BODY_BYTES",
    show_envvar=True,
    type=click.IntRange(min=1024),
    default=8 * 1024 * 1024,
    show_default=True,
    help="The largest request body.",
)
@click.option(
    "--upstream-timeout",
    envvar="RUDDERPASS_UPSTREAM_TIMEOUT",
    show_envvar=True,
    type=float,
    default=60.0,
    show_default=True,
    metavar="SECONDS",
    help="Silence after which an exchange with an upstream has failed.",
)
@click.option(
    "--stop-seconds",
    envvar="RUDDERPASS_STOP_SECONDS",
    show_envvar=True,
    type=float,
    default=600.0,
    show_default=True,
    metavar="SECONDS",
    help="The longest that a planned stop waits for requests in flight.",
)
@click.option(
    "--snapshot-seconds",
    envvar="RUDDERPASS_SNAPSHOT_SECONDS",
    show_envvar=True,
    type=float,
    default=3600.0,
    show_default=True,
    metavar="SECONDS",
    help="How old the newest snapshot may be; well below the log's retention.",
)
@click.option(
    "--log-file",
    envvar="RUDDERPASS_LOG_FILE",
    show_envvar=True,
    type=_FILE,
    help="Write structured logs there instead of standard error.",
)
def node(
    listen: str,
    admin: str,
    peer: str,
    zone: str,
    log_service: str,
    host_list: str,
    peer_secret: str | None,
    peer_secret_file: Path | None,
    threads: int,
    max_body_bytes: int,
    upstream_timeout: float,
    stop_seconds: float,
    snapshot_seconds: float,
    log_file: Path | None,
) -> None:
    """Run one node until it is told to stop.

    SIGTERM or SIGINT begins a planned stop, which cuts nothing in flight; a second
    one ends it and says what it cuts.
    """
    settings = NodeSettings(
        listen=listen,
        admin=admin,
        peer=peer,
        zone=zone,
        log_service=log_service,
        host_list=host_list,
        keys=read_keys(peer_secret, peer_secret_file),
        limits=ServerLimits(threads=threads, body_bytes=max_body_bytes),
        upstream_timeout=upstream_timeout,
        stop_seconds=stop_seconds,
        snapshot_seconds=snapshot_seconds,
    )
    settings.check()
    quiet_libraries()
    destination = LogFile(log_file)
    destination.open()
    try:
        running = Node(settings)
    except OSError as error:
        raise SettingsError(f"cannot listen: {error}", step="start") from error
    _run_until_stopped(running)
    destination.close()


def _run_until_stopped(running: Node) -> None:
    asked = threading.Event()

    def on_signal(number: int, frame: FrameType | None) -> None:
        if asked.is_set():
            cut = running.abort_drain()
            click.echo(f"stopping now, which cuts {cut} requests", err=True)
        asked.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    running.start()
    click.echo(f"listening on {running.address}", err=True)
    while not asked.wait(_POLL_SECONDS):
        pass
    stopper = threading.Thread(target=running.stop, name="stop")
    stopper.start()
    while stopper.is_alive():
        stopper.join(_POLL_SECONDS)


def read_status(admin: str) -> dict[str, Any]:
    """Return one node's status.

    :raises PeerError: when the node does not answer.
    """
    connection = http.client.HTTPConnection(admin, timeout=_STATUS_TIMEOUT)
    try:
        connection.request("GET", "/status")
        value: dict[str, Any] = json.loads(connection.getresponse().read())
        return value
    except (OSError, http.client.HTTPException, ValueError) as error:
        text = f"the node does not answer: {error}"
        raise PeerError(text, step="status", peer=admin) from error
    finally:
        connection.close()


def wait_in_force(admins: Sequence[str], version: int, seconds: float) -> None:
    """Wait until every node has at least ``version`` in force.

    :raises PeerError: naming the nodes that do not have it in time.
    """
    if not admins:
        raise SettingsError("--wait needs the nodes' --admin addresses", step="wait")
    deadline = time.monotonic() + seconds
    missing = list(admins)
    while missing and time.monotonic() < deadline:
        missing = [admin for admin in missing if not _has_version(admin, version)]
        if missing:
            time.sleep(_POLL_SECONDS)
    if missing:
        names = ", ".join(missing)
        text = f"version {version} is accepted but not yet in force on {names}"
        raise PeerError(text, step="wait")


def _has_version(admin: str, version: int) -> bool:
    try:
        return bool(read_status(admin)["config_version"] >= version)
    except PeerError:
        return False


@click.command()
@admin_option
@json_option
def status(admins: tuple[str, ...], as_json: bool) -> None:
    """Show the nodes at the given admin addresses."""
    if not admins:
        raise SettingsError("--admin must be given", step="status")
    rows = [read_status(admin) for admin in admins]
    if as_json:
        print_json(rows)
        return
    for row in rows:
        word = "ready" if row["ready"] else "not ready"
        click.echo(
            f"{row['node']} in {row['zone']}: {word}, version "
            f"{row['config_version']}, {row['waiting']} waiting, {row['running']} "
            f"running, {len(row['live_nodes'])} live nodes"
        )
        for pool in row["owned"]:
            click.echo(
                f"    owns {pool['pool']}: {pool['waiting']} waiting, "
                f"{pool['running']} running"
            )
        if row["suspects"]:
            click.echo(f"    cannot reach {', '.join(row['suspects'])}")
