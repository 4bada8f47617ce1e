"""Retries stay within the budget when hosts are killed and restart.

A host forgets the retries that it has spent when its process ends, and those of a peer
with the last heartbeat received from it. Both still count until the window ends. While
engines fail most requests, each host spends its share of the budget; if all hosts are
killed and restart half a second later, each would spend its share again. With three
kills within 5 s, 161 of 471 requests were retried within 10 s, where 148 are allowed.
Without kills, the same load stayed within the budget.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from rudderpass._ids import NodeId, PoolId
from rudderpass.exchange import BudgetRule, SharedRetryBudget
from rudderpass.gossip import PeerTable
from tests.gossip.test_peer_table import make_heartbeat

SERVICE = PoolId("engines")
RULE = BudgetRule(ratio=0.2, slack=54, window=10.0)
STEP_SECONDS = 0.1
HEARTBEAT_STEPS = 5
RESTART_SECONDS = 0.5
"""Time from a kill until the host has restarted."""


class Host:
    """One process of a host, with its view of the peers and its retry budget."""

    def __init__(self, name: NodeId, now: float, is_first_start: bool) -> None:
        self.name = name
        self.peer_table = PeerTable(name, random.Random(name))
        self.budget = SharedRetryBudget(RULE, None if is_first_start else now)


@dataclass
class Deployment:
    """Hosts that spend their entire retry budget while requests fail.

    :ivar is_failing: whether requests fail now.
    :ivar requests: times of the callers' requests.
    :ivar retries: times of the retries.
    """

    count: int
    rng: random.Random
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)
    hosts: dict[NodeId, Host] = field(default_factory=dict)
    restarting: dict[NodeId, float] = field(default_factory=dict)
    step: int = 0
    is_failing: bool = True

    def __post_init__(self) -> None:
        self.names = [NodeId(f"10.0.0.{number}:1") for number in range(self.count)]
        for name in self.names:
            self.hosts[name] = Host(name, 0.0, is_first_start=True)

    @property
    def now(self) -> float:
        return self.step * STEP_SECONDS

    def kill(self, names: list[NodeId], for_seconds: float = RESTART_SECONDS) -> None:
        """Kill hosts, which restart after ``for_seconds``."""
        for name in names:
            self.hosts.pop(name, None)
            self.restarting[name] = self.now + for_seconds

    def run(self, seconds: float, rate: float) -> None:
        """Advance the time while callers send ``rate`` requests per second."""
        until = self.now + seconds
        while self.now < until:
            self._restart_due()
            if self.step % HEARTBEAT_STEPS == 0:
                self._send_heartbeats()
            self._send_requests(rate * STEP_SECONDS)
            self.check()
            self.step += 1

    def check(self) -> None:
        """Assert that the retries of the window that ends now are within the budget.

        The budget is based on the requests of this window, of the previous one, or of
        the one half a window earlier, whichever has the most.
        """
        window, now = RULE.window, self.now
        retry_count = sum(now - window <= at <= now for at in self.retries)
        requests = max(
            sum(now - back - window <= at <= now - back for at in self.requests)
            for back in (0.0, window / 2, window)
        )
        budget = RULE.ratio * requests + RULE.slack
        assert retry_count <= budget, f"{retry_count} of {budget:.1f} at {now:.1f} s"

    def _restart_due(self) -> None:
        for name, due in list(self.restarting.items()):
            if self.now >= due:
                del self.restarting[name]
                self.hosts[name] = Host(name, self.now, is_first_start=False)
                self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        for host in self.hosts.values():
            for sender in self.hosts:
                if sender != host.name:
                    host.peer_table.receive_heartbeat(make_heartbeat(sender), self.now)

    def _send_requests(self, mean: float) -> None:
        for host in self.hosts.values():
            while self.rng.random() < mean / self.count / (1 + mean / self.count):
                self.requests.append(self.now)
                host.budget.record_request(SERVICE, self.now)
            host_count = host.peer_table.count_hosts(self.now)
            while (
                self.is_failing
                and host.budget.spend(SERVICE, host_count, self.now).is_allowed
            ):
                self.retries.append(self.now)


def make_deployment(seed: int = 1, hosts: int = 7, rate: float = 12.0) -> Deployment:
    """Return hosts without failures for longer than a window."""
    deployment = Deployment(hosts, random.Random(seed))
    deployment.is_failing = False
    deployment.run(15.0, rate)
    deployment.is_failing = True
    return deployment


def test_restarted_hosts_do_not_get_their_share_again() -> None:
    deployment = make_deployment()
    for _ in range(3):
        deployment.run(2.5, rate=12.0)
        deployment.kill(deployment.names)
    deployment.run(20.0, rate=12.0)


def test_a_restarted_host_may_spend_only_what_requests_earn() -> None:
    """With many requests, they earn most of the budget."""
    deployment = make_deployment(rate=60.0)
    deployment.run(0.2, rate=60.0)
    deployment.kill(deployment.names, for_seconds=0.1)
    deployment.run(20.0, rate=60.0)


def test_the_spent_share_of_silent_hosts_is_not_spent_again() -> None:
    deployment = make_deployment()
    deployment.run(0.2, rate=12.0)
    deployment.kill(deployment.names[:3], for_seconds=30.0)
    deployment.run(20.0, rate=12.0)


@pytest.mark.parametrize("seed", range(20))
def test_no_series_of_kills_exceeds_the_budget(seed: int) -> None:
    deployment = make_deployment(seed)
    rng = random.Random(seed)
    for _ in range(6):
        deployment.is_failing = rng.random() < 0.7
        deployment.run(rng.uniform(0.2, 8.0), rate=rng.choice((2.0, 12.0, 30.0)))
        killed = rng.sample(deployment.names, rng.randint(1, deployment.count))
        deployment.kill(killed, for_seconds=rng.uniform(0.3, 6.0))
    deployment.is_failing = True
    deployment.run(25.0, rate=12.0)


def test_a_deployment_without_kills_spends_most_of_its_budget() -> None:
    """The budget is not kept by sending no retries."""
    deployment = make_deployment()
    deployment.run(20.0, rate=12.0)
    window = [at for at in deployment.retries if at > deployment.now - RULE.window]
    requests = [at for at in deployment.requests if at > deployment.now - RULE.window]
    assert len(window) > 0.6 * (RULE.ratio * len(requests) + RULE.slack)
