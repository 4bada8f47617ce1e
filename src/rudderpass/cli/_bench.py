"""Commands for benchmarks: stand-in services and load generators."""

from __future__ import annotations

import json
import signal
import threading
from dataclasses import asdict, dataclass
from pathlib import Path
from types import FrameType

import click

from rudderpass.bench import (
    ControlCost,
    MessageCost,
    StreamLoad,
    StreamTimes,
    SystemSize,
    measure_control,
    measure_messages,
    percentile,
    run_streams,
)
from rudderpass.cli._base import json_option, print_json, silence_library_logs
from rudderpass.cli._nodes import fetch_status
from rudderpass.demo import DemoDeployment
from rudderpass.standins import EngineSpeed, StandInEngine

_MICROS_PER_SECOND = 1e6
_MILLIS_PER_SECOND = 1e3


@click.command("standin-platform")
@click.argument("directory", type=click.Path(exists=True, path_type=Path))
@click.option(
    "--info",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="Write the addresses to this file, as JSON, once everything runs.",
)
def standin_platform(directory: Path, info: Path) -> None:
    """Publish DIRECTORY and run a log service and a host list until a signal."""
    silence_library_logs()
    deployment = DemoDeployment(directory, nodes=0, seed=0, start_standins=False)
    deployment.start()
    addresses = {
        "log_service": deployment.log.address,
        "host_list": deployment.host_list.address,
    }
    info.write_text(json.dumps(addresses))
    _wait_for_signal()
    deployment.close()


@click.command("standin-engine")
@click.option("--listen", required=True, metavar="IP:PORT")
@click.option("--gap", type=float, default=0.02, show_default=True)
@click.option("--slots", type=int, default=8, show_default=True)
def standin_engine(listen: str, gap: float, slots: int) -> None:
    """Run one stand-in engine until a signal."""
    silence_library_logs()
    engine = StandInEngine(EngineSpeed(gap, slots), listen)
    engine.start()
    _wait_for_signal()
    engine.close()


def _wait_for_signal() -> None:
    stop = threading.Event()

    def on_signal(number: int, frame: FrameType | None) -> None:
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    stop.wait()


@dataclass(frozen=True)
class StreamFigures:
    """One row of the streaming table; times in milliseconds."""

    path: str
    streams: int
    tokens_per_second: float
    delay_p50: float
    delay_p95: float
    delay_p99: float
    gap_p50: float
    gap_p95: float
    gap_p99: float
    first_p95: float
    cpu_us_per_token: float
    incomplete: int


@click.command("bench-streams")
@click.option(
    "--direct", required=True, multiple=True, metavar="IP:PORT", help="The engines."
)
@click.option("--through", required=True, metavar="IP:PORT", help="The node.")
@click.option("--admin", required=True, metavar="IP:PORT", help="The node's admin.")
@click.option("--token", default="demo-token-bench", show_default=True)
@click.option("--model", default="bench", show_default=True)
@click.option("--streams", type=int, multiple=True, default=(50, 150, 300))
@click.option("--tokens", type=int, default=240, show_default=True)
@click.option("--ramp", type=float, default=1.0, show_default=True)
@json_option
def bench_streams(
    direct: tuple[str, ...],
    through: str,
    admin: str,
    token: str,
    model: str,
    streams: tuple[int, ...],
    tokens: int,
    ramp: float,
    as_json: bool,
) -> None:
    """Compare streams through a node with streams directly from the engines."""
    rows = []
    for count in streams:
        for path, addresses in (("direct", direct), ("through", (through,))):
            load = StreamLoad(addresses, token, model, count, tokens, ramp)
            before = float(fetch_status(admin)["cpu_seconds"])
            times = run_streams(load)
            cpu_seconds = float(fetch_status(admin)["cpu_seconds"]) - before
            row = _build_figures(path, load, times, cpu_seconds)
            rows.append(row)
            if not as_json:
                _print_row(row, is_first=len(rows) == 1)
    if as_json:
        print_json([asdict(row) for row in rows])


def _build_figures(
    path: str, load: StreamLoad, times: StreamTimes, cpu_seconds: float
) -> StreamFigures:
    def delay(quantile: float) -> float:
        return percentile(times.delays, quantile) * _MILLIS_PER_SECOND

    def gap(quantile: float) -> float:
        return percentile(times.gaps, quantile) * _MILLIS_PER_SECOND

    cpu = (
        cpu_seconds * _MICROS_PER_SECOND / max(1, times.tokens)
        if path == "through"
        else 0.0
    )
    return StreamFigures(
        path=path,
        streams=load.streams,
        tokens_per_second=times.tokens / times.seconds,
        delay_p50=delay(0.5),
        delay_p95=delay(0.95),
        delay_p99=delay(0.99),
        gap_p50=gap(0.5),
        gap_p95=gap(0.95),
        gap_p99=gap(0.99),
        first_p95=percentile(times.first_tokens, 0.95) * _MILLIS_PER_SECOND,
        cpu_us_per_token=cpu,
        incomplete=times.incomplete,
    )


def _print_row(row: StreamFigures, is_first: bool) -> None:
    if is_first:
        click.echo(
            f"{'path':<9}{'streams':>8}{'tokens/s':>10}{'delay p50':>11}{'p95':>8}"
            f"{'p99':>8}{'gap p50':>9}{'p95':>8}{'p99':>8}{'first p95':>11}"
            f"{'cpu us/token':>14}{'cut':>5}"
        )
    click.echo(
        f"{row.path:<9}{row.streams:>8}{row.tokens_per_second:>10.0f}"
        f"{row.delay_p50:>11.2f}{row.delay_p95:>8.2f}{row.delay_p99:>8.2f}"
        f"{row.gap_p50:>9.1f}{row.gap_p95:>8.1f}{row.gap_p99:>8.1f}"
        f"{row.first_p95:>11.1f}{row.cpu_us_per_token:>14.1f}{row.incomplete:>5}"
    )


_LARGE = SystemSize(
    nodes=400, runners=900, engines=7200, teams=510, models=33, requests=7400.0
)
_MESSAGES = 3000


@click.command("bench-control")
@click.option("--nodes", type=int, multiple=True, default=(8, 40, 160))
@click.option("--seconds", type=int, default=5, show_default=True)
@json_option
def bench_control(nodes: tuple[int, ...], seconds: int, as_json: bool) -> None:
    """Measure the cost of the control plane for one node at several cluster sizes.

    Runners, engines and requests scale with the nodes; teams and models do not.
    """
    costs = list(measure_control([_scale_size(count, seconds) for count in nodes]))
    messages = measure_messages(_MESSAGES)
    if as_json:
        print_json(
            {
                "messages": asdict(messages),
                "costs": [asdict(cost) for cost in costs],
            }
        )
        return
    click.echo(
        f"{'nodes':>6}{'cpu %':>8}{'transport %':>13}{'msg/s':>8}{'mean':>8}"
        f"{'sent B/s':>10}{'got B/s':>10}{'state MB':>10}{'config KB':>11}"
    )
    for cost in costs:
        _print_cost(cost, messages)
    click.echo(
        f"one call costs {messages.call * _MICROS_PER_SECOND:.0f} us, one datagram "
        f"{messages.datagram * _MICROS_PER_SECOND:.0f} us, both sides together"
    )


def _scale_size(nodes: int, seconds: int) -> SystemSize:
    share = nodes / _LARGE.nodes
    return SystemSize(
        nodes=nodes,
        runners=max(1, round(_LARGE.runners * share)),
        engines=round(_LARGE.engines * share),
        teams=_LARGE.teams,
        models=_LARGE.models,
        requests=_LARGE.requests * share,
        seconds=seconds,
    )


def _print_cost(cost: ControlCost, messages: MessageCost) -> None:
    datagrams = cost.sent_messages - cost.sent_calls
    seconds = cost.sent_calls * messages.call + datagrams * messages.datagram
    transport = seconds * 100
    click.echo(
        f"{cost.size.nodes:>6}{cost.cpu * 100:>8.2f}{transport:>13.2f}"
        f"{cost.sent_messages:>8.0f}{cost.mean_messages:>8.0f}"
        f"{cost.sent_bytes:>10.0f}{cost.received_bytes:>10.0f}"
        f"{cost.state_bytes / 1e6:>10.1f}{cost.config_bytes / 1e3:>11.0f}"
    )
