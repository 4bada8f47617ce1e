"""Tests that there is one holder at a time and one set of counts per window."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rudderpass._ids import FencingToken, NodeId
from rudderpass.duties import (
    ClusterView,
    DutyClaim,
    DutyStatus,
    ReadLog,
    ScalingGroup,
    WriteClaim,
)
from tests.duties.simulation import (
    EPOCH,
    POLICY,
    REPORT_DELAY,
    SERVICE,
    WINDOW,
    ZONE,
    DutySimulation,
    SimulatedHost,
)

HANDOVER_SECONDS = 3.0
"""Time within which a new holder must act after the loss of the previous one."""


@pytest.fixture
def simulation() -> DutySimulation:
    """Return a simulation in which one host holds the duties."""
    made = DutySimulation(5)
    made.run(4.0)
    assert len(made.holders) == 1
    return made


def count_reported(simulation: DutySimulation) -> dict[int, int]:
    """Return the number of requests reported for each window."""
    return {
        call.value[0]: sum(call.value[1].values())
        for call in simulation.platform.completed
        if isinstance(call.value, tuple)
    }


def start_requests_everywhere(simulation: DutySimulation) -> None:
    for host in simulation.hosts.values():
        if host.is_running(simulation.now):
            simulation.start_requests(host, 2)


def wait_for_new_holder(
    simulation: DutySimulation, old: SimulatedHost
) -> SimulatedHost:
    """Return the new holder, which must take over within three seconds."""
    lost_at = simulation.now
    while not [h for h in simulation.holders if h is not old]:
        simulation.run(0.25)
        assert simulation.now - lost_at <= HANDOVER_SECONDS
    return next(h for h in simulation.holders if h is not old)


def test_without_faults_one_holder_makes_few_log_calls(
    simulation: DutySimulation,
) -> None:
    holder = simulation.holders[0]
    simulation.run(120.0, lambda: start_requests_everywhere(simulation))
    assert simulation.holders == [holder]
    assert {call.token for call in simulation.platform.received} == {
        holder.coordinator.token
    }
    windows = 120.0 / WINDOW
    assert simulation.log.calls <= 2 + windows + 1


def test_every_window_is_reported_exactly_and_on_time(
    simulation: DutySimulation,
) -> None:
    simulation.run(60.0, lambda: start_requests_everywhere(simulation))
    counts = count_reported(simulation)
    complete = [
        w
        for w in simulation.started_requests
        if (w + 1) * WINDOW <= EPOCH + simulation.now - REPORT_DELAY
    ]
    assert len(complete) >= 9
    assert {w: counts.get(w) for w in complete} == {
        w: simulation.started_requests[w] for w in complete
    }
    for call in simulation.platform.completed:
        if isinstance(call.value, tuple):
            end = (call.value[0] + 1) * WINDOW - EPOCH
            assert call.at - end <= REPORT_DELAY


@pytest.mark.parametrize("fault", ["killed", "frozen", "cut from its peers"])
def test_the_next_host_acts_within_three_seconds(
    simulation: DutySimulation, fault: str
) -> None:
    old = simulation.holders[0]
    if fault == "killed":
        old.is_up = False
    elif fault == "frozen":
        old.suspended_until = simulation.now + 8.0
    else:
        old.reaches_peers = False
    wait_for_new_holder(simulation, old)
    simulation.run(12.0)
    old.reaches_peers = True
    simulation.run(12.0)
    assert len(simulation.holders) == 1
    assert simulation.find_violations() == []


def test_a_holder_cut_from_the_store_alone_reports_all_windows_later(
    simulation: DutySimulation,
) -> None:
    old = simulation.holders[0]
    old.reaches_store = False
    simulation.run(10.0, lambda: start_requests_everywhere(simulation))
    old.reaches_store = True
    simulation.run(25.0, lambda: start_requests_everywhere(simulation))
    counts = count_reported(simulation)
    for window in [
        w
        for w in simulation.started_requests
        if (w + 1) * WINDOW < EPOCH + simulation.now - 12
    ]:
        assert counts.get(window) == simulation.started_requests[window]
    assert simulation.find_violations() == []


def test_reports_are_sent_after_a_platform_outage(simulation: DutySimulation) -> None:
    for host in simulation.hosts.values():
        host.reaches_platform = False
    simulation.run(12.0, lambda: start_requests_everywhere(simulation))
    for host in simulation.hosts.values():
        host.reaches_platform = True
    simulation.run(20.0, lambda: start_requests_everywhere(simulation))
    counts = count_reported(simulation)
    for window in [
        w
        for w in simulation.started_requests
        if (w + 1) * WINDOW < EPOCH + simulation.now - 12
    ]:
        assert counts.get(window) == simulation.started_requests[window]


def test_reports_in_the_log_are_resent_after_all_hosts_are_killed() -> None:
    simulation = DutySimulation(5)
    simulation.run(4.0)
    for host in simulation.hosts.values():
        host.reaches_platform = False
    while len(simulation.log.records) < 2 + 1:
        simulation.run(0.25, lambda: start_requests_everywhere(simulation))
    settled = simulation.log.read().usage
    assert settled is not None and settled.windows
    for name in list(simulation.hosts):
        simulation.start(name)
    simulation.run(6.0, lambda: start_requests_everywhere(simulation))
    counts = count_reported(simulation)
    for usage in settled.windows:
        assert counts[usage.window] == sum(usage.counts.values())
    assert simulation.find_violations() == []


def test_a_killed_host_loses_only_what_it_counted_since_its_last_send(
    simulation: DutySimulation,
) -> None:
    victim = next(h for h in simulation.hosts.values() if h not in simulation.holders)
    for _ in range(8):
        start_requests_everywhere(simulation)
        simulation.run(0.5)
    simulation.run(0.5)
    victim.is_up = False
    simulation.run(20.0)
    counts = count_reported(simulation)
    assert sum(counts.values()) == sum(simulation.started_requests.values())


def test_a_window_in_which_all_hosts_were_killed_is_not_reported() -> None:
    simulation = DutySimulation(5)
    simulation.run(6.0, lambda: start_requests_everywhere(simulation))
    while (EPOCH + simulation.now) % WINDOW != 2.5:
        simulation.run(0.25, lambda: start_requests_everywhere(simulation))
    broken = int((EPOCH + simulation.now) // WINDOW)
    for name in list(simulation.hosts):
        simulation.start(name)
    simulation.run(25.0, lambda: start_requests_everywhere(simulation))
    counts = count_reported(simulation)
    assert broken not in counts
    assert counts[broken + 1] == simulation.started_requests[broken + 1]


def test_a_window_in_which_most_hosts_were_killed_is_reported(
    simulation: DutySimulation,
) -> None:
    simulation.run(2.0, lambda: start_requests_everywhere(simulation))
    window = int((EPOCH + simulation.now) // WINDOW)
    simulation.run(0.5)
    for name in list(simulation.hosts)[1:]:
        simulation.start(name)
    simulation.run(20.0)
    assert count_reported(simulation)[window] == simulation.started_requests[window]


def test_a_restarted_host_never_reuses_a_token(
    simulation: DutySimulation,
) -> None:
    old = simulation.holders[0]
    used = old.coordinator.token
    assert used is not None
    simulation.start(old.name)
    for name in list(simulation.hosts):
        simulation.start(name)
    simulation.run(6.0)
    assert simulation.holders[0].coordinator.token is not None
    assert simulation.holders[0].coordinator.token > used


def test_an_order_without_a_response_is_fenced_off_before_the_next_one(
    simulation: DutySimulation,
) -> None:
    """The platform may carry it out seconds later, after newer orders."""
    holder = simulation.holders[0]
    used = holder.coordinator.token
    simulation.platform.completed.clear()
    holder.orders.begin()
    holder.reaches_platform = False
    simulation.run(2.0)  # The list must be stable for 1 s before anything is ordered.
    holder.reaches_platform = True
    simulation.run(3.0)
    orders = [
        c for c in simulation.platform.completed if isinstance(c.target, ScalingGroup)
    ]
    assert orders and used is not None
    assert all(call.token > used for call in orders)
    assert simulation.holders == [holder]


def test_a_conflict_due_to_missing_capacity_does_not_change_the_holder() -> None:
    simulation = DutySimulation(5)
    simulation.platform.has_spot = False
    simulation.run(20.0)
    holder = simulation.holders[0]
    assert {call.host for call in simulation.platform.received} == {holder.name}
    simulation.platform.has_spot = True
    simulation.run(5.0)
    assert simulation.platform.counts[ScalingGroup(SERVICE, ZONE, True)] > 0
    assert simulation.holders == [holder]


def test_a_holder_that_shuts_down_is_replaced_at_once(
    simulation: DutySimulation,
) -> None:
    old = simulation.holders[0]
    for host in simulation.hosts.values():
        if host is not old:
            host.coordinator.receive(old.coordinator.status, True, simulation.now)
    old.is_up = False
    simulation.run(0.5)
    assert len(simulation.holders) == 1


def test_a_host_that_lost_the_duties_does_not_reclaim_them_at_once(
    simulation: DutySimulation,
) -> None:
    old = simulation.holders[0]
    old.suspended_until = simulation.now + 2.5
    new = wait_for_new_holder(simulation, old)
    simulation.run(1.0)
    assert old.coordinator.token is None
    new.is_up = False
    names: set[NodeId] = set()
    for _ in range(8):
        simulation.run(0.25)
        names |= {host.name for host in simulation.holders}
    assert names and old.name not in names
    assert simulation.find_violations() == []


def test_without_fencing_the_next_holder_waits_for_the_lease() -> None:
    simulation = DutySimulation(5, policy=replace(POLICY, is_fenced=False))
    simulation.run(10.0)
    (old,) = simulation.holders
    old.reaches_peers = False
    cut_at = simulation.now
    simulation.run(12.0)
    by_host: dict[NodeId, list[float]] = {}
    for call in simulation.platform.completed:
        if call.at > cut_at:
            by_host.setdefault(call.host, []).append(call.at)
    new = next(host for host in simulation.holders if host is not old)
    assert max(by_host.get(old.name, [cut_at])) < min(by_host[new.name])


def test_a_holder_without_peers_reads_the_log_once_a_second_at_most() -> None:
    simulation = DutySimulation(2)
    simulation.run(4.0)
    for host in simulation.hosts.values():
        host.reaches_peers = False
        host.reaches_store = host in simulation.holders
    calls = simulation.log.calls
    simulation.run(20.0)
    assert len(simulation.holders) == 1
    assert simulation.log.calls - calls <= 20.0 + 20.0 / WINDOW + 1


def prepare_claim(simulation: DutySimulation) -> tuple[SimulatedHost, WriteClaim]:
    """Return a host with a claim in flight, after the holder has gone silent."""
    old = simulation.holders[0]
    old.is_up = False
    host = next(h for h in simulation.hosts.values() if h is not old)
    view = ClusterView([host.name], simulation.now, 0)
    now = simulation.now + 5.0
    assert host.coordinator.next_action(view, now) == ReadLog()
    host.coordinator.record_log(simulation.log.read(), now)
    claim = host.coordinator.next_action(view, now)
    assert isinstance(claim, WriteClaim)
    return host, claim


def test_a_status_received_during_a_claim_changes_no_settled_window(
    simulation: DutySimulation,
) -> None:
    simulation.run(20.0, lambda: start_requests_everywhere(simulation))
    host, claim = prepare_claim(simulation)
    now = simulation.now + 5.1
    host.coordinator.receive(DutyStatus(FencingToken(1), holds=True), False, now)
    assert host.coordinator.next_action(ClusterView([], now, 0), now) is None
    assert simulation.log.append(claim.end, DutyClaim(claim.holder, claim.era))
    host.coordinator.record_claim(claim, now)
    settled = simulation.log.read().usage
    assert settled is not None
    assert host.coordinator.status.settled_before == settled.next_window


def test_a_claim_superseded_in_flight_does_not_count(
    simulation: DutySimulation,
) -> None:
    host, claim = prepare_claim(simulation)
    assert simulation.log.append(claim.end, DutyClaim(claim.holder, claim.era))
    newer = FencingToken(claim.end + 9)
    host.coordinator.receive(DutyStatus(newer, holds=True), False, simulation.now + 5.1)
    host.coordinator.record_claim(claim, simulation.now + 5.2)
    assert host.coordinator.token is None
    assert host.coordinator.status.token == newer
