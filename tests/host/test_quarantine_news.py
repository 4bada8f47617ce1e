"""Every host knows of a quarantined request within 3 s, whatever happened to it."""

from __future__ import annotations

import pytest

from rudderpass.quarantine import VerdictKind
from tests.host.fleet import Fleet, FleetHost
from tests.quarantine.builders import BAD, crash, record_crash

KNOWN_SECONDS = 3.0
"""The users' bound from the third crash on."""

SMALL, LARGE = 8, 60
"""Hosts of a fleet in which each tells each, and of one with relays."""


def make_fleet(hosts: int, loss: float = 0.0) -> Fleet:
    fleet = Fleet(hosts, zones=4, loss=loss)
    fleet.run(4.0)
    return fleet


def crash_upstreams(fleet: Fleet) -> None:
    """Let three hosts see one crash each, half a second apart."""
    for number, host in enumerate(fleet.up()[:3]):
        record_crash(host.core.quarantine, BAD, crash(f"u{number}", fleet.now))
        fleet.tell_now(host)
        fleet.run(0.5 if number < 2 else 0.0)


def knows(fleet: Fleet, host: FleetHost) -> bool:
    verdict = host.core.quarantine.judge(BAD, fleet.now)
    return verdict.kind is VerdictKind.QUARANTINED


@pytest.mark.parametrize("loss", [0.0, 0.1])
@pytest.mark.parametrize("hosts", [SMALL, LARGE])
def test_all_hosts_know_soon(hosts: int, loss: float) -> None:
    fleet = make_fleet(hosts, loss)
    crash_upstreams(fleet)
    fleet.run(KNOWN_SECONDS)
    assert all(knows(fleet, host) for host in fleet.up())


def test_hosts_that_tell_each_other_know_at_once() -> None:
    fleet = make_fleet(SMALL)
    crash_upstreams(fleet)
    fleet.run(0.05)
    assert all(knows(fleet, host) for host in fleet.up())


@pytest.mark.parametrize("hosts", [SMALL, LARGE])
def test_a_host_that_starts_again_knows_soon(hosts: int) -> None:
    fleet = make_fleet(hosts)
    crash_upstreams(fleet)
    fleet.run(KNOWN_SECONDS)
    started = fleet.restart(fleet.up()[-1])
    fleet.run(KNOWN_SECONDS)
    assert knows(fleet, started)


@pytest.mark.parametrize("hosts", [SMALL, LARGE])
def test_it_is_enough_that_one_host_is_left(hosts: int) -> None:
    fleet = make_fleet(hosts)
    crash_upstreams(fleet)
    fleet.run(KNOWN_SECONDS)
    for host in fleet.up()[1:]:
        fleet.restart(host)
    fleet.run(KNOWN_SECONDS)
    assert all(knows(fleet, host) for host in fleet.up())


@pytest.mark.parametrize("hosts", [SMALL, LARGE])
def test_a_host_that_was_cut_off_knows_soon_after(hosts: int) -> None:
    fleet = make_fleet(hosts)
    alone = fleet.up()[-1]
    for other in fleet.up():
        fleet.cut |= {(alone.name, other.name), (other.name, alone.name)}
    crash_upstreams(fleet)
    fleet.run(8.0)
    assert not knows(fleet, alone)
    fleet.cut.clear()
    fleet.run(KNOWN_SECONDS)
    assert knows(fleet, alone)


@pytest.mark.parametrize("hosts", [SMALL, LARGE])
def test_hosts_that_do_not_hear_the_witnesses_hear_others(hosts: int) -> None:
    fleet = make_fleet(hosts)
    deaf = fleet.up()[-1]
    fleet.cut = {(witness.name, deaf.name) for witness in fleet.up()[:3]}
    crash_upstreams(fleet)
    fleet.run(KNOWN_SECONDS)
    assert knows(fleet, deaf)


def test_a_host_that_stood_still_knows_soon_after() -> None:
    fleet = make_fleet(SMALL)
    frozen = fleet.up()[-1]
    frozen.is_up = False
    crash_upstreams(fleet)
    fleet.run(20.0)
    frozen.is_up = True
    fleet.run(KNOWN_SECONDS)
    assert knows(fleet, frozen)


@pytest.mark.parametrize("hosts", [SMALL, LARGE])
def test_a_release_is_known_everywhere(hosts: int) -> None:
    fleet = make_fleet(hosts)
    crash_upstreams(fleet)
    fleet.run(KNOWN_SECONDS)
    lifted = fleet.up()[4]
    assert lifted.core.quarantine.lift(BAD, fleet.now)
    fleet.tell_now(lifted)
    fleet.run(KNOWN_SECONDS)
    assert not any(knows(fleet, host) for host in fleet.up())
