"""The command ``rudderpass host``."""

from __future__ import annotations

import logging
import os
import signal
import socket
import sys
import threading
from dataclasses import replace
from pathlib import Path
from types import FrameType

import click

from rudderpass.directory import Decoders
from rudderpass.errors import RudderpassError, SettingsError
from rudderpass.eventlog import MAX_LINES_PER_SECOND, LogFile, log
from rudderpass.host._duty_access import DutyAccess
from rudderpass.host._host import ExchangeHost, Platform
from rudderpass.host._settings import HostSettings, OrderMode
from rudderpass.platform import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    DUTIES_TOPIC,
    HOSTS_TOPIC,
    SETTINGS_VARIABLE,
    UPSTREAMS_TOPIC,
    CloudApi,
    KeyedStore,
    PlatformDialect,
    decode_config,
    decode_upstream,
    read_cached_parts,
    read_settings_file,
)

SETTINGS_POLL_SECONDS = 1.0
"""How often the settings file is looked at; it may change without a signal."""


def make_platform(settings: HostSettings) -> Platform:
    """Return the adapter's parts for a host."""
    store = KeyedStore(settings.store)
    duties = None
    if settings.duties is not None:
        cloud = CloudApi(settings.duties.platform)
        duties = DutyAccess(store, DUTIES_TOPIC, cloud)
    return Platform(
        store=store,
        dialect=PlatformDialect(),
        decoders=Decoders(decode_config, decode_upstream),
        read_parts=read_cached_parts,
        config_key=CONFIG_KEY,
        config_topic=CONFIG_TOPIC,
        upstreams_topic=UPSTREAMS_TOPIC,
        hosts_topic=HOSTS_TOPIC,
        duties=duties,
    )


@click.command()
@click.option(
    "--settings",
    "path",
    envvar=SETTINGS_VARIABLE,
    show_envvar=True,
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="The platform's settings file.",
)
@click.option(
    "--listen",
    envvar="RUDDERPASS_HOST_LISTEN",
    show_envvar=True,
    metavar="IP:PORT",
    help="Where callers reach the host, before the settings file says it.",
)
@click.option(
    "--orders",
    envvar="RUDDERPASS_HOST_ORDERS",
    show_envvar=True,
    type=click.Choice([mode.value for mode in OrderMode]),
    default=OrderMode.ON.value,
    show_default=True,
    help="Whether upstreams are ordered from the platform; a dry run only logs.",
)
@click.option(
    "--most-upstreams",
    envvar="RUDDERPASS_HOST_MOST_UPSTREAMS",
    show_envvar=True,
    type=click.IntRange(min=1),
    help="In each availability zone, below the configuration's bound.",
)
@click.pass_obj
def host(
    listener: socket.socket | None,
    path: Path,
    listen: str | None,
    orders: str,
    most_upstreams: int | None,
) -> None:
    """Serve exchanges on this host until told to stop.

    SIGTERM begins a planned stop; SIGHUP reads the settings file again.
    """
    logging.getLogger("waitress").setLevel(logging.CRITICAL)
    seen = _read_mtime(path)
    settings = read_settings_file(path)
    if listen is not None:
        settings = replace(settings, front=listen)
    if settings.duties is not None:
        duties = replace(
            settings.duties,
            order_mode=OrderMode(orders),
            most_upstreams=most_upstreams,
        )
        settings = replace(settings, duties=duties)
    destination = LogFile(None, sys.stdout, MAX_LINES_PER_SECOND)
    destination.open()
    try:
        running = ExchangeHost(
            settings, make_platform(settings), lambda: destination.dropped, listener
        )
    except OSError as error:
        raise SettingsError(f"cannot listen: {error}", step="start") from error
    running.start()
    _run(running, path, seen)
    destination.close(timeout=0.2)
    # Threads that wait for a silent upstream must not hold the process.
    os._exit(0)


def _run(running: ExchangeHost, path: Path, seen: int) -> None:
    """Wait for signals and carry them out.

    :param seen: when the settings file was last changed before it was read.
    """
    wake = threading.Event()
    asked = {signal.SIGTERM: False, signal.SIGHUP: False}

    def on_signal(number: int, frame: FrameType | None) -> None:
        asked[signal.Signals(number)] = True
        wake.set()

    for number in asked:
        signal.signal(number, on_signal)
    while not asked[signal.SIGTERM]:
        wake.wait(SETTINGS_POLL_SECONDS)
        wake.clear()
        mtime = _read_mtime(path)
        if asked[signal.SIGHUP] or mtime != seen:
            asked[signal.SIGHUP] = False
            seen = mtime
            _reload(running, path)
    running.stop()


def _reload(running: ExchangeHost, path: Path) -> None:
    try:
        running.apply(read_settings_file(path))
    except SettingsError as error:
        log("host", "settings not readable, kept the last ones.", error=error.show())


def _read_mtime(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        log("host", "settings file is not there.", error=str(error))
        return 0


def main(listener: socket.socket | None) -> None:
    """Run the command by itself, without the rest of the command line.

    :param listener: a socket for callers that listens already.
    """
    try:
        host.main(standalone_mode=False, obj=listener)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except RudderpassError as error:
        click.echo(f"Error: {error.show()}", err=True)
        sys.exit(error.exit_code)
