"""Hosts that hold duties, against stand-ins for the store and the platform."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import pytest

from rudderpass._ids import AvailabilityZone, PoolId
from rudderpass.duties import LeasePolicy, ScalingGroup
from rudderpass.host import DutySettings, ExchangeHost, OrderMode
from rudderpass.host._duties import HostDuties
from rudderpass.platform import CONFIG_TOPIC, EVACUATION_PREFIX
from tests.host.test_host import Deployment, read_gauge, wait_for
from tests.platform.cloud import StandInCloud

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
    """Hosts on a platform with duties, and their callers.

    :ivar request_count: requests with a response of status 200.
    """

    deployment: Deployment = field(default_factory=Deployment)
    cloud: StandInCloud = field(default_factory=StandInCloud)
    hosts: list[ExchangeHost] = field(default_factory=list)
    request_count: int = 0

    def __post_init__(self) -> None:
        policy = LeasePolicy(lease=3.0, thaw_slack=0.3, is_fenced=True)
        self.settings = DutySettings(
            self.cloud.address, True, False, policy, WINDOW, LATE
        )
        self.deployment.publish(1, "k1")
        self.deployment.register()

    def start(self, count: int) -> None:
        for _ in range(count):
            seeds = [host.peer_address for host in self.hosts]
            host = self.deployment.start(*seeds, duties=self.settings)
            self.hosts.append(host)
            wait_for(lambda: self.deployment.ask(host) == 200)
            self.request_count += 1

    def send_requests(self, seconds: float) -> None:
        """Send requests to each host in turn for a while."""
        pause = threading.Event()
        for _ in range(int(seconds / 0.05)):
            for host in self.hosts:
                assert self.deployment.ask(host) == 200
                self.request_count += 1
            pause.wait(0.05)

    @property
    def holders(self) -> set[str]:
        return {call.holder for call in self.cloud.done}

    def reported_count(self) -> int:
        return sum(sum(counts.values()) for counts in self.cloud.reports().values())

    def close(self) -> None:
        self.deployment.close()
        self.cloud.close()


@pytest.fixture
def duties() -> Iterator[DutyDeployment]:
    made = DutyDeployment()
    yield made
    made.close()


def test_one_host_reports_the_requests_of_all(duties: DutyDeployment) -> None:
    duties.start(3)
    duties.send_requests(2.0)
    wait_for(lambda: duties.reported_count() == duties.request_count)
    assert len(duties.holders) == 1
    assert len({call.token for call in duties.cloud.done}) == 1
    assert set().union(*duties.cloud.reports().values()) == {"team"}


def test_the_next_holder_reports_the_rest_without_duplicates(
    duties: DutyDeployment,
) -> None:
    duties.start(3)
    duties.send_requests(1.0)
    wait_for(lambda: bool(duties.holders))
    (first,) = duties.holders
    lost = next(h for h in duties.hosts if h._settings.name == first)
    duties.send_requests(0.5)
    threading.Event().wait(1.2)  # Until the others have received all of its counts.
    duties.hosts.remove(lost)
    lost.close()
    duties.send_requests(2.0)
    wait_for(lambda: duties.reported_count() == duties.request_count)
    assert len(duties.holders) == 2
    tokens = [call.token for call in duties.cloud.done]
    assert tokens == sorted(tokens)


def orders(duties: DutyDeployment) -> list[tuple[str, int, bool]]:
    return [
        (c.body["zone"], c.body["desiredCount"], c.body.get("spot", False))
        for c in duties.cloud.done
        if c.path == "/scale"
    ]


def test_upstreams_are_ordered_up_to_the_operators_maximum(
    duties: DutyDeployment,
) -> None:
    duties.settings = replace(
        duties.settings, reports_usage=False, orders_upstreams=True, most_upstreams=5
    )
    duties.deployment.publish(2, "k1", scaling=SCALING)
    duties.start(1)
    wait_for(lambda: len(orders(duties)) >= 3)
    # The upstream that the first zone already has is kept.
    cheap = {("hall-a", 4, True), ("hall-b", 4, True)}
    assert set(orders(duties)) == cheap | {("hall-b", 1, False)}
    wait_for(lambda: read_gauge(duties.hosts[0], "upstreams_wanted") == 10)
    assert read_gauge(duties.hosts[0], "duty_token") > 0
    price = read_gauge(duties.hosts[0], "upstreams_wanted_price")
    assert price == pytest.approx((1 + 4 * 0.2) * 1.0 + (1 + 4 * 0.2) * 2.0)


@pytest.mark.parametrize("mode", [OrderMode.DRY_RUN, OrderMode.OFF])
def test_nothing_is_ordered_when_operators_disallow_it(
    duties: DutyDeployment, mode: OrderMode
) -> None:
    duties.settings = replace(duties.settings, orders_upstreams=True, order_mode=mode)
    duties.deployment.publish(2, "k1", scaling=SCALING)
    duties.start(1)
    duties.send_requests(2.0)
    wait_for(lambda: duties.reported_count() == duties.request_count)
    assert orders(duties) == []
    wants = read_gauge(duties.hosts[0], "upstreams_wanted")
    assert wants == (12 if mode is OrderMode.DRY_RUN else 0)


def test_reports_are_retried_after_errors_of_the_platform(
    duties: DutyDeployment,
) -> None:
    duties.start(2)
    duties.cloud.status = 503
    duties.send_requests(1.5)
    duties.cloud.status = 200
    wait_for(lambda: duties.reported_count() == duties.request_count)


@pytest.fixture
def evacuated(monkeypatch: pytest.MonkeyPatch) -> set[AvailabilityZone]:
    """Return the zones that are evacuated at all hosts that are started later."""
    zones: set[AvailabilityZone] = set()
    make_duties = ExchangeHost._make_duties

    def make(host: ExchangeHost) -> HostDuties | None:
        duties = make_duties(host)
        if duties is not None:
            monkeypatch.setattr(duties, "_read_evacuated", lambda: frozenset(zones))
        return duties

    monkeypatch.setattr(ExchangeHost, "_make_duties", make)
    return zones


def test_an_evacuated_zone_is_not_ordered_until_it_returns(
    duties: DutyDeployment, evacuated: set[AvailabilityZone]
) -> None:
    duties.settings = replace(
        duties.settings, reports_usage=False, orders_upstreams=True, most_upstreams=5
    )
    duties.deployment.publish(2, "k1", scaling=SCALING)
    evacuated.add(AvailabilityZone("hall-b"))
    duties.start(1)
    wait_for(lambda: orders(duties) == [("hall-a", 4, True)])
    wait_for(lambda: read_gauge(duties.hosts[0], "upstreams_wanted") == 5)
    threading.Event().wait(1.0)
    assert {zone for zone, _, _ in orders(duties)} == {"hall-a"}
    evacuated.clear()
    wait_for(lambda: len(orders(duties)) == 3)
    assert set(orders(duties)[1:]) == {("hall-b", 4, True), ("hall-b", 1, False)}


def test_a_record_in_the_store_keeps_its_zone_from_orders(
    duties: DutyDeployment,
) -> None:
    """Through all parts of a host: without the wiring, no zone would be left out."""
    duties.settings = replace(
        duties.settings, reports_usage=False, orders_upstreams=True, most_upstreams=5
    )
    duties.deployment.publish(2, "k1", scaling=SCALING)
    store, key = duties.deployment.store, f"{EVACUATION_PREFIX}hall-b"
    store.put(CONFIG_TOPIC, key, b"{}")
    duties.start(1)
    wait_for(lambda: orders(duties) == [("hall-a", 4, True)])
    threading.Event().wait(1.0)
    assert {zone for zone, _, _ in orders(duties)} == {"hall-a"}
    store.put(CONFIG_TOPIC, key, None)
    wait_for(lambda: ("hall-b", 4, True) in orders(duties))


def test_an_order_is_dropped_if_its_zone_is_evacuated_before_the_call(
    duties: DutyDeployment,
    evacuated: set[AvailabilityZone],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The plan is computed some times a second, and a call follows later."""
    duties.settings = replace(
        duties.settings, reports_usage=False, orders_upstreams=True, most_upstreams=5
    )
    duties.deployment.publish(2, "k1", scaling=SCALING)
    evacuated |= {AvailabilityZone("hall-a"), AvailabilityZone("hall-b")}
    duties.start(1)
    host_duties = duties.hosts[0]._duties
    assert host_duties is not None and host_duties._orders is not None
    wait_for(lambda: host_duties.holds)
    group = ScalingGroup(PoolId("engines"), AvailabilityZone("hall-b"), True)
    monkeypatch.setattr(host_duties._orders, "find_order", lambda now, **_: (group, 4))
    threading.Event().wait(1.0)
    assert orders(duties) == []
    evacuated.clear()
    wait_for(lambda: ("hall-b", 4, True) in orders(duties))
