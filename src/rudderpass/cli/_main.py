"""The command line's entry point."""

from __future__ import annotations

import click

from rudderpass.cli._base import CommandGroup
from rudderpass.cli._bench import (
    bench_control,
    bench_streams,
    standin_engine,
    standin_platform,
)
from rudderpass.cli._declarations import apply, check, diff, get, history, snapshot
from rudderpass.cli._demo import demo
from rudderpass.cli._evacuations import evacuations
from rudderpass.cli._logs import logs
from rudderpass.cli._nodes import node, status
from rudderpass.cli._quarantine import quarantine
from rudderpass.cli._replay import compare, make_trace, replay
from rudderpass.host._command import host


@click.group(cls=CommandGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="rudderpass")
def main() -> None:
    """Route language-model traffic by declared classes, teams and labels.

    Every option can also be set by the environment variable that its help names.
    Shell completion: eval "$(_RUDDERPASS_COMPLETE=bash_source rudderpass)".
    """


_COMMANDS = (
    node,
    host,
    demo,
    check,
    diff,
    apply,
    get,
    history,
    snapshot,
    status,
    logs,
    quarantine,
    evacuations,
    replay,
    make_trace,
    compare,
    standin_platform,
    standin_engine,
    bench_streams,
    bench_control,
)

for command in _COMMANDS:
    main.add_command(command)
