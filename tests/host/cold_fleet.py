"""Hosts in virtual time that send to one cold upstream whenever they may.

They use the real peer tables and meters; heartbeats, the list of hosts and the paths
between hosts are simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import replace

from rudderpass._ids import NodeId, UpstreamId
from rudderpass.directory import ColdStartTraits, Directory
from rudderpass.exchange import ColdLimit, ColdStarts, HostRank
from rudderpass.gossip import HEARTBEATS_PER_PEER_SAMPLE, Heartbeat, PeerTable
from tests.directory.builders import SERVICE, make_config
from tests.exchange.builders import fill_directory

RATE = 5.8
LIMIT = ColdLimit(1.5, 5.0)
BOUND = RATE * LIMIT.overage + LIMIT.slack
UPSTREAM = UpstreamId("u1")
COLD_SECONDS = 600.0

HEARTBEAT_SECONDS = 0.5
MAX_WRITE_DELAY = 0.4
"""Seconds from the assignment of a request until it is written, at most."""

RETRY_SECONDS = 0.2
"""Interval at which a host that is no sender tries again."""

NO_LIST_SECONDS = 20.0
"""How long a host that starts without the list of hosts has to wait for it."""

RankSender = Callable[[PeerTable, UpstreamId, float], HostRank | None]


def make_cold_directory(rate: float = RATE, **changes: object) -> Directory:
    """Return a directory whose upstreams are cold from 0 on."""
    config = make_config()
    traits = ColdStartTraits(3.0, rate)
    service = replace(config.find_service(SERVICE) or config.services[0])
    config = replace(config, services=(replace(service, cold_start=traits),))
    values: dict[str, object] = {"upstreams": 1, "cold_seconds": COLD_SECONDS}
    return fill_directory(config, **{**values, **changes})  # type: ignore[arg-type]


def rank_by_known(
    table: PeerTable, upstream: UpstreamId, now: float
) -> HostRank | None:
    return table.rank_cold_sender(upstream, now)


class ColdHost:
    """One start of a host.

    :param started: numbers the starts of the fleet, so that events of a start that
        has ended are told from those of the next.
    """

    def __init__(
        self,
        name: NodeId,
        started: int,
        directory: Directory,
        limit: ColdLimit,
        rank: RankSender,
    ) -> None:
        self.name = name
        self.started = started
        self.table = PeerTable(name, random.Random(name))
        self.cold = ColdStarts(
            directory, limit, lambda upstream, now: rank(self.table, upstream, now)
        )
        self.heartbeats = 0

    def make_heartbeat(self, now: float) -> Heartbeat:
        self.heartbeats += 1
        names_peers = self.heartbeats % HEARTBEATS_PER_PEER_SAMPLE == 0
        peers = self.table.sample_live(now) if names_peers else ()
        return Heartbeat(self.name, 0, 0, False, None, (), peers)


class ColdFleet:
    """A fleet that sends to one cold upstream.

    :ivar writes: when each host wrote a request, by name.
    :ivar side_of: the side of the partition that a host is on; 0 where not given.

    :param rank: how a host ranks itself; tests replace it to break the rule.
    """

    def __init__(
        self,
        hosts: int,
        rate: float = RATE,
        limit: ColdLimit = LIMIT,
        rank: RankSender = rank_by_known,
        seed: int = 0,
    ) -> None:
        self.now = 0.0
        self.writes: dict[NodeId, list[float]] = defaultdict(list)
        self.side_of: dict[NodeId, int] = {}
        self.up: dict[NodeId, ColdHost] = {}
        self._registry: list[NodeId] = []
        self._directory = make_cold_directory(rate)
        self._limit = limit
        self._rank = rank
        self._rng = random.Random(seed)
        self._names = (
            NodeId(f"10.0.{n // 250}.{n % 250}:1") for n in itertools.count()
        )
        self._starts = itertools.count()
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        for _ in range(hosts):
            self.start(next(self._names))

    @property
    def names(self) -> list[NodeId]:
        return list(self.up)

    def start(self, name: NodeId, has_list: bool = True) -> None:
        """Start a host, which reads the list of hosts now or later."""
        host = ColdHost(
            name, next(self._starts), self._directory, self._limit, self._rank
        )
        self.up[name] = host
        delay = 0.0 if has_list else NO_LIST_SECONDS
        self._after(delay, host, lambda: self._read_list(host))
        self._after(self._rng.random() * 0.5, host, lambda: self._beat(host))
        self._after(self._rng.random() * 0.1, host, lambda: self._try_send(host))

    def kill(self, name: NodeId) -> None:
        self.up.pop(name, None)

    def replace(self, name: NodeId) -> None:
        """Replace a host by one with another name, on the same side."""
        new = next(self._names)
        self.side_of[new] = self.side_of.get(name, 0)
        self.kill(name)
        self.start(new)

    def cut(self, sides: Iterable[Iterable[NodeId]]) -> None:
        """Cut the hosts into sides; the others stay on one side of their own."""
        self.side_of = {
            name: number for number, side in enumerate(sides, 1) for name in side
        }

    def heal(self) -> None:
        self.side_of = {}

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def most_in_a_second(self) -> int:
        """Return the maximum number of requests in any second, with both its ends."""
        times = sorted(at for writes in self.writes.values() for at in writes)
        most, first = 0, 0
        for last, at in enumerate(times):
            while at - times[first] > 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most

    def senders_since(self, at: float) -> set[NodeId]:
        return {name for name, writes in self.writes.items() if writes[-1] >= at}

    def _after(self, delay: float, host: ColdHost, action: Callable[[], None]) -> None:
        def run() -> None:
            if self._is_up(host):
                action()

        heapq.heappush(self._events, (self.now + delay, next(self._order), run))

    def _is_up(self, host: ColdHost) -> bool:
        return self.up.get(host.name) is host

    def _read_list(self, host: ColdHost) -> None:
        host.table.apply_list(self._registry, self.now)
        if host.name not in self._registry:
            self._registry.append(host.name)
        self._deliver(host, host.table.silent(self.now))

    def _beat(self, host: ColdHost) -> None:
        self._deliver(host, host.table.targets(self.now))
        host.cold.tick(self.now)
        self._after(HEARTBEAT_SECONDS, host, lambda: self._beat(host))

    def _deliver(self, sender: ColdHost, targets: Iterable[NodeId]) -> None:
        heartbeat = sender.make_heartbeat(self.now)
        for target in targets:
            receiver = self.up.get(target)
            if receiver is None or not self._is_connected(sender.name, target):
                continue
            if receiver.table.receive_heartbeat(heartbeat, self.now):
                greeting = receiver.make_heartbeat(self.now)
                sender.table.receive_heartbeat(greeting, self.now)

    def _is_connected(self, first: NodeId, second: NodeId) -> bool:
        return self.side_of.get(first, 0) == self.side_of.get(second, 0)

    def _try_send(self, host: ColdHost) -> None:
        entries = self._directory.serving(SERVICE)
        waits = host.cold.find_waits(entries, self.now)
        wait = waits.get(UPSTREAM, 0.0)
        if wait == 0.0:
            host.cold.spend(UPSTREAM, self.now)
            delay = self._rng.random() * MAX_WRITE_DELAY
            self._after(delay, host, lambda: self._write(host))
            wait = 0.0
        pause = RETRY_SECONDS if wait is None else wait + 1e-6
        self._after(pause, host, lambda: self._try_send(host))

    def _write(self, host: ColdHost) -> None:
        if host.cold.accept_write(UPSTREAM, self.now):
            self.writes[host.name].append(self.now)
