"""Commands on traces: replay, make-trace and compare-policies."""

from __future__ import annotations

from pathlib import Path

import click
from returns.result import Failure

from rudderpass.cli._base import json_option, print_json
from rudderpass.declarations import Catalog, load_declarations
from rudderpass.errors import DeclarationError
from rudderpass.replay import (
    ClusterOptions,
    Comparison,
    Policy,
    PolicyRow,
    ReplayResult,
    TraceKind,
    compare_policies,
    dump_line,
    generate,
    read_trace,
    replay as run_replay,
)

_DIRECTORY = click.Path(exists=True, file_okay=False, path_type=Path)


def _load(directory: Path) -> Catalog:
    loaded = load_declarations(directory)
    if isinstance(loaded, Failure):
        raise DeclarationError(loaded.failure()[0].show(), step="load")
    return loaded.unwrap()


@click.command()
@click.argument("trace", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--declarations",
    type=_DIRECTORY,
    required=True,
    help="The declarations in force.",
)
@click.option("--nodes", type=click.IntRange(1, 1000), default=8, show_default=True)
@click.option(
    "--policy",
    type=click.Choice([policy.value for policy in Policy]),
    default=Policy.OWNERS.value,
    show_default=True,
)
@click.option("--seed", type=int, default=1, show_default=True)
@json_option
def replay(
    trace: Path,
    declarations: Path,
    nodes: int,
    policy: str,
    seed: int,
    as_json: bool,
) -> None:
    """Replay TRACE through the production routing logic in virtual time."""
    options = ClusterOptions(Policy(policy), nodes, seed)
    result = run_replay(_load(declarations), read_trace(trace), options)
    if as_json:
        print_json(result.as_json())
        return
    click.echo(_render(result))


def _render(result: ReplayResult) -> str:
    lines = [
        f"policy {result.policy}, {result.nodes} nodes, seed {result.seed}",
        f"{'class':<12}{'tier':>5}{'requests':>10}{'attained':>10}{'goodput':>9}"
        f"{'p95 first':>11}{'longest':>9}{'shed':>6}{'expired':>9}{'unknown':>9}",
    ]
    for row in result.rows:
        lines.append(
            f"{row.name:<12}{row.tier:>5}{row.requests:>10}{row.attainment:>10.3f}"
            f"{row.goodput:>9.1f}{row.first_token_p95:>11.2f}{row.starved:>9.1f}"
            f"{row.shed:>6}{row.expired:>9}{row.unknown:>9}"
        )
    lines.append(
        f"goodput {result.goodput:.1f} tokens/s, wasted {result.wasted_share:.2%}, "
        f"run twice {result.run_twice}, unanswered {result.unanswered}, "
        f"{result.messages_per_request:.1f} peer messages a request"
    )
    return "\n".join(lines)


@click.command("make-trace")
@click.argument("kind", type=click.Choice([kind.value for kind in TraceKind]))
@click.option("--declarations", type=_DIRECTORY, required=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--skewed", is_flag=True, help="Send most requests to a quarter of the nodes."
)
@click.option("--scale", type=float, default=1.0, help="Factor applied to all times.")
def make_trace(
    kind: str, declarations: Path, seed: int, skewed: bool, scale: float
) -> None:
    """Print a seeded trace, sized to the capacity of the declared engines."""
    catalog = _load(declarations)
    for line in generate(catalog, TraceKind(kind), seed, skewed, scale):
        click.echo(dump_line(line))


@click.command("compare-policies")
@click.argument("kind", type=click.Choice([kind.value for kind in TraceKind]))
@click.option("--declarations", type=_DIRECTORY, required=True)
@click.option("--nodes", type=click.IntRange(1, 1000), default=8, show_default=True)
@click.option("--seeds", type=click.IntRange(min=1), default=5, show_default=True)
@click.option("--skewed", is_flag=True)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice([policy.value for policy in Policy]),
)
def compare(
    kind: str,
    declarations: Path,
    nodes: int,
    seeds: int,
    skewed: bool,
    policies: tuple[str, ...],
) -> None:
    """Compare policies over several seeds; figures are median (min-max)."""
    chosen = [Policy(name) for name in policies] or list(Policy)
    seed_numbers = tuple(range(1, seeds + 1))
    comparison = Comparison(TraceKind(kind), nodes, seed_numbers, skewed)
    arrivals = "skewed" if skewed else "even"
    click.echo(f"{kind}, {nodes} nodes, {arrivals} arrivals, seeds 1 to {seeds}")
    for row in compare_policies(_load(declarations), comparison, chosen):
        click.echo(_render_row(row))


def _render_row(row: PolicyRow) -> str:
    lines = [f"{row.policy.value}: wasted {row.wasted}, run twice {row.run_twice}"]
    for name, attainment in row.attainment.items():
        lines.append(
            f"    {name:<12} attained {attainment}  goodput {row.goodput[name]}  "
            f"longest wait {row.starved[name]}"
        )
    return "\n".join(lines)
