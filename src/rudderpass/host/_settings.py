"""Settings of a host that serves exchanges, whatever file they come from."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rudderpass._ids import AvailabilityZone
from rudderpass.duties import LeasePolicy
from rudderpass.exchange import BudgetRule


class OrderMode(Enum):
    """Whether a host that holds the duties orders upstreams."""

    ON = "on"
    DRY_RUN = "dry-run"
    OFF = "off"


@dataclass(frozen=True)
class DutySettings:
    """The duties that one host at a time has. Times are seconds.

    :param platform: ``ip:port`` of the platform's API that takes the calls.
    :param reports_usage: whether usage is reported.
    :param orders_upstreams: whether upstreams are ordered.
    :param holding: how the duties change hands.
    :param order_mode: whether the operators want orders to be made.
    :param most_upstreams: in each availability zone, the operators' own bound; None
        where the configuration's is enough.
    :param window: length of a usage report's window.
    :param late: after the end of a window until its report is due.
    """

    platform: str
    reports_usage: bool
    orders_upstreams: bool
    holding: LeasePolicy
    window: float = 5.0
    late: float = 10.0
    order_mode: OrderMode = OrderMode.ON
    most_upstreams: int | None = None


@dataclass(frozen=True)
class HostSettings:
    """All that a host is told. Times are seconds.

    :param name: the host's name, for people.
    :param front: ``ip:port`` for callers.
    :param ready: ``ip:port`` for the balancer's question whether the host is ready.
    :param peer: ``ip:port`` for other hosts; also this host's id among them.
    :param link_mbps: what the host's link carries, Mbit/s; hosts with faster ones are
        more likely to relay for others.
    :param metrics: ``ip:port`` of the metrics.
    :param store: ``ip:port`` of the platform's store.
    :param seeds: peer addresses of some hosts; they may be stale or down.
    :param is_first_start: whether the whole deployment starts for the first time.
    :param stop_grace: after a request to stop the process is killed this much later.
    :param drain_bound: for which an upstream that is leaving may get new work.
    :param reread_window: within which reading a part of a prompt again has a price.
    :param duties: None where there are none.
    """

    name: str
    zone: AvailabilityZone
    front: str
    ready: str
    peer: str
    metrics: str
    store: str
    link_mbps: int
    seeds: tuple[str, ...]
    is_first_start: bool
    stop_grace: float
    drain_bound: float
    reread_window: float
    retries: BudgetRule
    duties: DutySettings | None = None
