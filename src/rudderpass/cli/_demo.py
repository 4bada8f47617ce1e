"""The demo command."""

from __future__ import annotations

import signal
import threading
from pathlib import Path
from types import FrameType

import click

from rudderpass.cli._base import json_option, print_json, silence_library_logs
from rudderpass.demo import DemoDeployment, DemoOptions, demo_token, render, run_demo
from rudderpass.errors import GuaranteeViolated, SettingsError
from rudderpass.observe import LogFile
from rudderpass.replay import read_trace

_PROFILES = ("nourlight", "ektypo")
_SERVE_NODES = 3
_SEED = 20


@click.command()
@click.option(
    "--profile", type=click.Choice(_PROFILES), default="nourlight", show_default=True
)
@click.option(
    "--examples",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("examples"),
    show_default=True,
    help="The directory that holds the examples.",
)
@click.option(
    "--trace",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Send this trace instead of the example's own.",
)
@click.option(
    "--log-file",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the structured logs of the nodes to this file.",
)
@click.option(
    "--faults",
    is_flag=True,
    help="Also crash an engine, pause a node and make the log service fail.",
)
@click.option(
    "--serve",
    is_flag=True,
    help="Serve until a signal, for use with your own client.",
)
@json_option
def demo(
    profile: str,
    examples: Path,
    trace: Path | None,
    log_file: Path | None,
    faults: bool,
    serve: bool,
    as_json: bool,
) -> None:
    """Run a small deployment in one process and check every response.

    The exit status is 3 if any promise was broken.
    """
    directory = examples / profile
    if not directory.is_dir():
        raise SettingsError(
            f"--examples: {directory} is not a directory", step="settings"
        )
    silence_library_logs()
    destination = LogFile(log_file) if log_file is not None else None
    if destination is not None:
        destination.open()
    if serve:
        _serve(directory)
        return
    lines = read_trace(trace or directory / "trace.jsonl")
    options = DemoOptions(profile, directory, faults)
    result = run_demo(options, lines, lambda text: click.echo(text, err=True))
    if destination is not None:
        destination.close()
    if as_json:
        print_json(result.as_json())
    else:
        click.echo(render(result))
    if not result.kept:
        raise GuaranteeViolated("a promise was broken", step="demo")


def _serve(directory: Path) -> None:
    deployment = DemoDeployment(directory, _SERVE_NODES, _SEED)
    deployment.start()
    stop = threading.Event()

    def on_signal(number: int, frame: FrameType | None) -> None:
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    try:
        _print_addresses(deployment)
        stop.wait()
    finally:
        deployment.close()


def _print_addresses(deployment: DemoDeployment) -> None:
    team = next(iter(deployment.catalog.teams))
    model = deployment.catalog.models[0]
    address = deployment.nodes[0].address
    for node in deployment.nodes:
        click.echo(f"base URL  http://{node.address}/v1  admin {node.admin_address}")
    click.echo(f"token     {demo_token(team)} (team {team})")
    click.echo(f"models    {', '.join(deployment.catalog.models)}")
    body = (
        f'{{"model": "{model}", "stream": true, '
        '"messages": [{"role": "user", "content": "hello"}]}'
    )
    click.echo(
        f"curl -N http://{address}/v1/chat/completions "
        f"-H 'Authorization: Bearer {demo_token(team)}' "
        f"-H 'Content-Type: application/json' -d '{body}'"
    )
