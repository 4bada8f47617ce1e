"""Commands that run and inspect nodes: node, status."""

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
    silence_library_logs,
)
from rudderpass.errors import PeerError, SettingsError
from rudderpass.node import Node, NodeSettings, read_keys
from rudderpass.observe import LogFile
from rudderpass.webserver import ServerLimits

_STATUS_TIMEOUT_SECONDS = 3.0
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
    help="Address on which callers reach the node.",
)
@click.option(
    "--admin",
    envvar="RUDDERPASS_ADMIN",
    show_envvar=True,
    default="127.0.0.1:8081",
    show_default=True,
    metavar="IP:PORT",
    help="Address for liveness, readiness, metrics and status.",
)
@click.option(
    "--peer",
    envvar="RUDDERPASS_PEER",
    show_envvar=True,
    required=True,
    metavar="IP:PORT",
    help="Address on which other nodes reach the node; also its id.",
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
    help="The platform's host list.",
)
@click.option(
    "--peer-secret",
    envvar="RUDDERPASS_PEER_SECRET",
    show_envvar=True,
    help="The deployment's secrets, comma-separated, newest first.",
)
@click.option(
    "--peer-secret-file",
    envvar="RUDDERPASS_PEER_SECRET_FILE",
    show_envvar=True,
    type=_FILE,
    help="A file with one secret per line, reloaded when it changes.",
)
@click.option(
    "--threads",
    envvar="RUDDERPASS_THREADS",
    show_envvar=True,
    type=int,
    default=384,
    show_default=True,
    help="Maximum number of waiting and running requests, plus headroom.",
)
@click.option(
    "--max-body-bytes",
    envvar="RUDDERPASS_MAX_BODY_BYTES",
    show_envvar=True,
    type=click.IntRange(min=1024),
    default=8 * 1024 * 1024,
    show_default=True,
    help="Maximum size of a request body.",
)
@click.option(
    "--upstream-timeout",
    envvar="RUDDERPASS_UPSTREAM_TIMEOUT",
    show_envvar=True,
    type=float,
    default=60.0,
    show_default=True,
    metavar="SECONDS",
    help="Time without data after which an exchange with an upstream fails.",
)
@click.option(
    "--stop-seconds",
    envvar="RUDDERPASS_STOP_SECONDS",
    show_envvar=True,
    type=float,
    default=600.0,
    show_default=True,
    metavar="SECONDS",
    help="Maximum time that a graceful stop waits for requests in flight.",
)
@click.option(
    "--snapshot-seconds",
    envvar="RUDDERPASS_SNAPSHOT_SECONDS",
    show_envvar=True,
    type=float,
    default=3600.0,
    show_default=True,
    metavar="SECONDS",
    help="Maximum age of the newest snapshot; well below the log's retention.",
)
@click.option(
    "--log-file",
    envvar="RUDDERPASS_LOG_FILE",
    show_envvar=True,
    type=_FILE,
    help="Write structured logs to this file instead of standard error.",
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
    """Run one node until it is stopped.

    SIGTERM or SIGINT starts a graceful stop, which drains the requests in flight; a
    second signal ends it at once and reports how many requests it cut off.
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
    silence_library_logs()
    destination = LogFile(log_file)
    destination.open()
    try:
        running = Node(settings)
    except OSError as error:
        raise SettingsError(f"cannot listen: {error}", step="start") from error
    _run_until_stopped(running)
    destination.close()


def _run_until_stopped(running: Node) -> None:
    stop_requested = threading.Event()

    def on_signal(number: int, frame: FrameType | None) -> None:
        if stop_requested.is_set():
            cut = running.abort_drain()
            click.echo(f"stopping now, {cut} requests are cut off", err=True)
        stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    running.start()
    click.echo(f"listening on {running.address}", err=True)
    while not stop_requested.wait(_POLL_SECONDS):
        pass
    stopper = threading.Thread(target=running.stop, name="stop")
    stopper.start()
    while stopper.is_alive():
        stopper.join(_POLL_SECONDS)


def fetch_status(admin: str) -> dict[str, Any]:
    """Fetch the status of one node.

    :raises PeerError: when the node does not answer.
    """
    connection = http.client.HTTPConnection(admin, timeout=_STATUS_TIMEOUT_SECONDS)
    try:
        connection.request("GET", "/status")
        value: dict[str, Any] = json.loads(connection.getresponse().read())
        return value
    except (OSError, http.client.HTTPException, ValueError) as error:
        text = f"the node did not answer: {error}"
        raise PeerError(text, step="status", peer=admin) from error
    finally:
        connection.close()


def wait_for_version(admins: Sequence[str], version: int, seconds: float) -> None:
    """Wait until ``version`` or a later one is in force on every node.

    :raises PeerError: with the nodes on which it is not in force in time.
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
        return bool(fetch_status(admin)["config_version"] >= version)
    except PeerError:
        return False


@click.command()
@admin_option
@json_option
def status(admins: tuple[str, ...], as_json: bool) -> None:
    """Show the status of the nodes at the given admin addresses."""
    if not admins:
        raise SettingsError("--admin must be given", step="status")
    rows = [fetch_status(admin) for admin in admins]
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
