"""Which connections a host relays for others."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import pytest

from rudderpass._ids import NodeId
from rudderpass.exchange import ExchangeCore
from rudderpass.host._tunnels import HostTunnels
from rudderpass.tunnels import (
    DirectFailure,
    OpenRequest,
    PeerDialer,
    TunnelRefused,
    TunnelStatus,
    open_tunnel,
)
from tests.directory.builders import ZONE
from tests.exchange.builders import make_core
from tests.exchange.test_serve import capture_log
from tests.gossip.test_peer_table import make_peer_table
from tests.listener import Listener

PEER_IP = "127.0.0.1"


@pytest.fixture
def core() -> ExchangeCore:
    return make_core()


@pytest.fixture
def tunnels(core: ExchangeCore) -> Iterator[HostTunnels]:
    peers = make_peer_table()
    peers.add([NodeId(f"{PEER_IP}:7000")])
    made = HostTunnels(
        "127.0.0.1:0", ZONE, core, threading.RLock(), peers, threading.Event()
    )
    made.start()
    yield made
    made.close()


def status(tunnels: HostTunnels, ip: str, target: str) -> TunnelStatus:
    return tunnels._find_status(ip, OpenRequest(target, 0.2))


def test_only_hosts_are_served_and_only_listed_upstreams_reached(
    tunnels: HostTunnels, core: ExchangeCore
) -> None:
    address, *_ = [item.entry.address for item in core.directory.listed.values()]
    assert status(tunnels, PEER_IP, address) is TunnelStatus.OPEN
    assert status(tunnels, "10.9.9.9", address) is TunnelStatus.NOT_ALLOWED
    assert status(tunnels, PEER_IP, "10.0.0.99:22") is TunnelStatus.NOT_ALLOWED


def test_an_unlisted_target_is_not_connected_to(tunnels: HostTunnels) -> None:
    connected = threading.Event()
    listener = Listener(lambda sock: connected.set())
    dialer = tunnels.dialer
    assert isinstance(dialer, PeerDialer)
    with pytest.raises(TunnelRefused):
        open_tunnel(f"127.0.0.1:{dialer._tunnel_port}", listener.address, 2.0)
    assert not connected.is_set()
    listener.close()


def test_a_stopping_host_relays_nothing_more(
    tunnels: HostTunnels, core: ExchangeCore
) -> None:
    address, *_ = [item.entry.address for item in core.directory.listed.values()]
    core.stop()
    assert status(tunnels, PEER_IP, address) is TunnelStatus.STOPPING


def test_a_host_that_is_cut_off_too_says_so_at_once(
    tunnels: HostTunnels, core: ExchangeCore
) -> None:
    address, *_ = [item.entry.address for item in core.directory.listed.values()]
    dialer = tunnels.dialer
    assert isinstance(dialer, PeerDialer)
    dialer.record_probe(address, DirectFailure.UNREACHABLE)
    assert status(tunnels, PEER_IP, address) is TunnelStatus.UNREACHABLE
    dialer.record_probe(address, DirectFailure.REFUSED)
    assert status(tunnels, PEER_IP, address) is TunnelStatus.REFUSED
    dialer.record_probe(address, None)
    assert status(tunnels, PEER_IP, address) is TunnelStatus.OPEN


def test_a_host_without_a_tunnel_address_connects_directly_only() -> None:
    made = HostTunnels(
        None,
        ZONE,
        make_core(),
        threading.RLock(),
        make_peer_table(),
        threading.Event(),
    )
    assert not isinstance(made.dialer, PeerDialer)
    assert made.threads == []
    assert (made.open_count, made.broken_count) == (0, 0)
    made.start()
    made.close()


def test_a_host_without_a_tunnel_port_logs_that_it_has_no_tunnels(
    core: ExchangeCore,
) -> None:
    stopping = threading.Event()
    made = HostTunnels(None, ZONE, core, threading.RLock(), make_peer_table(), stopping)
    with capture_log() as lines:
        made.start()
    assert [line["message_type"] for line in lines] == ["tunnel"]
