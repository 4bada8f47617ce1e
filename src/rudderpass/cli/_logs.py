"""The logs command: reads the structured logs of one or more processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import TextIO

import click

from rudderpass.errors import SettingsError
from rudderpass.observe import (
    InFlightState,
    LogRecord,
    count_crashes,
    count_part_crashes,
    find_crashes,
    find_failures,
    find_occupancy,
    read_records,
    render_lines,
    render_timeline,
)

MAX_SHOWN_REQUESTS = 3
"""Request ids printed for each cause; further ones are only counted."""


@click.command()
@click.argument(
    "files", nargs=-1, type=click.File("r", encoding="utf-8"), default=["-"]
)
@click.option("--request", help="Show only the lines about this request id.")
@click.option("--failed", is_flag=True, help="Count the failed requests by cause.")
@click.option(
    "--crashes",
    is_flag=True,
    help="Show which upstreams crashed, and which requests they were running.",
)
@click.option(
    "--upstream",
    help="Show the requests that ran, waited or were paused at this upstream.",
)
@click.option(
    "--at", type=float, help="The time for --upstream, as in the lines' timestamp."
)
def logs(
    files: tuple[TextIO, ...],
    request: str | None,
    failed: bool,
    crashes: bool,
    upstream: str | None,
    at: float | None,
) -> None:
    """Render structured logs readably, from FILES or standard input.

    Lines of several processes are sorted by time if --request, --failed, --crashes or
    --upstream is given. Each line may have a prefix before its JSON object, as log
    collectors add it.
    """
    if sum((request is not None, failed, crashes, upstream is not None)) > 1:
        raise SettingsError(
            "--request, --failed, --crashes and --upstream exclude each other",
            step="logs",
        )
    if (upstream is None) is not (at is None):
        raise SettingsError("--upstream and --at must be given together", step="logs")
    if failed:
        _show_failures(files)
    elif crashes:
        _show_crashes(files)
    elif upstream is not None and at is not None:
        _show_occupancy(files, upstream, at)
    elif request is not None and len(files) > 1:
        for line in render_timeline(_read_all(files), request):
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
        shown = " ".join(group.requests[:MAX_SHOWN_REQUESTS])
        click.echo(
            f"{len(group.requests):5} {group.outcome} {group.status} {group.cause}"
        )
        click.echo(f"      {shown}")
    total = sum(len(group.requests) for group in groups)
    click.echo(f"{total} requests failed, with {len(groups)} causes")


def _show_crashes(files: tuple[TextIO, ...]) -> None:
    crashes = find_crashes(_read_all(files))
    for crash in crashes:
        click.echo(
            f"{crash.at:.3f} {crash.upstream} crashed,"
            f" {len(crash.sends)} sends were cut"
        )
        for send in crash.sends:
            state = "answered" if send.had_answered else "silent"
            click.echo(
                f"      {send.fingerprint or '?'} {send.request} from {send.host}"
                f" after {send.elapsed:.3f} s, {state}"
            )
    for fingerprint, count in count_crashes(crashes):
        click.echo(f"{count:5} upstreams crashed under {fingerprint}")
    for part, count in count_part_crashes(crashes):
        click.echo(f"{count:5} upstreams crashed before they answered part {part}")
    click.echo(f"{len(crashes)} upstreams crashed")


def _show_occupancy(files: tuple[TextIO, ...], upstream: str, at: float) -> None:
    occupancy = find_occupancy(_read_all(files), upstream, at)
    counts: Counter[tuple[int, int, int | None, InFlightState]] = Counter()
    tokens: Counter[tuple[int, int, int | None, InFlightState]] = Counter()
    for request in occupancy.requests:
        key = (request.rank, request.route_tier, request.team_tier, request.state)
        counts[key] += 1
        tokens[key] += request.tokens
    for key in sorted(counts, key=lambda key: (key[0], key[1], key[3].value)):
        rank, route_tier, team_tier, state = key
        team = "none" if team_tier is None else team_tier
        click.echo(
            f"{counts[key]:5} {state.value:8} rank={rank} route_tier={route_tier}"
            f" team_tier={team} tokens={tokens[key]}"
        )
    click.echo(
        f"{len(occupancy.requests)} requests at {upstream}; last routing estimate:"
        f" {occupancy.in_flight} in flight, slots {occupancy.slots}"
    )
