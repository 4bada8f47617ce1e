"""Hosts agree on evacuated zones whatever they hear in whatever order."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from hypothesis import given, strategies as st

from rudderpass._ids import AvailabilityZone, StoreEra, UpstreamName
from rudderpass.directory import (
    Directory,
    EvacuationStatement,
    KeyedRecord,
    LogPosition,
)
from rudderpass.directory._coverage import RESTORE_CONFIRM_SECONDS
from tests.directory.builders import (
    SERVICE,
    FakeDecoders,
    config_record,
    evacuation_record,
    make_directory,
    make_upstream,
    upstream_record,
)
from tests.fuzz import make_settings

ZONES = [AvailabilityZone(f"zone-{number}") for number in range(1, 4)]
MAX_LOG = 6
MAX_ERAS = 3

Log = list[KeyedRecord]


@dataclass(frozen=True)
class Page:
    """Consecutive records of an era."""

    era: StoreEra
    records: tuple[KeyedRecord, ...]

    def apply(self, directory: Directory) -> None:
        end = self.records[-1].offset + 1
        directory.apply_config_changes(self.records, end, "store", 0.0, self.era)


@dataclass(frozen=True)
class List:
    """The newest record of each key as of an offset."""

    era: StoreEra
    end: int
    records: tuple[KeyedRecord, ...]

    def apply(self, directory: Directory) -> None:
        directory.apply_config_list(self.records, self.end, "store", 0.0, self.era)


@dataclass(frozen=True)
class Told:
    """The statements of a heartbeat."""

    statements: tuple[EvacuationStatement, ...]

    def apply(self, directory: Directory) -> None:
        directory.evacuations.merge(self.statements, "peer p", 0.0)


Event = Page | List | Told


@st.composite
def logs(draw: st.DrawFn) -> list[Log]:
    """Return the log of each era; each begins as a copy of the one before."""
    eras: list[Log] = []
    log: Log = []
    for _ in range(draw(st.integers(1, MAX_ERAS))):
        log = log[: draw(st.integers(0, len(log)))]
        for _ in range(draw(st.integers(0, MAX_LOG))):
            log.append(draw(records(len(log))))
        eras.append(log)
    return eras


@st.composite
def records(draw: st.DrawFn, offset: int) -> KeyedRecord:
    if draw(st.integers(0, 4)) == 0:
        return config_record(offset, offset + 1)
    value = draw(st.sampled_from([b"{}", None]))
    return evacuation_record(offset, draw(st.sampled_from(ZONES)), value)


@st.composite
def store_events(draw: st.DrawFn, eras: Sequence[Log]) -> Event:
    number = draw(st.integers(0, len(eras) - 1))
    era, log = StoreEra(number), eras[number]
    begin = draw(st.integers(0, len(log)))
    end = draw(st.integers(begin, len(log)))
    if begin < end and draw(st.booleans()):
        return Page(era, tuple(log[begin:end]))
    newest = {record.key: record for record in log[:end]}
    listed = tuple(record for record in newest.values() if record.value is not None)
    return List(era, end, listed)


@st.composite
def heard(draw: st.DrawFn) -> list[Event]:
    """Return what can be heard: reads of the store, and heartbeats of other hosts."""
    eras = draw(logs())
    reads = draw(st.lists(store_events(eras), max_size=8))
    told: list[Event] = []
    for _ in range(draw(st.integers(0, 3))):
        peer = make_host()
        for event in draw(st.permutations([*reads, *told])):
            if draw(st.booleans()):
                event.apply(peer)
        if draw(st.booleans()):
            follow_until_confirmed(peer)
        told.append(Told(peer.evacuations.statements(0.0)))
    return [*reads, *told]


def make_host() -> Directory:
    """Return a directory with one upstream in each zone."""
    decoders = FakeDecoders()
    for number, zone in enumerate(ZONES, 1):
        decoders.upstreams[f"u{number}"] = make_upstream(number, zone=zone)
    directory = make_directory(decoders)
    listed = [upstream_record(number, number + 1) for number in range(len(ZONES))]
    directory.apply_upstream_list(listed, len(listed), "store", 0.0, StoreEra(0))
    return directory


def follow_until_confirmed(directory: Directory) -> None:
    """Read each era again without further records, long enough after its list."""
    now = RESTORE_CONFIRM_SECONDS
    for era in range(MAX_ERAS):
        directory.apply_config_changes([], 0, "store", now, StoreEra(era))
    directory.expire(now)


def served_zones(directory: Directory) -> set[AvailabilityZone]:
    """Return the zones that may be sent to, by both checks of a send."""
    served = {entry.zone for entry in directory.serving(SERVICE)}
    accepting = {
        record.entry.zone
        for upstream, record in directory.listed.items()
        if directory.accepts_requests(upstream, 0.0)
    }
    assert served == accepting
    assert served == set(ZONES) - directory.evacuations.zones
    return served


@dataclass
class Oracle:
    """Judges what was heard all at once, without an order."""

    events: Sequence[Event]
    statements: set[tuple[AvailabilityZone, LogPosition, bool]] = field(
        default_factory=set
    )

    def __post_init__(self) -> None:
        for event in self.events:
            self._collect(event)
        for event in self.events:
            if isinstance(event, List):
                self._end_unlisted(event)

    def active(self) -> set[AvailabilityZone]:
        return {zone for zone in ZONES if self._newest(zone)[1]}

    def active_after_restore(self) -> set[AvailabilityZone]:
        """Return those still active once newer lists have lacked the others."""
        newest = max((e.era for e in self.events if isinstance(e, List)), default=-1)
        return {zone for zone in self.active() if self._newest(zone)[0].era >= newest}

    def _newest(self, zone: AvailabilityZone) -> tuple[LogPosition, bool]:
        known = [(at, not active) for z, at, active in self.statements if z == zone]
        at, is_ended = max(known, default=(LogPosition(StoreEra(0), -2), True))
        return at, not is_ended

    def _collect(self, event: Event) -> None:
        if isinstance(event, Told):
            for item in event.statements:
                self.statements.add((item.zone, item.position, item.is_active))
            return
        for record in event.records:
            zone = AvailabilityZone(record.key.removeprefix("evacuate/"))
            if zone != record.key:
                position = LogPosition(event.era, record.offset)
                self.statements.add((zone, position, record.value is not None))

    def _end_unlisted(self, event: List) -> None:
        listed = {record.key for record in event.records}
        end = LogPosition(event.era, event.end - 1)
        for zone, position, is_active in list(self.statements):
            is_covered = position.era == event.era and position <= end
            if is_active and is_covered and f"evacuate/{zone}" not in listed:
                self.statements.add((zone, end, False))


@given(st.data())
@make_settings(400)
def test_hosts_that_heard_the_same_agree_in_any_order(data: st.DataObject) -> None:
    events = data.draw(heard())
    lost = data.draw(st.sets(st.sampled_from(range(len(events) + 1))))
    events = [event for number, event in enumerate(events) if number not in lost]
    oracle = Oracle(events)
    for _ in range(2):
        host = make_host()
        repeated = data.draw(st.lists(st.sampled_from(events))) if events else []
        for event in data.draw(st.permutations([*events, *repeated])):
            event.apply(host)
        assert host.evacuations.zones == oracle.active()
        assert not served_zones(host) & oracle.active()
        host.expire(RESTORE_CONFIRM_SECONDS)
        assert host.evacuations.zones == oracle.active(), "the store was not read"
        follow_until_confirmed(host)
        assert host.evacuations.zones == oracle.active_after_restore()
        assert not served_zones(host) & oracle.active_after_restore()


@given(st.data())
@make_settings(200)
def test_hosts_that_exchange_heartbeats_agree(data: st.DataObject) -> None:
    """Each heard a part; once both told the other, no zone is open at only one."""
    events = data.draw(heard())
    hosts = [make_host(), make_host()]
    for event in events:
        for host in hosts:
            if data.draw(st.booleans()):
                event.apply(host)
    for host in hosts:
        follow_until_confirmed(host)
    for _ in range(2):
        for host, peer in (hosts, hosts[::-1]):
            told = host.evacuations.statements(RESTORE_CONFIRM_SECONDS)
            now = RESTORE_CONFIRM_SECONDS
            peer.evacuations.merge(told, "peer p", now)
    assert hosts[0].evacuations.zones == hosts[1].evacuations.zones
    assert served_zones(hosts[0]) == served_zones(hosts[1])


def test_every_zone_has_an_upstream() -> None:
    names = {record.entry.name for record in make_host().listed.values()}
    assert names == {UpstreamName(f"u{number}") for number in range(1, len(ZONES) + 1)}
