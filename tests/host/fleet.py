"""Simulation of many hosts that exchange heartbeats, in virtual time, no sockets."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial

from rudderpass._ids import AvailabilityZone, NodeId, Region, RequestId
from rudderpass.directory import ColdStartTraits, RegionMap
from rudderpass.exchange import Assignment, ExchangeCore, Load
from rudderpass.gossip import MIN_HOSTS_FOR_RELAYS, FollowRule, Heartbeat, PeerTable
from rudderpass.gossip._codec import decode_heartbeat, encode_heartbeat
from rudderpass.gossip._transport import MAX_DATAGRAM_BYTES
from rudderpass.host._gossip_protocol import GossipProtocol
from tests.directory.builders import make_route
from tests.exchange.builders import assign, make_core, make_request, parts

HEARTBEAT_SECONDS = 0.25
DELAY_SECONDS = 0.005
HEADER_BYTES = 28
"""Of IP and UDP, for each datagram."""


class FleetHost:
    """One simulated host: its gossip protocol and exchange core."""

    def __init__(
        self,
        name: NodeId,
        zone: AvailabilityZone,
        link_mbps: int,
        upstreams: int,
        cold_start: ColdStartTraits | None = None,
        regions: Mapping[AvailabilityZone, Region] | None = None,
    ) -> None:
        self.name = name
        self.link_mbps = link_mbps
        self.zone = zone
        self.follows_store = False
        self.peer_table = PeerTable(name, random.Random(name))
        self.core: ExchangeCore = make_core(
            make_route(),
            upstreams=upstreams,
            cold_start=cold_start,
            rank_host=self.peer_table.rank_host,
            regions=RegionMap(regions, (regions or {}).get(zone)),
        )
        self.rule = FollowRule(name, self.peer_table, -10.0)
        self.protocol = GossipProtocol(
            name,
            zone,
            link_mbps,
            self.core,
            self.peer_table,
            lambda now: self.follows_store,
        )
        self.is_up = True

    def is_relayed(self, now: float) -> bool:
        return self.rule.count_hosts(now) >= MIN_HOSTS_FOR_RELAYS


class Fleet:
    """Hosts in zones; datagrams take DELAY_SECONDS and may be lost.

    :param loss: share of the datagrams that get lost.
    :param links: link bandwidths, Mbit/s, assigned to the hosts of a zone in turn.
    :param regions: the region of each zone, as in the settings of all hosts.
    :ivar sent: the datagrams sent, as sender, recipient and content, if recorded.
    :ivar blocked_links: pairs of sender and recipient whose datagrams are lost.
    """

    def __init__(
        self,
        hosts: int,
        zones: int,
        upstreams: int = 6,
        loss: float = 0.0,
        links: tuple[int, ...] = (100,),
        cold_start: ColdStartTraits | None = None,
        regions: Mapping[AvailabilityZone, Region] | None = None,
    ) -> None:
        self.now = 0.0
        self.sent: list[tuple[NodeId, NodeId, bytes]] | None = None
        self.received: Counter[NodeId] = Counter()
        self.blocked_links: set[tuple[NodeId, NodeId]] = set()
        self._upstreams = upstreams
        self._regions = regions
        self._rng = random.Random(7)
        self._loss = loss
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self.hosts = {
            (name := NodeId(f"10.{number % zones}.0.{number // zones + 1}:7000")): (
                FleetHost(
                    name,
                    AvailabilityZone(f"hall-{number % zones}"),
                    links[number // zones % len(links)],
                    upstreams,
                    cold_start,
                    regions,
                )
            )
            for number in range(hosts)
        }
        for host in self.hosts.values():
            host.peer_table.add(self.hosts)
            self._after(
                self._rng.uniform(0.0, HEARTBEAT_SECONDS), partial(self._start, host)
            )

    def run(self, seconds: float) -> None:
        """Advance time."""
        until = self.now + seconds
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = until

    def restart(self, host: FleetHost) -> FleetHost:
        """Restart a host; it knows only which peers it may greet."""
        started = FleetHost(
            host.name,
            host.zone,
            host.link_mbps,
            self._upstreams,
            regions=self._regions,
        )
        self.hosts[host.name] = started
        started.peer_table.add(self.hosts)
        self._start(started)
        return started

    def send_now(self, host: FleetHost) -> None:
        """Send a host's next heartbeat at once, as after a crash."""
        self._send_heartbeats(host)

    def up(self) -> list[FleetHost]:
        """Return the hosts that are up."""
        return [host for host in self.hosts.values() if host.is_up]

    def relays(self, zone: str) -> list[FleetHost]:
        """Return the hosts of a zone that act as relays."""
        return [h for h in self.up() if h.zone == zone and h.protocol.is_relay]

    def send(self, host: FleetHost, name: str, tokens: int = 8000) -> Assignment:
        """Assign a prompt at a host; other prompts may share its first part."""
        request = make_request(
            request_id=RequestId(name), parts=parts((name, tokens), (f"own-{name}", 50))
        )
        return assign(host.core, request, self.now)

    def actual_load(self) -> dict[str, Load]:
        """Return the actual load, the sum of all hosts' own requests in flight."""
        total: dict[str, Load] = {}
        for host in self.up():
            for upstream, load in host.core.loads.own.items():
                total[upstream] = total.get(upstream, Load()) + load
        return total

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + seconds, next(self._order), action))

    def _start(self, host: FleetHost) -> None:
        """Greet all hosts listed in the store, as a starting host does."""
        data = encode_heartbeat(
            host.protocol.make_greeting(self.now, host.is_relayed(self.now))
        )
        for target in host.peer_table.silent(self.now):
            self._deliver(host.name, target, data)
        self._tick(host)

    def _tick(self, host: FleetHost) -> None:
        if self.hosts[host.name] is not host:
            return  # The host was restarted.
        self._after(HEARTBEAT_SECONDS, partial(self._tick, host))
        if not host.is_up:
            return
        host.core.tick(self.now)
        host.core.quarantine.tick(self.now)
        self._send_heartbeats(host)

    def _send_heartbeats(self, host: FleetHost) -> None:
        messages = host.protocol.compose(self.now, host.is_relayed(self.now))
        for message in messages:
            data = encode_heartbeat(message.heartbeat)
            assert len(data) <= MAX_DATAGRAM_BYTES
            for target in message.targets:
                self._deliver(host.name, target, data)

    def _deliver(self, sender: NodeId, target: NodeId, data: bytes) -> None:
        if self.sent is not None:
            self.sent.append((sender, target, data))
        if (sender, target) in self.blocked_links:
            return
        if self._rng.random() >= self._loss:
            self._after(DELAY_SECONDS, partial(self._receive, sender, target, data))

    def _receive(self, sender: NodeId, target: NodeId, data: bytes) -> None:
        host = self.hosts[target]
        if not host.is_up:
            return
        self.received[target] += 1
        heartbeat: Heartbeat = decode_heartbeat(data, sender)
        if host.protocol.receive(heartbeat, self.now):
            greeting = host.protocol.make_greeting(self.now, host.is_relayed(self.now))
            self._deliver(target, sender, encode_heartbeat(greeting))
