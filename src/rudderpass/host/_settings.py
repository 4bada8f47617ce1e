"""Settings of a host, independent of the format of the settings file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from rudderpass._ids import AvailabilityZone, Region
from rudderpass.directory import ENTRY_LIFETIME_SECONDS
from rudderpass.duties import LeasePolicy
from rudderpass.exchange import BudgetRule, ColdLimit


class OrderMode(Enum):
    """Whether the holder of the duties orders upstreams."""

    ON = "on"
    DRY_RUN = "dry-run"
    OFF = "off"


@dataclass(frozen=True)
class DutySettings:
    """Settings of the duties, which one host at a time holds. Times are seconds.

    :param platform: ``ip:port`` of the platform's API.
    :param reports_usage: whether usage is reported.
    :param orders_upstreams: whether upstreams are ordered.
    :param lease_policy: lease and fencing of the duties.
    :param window: length of a usage report's window.
    :param report_delay: from the end of a window until its report is due.
    :param order_mode: whether operators allow orders.
    :param most_upstreams: the operators' maximum per availability zone; None to use
        only the configuration's.
    """

    platform: str
    reports_usage: bool
    orders_upstreams: bool
    lease_policy: LeasePolicy
    window: float = 5.0
    report_delay: float = 10.0
    order_mode: OrderMode = OrderMode.ON
    most_upstreams: int | None = None


@dataclass(frozen=True)
class HostSettings:
    """Settings of a host. Times are seconds.

    :param name: the host's name, for logs and for the platform.
    :param listen: ``ip:port`` for callers.
    :param ready: ``ip:port`` of the load balancer's readiness check.
    :param peer: ``ip:port`` for other hosts; also this host's id among them.
    :param metrics: ``ip:port`` of the metrics.
    :param max_descriptors: file descriptors that the process may open; None if only the
        operating system limits them.
    :param tunnel: ``ip:port`` at which other hosts ask for connections to upstreams;
        all hosts use the same port. None to relay none and use no relays.
    :param store: ``ip:port`` of the platform's store.
    :param link_mbps: bandwidth of the host's link, Mbit/s; hosts with faster links are
        more likely to become relays.
    :param seeds: peer addresses of some hosts; they may be stale or down.
    :param is_first_start: whether the whole deployment starts for the first time.
    :param stop_grace: from the request to stop until the process is killed.
    :param drain_bound: how long a leaving upstream may still get new requests.
    :param reread_window: period in which a repeated prefill of a prompt part has a
        price.
    :param duties: None if the deployment has none.
    :param entry_lifetime: after which the platform removes the entry of an upstream
        that does not renew it.
    :param region: the host's region; None if the settings do not tell it.
    :param zones: the region of each availability zone.
    :param cold_limit: the bound on requests to cold upstreams.
    """

    name: str
    zone: AvailabilityZone
    listen: str
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
    entry_lifetime: float = ENTRY_LIFETIME_SECONDS
    region: Region | None = None
    zones: Mapping[AvailabilityZone, Region] = field(default_factory=dict)
    cold_limit: ColdLimit = field(default_factory=ColdLimit)
    tunnel: str | None = None
    max_descriptors: int | None = None

    @property
    def own_region(self) -> Region | None:
        """The declared region, or else that of the host's zone; None if unknown."""
        return self.region or self.zones.get(self.zone)
