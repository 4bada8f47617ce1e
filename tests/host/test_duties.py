"""Real hosts that hold duties, against stand-ins for the store and the platform."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import pytest

from rudderpass.duties import LeasePolicy
from rudderpass.host import DutySettings, ExchangeHost, OrderMode
from tests.host.test_host import Deployment, read_gauge, wait_for
from tests.platform.cloud import CloudStand

SCALING: dict[str, object] = {
    "min": 1,
    "max": 6,
    "bootS": 1.0,
    "spotPrice": 0.2,
    "zonePrices": {"hall-a": 1.0, "hall-b": 2.0},
}
WINDOW = 1.0
LATE = 3.0
HANDOVER_SECONDS = 3.0


@dataclass
class DutyDeployment:
    """Hosts whose platform has duties, and callers of theirs."""

    deployment: Deployment = field(default_factory=Deployment)
    cloud: CloudStand = field(default_factory=CloudStand)
    hosts: list[ExchangeHost] = field(default_factory=list)
    asked: int = 0

    def __post_init__(self) -> None:
        rule = LeasePolicy(lease=3.0, thaw_slack=0.3, is_fenced=True)
        self.settings = DutySettings(
            self.cloud.address, True, False, rule, WINDOW, LATE
        )
        self.deployment.publish(1, "k1")
        self.deployment.register()

    def start(self, count: int) -> None:
        for _ in range(count):
            seeds = [host.peer_address for host in self.hosts]
            host = self.deployment.start(*seeds, duties=self.settings)
            self.hosts.append(host)
            wait_for(lambda: self.deployment.ask(host) == 200)
            self.asked += 1

    def ask(self, seconds: float) -> None:
        """Ask every host in turn for a while."""
        pause = threading.Event()
        for _ in range(int(seconds / 0.05)):
            for host in self.hosts:
                assert self.deployment.ask(host) == 200
                self.asked += 1
            pause.wait(0.05)

    @property
    def holders(self) -> set[str]:
        return {call.holder for call in self.cloud.done}

    def told(self) -> int:
        return sum(sum(counts.values()) for counts in self.cloud.reports().values())

    def close(self) -> None:
        self.deployment.close()
        self.cloud.close()


@pytest.fixture
def duties() -> Iterator[DutyDeployment]:
    made = DutyDeployment()
    yield made
    made.close()


def test_one_host_reports_what_all_have_served(duties: DutyDeployment) -> None:
    duties.start(3)
    duties.ask(2.0)
    wait_for(lambda: duties.told() == duties.asked)
    assert len(duties.holders) == 1
    assert len({call.token for call in duties.cloud.done}) == 1
    assert set().union(*duties.cloud.reports().values()) == {"team"}


def test_the_next_host_goes_on_where_the_holder_ended(duties: DutyDeployment) -> None:
    duties.start(3)
    duties.ask(1.0)
    wait_for(lambda: bool(duties.holders))
    (first,) = duties.holders
    lost = next(h for h in duties.hosts if h._settings.name == first)
    duties.ask(0.5)
    threading.Event().wait(1.2)  # Until all that it counted is told to the others.
    duties.hosts.remove(lost)
    lost.close()
    duties.ask(2.0)
    wait_for(lambda: duties.told() == duties.asked)
    assert len(duties.holders) == 2
    tokens = [call.token for call in duties.cloud.done]
    assert tokens == sorted(tokens)


def orders(duties: DutyDeployment) -> list[tuple[str, int, bool]]:
    return [
        (c.body["zone"], c.body["desiredCount"], c.body.get("spot", False))
        for c in duties.cloud.done
        if c.path == "/scale"
    ]


def test_upstreams_are_ordered_within_the_operators_bound(
    duties: DutyDeployment,
) -> None:
    duties.settings = replace(
        duties.settings, reports_usage=False, orders_upstreams=True, most_upstreams=5
    )
    duties.deployment.publish(2, "k1", scaling=SCALING)
    duties.start(1)
    wait_for(lambda: len(orders(duties)) >= 3)
    # The one upstream that is in the first zone stays.
    cheap = {("hall-a", 4, True), ("hall-b", 4, True)}
    assert set(orders(duties)) == cheap | {("hall-b", 1, False)}
    wait_for(lambda: read_gauge(duties.hosts[0], "upstreams_wanted") == 10)
    assert read_gauge(duties.hosts[0], "duty_token") > 0
    price = read_gauge(duties.hosts[0], "upstreams_wanted_price")
    assert price == pytest.approx((1 + 4 * 0.2) * 1.0 + (1 + 4 * 0.2) * 2.0)


@pytest.mark.parametrize("mode", [OrderMode.DRY_RUN, OrderMode.OFF])
def test_nothing_is_ordered_where_operators_do_not_want_it(
    duties: DutyDeployment, mode: OrderMode
) -> None:
    duties.settings = replace(duties.settings, orders_upstreams=True, order_mode=mode)
    duties.deployment.publish(2, "k1", scaling=SCALING)
    duties.start(1)
    duties.ask(2.0)
    wait_for(lambda: duties.told() == duties.asked)
    assert orders(duties) == []
    wants = read_gauge(duties.hosts[0], "upstreams_wanted")
    assert wants == (12 if mode is OrderMode.DRY_RUN else 0)


def test_a_platform_that_refuses_is_told_later(duties: DutyDeployment) -> None:
    duties.start(2)
    duties.cloud.status = 503
    duties.ask(1.5)
    duties.cloud.status = 200
    wait_for(lambda: duties.told() == duties.asked)
