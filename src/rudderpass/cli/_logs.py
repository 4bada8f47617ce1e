"""Reading the structured logs of one or many processes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import TextIO

import click

from rudderpass.errors import SettingsError
from rudderpass.observe import (
    LogRecord,
    find_failures,
    read_records,
    render_lines,
    render_story,
)

SHOWN_REQUESTS = 3
"""Request ids shown for each cause; the rest is counted."""


@click.command()
@click.argument(
    "files", nargs=-1, type=click.File("r", encoding="utf-8"), default=["-"]
)
@click.option("--request", help="Only the lines about this request id.")
@click.option(
    "--failed", is_flag=True, help="Count the requests that ended badly, by cause."
)
def logs(files: tuple[TextIO, ...], request: str | None, failed: bool) -> None:
    """Render structured logs readably, from FILES or standard input.

    The lines of several processes are put in time's order where --request or --failed
    is given. Words before a line's object, as a collector may write them, are allowed.
    """
    if request is not None and failed:
        raise SettingsError("--request and --failed exclude each other", step="logs")
    if failed:
        _show_failures(files)
    elif request is not None and len(files) > 1:
        for line in render_story(_read_all(files), request):
            click.echo(line)
    else:
        for file in files:
            for line in render_lines(file, request):
                click.echo(line)


def _read_all(files: tuple[TextIO, ...]) -> Iterator[LogRecord]:
    for file in files:
        yield from read_records(file, Path(file.name).stem)


def _show_failures(files: tuple[TextIO, ...]) -> None:
    groups = find_failures(_read_all(files))
    for group in groups:
        shown = " ".join(group.requests[:SHOWN_REQUESTS])
        click.echo(
            f"{len(group.requests):5} {group.ending} {group.status} {group.cause}"
        )
        click.echo(f"      {shown}")
    total = sum(len(group.requests) for group in groups)
    click.echo(f"{total} requests ended badly, for {len(groups)} causes")
