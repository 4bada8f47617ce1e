"""Hosts tell one another origins and ask for them; some are lost or start again."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Iterable, Iterator

import pytest

from rudderpass import _clock
from rudderpass._ids import NodeId, SoftwareVersion, StoreEra
from rudderpass.directory import KeyedPage, KeyedRecord
from rudderpass.errors import PlatformError
from rudderpass.exchange import ExchangeCore
from rudderpass.gossip import Heartbeat, OriginMessage, PeerTable
from rudderpass.host._origins import (
    ASK_SECONDS,
    ISOLATED_SECONDS,
    LISTEN_SECONDS,
    PeerOrigins,
)
from rudderpass.origins import StreamKey
from tests.directory.builders import (
    SERVICE,
    ZONE,
    FakeDecoders,
    config_record,
    make_directory,
    make_upstream,
    upstream_record,
)
from tests.exchange.builders import RULE

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
LEFT = 8.0


class MemoryStore:
    """A store that keeps the newest records of one topic."""

    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}
        self.calls = 0
        self.is_away = False

    def read_newest(self, topic: str) -> KeyedPage:
        self._count()
        records = [KeyedRecord(n, *item) for n, item in enumerate(self.records.items())]
        return KeyedPage(tuple(records), len(records), StoreEra(0))

    def read_from(self, topic: str, offset: int, wait: float) -> KeyedPage:
        raise NotImplementedError

    def append(self, topic: str, key: str, value: bytes) -> StoreEra:
        self._count()
        self.records[key] = value
        return StoreEra(0)

    def _count(self) -> None:
        self.calls += 1
        if self.is_away:
            raise PlatformError("the store is away", step="call")


class Network:
    """Hosts whose datagrams arrive at once, or never on cut links.

    :ivar sent: number of datagrams sent.
    :ivar recorded: hosts that scheduled a write of their record, in order.
    """

    def __init__(self, versions: tuple[SoftwareVersion, ...]) -> None:
        self.store = MemoryStore()
        self.versions = versions
        self.hosts: dict[NodeId, PeerOrigins] = {}
        self.cores: dict[NodeId, ExchangeCore] = {}
        self.tables: dict[NodeId, PeerTable] = {}
        self.cut: set[NodeId] = set()
        self.sent = 0
        self.recorded: list[NodeId] = []
        self.stopping = threading.Event()

    def start(self, count: int) -> list[PeerOrigins]:
        names = [NodeId(f"10.0.0.{n}:7000") for n in range(1, count + 1)]
        started = [self._make(name, names) for name in names]
        for name in names:
            self.hear(name)
        for host in started:
            host.record_registered(())
        return started

    def hear(self, name: NodeId) -> None:
        """Let a host hear all others that it is not cut off from."""
        for other in self.hosts:
            if other != name and not {name, other} & self.cut:
                beat = Heartbeat(other, 0, 2, False, {}, (), ())
                self.tables[name].receive_heartbeat(beat, _clock.now())

    def kill(self, host: PeerOrigins) -> None:
        self.hosts = {name: h for name, h in self.hosts.items() if h is not host}

    def name_of(self, host: PeerOrigins) -> NodeId:
        return next(name for name, known in self.hosts.items() if known is host)

    def begin(
        self, host: PeerOrigins, key: StreamKey, version: SoftwareVersion
    ) -> None:
        core = self.cores[self.name_of(host)]
        now = _clock.now()
        origin = core.origins.record_begun(SERVICE, key, version, LEFT, now)
        if core.origins.has_several_versions(SERVICE, now):
            host.tell(origin)

    def find(self, host: PeerOrigins, key: StreamKey) -> SoftwareVersion | None:
        found = host.find(key, _clock.now() + 5.0)
        return None if found is None else found.version

    def _make(self, name: NodeId, names: Iterable[NodeId]) -> PeerOrigins:
        records = FakeDecoders()
        for number, version in enumerate(self.versions, 1):
            records.upstreams[f"u{number}"] = make_upstream(number, version=version)
        directory = make_directory(records)
        directory.apply_config([config_record(0, 1)], 1, "store")
        listed = [
            upstream_record(number - 1, number)
            for number in range(1, len(self.versions) + 1)
        ]
        now = _clock.now()
        directory.apply_upstream_changes(listed, len(listed), "store", now)
        core = ExchangeCore(ZONE, directory, RULE, 10.0, lambda: 1)
        core.tick(now)
        table = PeerTable(name, random.Random(name))
        table.add(names)
        self.cores[name], self.tables[name] = core, table

        def send(message: OriginMessage, peers: Iterable[NodeId]) -> None:
            for peer in peers:
                self.sent += 1
                if not {name, peer} & self.cut and peer in self.hosts:
                    self.hosts[peer].receive(message, name)

        self.hosts[name] = PeerOrigins(
            core,
            threading.RLock(),
            table,
            name,
            send,
            self.store,
            "origins",
            lambda: self.recorded.append(name),
            self.stopping,
        )
        return self.hosts[name]


@pytest.fixture
def network() -> Iterator[Network]:
    made = Network((V1, V2))
    yield made
    made.stopping.set()


KEYS = [StreamKey(b"stream %d" % number) for number in range(20)]


def load_archives(hosts: Iterable[PeerOrigins]) -> None:
    for host in hosts:
        host.archive._load()


def test_any_host_learns_an_origin_while_half_of_the_hosts_are_lost(
    network: Network,
) -> None:
    hosts = network.start(8)
    load_archives(hosts)
    for number, key in enumerate(KEYS):
        network.begin(hosts[number % 4], key, V1)
    for host in hosts[:4]:
        network.kill(host)
    found = [network.find(hosts[4 + n % 4], key) for n, key in enumerate(KEYS)]
    assert set(found) <= {V1, None}
    assert found.count(V1) >= 0.8 * len(KEYS)


def test_an_unknown_stream_is_settled_by_the_answers_alone(network: Network) -> None:
    hosts = network.start(8)
    load_archives(hosts)
    began = time.monotonic()
    assert network.find(hosts[0], KEYS[0]) is None
    assert time.monotonic() - began < ASK_SECONDS / 2


def test_silent_keepers_delay_a_resumed_stream_for_a_bounded_time(
    network: Network,
) -> None:
    hosts = network.start(4)
    load_archives(hosts)
    for host in hosts[1:]:
        network.kill(host)
    began = time.monotonic()
    assert network.find(hosts[0], KEYS[0]) is None
    assert ASK_SECONDS / 2 < time.monotonic() - began < 2 * ASK_SECONDS


def test_hosts_that_join_are_told_the_streams_that_they_keep_now(
    network: Network,
) -> None:
    first, second = network.start(2)
    network.begin(first, KEYS[0], V2)
    first.tick(_clock.now())
    third = NodeId("10.0.0.3:7000")
    started = network._make(third, network.hosts)
    for name in list(network.hosts):
        network.hear(name)
    first.tick(_clock.now())
    found = network.cores[third].origins.find(KEYS[0], _clock.now())
    assert found is not None and found.version == V2
    assert started is network.hosts[third]


def test_an_archiver_that_starts_reads_what_was_written_before(
    network: Network,
) -> None:
    hosts = network.start(3)
    load_archives(hosts)
    for key in KEYS:
        network.begin(hosts[0], key, V1)
    for host in hosts:
        host.archive._write()
    assert len(network.store.records) == 1
    for host in hosts:
        network.kill(host)
    (started,) = network.start(1)
    asked = threading.Thread(target=started.archive.run, daemon=True)
    asked.start()
    assert [network.find(started, key) for key in KEYS] == [V1] * len(KEYS)


def test_an_archiver_whose_store_is_away_says_nothing_of_what_it_may_lack(
    network: Network,
) -> None:
    (host,) = network.start(1)
    network.store.is_away = True
    with pytest.raises(PlatformError):
        host.archive._load()
    assert network.find(host, KEYS[0]) is None
    assert not host.archive.is_loaded(_clock.now())


def test_a_host_that_hears_nobody_does_not_rely_on_knowing_all_versions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = Network((V1,))
    hosts = network.start(3)
    now = _clock.now()
    assert not hosts[0].may_lack_versions(SERVICE, now + 5.0)
    later = now + ISOLATED_SECONDS + 0.1
    monkeypatch.setattr(_clock, "now", lambda: later)
    assert hosts[0].may_lack_versions(SERVICE, later + 5.0)
    network.hear(network.name_of(hosts[0]))
    assert not hosts[0].may_lack_versions(SERVICE, later + 5.0)


def test_hosts_that_all_started_while_the_store_was_away_take_no_unknown_stream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A version may have ended together with all hosts that knew of it."""
    network = Network((V1,))
    hosts = network.start(3)
    for name, host in network.hosts.items():
        network.cores[name].origins.is_informed = False
        host.record_registered(None)
    later = _clock.now() + LISTEN_SECONDS + 0.1
    monkeypatch.setattr(_clock, "now", lambda: later)
    for name in network.hosts:
        network.hear(name)
    assert all(host.may_lack_versions(SERVICE, later + 5.0) for host in hosts)
    hosts[0].record_registered(())
    assert not hosts[0].may_lack_versions(SERVICE, later + 5.0)
    assert hosts[1].may_lack_versions(SERVICE, later + 5.0)


def test_with_one_version_nothing_is_sent_and_the_store_is_not_called() -> None:
    network = Network((V1, V1))
    hosts = network.start(8)
    for number, key in enumerate(KEYS):
        network.begin(hosts[number % 8], key, V1)
    for host in hosts:
        host.tick(_clock.now())
        host.archive._load()
        host.archive._write()
    assert (network.sent, network.store.calls) == (0, 0)


def test_with_one_version_archivers_record_it_once() -> None:
    network = Network((V1, V1))
    hosts = network.start(8)
    for _ in range(3):
        for host in hosts:
            host.tick(_clock.now())
    assert len(network.recorded) == 1
    (archiver,) = network.recorded
    versions = network.hosts[archiver].read_versions()
    assert {service: set(ages) for service, ages in versions.items()} == {SERVICE: {V1}}


def test_a_version_that_is_on_record_is_not_recorded_again() -> None:
    network = Network((V1, V1))
    for host in network.start(3):
        host.record_registered((), {SERVICE: V1})
        host.tick(_clock.now())
    assert not network.recorded


def test_a_host_records_no_single_version_before_it_has_read_the_records() -> None:
    """It may have taken the place of the one on record, which must not be lost."""
    network = Network((V2,))
    hosts = network.start(3)
    for host in hosts:
        network.cores[host._own].origins.is_informed = False
        host.record_registered(None)
        host.tick(_clock.now())
        assert host.read_versions() == {}
    assert not network.recorded
    for host in hosts:
        host.record_registered((), {SERVICE: V1})
        assert set(host.read_versions()[SERVICE]) == {V1, V2}
