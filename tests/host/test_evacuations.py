"""Evacuations on hosts: propagation, starts, suspensions, operators' access."""

from __future__ import annotations

import http.client
import json
import threading
from collections.abc import Iterator

import pytest
from click.testing import CliRunner

from rudderpass import _clock
from rudderpass._ids import AvailabilityZone, NodeId, StoreEra
from rudderpass.cli import main
from rudderpass.directory import EvacuationStatement, LogPosition
from rudderpass.gossip import Heartbeat, encode_heartbeat
from rudderpass.gossip._transport import MAX_DATAGRAM_BYTES
from rudderpass.host import ExchangeHost
from rudderpass.host._warmup import CacheWarmup
from rudderpass.platform import CONFIG_TOPIC, EVACUATION_PREFIX
from tests.directory.builders import ZONE, evacuation_record
from tests.exchange.harness import FakeUpstream, respond
from tests.host.fleet import Fleet, FleetHost
from tests.host.test_host import (
    ZONE as HOST_ZONE,
    Deployment,
    deployment,
    get,
    read_gauge,
    wait_for,
)
from tests.host.test_suspension import Suspend, link, suspend
from tests.platform.store import StandInStore
from tests.soak.proxy import LinkFault, Proxy

__all__ = ["deployment", "link", "suspend"]

KEY = f"{EVACUATION_PREFIX}{HOST_ZONE}"
OK, UNAVAILABLE = 200, 503
ERA, NEXT_ERA = StoreEra(0), StoreEra(1)

SMALL_FLEET, LARGE_FLEET = 6, 60
"""Host counts below and above the threshold for using relays."""

SPREAD_SECONDS = 1.5
"""Within this time all hosts of a fleet know, over relays and with lost datagrams."""

GREETING_SECONDS = 0.05
AT_ONCE_SECONDS = 2.0
"""Silent peers are greeted after 3 s, which would also tell them."""

DOWN_SECONDS = 4.0
"""Peers do not count a host as live that was down for so long."""


# Simulated hosts: the first follows the store, the others only hear peers.


def evacuate(fleet: Fleet, offset: int = 1, value: bytes | None = b"{}") -> None:
    """Let the first host read a record, and announce it."""
    follower = fleet.up()[0]
    record = evacuation_record(offset, value=value)
    follower.core.directory.apply_config_changes(
        [record], offset + 1, "store", fleet.now, ERA
    )
    fleet.send_now(follower)


def know(hosts: list[FleetHost]) -> int:
    """Return how many hosts know of the evacuation."""
    return sum(h.core.directory.evacuations.is_evacuated(ZONE) for h in hosts)


@pytest.fixture(params=[SMALL_FLEET, LARGE_FLEET])
def fleet(request: pytest.FixtureRequest) -> Fleet:
    created = Fleet(request.param, zones=3, loss=0.1)
    created.run(4.0)
    return created


def test_all_hosts_learn_of_the_start_and_the_end(fleet: Fleet) -> None:
    evacuate(fleet)
    fleet.run(SPREAD_SECONDS)
    assert know(fleet.up()) == len(fleet.up())
    evacuate(fleet, 2, None)
    fleet.run(SPREAD_SECONDS)
    assert know(fleet.up()) == 0
    assert all(
        host.core.directory.evacuations.ended_at(ZONE) is not None
        for host in fleet.up()
    )


def test_an_update_from_the_store_tells_all_live_hosts_in_one_message() -> None:
    fleet = Fleet(LARGE_FLEET, zones=3)
    fleet.run(4.0)
    follower = fleet.up()[0]
    record = evacuation_record(1)
    directory = follower.core.directory
    learned = directory.apply_config_changes([record], 2, "store", fleet.now, ERA)
    assert learned, "the host announces what the directory reports as a change"
    messages = follower.protocol.compose(fleet.now, True, has_store_update=True)
    told = {
        target
        for message in messages
        if message.heartbeat.evacuations
        for target in message.targets
    }
    assert told == set(fleet.hosts) - {follower.name}


def test_digests_of_relays_carry_it_on() -> None:
    fleet = Fleet(LARGE_FLEET, zones=3)
    fleet.run(4.0)
    relay = fleet.relays("hall-1")[0]
    statement = EvacuationStatement(ZONE, LogPosition(ERA, 1), True)
    relay.core.directory.evacuations.merge([statement], "peer p", fleet.now)
    messages = relay.protocol.compose(fleet.now, True)
    digests = [m for m in messages if m.heartbeat.digest is not None]
    assert len(digests) == 2
    assert all(m.heartbeat.evacuations == (statement,) for m in messages)


def test_a_host_that_starts_during_it_hears_it_in_the_first_greeting(
    fleet: Fleet,
) -> None:
    evacuate(fleet)
    host = fleet.up()[-1]
    host.is_up = False
    fleet.run(DOWN_SECONDS)
    started = fleet.restart(host)
    fleet.run(GREETING_SECONDS)
    assert know([started]) == 1


def test_a_host_that_restarts_quickly_hears_it_with_the_first_heartbeat(
    fleet: Fleet,
) -> None:
    """Peers that still count it as live do not greet it; it must not serve before."""
    evacuate(fleet)
    fleet.run(SPREAD_SECONDS)
    started = fleet.restart(fleet.up()[-1])
    fleet.received.clear()
    while not fleet.received[started.name]:
        fleet.run(0.001)
    assert know([started]) == 1


def test_it_survives_the_restart_of_all_hosts_but_one(fleet: Fleet) -> None:
    evacuate(fleet)
    fleet.run(SPREAD_SECONDS)
    for host in fleet.up()[1:]:
        fleet.restart(host)
    fleet.run(SPREAD_SECONDS)
    assert know(fleet.up()) == len(fleet.up())


def test_a_host_cut_off_during_the_end_learns_it_and_does_not_revive_it(
    fleet: Fleet,
) -> None:
    evacuate(fleet)
    fleet.run(SPREAD_SECONDS)
    cut = fleet.up()[-1]
    links = {(cut.name, other) for other in fleet.hosts}
    fleet.blocked_links |= links | {(other, cut.name) for other in fleet.hosts}
    evacuate(fleet, 2, None)
    fleet.run(30.0)
    assert know(fleet.up()) == 1
    fleet.blocked_links.clear()
    fleet.run(2 * SPREAD_SECONDS)
    assert know(fleet.up()) == 0


def test_an_end_by_lists_of_a_newer_era_reaches_hosts_without_the_store(
    fleet: Fleet,
) -> None:
    evacuate(fleet)
    fleet.run(SPREAD_SECONDS)
    directory = fleet.up()[0].core.directory
    directory.apply_config_list([], 1, "store", fleet.now, NEXT_ERA)
    fleet.run(9.5)
    directory.apply_config_changes([], 1, "store", fleet.now, NEXT_ERA)
    assert know(fleet.up()) == len(fleet.up())
    fleet.run(0.5 + SPREAD_SECONDS)
    assert know(fleet.up()) == 0


def test_a_record_written_again_in_a_newer_era_holds_everywhere(
    fleet: Fleet,
) -> None:
    evacuate(fleet)
    fleet.run(SPREAD_SECONDS)
    first, second = fleet.up()[:2]
    first.core.directory.apply_config_list([], 1, "store", fleet.now, NEXT_ERA)
    fleet.run(9.9)
    second.core.directory.apply_config_list(
        [evacuation_record(1)], 2, "store", fleet.now, NEXT_ERA
    )
    fleet.run(10.0)
    assert know(fleet.up()) == len(fleet.up())


def test_the_longest_heartbeat_with_evacuations_fits_into_a_datagram() -> None:
    fleet = Fleet(LARGE_FLEET, zones=3)
    fleet.run(4.0)
    statements = [
        EvacuationStatement(
            AvailabilityZone(f"{number:0200d}"), LogPosition(ERA, number), True
        )
        for number in range(100)
    ]
    for host in fleet.up():
        evacuations = host.core.directory.evacuations
        before = encode_heartbeat(host.protocol.make_greeting(fleet.now, True))
        evacuations.merge(statements, "peer p", fleet.now)
        after = encode_heartbeat(host.protocol.make_greeting(fleet.now, True))
        assert len(after) - len(before) < 5000
        for message in host.protocol.compose(fleet.now, True):
            assert len(encode_heartbeat(message.heartbeat)) <= MAX_DATAGRAM_BYTES


# Complete hosts.


@pytest.fixture
def down() -> Iterator[StandInStore]:
    """A store that answers no call."""
    created = StandInStore()
    created.status = UNAVAILABLE
    yield created
    created.close()


def start(deployment: Deployment, *seeds: str, store: str = "") -> ExchangeHost:
    deployment.publish(1, "k1")
    deployment.register()
    host = deployment.start(*seeds, store=store)
    wait_for(lambda: host.is_ready and deployment.ask(host) != 0)
    return host


def listed(host: ExchangeHost) -> list[dict[str, object]]:
    zones: list[dict[str, object]] = json.loads(
        get(host.metrics_address, "/evacuations")[1]
    )
    return zones


def test_a_host_refuses_while_its_only_zone_is_evacuated(
    deployment: Deployment,
) -> None:
    host = start(deployment)
    assert deployment.ask(host) == OK
    deployment.store.put(CONFIG_TOPIC, KEY, b"{}")
    wait_for(lambda: bool(listed(host)))
    ran = len(deployment.upstream.received)
    assert deployment.ask(host) == UNAVAILABLE
    assert len(deployment.upstream.received) == ran
    deployment.store.put(CONFIG_TOPIC, KEY, None)
    wait_for(lambda: deployment.ask(host) == OK)


def test_a_host_started_during_it_sends_nothing(deployment: Deployment) -> None:
    deployment.store.put(CONFIG_TOPIC, KEY, b"{}")
    host = start(deployment)
    assert deployment.ask(host) == UNAVAILABLE
    assert deployment.upstream.received == []


def test_a_host_without_the_store_learns_at_once_from_a_peer(
    deployment: Deployment, down: StandInStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The change wakes the next heartbeat, which is otherwise far away here."""
    first = start(deployment)
    second = deployment.start(first.peer_address, store=down.address)
    wait_for(lambda: deployment.ask(second) == OK)
    monkeypatch.setattr("rudderpass.host._peers.HEARTBEAT_SECONDS", 1000.0)
    for host in (first, second):
        wait_for(lambda: host._peers._next_heartbeat_at > _clock.now() + 100.0)
    began = _clock.now()
    deployment.store.put(CONFIG_TOPIC, KEY, b"{}")
    wait_for(lambda: bool(listed(second)))
    assert _clock.now() - began < AT_ONCE_SECONDS
    assert deployment.ask(second) == UNAVAILABLE
    deployment.store.put(CONFIG_TOPIC, KEY, None)
    wait_for(lambda: not listed(second))
    assert deployment.ask(second) == OK


def test_what_a_host_hears_from_a_peer_it_tells_on_at_once(
    deployment: Deployment, down: StandInStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As a relay must: only the second host hears the heartbeat."""
    first = start(deployment)
    second = deployment.start(first.peer_address, store=down.address)
    wait_for(lambda: deployment.ask(second) == OK)
    monkeypatch.setattr("rudderpass.host._peers.HEARTBEAT_SECONDS", 1000.0)
    for host in (first, second):
        wait_for(lambda: host._peers._next_heartbeat_at > _clock.now() + 100.0)
    heartbeat = Heartbeat(
        NodeId("127.0.0.1:1"),
        -1,
        0,
        False,
        None,
        (),
        (),
        evacuations=(EvacuationStatement(HOST_ZONE, LogPosition(ERA, 99), True),),
    )
    began = _clock.now()
    second._peers._receive_heartbeat(heartbeat)
    wait_for(lambda: bool(listed(first)))
    assert _clock.now() - began < AT_ONCE_SECONDS


def test_a_host_started_without_the_store_sends_nothing_there(
    deployment: Deployment, down: StandInStore
) -> None:
    """The peer's greeting carries it, before the state that makes the host serve."""
    deployment.store.put(CONFIG_TOPIC, KEY, b"{}")
    first = start(deployment)
    deployment.store.status = UNAVAILABLE
    second = deployment.start(first.peer_address, store=down.address)
    wait_for(lambda: second.is_ready)
    for _ in range(3):
        assert deployment.ask(second) == UNAVAILABLE
    assert deployment.upstream.received == []


def test_a_compacted_removal_is_read_from_the_list(deployment: Deployment) -> None:
    deployment.store.put(CONFIG_TOPIC, KEY, b"{}")
    host = start(deployment)
    deployment.store.status = UNAVAILABLE
    wait_for(lambda: read_gauge(host, "store_reachable") == 0)
    deployment.store.put(CONFIG_TOPIC, KEY, None)
    deployment.publish(2, "k1")
    deployment.store.compact(CONFIG_TOPIC)
    deployment.store.status = 0
    wait_for(lambda: deployment.ask(host) == OK)
    assert read_gauge(host, "store_histories_lost") >= 1


def test_a_store_that_lost_the_record_does_not_end_it_at_once(
    deployment: Deployment,
) -> None:
    host = start(deployment)
    copy = deployment.store.copy()
    deployment.store.put(CONFIG_TOPIC, KEY, b"{}")
    wait_for(lambda: bool(listed(host)))
    deployment.store.restore(copy)
    wait_for(lambda: read_gauge(host, "store_era") == 1)
    assert deployment.ask(host) == UNAVAILABLE
    deployment.store.put(CONFIG_TOPIC, KEY, b"{}")
    deployment.store.put(CONFIG_TOPIC, KEY, None)
    wait_for(lambda: deployment.ask(host) == OK)


def test_an_evacuation_begun_during_a_suspension_is_known_before_serving(
    deployment: Deployment, link: Proxy, suspend: Suspend
) -> None:
    host = start(deployment, store=link.address)
    assert deployment.ask(host) == OK
    link.set_fault(LinkFault.SILENT)
    deployment.store.put(CONFIG_TOPIC, KEY, b"{}")
    suspend()
    ran = len(deployment.upstream.received)
    assert deployment.ask(host) == UNAVAILABLE
    link.set_fault(LinkFault.NONE)
    wait_for(lambda: host.is_ready)
    assert deployment.ask(host) == UNAVAILABLE
    assert len(deployment.upstream.received) == ran
    assert listed(host)


def test_a_cache_query_is_checked_again_right_before_it(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Queries come one after another, and a zone may be evacuated meanwhile."""
    query = CacheWarmup._query_upstream

    def evacuate_then_query(warmup: CacheWarmup, entry: object) -> None:
        directory = warmup._parts.core.directory
        record = evacuation_record(9, HOST_ZONE)
        with warmup._parts.lock:
            directory.apply_config_changes([record], 10, "store", _clock.now(), ERA)
        query(warmup, entry)  # type: ignore[arg-type]

    monkeypatch.setattr(CacheWarmup, "_query_upstream", evacuate_then_query)
    deployment.publish(1, "k1", engine=True)
    deployment.register()
    host = deployment.start()
    wait_for(lambda: host.is_warm)
    assert deployment.upstream.received == []


def test_a_cache_query_is_checked_again_after_connecting(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Connecting takes up to a second, in which the zone may be evacuated."""
    connect = http.client.HTTPConnection.connect
    hosts: list[ExchangeHost] = []

    def connect_then_evacuate(connection: http.client.HTTPConnection) -> None:
        connect(connection)
        if f"{connection.host}:{connection.port}" == deployment.upstream.address:
            host, record = hosts[0], evacuation_record(9, HOST_ZONE)
            with host._lock:
                host._directory.apply_config_changes(
                    [record], 10, "store", _clock.now(), ERA
                )

    monkeypatch.setattr(http.client.HTTPConnection, "connect", connect_then_evacuate)
    deployment.publish(1, "k1", engine=True)
    deployment.register()
    hosts.append(deployment.start())
    wait_for(lambda: hosts[0].is_warm)
    assert deployment.upstream.received == []


def test_operators_see_the_zone_and_what_still_runs_there(
    deployment: Deployment,
) -> None:
    def answer_late(upstream: FakeUpstream, *arguments: object) -> None:
        wait_for(lambda: bool(listed(host)))
        assert listed(host)[0]["running"] == 1
        assert read_gauge(host, "requests_in_evacuated_zones") == 1
        respond()(upstream, *arguments)  # type: ignore[arg-type]

    host = start(deployment)
    assert read_gauge(host, "zones_evacuated") == 0
    shown = run_list(host)
    assert shown == ["0 zones are evacuated"]
    ran = len(deployment.upstream.received)
    deployment.upstream.behaviour = answer_late
    record_later(deployment, ran)
    assert deployment.ask(host) == OK, "a running request finishes"
    assert read_gauge(host, "zones_evacuated") == 1
    assert read_gauge(host, "requests_in_evacuated_zones") == 0
    shown = run_list(host)
    assert shown[0].startswith(f"{HOST_ZONE} known for ")
    assert shown[0].endswith(" s, 0 requests still running")
    assert shown[1] == "1 zones are evacuated"
    (as_json,) = json.loads("\n".join(run_list(host, "--json")))
    assert as_json["zone"] == HOST_ZONE
    assert as_json["running"] == 0
    assert as_json["seconds_known"] >= 0.0


def record_later(deployment: Deployment, ran: int) -> None:
    """Evacuate the zone once the upstream has received a further request."""

    def put() -> None:
        wait_for(lambda: len(deployment.upstream.received) > ran)
        deployment.store.put(CONFIG_TOPIC, KEY, b"{}")

    threading.Thread(target=put, daemon=True).start()


def run_list(host: ExchangeHost, *options: str) -> list[str]:
    arguments = ["evacuations", "list", *options, host.metrics_address]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    return result.output.strip().splitlines()


def test_the_list_of_a_host_that_does_not_answer_is_an_error() -> None:
    arguments = ["evacuations", "list", "127.0.0.1:1"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code != 0
    assert "no answer" in result.output
