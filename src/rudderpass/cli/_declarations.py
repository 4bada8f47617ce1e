"""Commands over declarations: check, diff, apply, get, history."""

from __future__ import annotations

import getpass
from dataclasses import asdict
from pathlib import Path

import click
import yaml
from returns.result import Failure

from rudderpass.cli._base import (
    admin_option,
    json_option,
    log_service_option,
    print_json,
)
from rudderpass.cli._nodes import wait_for_version
from rudderpass.declarations import (
    Catalog,
    ChangeOutcome,
    Difference,
    Finding,
    ObjectKey,
    diff_state,
    dump_spec,
    load_declarations,
)
from rudderpass.errors import DeclarationError
from rudderpass.logservice import HttpLogService
from rudderpass.publishing import Publisher

_DIRECTORY = click.Path(exists=True, file_okay=False, path_type=Path)
_SIGNS = {"add": "+", "update": "~", "delete": "-"}


def _publisher(log_service: str) -> Publisher:
    return Publisher(HttpLogService(log_service))


def _load(directory: Path) -> Catalog:
    loaded = load_declarations(directory)
    if isinstance(loaded, Failure):
        findings = loaded.failure()
        _print_findings(findings)
        raise DeclarationError(f"{len(findings)} errors in {directory}", step="check")
    return loaded.unwrap()


def _print_findings(findings: tuple[Finding, ...]) -> None:
    for finding in findings:
        click.echo(finding.show(), err=True)


@click.command()
@click.argument("directory", type=_DIRECTORY)
@json_option
def check(directory: Path, as_json: bool) -> None:
    """Validate the declarations in DIRECTORY offline."""
    loaded = load_declarations(directory)
    findings = loaded.failure() if isinstance(loaded, Failure) else ()
    if as_json:
        print_json({"findings": [asdict(finding) for finding in findings]})
    else:
        _print_findings(findings)
    if findings:
        raise click.exceptions.Exit(1)
    if not as_json:
        click.echo(f"{len(loaded.unwrap().objects)} objects are valid")


@click.command()
@click.argument("directory", type=_DIRECTORY)
@log_service_option
@json_option
def diff(directory: Path, log_service: str, as_json: bool) -> None:
    """Show what applying DIRECTORY would change."""
    desired = _load(directory)
    state = _publisher(log_service).history().state
    differences = diff_state(state, desired)
    if as_json:
        print_json(
            {
                "version": state.version,
                "differences": [_dump_difference(item) for item in differences],
            }
        )
        return
    for item in differences:
        click.echo(f"{_SIGNS[item.action.value]} {item.key}")
    click.echo(f"{len(differences)} changes against version {state.version}")


def _dump_difference(difference: Difference) -> dict[str, str]:
    return {"step": difference.action.value, "object": str(difference.key)}


@click.command()
@click.argument("directory", type=_DIRECTORY)
@log_service_option
@click.option(
    "--author",
    envvar="RUDDERPASS_AUTHOR",
    show_envvar=True,
    default=getpass.getuser,
    show_default="the user's name",
    help="Author of the change, shown to operators whose changes conflict with it.",
)
@click.option(
    "--wait",
    type=click.FloatRange(min=0),
    default=0.0,
    metavar="SECONDS",
    help="Wait until every node given by --admin has the change.",
)
@admin_option
@json_option
def apply(
    directory: Path,
    log_service: str,
    author: str,
    wait: float,
    admins: tuple[str, ...],
    as_json: bool,
) -> None:
    """Publish the declarations in DIRECTORY; return once they are accepted."""
    desired = _load(directory)
    result = _publisher(log_service).apply(desired, author)
    if isinstance(result, Failure):
        raise result.failure()
    applied = result.unwrap()
    version = int(applied.state.version)
    if wait:
        wait_for_version(admins, version, wait)
    if as_json:
        print_json({"version": version, "changed": applied.outcome is not None})
    elif applied.outcome is None:
        click.echo(f"nothing to change, version {version} is in force")
    else:
        changed = len(applied.outcome.keys)
        click.echo(f"version {version} accepted, {changed} objects changed")


@click.command()
@click.argument("kind", required=False)
@click.argument("name", required=False)
@log_service_option
@json_option
def get(kind: str | None, name: str | None, log_service: str, as_json: bool) -> None:
    """Print the objects in force, all or by KIND and NAME."""
    state = _publisher(log_service).history().state
    found = {
        key: entry
        for key, entry in sorted(state.entries.items())
        if kind in (None, key.kind_value) and name in (None, key.name)
    }
    if not found:
        raise DeclarationError("no such object is in force", step="get")
    if as_json:
        print_json(
            [
                {
                    "kind": key.kind_value,
                    "name": key.name,
                    "version": entry.version,
                    "author": entry.author,
                    "spec": dump_spec(entry.spec),
                }
                for key, entry in found.items()
            ]
        )
        return
    documents = [
        _dump_document(key, dump_spec(entry.spec)) for key, entry in found.items()
    ]
    click.echo("---\n".join(documents), nl=False)


def _dump_document(key: ObjectKey, spec: dict[str, object]) -> str:
    value = {"kind": key.kind_value, "name": key.name, "spec": spec}
    return yaml.safe_dump(value, sort_keys=False)


@click.command()
@log_service_option
@click.option("--limit", type=click.IntRange(min=1), default=20, show_default=True)
@json_option
def history(log_service: str, limit: int, as_json: bool) -> None:
    """Show the latest changes and whether each was accepted."""
    outcomes = _publisher(log_service).history().outcomes[-limit:]
    if as_json:
        print_json([_dump_outcome(outcome) for outcome in outcomes])
        return
    for outcome in outcomes:
        word = "accepted" if outcome.accepted else "refused"
        names = ", ".join(str(key) for key in outcome.keys[:4])
        more = f" and {len(outcome.keys) - 4} more" if len(outcome.keys) > 4 else ""
        click.echo(
            f"version {outcome.version} {word}, by {outcome.author}: {names}{more}"
        )
        for conflict in outcome.conflicts:
            click.echo(f"    {conflict.show()}")


def _dump_outcome(outcome: ChangeOutcome) -> dict[str, object]:
    return {
        "version": outcome.version,
        "change": outcome.change_id,
        "author": outcome.author,
        "accepted": outcome.accepted,
        "objects": [str(key) for key in outcome.keys],
        "conflicts": [conflict.show() for conflict in outcome.conflicts],
    }


@click.command()
@log_service_option
def snapshot(log_service: str) -> None:
    """Write a snapshot of the configuration, so that older records may expire."""
    version = _publisher(log_service).write_snapshot()
    click.echo(f"snapshot of version {version} written")
