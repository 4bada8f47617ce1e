"""Hosts over sockets while the store comes back from a copy."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from rudderpass._ids import Fingerprint
from rudderpass.gossip import decode_quarantined
from rudderpass.platform import CONFIG_TOPIC, HOSTS_TOPIC, UPSTREAMS_TOPIC
from tests.host.test_host import Deployment, registration, wait_for
from tests.host.test_quarantine import record_three_crashes
from tests.platform.store import StandInStore
from tests.quarantine.builders import BAD

UNAUTHORIZED = 401


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    created = Deployment()
    yield created
    created.close()


def test_a_revoked_key_is_refused_after_the_store_lost_records(
    deployment: Deployment,
) -> None:
    """Guards against hosts that keep reading from an offset that no longer exists."""
    deployment.publish(1, "k1", "k2")
    deployment.register()
    host = deployment.start()
    wait_for(lambda: deployment.ask(host) == 200)
    copy = deployment.store.copy()
    for version in (2, 3, 4):
        deployment.publish(version, "k1", "k2", "k3")
    wait_for(lambda: deployment.ask(host, "k3") == 200)
    deployment.store.restore(copy)
    deployment.publish(5, "k1")
    wait_for(lambda: deployment.ask(host, "k2") == UNAUTHORIZED)
    assert deployment.ask(host, "k1") == 200


@pytest.mark.parametrize("lost", [1, 3])
def test_a_host_that_the_store_refuses_learns_from_peers_what_is_written_again(
    deployment: Deployment, lost: int
) -> None:
    deployment.publish(1, "k1", "k2")
    deployment.register()
    served = deployment.start()
    refused_by = StandInStore()
    refused_by.status = 503
    isolated = deployment.start(served.peer_address, store=refused_by.address)
    copy = deployment.store.copy()
    for version in range(2, 2 + lost):
        deployment.publish(version, "k1", "k2", "k3")
        deployment.store.put(UPSTREAMS_TOPIC, "u2", registration("127.0.0.1:9"))
    wait_for(lambda: deployment.ask(isolated, "k3") == 200)
    deployment.store.restore(copy)
    deployment.publish(8, "k1")
    deployment.register("draining")
    wait_for(lambda: deployment.ask(isolated, "k2") == UNAUTHORIZED)
    wait_for(lambda: deployment.ask(isolated, "k1") == 503)
    refused_by.close()


def test_a_starting_host_takes_the_version_in_force_at_its_peers(
    deployment: Deployment,
) -> None:
    deployment.publish(1, "k1", "k2")
    deployment.register()
    first = deployment.start()
    wait_for(lambda: deployment.ask(first, "k2") == 200)
    copy = deployment.store.copy()
    deployment.publish(2, "k1")
    wait_for(lambda: deployment.ask(first, "k2") == UNAUTHORIZED)
    deployment.store.restore(copy)
    deployment.store.put(CONFIG_TOPIC, "other", b"{}")
    second = deployment.start(first.peer_address)
    wait_for(lambda: deployment.ask(second, "k2") == UNAUTHORIZED)
    assert deployment.ask(first, "k2") == UNAUTHORIZED


def test_a_starting_host_does_not_use_an_upstream_that_its_peers_saw_leaving(
    deployment: Deployment,
) -> None:
    deployment.publish(1, "k1")
    deployment.register()
    first = deployment.start()
    wait_for(lambda: deployment.ask(first) == 200)
    copy = deployment.store.copy()
    deployment.register("draining")
    wait_for(lambda: deployment.ask(first) == 503)
    deployment.store.restore(copy)
    second = deployment.start(first.peer_address)
    wait_for(lambda: deployment.ask(second) == 503 and second.is_ready)
    assert deployment.ask(first) == 503


def test_hosts_that_all_lost_power_during_a_restore_serve_what_is_written_again(
    deployment: Deployment,
) -> None:
    """Hosts keep nothing on disk, so the store's copy is all there is."""
    deployment.publish(1, "k1", "k2")
    deployment.register()
    copy = deployment.store.copy()
    deployment.publish(2, "k1")
    hosts = [deployment.start(), deployment.start()]
    wait_for(lambda: all(deployment.ask(h, "k2") == UNAUTHORIZED for h in hosts))
    for host in hosts:
        host.close()
    deployment.store.restore(copy)
    first = deployment.start()
    second = deployment.start(first.peer_address)
    wait_for(lambda: all(deployment.ask(h) == 200 for h in (first, second)))
    deployment.publish(2, "k1")
    for host in (first, second):
        wait_for(lambda: deployment.ask(host, "k2") == UNAUTHORIZED)


def test_hosts_write_their_records_again_after_the_store_lost_them(
    deployment: Deployment,
) -> None:
    deployment.publish(1, "k1")
    deployment.register()
    first = deployment.start()
    second = deployment.start(first.peer_address)
    hosts = {first.peer_address, second.peer_address}
    wait_for(lambda: set(deployment.store.newest(HOSTS_TOPIC)) == hosts)
    copy = deployment.store.copy()
    del copy[HOSTS_TOPIC]
    deployment.store.restore(copy)
    wait_for(lambda: set(deployment.store.newest(HOSTS_TOPIC)) == hosts)
    record_three_crashes(first)
    wait_for(lambda: BAD in list_archived(deployment.store))
    deployment.store.restore(copy)
    wait_for(lambda: BAD in list_archived(deployment.store))
    first.close()
    deployment.store.restore(copy)
    wait_for(lambda: BAD in list_archived(deployment.store))


def list_archived(store: StandInStore) -> set[Fingerprint]:
    """Return the quarantined requests in the hosts' records."""
    return {
        update.fingerprint
        for value in store.newest(HOSTS_TOPIC).values()
        for update in decode_quarantined(value, time.time())
    }
