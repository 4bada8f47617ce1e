"""Run soak seeds by hand: ``python -m tests.soak --seeds 50 --jobs 4``."""

from __future__ import annotations

import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import click

from tests.soak.part_soak import run_part_seed
from tests.soak.placement_soak import run_placement_seed
from tests.soak.soak import SoakResult, run_seed
from tests.soak.version_soak import run_version_seed


def _run_seed_in(
    folder: Path,
    has_fatal_bodies: bool,
    has_placement: bool,
    has_versions: bool,
    has_fatal_parts: bool,
    seed: int,
) -> SoakResult:
    if has_fatal_parts:
        return run_part_seed(seed, folder / str(seed))
    if has_versions:
        return run_version_seed(seed, folder / str(seed))
    if has_placement:
        return run_placement_seed(seed, folder / str(seed))
    return run_seed(seed, folder / str(seed), has_fatal_bodies=has_fatal_bodies)


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=10, show_default=True, help="Number of seeds.")
@click.option(
    "--jobs", default=4, show_default=True, help="Number of seeds run in parallel."
)
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the hosts' logs; a new temporary one by default.",
)
@click.option(
    "--fatal", is_flag=True, help="Also send request bodies that crash engines."
)
@click.option(
    "--placement",
    is_flag=True,
    help="Run two regions, with evacuations, cold upstreams and allowed regions.",
)
@click.option(
    "--versions",
    is_flag=True,
    help="Run engines of several software versions, and callers that resume streams.",
)
@click.option(
    "--parts",
    is_flag=True,
    help="Send requests that share a prompt part, which crashes engines.",
)
def main(
    first: int,
    seeds: int,
    jobs: int,
    folder: Path | None,
    fatal: bool,
    placement: bool,
    versions: bool,
    parts: bool,
) -> None:
    """Run seeds and print the violations."""
    if fatal + placement + versions + parts > 1:
        raise click.UsageError(
            "--fatal, --placement, --versions and --parts are modes of their own"
        )
    folder = folder or Path(tempfile.mkdtemp(prefix="rudderpass-soak-"))
    failed_seeds = 0
    with ProcessPoolExecutor(jobs) as executor:
        seed_range = range(first, first + seeds)
        run = partial(_run_seed_in, folder, fatal, placement, versions, parts)
        for result in executor.map(run, seed_range):
            failed_seeds += bool(result.violations)
            counts = ", ".join(f"{s}: {n}" for s, n in sorted(result.statuses.items()))
            click.echo(
                f"seed {result.seed}: {len(result.violations)} violations; {counts}"
            )
            if parts:
                click.echo("  " + "\n  ".join(result.history))
            for violation in result.violations[:10]:
                click.echo(f"  {violation}")
    click.echo(f"{failed_seeds} of {seeds} seeds with a violation; logs in {folder}")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
