"""The owner of a pool: grants, shedding, and recovery from entry nodes' reports."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

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

from rudderpass._ids import ClassName, NodeId, RequestId, TeamId, UpstreamId
from rudderpass.admission import Reservation
from rudderpass.pools import (
    GRACE_SECONDS,
    LEASE_INTERVALS,
    MIN_RENEW_SECONDS,
    Cancel,
    Grant,
    PoolOwner,
    Release,
    Renew,
    Resend,
    Reserve,
    RunningRequest,
    Send,
    Shed,
)
from rudderpass.pools._messages import OwnerAction
from rudderpass.routing import GrantOutcome, Usage
from tests.builders import POOL, ZONE, make_reservation, make_upstream
from tests.fuzz import make_settings

ENTRY = NodeId("10.0.0.1:7000")
OTHER = NodeId("10.0.0.2:7000")
START = 100.0
LEASE_SECONDS = LEASE_INTERVALS * MIN_RENEW_SECONDS
READY = START + GRACE_SECONDS
U1, U2 = UpstreamId("u1"), UpstreamId("u2")


def make_owner(**slots: int) -> PoolOwner:
    owner = PoolOwner(POOL, 1, START)
    specs = {
        UpstreamId(name): make_upstream(slots=count)
        for name, count in (slots or {"u1": 2}).items()
    }
    owner.set_upstreams(specs, (), 1.0)
    return owner


def make_reserve(number: int, **changes: Any) -> Reserve:
    values = {"arrived": READY + number / 1000, **changes}
    return Reserve(make_reservation(number, **values))


def messages_of(actions: Sequence[object], kind: type[Any]) -> list[Any]:
    return [
        action.message
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, kind)
    ]


def grants_in(actions: Sequence[object]) -> list[Grant]:
    return messages_of(actions, Grant)


def release(grant: Grant, outcome: GrantOutcome = GrantOutcome.COMPLETED) -> Release:
    usage = Usage(outcome, 10, 0.1, 1.0)
    return Release(POOL, grant.request_id, grant.upstream, grant.token, usage, ZONE)


def test_grants_up_to_the_slots_and_the_next_on_release() -> None:
    owner = make_owner(u1=2)
    sent = [owner.reserve(ENTRY, make_reserve(number), READY) for number in range(3)]
    granted = [grant for actions in sent for grant in grants_in(actions)]
    assert [grant.request_id for grant in granted] == ["r0000", "r0001"]
    following = grants_in(owner.release(release(granted[0]), READY + 1))
    assert [grant.request_id for grant in following] == ["r0002"]


def test_a_new_owner_grants_nothing_within_its_grace() -> None:
    owner = make_owner()
    assert grants_in(owner.reserve(ENTRY, make_reserve(0), START + 0.01)) == []
    assert len(grants_in(owner.tick(READY))) == 1


def test_a_new_owner_counts_requests_already_running() -> None:
    owner = make_owner(u1=2)
    running = tuple(
        RunningRequest(RequestId(f"old-{number}"), U1, number, 2) for number in range(2)
    )
    owner.renew(ENTRY, Renew(POOL, (), running), START + 0.1)
    assert grants_in(owner.reserve(OTHER, make_reserve(0), READY)) == []
    done = release(Grant(POOL, RequestId("old-0"), U1, 0))
    assert len(grants_in(owner.release(done, READY + 1))) == 1


def test_a_duplicate_reservation_is_granted_once() -> None:
    owner = make_owner()
    first = owner.reserve(ENTRY, make_reserve(0), READY)
    assert len(grants_in(first)) == 1
    assert grants_in(owner.reserve(ENTRY, make_reserve(0), READY)) == []


def test_a_lost_grant_is_sent_again() -> None:
    owner = make_owner()
    (grant,) = grants_in(owner.reserve(ENTRY, make_reserve(0), READY))
    renew = Renew(POOL, (grant.request_id,), ())
    assert grants_in(owner.renew(ENTRY, renew, READY + 0.5)) == []
    (resent,) = grants_in(owner.renew(ENTRY, renew, READY + 2.0))
    assert (resent.upstream, resent.token) == (grant.upstream, grant.token)


def test_the_reservation_of_an_unknown_waiting_request_is_requested() -> None:
    owner = make_owner()
    actions = owner.renew(ENTRY, Renew(POOL, (RequestId("lost"),), ()), READY)
    (resend,) = messages_of(actions, Resend)
    assert resend.request_ids == ("lost",)


def test_a_lost_release_is_detected_by_renewal() -> None:
    owner = make_owner(u1=1)
    (grant,) = grants_in(owner.reserve(ENTRY, make_reserve(0), READY))
    owner.reserve(ENTRY, make_reserve(1), READY)
    held = RunningRequest(grant.request_id, U1, grant.token, 2)
    waiting = (RequestId("r0001"),)
    owner.renew(ENTRY, Renew(POOL, waiting, (held,)), READY + 1)
    following = grants_in(owner.renew(ENTRY, Renew(POOL, waiting, ()), READY + 2))
    assert [item.request_id for item in following] == ["r0001"]


def test_slots_of_a_lost_entry_node_are_free_after_its_lease() -> None:
    owner = make_owner(u1=1)
    owner.reserve(ENTRY, make_reserve(0), READY)
    owner.reserve(OTHER, make_reserve(1), READY)
    now = READY + LEASE_SECONDS - 0.1
    renew = Renew(POOL, (RequestId("r0001"),), ())
    assert grants_in(owner.renew(OTHER, renew, now)) == []
    (grant,) = grants_in(owner.tick(READY + LEASE_SECONDS + 0.2))
    assert grant.request_id == "r0001"


def test_a_cancelled_request_is_not_granted() -> None:
    owner = make_owner(u1=1)
    (grant,) = grants_in(owner.reserve(ENTRY, make_reserve(0), READY))
    owner.reserve(ENTRY, make_reserve(1), READY)
    owner.cancel(Cancel(POOL, RequestId("r0001")), READY)
    assert grants_in(owner.release(release(grant), READY + 1)) == []


def test_a_leaving_upstream_gets_no_new_requests() -> None:
    owner = make_owner(u1=2, u2=2)
    specs = {U1: make_upstream(slots=2), U2: make_upstream(slots=2)}
    owner.set_upstreams(specs, (U1,), 1.0)
    upstreams = (U1, U2)
    for number in range(4):
        actions = owner.reserve(ENTRY, make_reserve(number, upstreams=upstreams), READY)
        assert all(grant.upstream == U2 for grant in grants_in(actions))
    assert owner.running == 2 and owner.waiting == 2


def test_a_request_that_waited_too_long_is_refused_with_retry_after() -> None:
    owner = make_owner(u1=1)
    owner.reserve(ENTRY, make_reserve(0), READY)
    owner.reserve(ENTRY, make_reserve(1, max_wait=1.0), READY)
    owner.extend_lease(ENTRY, READY + 2)
    (shed,) = messages_of(owner.tick(READY + 2), Shed)
    assert shed.request_id == "r0001" and shed.retry_after >= 1.0


def test_a_slot_freed_after_the_maximum_wait_is_not_granted() -> None:
    """A slot may be released after the wait ended, but before the next tick."""
    owner = make_owner(u1=1)
    (first,) = grants_in(owner.reserve(ENTRY, make_reserve(0), READY))
    owner.reserve(ENTRY, make_reserve(1, max_wait=1.0), READY)
    owner.reserve(ENTRY, make_reserve(2, max_wait=9.0), READY)
    actions = owner.release(release(first), READY + 1.05)
    (shed,) = messages_of(actions, Shed)
    assert shed.request_id == "r0001"
    assert [grant.request_id for grant in grants_in(actions)] == ["r0002"]


def overload(owner: PoolOwner, running_tier: int) -> list[Shed]:
    """Fill the pool, then queue far more tier-2 requests than it can serve in time."""
    now = READY
    first = make_reserve(9000, tier=running_tier, service_class=f"class-{running_tier}")
    owner.reserve(ENTRY, first, now)
    shed: list[Shed] = []
    for number in range(300):
        now = READY + 6 + number / 100
        owner.extend_lease(ENTRY, now)
        reserve = make_reserve(
            number, arrived=now, max_wait=30.0, expected_tokens=100.0
        )
        shed += messages_of(owner.reserve(ENTRY, reserve, now), Shed)
    return shed


def test_overload_is_shed_at_once_and_newest_first() -> None:
    shed = overload(make_owner(u1=1), running_tier=2)
    assert shed and shed[0].reason == "overload"


def test_a_tier_is_not_shed_while_a_lower_tier_runs() -> None:
    assert overload(make_owner(u1=1), running_tier=3) == []


@pytest.mark.parametrize(
    ("outcome", "ejected"),
    [
        (GrantOutcome.FAILED, True),
        (GrantOutcome.COMPLETED, False),
        (GrantOutcome.UNREACHABLE, True),
    ],
)
def test_failures_eject_an_upstream(outcome: GrantOutcome, ejected: bool) -> None:
    owner = make_owner(u1=1, u2=1)
    both = (U1, U2)
    used = []
    for number in range(6):
        actions = owner.reserve(ENTRY, make_reserve(number, upstreams=both), READY)
        for grant in grants_in(actions):
            used.append(grant.upstream)
            grant_outcome = outcome if grant.upstream == U1 else GrantOutcome.COMPLETED
            owner.release(release(grant, grant_outcome), READY)
    assert (used.count(U1) <= 2) is ejected


class OwnerMachine(RuleBasedStateMachine):
    """Two entry nodes use one owner; messages may be duplicated or lost."""

    slots = 3
    owner_type = PoolOwner

    def __init__(self) -> None:
        super().__init__()
        self.owner = self.owner_type(POOL, 1, START)
        self.owner.set_upstreams({U1: make_upstream(slots=self.slots)}, (), 1.0)
        self.now = READY
        self.number = 0
        self.tiers: dict[str, int] = {}
        self.waiting: dict[str, NodeId] = {}
        self.running: dict[str, tuple[NodeId, Grant]] = {}

    def apply(self, actions: Sequence[object]) -> None:
        for action in actions:
            if not isinstance(action, Send):
                continue
            message = action.message
            if isinstance(message, Grant) and message.request_id in self.waiting:
                entry = self.waiting.pop(message.request_id)
                assert entry == action.peer
                self.running[message.request_id] = (entry, message)
            elif isinstance(message, Shed):
                self.check_shed(message)
                self.waiting.pop(message.request_id, None)

    def check_shed(self, shed: Shed) -> None:
        if shed.reason != "overload":
            return
        tier = self.tiers[shed.request_id]
        others = [*self.waiting, *self.running]
        assert all(
            self.tiers[name] <= tier for name in others if name != shed.request_id
        )

    @rule(
        tier=st.integers(1, 3),
        entry=st.sampled_from([ENTRY, OTHER]),
        team=st.sampled_from(["a", "b"]),
        resend=st.booleans(),
    )
    def reserve(self, tier: int, entry: NodeId, team: str, resend: bool) -> None:
        self.number += 1
        message = make_reserve(
            self.number,
            arrived=self.now,
            tier=tier,
            service_class=ClassName(f"class-{tier}"),
            team=TeamId(team),
            floor_share=0.05,
            max_wait=8.0,
            expected_tokens=200.0,
        )
        name = message.reservation.request_id
        self.tiers[name] = tier
        self.waiting[name] = entry
        self.apply(self.owner.reserve(entry, message, self.now))
        if resend:
            self.apply(self.owner.reserve(entry, message, self.now))

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 100), lost=st.booleans())
    def finish(self, index: int, lost: bool) -> None:
        name = sorted(self.running)[index % len(self.running)]
        _, grant = self.running.pop(name)
        if not lost:
            self.apply(self.owner.release(release(grant), self.now))

    @rule(seconds=st.floats(0.05, 1.0))
    def advance_time(self, seconds: float) -> None:
        self.now += seconds
        for entry in (ENTRY, OTHER):
            waiting = tuple(
                RequestId(name) for name, node in self.waiting.items() if node == entry
            )
            running = tuple(
                RunningRequest(RequestId(name), U1, grant.token, self.tiers[name])
                for name, (node, grant) in self.running.items()
                if node == entry
            )
            renew = Renew(POOL, waiting, running)
            self.apply(self.owner.renew(entry, renew, self.now))
        self.apply(self.owner.tick(self.now))

    @invariant()
    def running_never_exceeds_the_slots(self) -> None:
        assert len(self.running) <= self.slots
        assert self.owner.running >= len(self.running)

    @invariant()
    def owner_queues_no_unknown_requests(self) -> None:
        assert self.owner.waiting <= len(self.waiting)


STEPS = make_settings(150, 60)
OwnerMachine.TestCase.settings = STEPS
TestOwnerMachine = OwnerMachine.TestCase


class ShedsAnyTier(PoolOwner):
    """Broken on purpose: sheds although a lower-tier request holds a slot."""

    def _is_protected(self, candidate: Reservation) -> bool:
        return False


class FreesSlotsTwice(PoolOwner):
    """Broken on purpose: a duplicate release frees a second slot."""

    def release(self, message: Release, now: float) -> list[OwnerAction]:
        upstream = self._upstreams[message.upstream]
        upstream.running = max(0, upstream.running - 1)
        return super().release(message, now)


@pytest.mark.parametrize("broken", [ShedsAnyTier, FreesSlotsTwice])
def test_the_check_catches_a_broken_owner(broken: type[PoolOwner]) -> None:
    machine = type("Broken", (OwnerMachine,), {"owner_type": broken})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            machine, settings=settings(STEPS, phases=(Phase.generate,))
        )
