"""A request with a key runs at most once, whatever fails at nodes or the log."""

from __future__ import annotations

import time
from collections.abc import Iterator

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from rudderpass.claims import (
    AttemptId,
    Claim,
    Claimer,
    ClaimKey,
    ClaimState,
    ClaimTable,
    Done,
    Lost,
    Released,
    Unavailable,
    Won,
    dump_batch,
    parse_batch,
)
from rudderpass.logservice import CLAIM_STREAM, HttpLogService
from rudderpass.standins import LogFault, StandInLog
from tests.fuzz import make_settings

KEY = ClaimKey("key-1")
SECONDS = 10.0
GENERATE_ONLY = (Phase.generate,)
"""A failure of a broken variant need only be found, not shrunk."""


class ClaimMachine(RuleBasedStateMachine):
    """Attempts on three nodes; records are delayed or lost, and nodes crash.

    An attempt runs its request only after its node has read its claim back as the
    winner, as :class:`Claimer` does.
    """

    table_type = ClaimTable

    def __init__(self) -> None:
        super().__init__()
        self.log: list[bytes] = []
        self.delayed: list[bytes] = []
        self.tables = [self.table_type() for _ in range(3)]
        self.read_counts = [0, 0, 0]
        self.record_count = 0
        self.node_by_attempt: dict[str, int] = {}
        self.ended: set[str] = set()
        self.runs: list[str] = []

    def append(self, record: Claim | Released | Done, delivery: str) -> None:
        self.record_count += 1
        data = dump_batch(str(self.record_count), (record,))
        if delivery == "late":
            self.delayed.append(data)
        elif delivery != "lost":
            self.log.append(data)

    @rule(
        node=st.integers(0, 2),
        delivery=st.sampled_from(["now", "now", "late", "lost"]),
    )
    def claim(self, node: int, delivery: str) -> None:
        attempt = f"attempt-{len(self.node_by_attempt)}"
        self.node_by_attempt[attempt] = node
        self.append(Claim(key=KEY, attempt=attempt, digest="d"), delivery)

    @rule(node=st.integers(0, 2), count=st.integers(1, 6))
    def read_records(self, node: int, count: int) -> None:
        for data in self.log[self.read_counts[node] :][:count]:
            for record in parse_batch(data):
                self.tables[node].apply(record)
                if isinstance(record, Claim):
                    self.run_if_won(node, record)
            self.read_counts[node] += 1

    def run_if_won(self, node: int, claim: Claim) -> None:
        if self.node_by_attempt[claim.attempt] != node or claim.attempt in self.ended:
            return
        entry = self.tables[node].get(ClaimKey(claim.key))
        self.ended.add(claim.attempt)
        if entry is None or entry.winner != claim.attempt:
            return
        if entry.state is ClaimState.RUNNING:
            self.runs.append(claim.attempt)

    @precondition(lambda self: set(self.node_by_attempt) - self.ended)
    @rule(pick=st.integers(0, 100), delivery=st.sampled_from(["now", "late"]))
    def end_attempt(self, pick: int, delivery: str) -> None:
        """The caller disconnects or the log is too slow; the claim is released."""
        open_attempts = sorted(set(self.node_by_attempt) - self.ended)
        attempt = open_attempts[pick % len(open_attempts)]
        self.ended.add(attempt)
        self.append(Released(key=KEY, attempt=attempt), delivery)

    @precondition(lambda self: self.runs)
    @rule(delivery=st.sampled_from(["now", "late", "lost"]))
    def complete(self, delivery: str) -> None:
        done = Done(
            key=KEY, attempt=self.runs[0], status=200, content_type="x", body=""
        )
        self.append(done, delivery)

    @precondition(lambda self: self.delayed)
    @rule(pick=st.integers(0, 100))
    def late_record_appears(self, pick: int) -> None:
        self.log.append(self.delayed.pop(pick % len(self.delayed)))

    @rule(node=st.integers(0, 2))
    def crash(self, node: int) -> None:
        """The node's attempts end without a record; it rereads the log."""
        self.ended |= {
            name for name, owner in self.node_by_attempt.items() if owner == node
        }
        self.tables[node] = self.table_type()
        self.read_counts[node] = 0

    @invariant()
    def the_request_ran_at_most_once(self) -> None:
        assert len(self.runs) <= 1, self.runs


MACHINE_SETTINGS = make_settings(400)
ClaimMachine.TestCase.settings = MACHINE_SETTINGS
TestClaimMachine = ClaimMachine.TestCase


class LastWins(ClaimTable):
    """Broken on purpose: a later claim takes over the key."""

    def apply(self, record: Claim | Released | Done) -> None:
        if isinstance(record, Claim):
            self._entries.pop(ClaimKey(record.key), None)
        super().apply(record)


class AnybodyReleases(ClaimTable):
    """Broken on purpose: a release frees a key that another attempt holds."""

    def apply(self, record: Claim | Released | Done) -> None:
        if isinstance(record, Released):
            self._entries.pop(ClaimKey(record.key), None)
        super().apply(record)


@pytest.mark.parametrize("broken", [LastWins, AnybodyReleases])
def test_the_check_catches_a_broken_table(broken: type[ClaimTable]) -> None:
    machine = type("Broken", (ClaimMachine,), {"table_type": broken})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            machine, settings=settings(MACHINE_SETTINGS, phases=GENERATE_ONLY)
        )


@pytest.fixture
def log() -> Iterator[StandInLog]:
    service = StandInLog()
    service.start()
    yield service
    service.close()


@pytest.fixture
def claimers(log: StandInLog) -> Iterator[list[Claimer]]:
    running = [
        Claimer(HttpLogService(log.address), lambda text: None) for _ in range(2)
    ]
    for claimer in running:
        claimer.start()
    yield running
    for claimer in running:
        claimer.close()


def claim(claimer: Claimer, attempt: str, seconds: float = SECONDS) -> object:
    return claimer.claim(KEY, AttemptId(attempt), "digest", seconds)


def test_the_first_claim_wins_on_all_nodes(claimers: list[Claimer]) -> None:
    assert isinstance(claim(claimers[0], "one"), Won)
    lost = claim(claimers[1], "two")
    assert isinstance(lost, Lost) and lost.entry.winner == "one"


def test_a_released_key_can_be_claimed_again(claimers: list[Claimer]) -> None:
    assert isinstance(claim(claimers[0], "one"), Won)
    claimers[0].release(KEY, AttemptId("one"))
    entry = claimers[1].wait_until_ended(KEY, SECONDS)
    while entry is None:
        entry = claimers[1].wait_until_ended(KEY, SECONDS)
    assert entry.state is ClaimState.RELEASED
    assert isinstance(claim(claimers[1], "two"), Won)


def test_a_lost_append_response_is_settled_by_reading(
    log: StandInLog, claimers: list[Claimer]
) -> None:
    log.fault = LogFault.APPEND_ANSWER_LOST
    assert isinstance(claim(claimers[0], "one"), Won)
    assert isinstance(claim(claimers[1], "two"), Lost)


def test_while_the_log_is_down_nothing_is_won(
    log: StandInLog, claimers: list[Claimer]
) -> None:
    log.fault = LogFault.DOWN
    assert isinstance(claim(claimers[0], "one", 0.3), Unavailable)
    log.fault = LogFault.NONE
    assert isinstance(claim(claimers[1], "two"), Won)


def test_an_abandoned_claim_that_appears_late_is_released(
    log: StandInLog, claimers: list[Claimer]
) -> None:
    log.fault = LogFault.DOWN
    assert isinstance(claim(claimers[0], "one", 0.2), Unavailable)
    late = Claim(key=KEY, attempt="one", digest="digest")
    log.fault = LogFault.NONE
    time.sleep(0)
    log.append(CLAIM_STREAM, dump_batch("late", (late,)))
    result = claim(claimers[1], "two")
    while isinstance(result, Lost):
        assert result.entry.winner == "one"
        claimers[1].wait_until_ended(KEY, SECONDS)
        result = claim(claimers[1], "two")
    assert isinstance(result, Won)
