"""Every host learns of a quarantine within 3 s, after any of several failures."""

from __future__ import annotations

import pytest

from rudderpass._ids import Fingerprint, PartId, UpstreamId
from rudderpass.quarantine import CutSend, PartKey, VerdictKind
from tests.host.fleet import Fleet, FleetHost
from tests.quarantine.builders import BAD, TEAM, crash, record_crash

PROPAGATION_SECONDS = 3.0
"""Maximum time, required by users, from the third crash until all hosts know."""

PART = PartKey(Fingerprint(b"part"), PartId("dead"))

SMALL_FLEET, LARGE_FLEET = 8, 60
"""Host counts below and above the threshold for using relays."""


def make_fleet(hosts: int, loss: float = 0.0) -> Fleet:
    fleet = Fleet(hosts, zones=4, loss=loss)
    fleet.run(4.0)
    return fleet


def crash_upstreams(fleet: Fleet) -> None:
    """Record one crash on each of three hosts, half a second apart."""
    for number, host in enumerate(fleet.up()[:3]):
        record_crash(host.core.quarantine, BAD, crash(f"u{number}", fleet.now))
        fleet.send_now(host)
        fleet.run(0.5 if number < 2 else 0.0)


def is_quarantined_at(fleet: Fleet, host: FleetHost) -> bool:
    verdict = host.core.quarantine.judge(BAD, fleet.now)
    return verdict.kind is VerdictKind.QUARANTINED


@pytest.mark.parametrize("loss", [0.0, 0.1])
@pytest.mark.parametrize("hosts", [SMALL_FLEET, LARGE_FLEET])
def test_all_hosts_learn_of_a_quarantine_in_time(hosts: int, loss: float) -> None:
    fleet = make_fleet(hosts, loss)
    crash_upstreams(fleet)
    fleet.run(PROPAGATION_SECONDS)
    assert all(is_quarantined_at(fleet, host) for host in fleet.up())


def test_hosts_without_relays_learn_at_once() -> None:
    fleet = make_fleet(SMALL_FLEET)
    crash_upstreams(fleet)
    fleet.run(0.05)
    assert all(is_quarantined_at(fleet, host) for host in fleet.up())


@pytest.mark.parametrize("hosts", [SMALL_FLEET, LARGE_FLEET])
def test_a_restarted_host_learns_in_time(hosts: int) -> None:
    fleet = make_fleet(hosts)
    crash_upstreams(fleet)
    fleet.run(PROPAGATION_SECONDS)
    restarted = fleet.restart(fleet.up()[-1])
    fleet.run(PROPAGATION_SECONDS)
    assert is_quarantined_at(fleet, restarted)


@pytest.mark.parametrize("hosts", [SMALL_FLEET, LARGE_FLEET])
def test_one_host_that_was_not_restarted_is_enough(hosts: int) -> None:
    fleet = make_fleet(hosts)
    crash_upstreams(fleet)
    fleet.run(PROPAGATION_SECONDS)
    for host in fleet.up()[1:]:
        fleet.restart(host)
    fleet.run(PROPAGATION_SECONDS)
    assert all(is_quarantined_at(fleet, host) for host in fleet.up())


@pytest.mark.parametrize("hosts", [SMALL_FLEET, LARGE_FLEET])
def test_an_isolated_host_learns_after_it_is_reconnected(hosts: int) -> None:
    fleet = make_fleet(hosts)
    isolated = fleet.up()[-1]
    for other in fleet.up():
        fleet.blocked_links |= {
            (isolated.name, other.name),
            (other.name, isolated.name),
        }
    crash_upstreams(fleet)
    fleet.run(8.0)
    assert not is_quarantined_at(fleet, isolated)
    fleet.blocked_links.clear()
    fleet.run(PROPAGATION_SECONDS)
    assert is_quarantined_at(fleet, isolated)


@pytest.mark.parametrize("hosts", [SMALL_FLEET, LARGE_FLEET])
def test_a_host_that_the_witnesses_cannot_reach_learns_from_others(hosts: int) -> None:
    fleet = make_fleet(hosts)
    isolated = fleet.up()[-1]
    fleet.blocked_links = {(witness.name, isolated.name) for witness in fleet.up()[:3]}
    crash_upstreams(fleet)
    fleet.run(PROPAGATION_SECONDS)
    assert is_quarantined_at(fleet, isolated)


def test_a_paused_host_learns_after_it_resumes() -> None:
    fleet = make_fleet(SMALL_FLEET)
    paused = fleet.up()[-1]
    paused.is_up = False
    crash_upstreams(fleet)
    fleet.run(20.0)
    paused.is_up = True
    fleet.run(PROPAGATION_SECONDS)
    assert is_quarantined_at(fleet, paused)


@pytest.mark.parametrize("hosts", [SMALL_FLEET, LARGE_FLEET])
def test_a_release_reaches_all_hosts(hosts: int) -> None:
    fleet = make_fleet(hosts)
    crash_upstreams(fleet)
    fleet.run(PROPAGATION_SECONDS)
    lifting = fleet.up()[4]
    assert lifting.core.quarantine.lift(BAD, fleet.now)
    fleet.send_now(lifting)
    fleet.run(PROPAGATION_SECONDS)
    assert not any(is_quarantined_at(fleet, host) for host in fleet.up())


def crash_under_part(fleet: Fleet) -> None:
    """Record crashes under one part, by different requests on three hosts."""
    for number, host in enumerate(fleet.up()[:3]):
        upstream = f"u{number}"
        name = Fingerprint(bytes([number + 1]) * 16)
        cut = CutSend(name, TEAM, crash(upstream, fleet.now), (PART,))
        host.core.quarantine.record_cut(cut, fleet.now)
        host.core.quarantine.record_crash(UpstreamId(upstream), fleet.now)
        fleet.send_now(host)
        fleet.run(0.5 if number < 2 else 0.0)


def is_part_quarantined_at(fleet: Fleet, host: FleetHost) -> bool:
    verdict = host.core.quarantine.judge(PART.fingerprint, fleet.now)
    return verdict.kind is VerdictKind.QUARANTINED


@pytest.mark.parametrize("loss", [0.0, 0.1])
@pytest.mark.parametrize("hosts", [SMALL_FLEET, LARGE_FLEET])
def test_all_hosts_learn_of_a_quarantined_part_in_time(hosts: int, loss: float) -> None:
    fleet = make_fleet(hosts, loss)
    crash_under_part(fleet)
    fleet.run(PROPAGATION_SECONDS)
    assert all(is_part_quarantined_at(fleet, host) for host in fleet.up())
    restarted = fleet.restart(fleet.up()[-1])
    fleet.run(PROPAGATION_SECONDS)
    assert is_part_quarantined_at(fleet, restarted)


def test_paused_and_isolated_hosts_learn_of_a_quarantined_part() -> None:
    fleet = make_fleet(SMALL_FLEET)
    paused, isolated = fleet.up()[-2:]
    paused.is_up = False
    for other in fleet.up():
        fleet.blocked_links |= {
            (isolated.name, other.name),
            (other.name, isolated.name),
        }
    crash_under_part(fleet)
    fleet.run(8.0)
    assert not is_part_quarantined_at(fleet, isolated)
    paused.is_up = True
    fleet.blocked_links.clear()
    fleet.run(PROPAGATION_SECONDS)
    assert is_part_quarantined_at(fleet, paused)
    assert is_part_quarantined_at(fleet, isolated)


@pytest.mark.parametrize("hosts", [SMALL_FLEET, LARGE_FLEET])
def test_the_knowledge_that_a_part_is_answered_reaches_all_hosts(hosts: int) -> None:
    fleet = make_fleet(hosts)
    witness, *others = fleet.up()
    witness.core.quarantine.record_answered([PART], TEAM, fleet.now)
    crash_under_part(fleet)
    fleet.run(PROPAGATION_SECONDS)
    assert not any(is_part_quarantined_at(fleet, host) for host in others)
