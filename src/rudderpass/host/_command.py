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
from rudderpass.host._host import ExchangeHost
from rudderpass.host._platform import Platform
from rudderpass.host._settings import HostSettings, OrderMode
from rudderpass.platform import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    DUTIES_TOPIC,
    EVACUATION_PREFIX,
    HOSTS_TOPIC,
    ORIGINS_TOPIC,
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
"""Interval of checks of the settings file, which may change without a SIGHUP."""


def make_platform(settings: HostSettings) -> Platform:
    """Return the platform adapter for a host."""
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
        origins_topic=ORIGINS_TOPIC,
        duties=duties,
        evacuation_prefix=EVACUATION_PREFIX,
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
    help="Address for callers; overrides the one in the settings file.",
)
@click.option(
    "--orders",
    envvar="RUDDERPASS_HOST_ORDERS",
    show_envvar=True,
    type=click.Choice([mode.value for mode in OrderMode]),
    default=OrderMode.ON.value,
    show_default=True,
    help="Whether to order upstreams from the platform; a dry run only logs orders.",
)
@click.option(
    "--most-upstreams",
    envvar="RUDDERPASS_HOST_MOST_UPSTREAMS",
    show_envvar=True,
    type=click.IntRange(min=1),
    help="Maximum per availability zone, within the configuration's bounds.",
)
@click.pass_obj
def host(
    listener: socket.socket | None,
    path: Path,
    listen: str | None,
    orders: str,
    most_upstreams: int | None,
) -> None:
    """Serve requests on this host until it is told to stop.

    SIGTERM starts a graceful shutdown; SIGHUP reloads the settings file.
    """
    logging.getLogger("waitress").setLevel(logging.CRITICAL)
    last_mtime = _read_mtime(path)
    settings = read_settings_file(path)
    if listen is not None:
        settings = replace(settings, listen=listen)
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
        exchange_host = ExchangeHost(
            settings, make_platform(settings), lambda: destination.dropped, listener
        )
    except OSError as error:
        raise SettingsError(f"cannot listen: {error}", step="start") from error
    exchange_host.start()
    _run(exchange_host, path, last_mtime)
    destination.close(timeout=0.2)
    # Threads blocked on an unresponsive upstream must not keep the process alive.
    os._exit(0)


def _run(exchange_host: ExchangeHost, path: Path, last_mtime: int) -> None:
    """Handle signals and reload changed settings until SIGTERM.

    :param last_mtime: modification time of the settings file, taken before its last
        read.
    """
    wake = threading.Event()
    pending = {signal.SIGTERM: False, signal.SIGHUP: False}

    def on_signal(number: int, frame: FrameType | None) -> None:
        pending[signal.Signals(number)] = True
        wake.set()

    for number in pending:
        signal.signal(number, on_signal)
    while not pending[signal.SIGTERM]:
        wake.wait(SETTINGS_POLL_SECONDS)
        wake.clear()
        mtime = _read_mtime(path)
        if pending[signal.SIGHUP] or mtime != last_mtime:
            pending[signal.SIGHUP] = False
            last_mtime = mtime
            _reload(exchange_host, path)
    exchange_host.stop()


def _reload(exchange_host: ExchangeHost, path: Path) -> None:
    try:
        exchange_host.apply(read_settings_file(path))
    except SettingsError as error:
        log(
            "host",
            "settings are not readable; keeping the current ones.",
            error=error.show(),
        )


def _read_mtime(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        log("host", "settings file is not accessible.", error=str(error))
        return 0


def main(listener: socket.socket | None) -> None:
    """Run only this command, without the rest of the command line.

    :param listener: a listening socket for callers.
    """
    try:
        host.main(standalone_mode=False, obj=listener)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except RudderpassError as error:
        click.echo(f"Error: {error.show()}", err=True)
        sys.exit(error.exit_code)
