"""An upstream that has left gets no more requests beyond the drain bound.

Guards against a request that reaches an upstream 2.8 s after the platform acknowledged
that it leaves, where 2.0 s are allowed. The store refused all calls for 0.7 s and was
then silent for 5 s. Five hosts each had a call in flight that waited up to 10 s for new
records, got no response, and made no other call, so their next response from the store
came 7.5 s after that of other hosts. An upstream's entry had ended meanwhile. They took
this for one of the entries that expire during an outage and are back within 2 s of the
store's return, and took the time of their own first response for the time of its
return; so they sent requests there for 2.2 s more.

The cause: periods that ran from when a host learned of an event, not from when the
event happened, and no bound on the time between the two.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Iterator

import pytest

from rudderpass.directory import Directory, StoreFollower
from tests.directory.builders import SERVICE, make_directory
from tests.directory.virtual import Outage, OutageKind, VirtualClock, VirtualStore

UPSTREAMS = "upstreams"
DRAIN_SECONDS = 2.0
"""Time for which a leaving upstream may get new requests."""

RECOVERY_SECONDS = 3.0
"""Time after an outage by which a host must be up to date again."""

STEP_SECONDS = 0.05
THREADS = 2
MAX_DELAY_SECONDS = 16.0


class Scenario:
    """A host that follows a store in which upstream ``u1`` leaves at a given time."""

    def __init__(self, leaves_at: float, *outages: Outage) -> None:
        self.clock = VirtualClock(THREADS)
        self.store = VirtualStore(self.clock, outages)
        self.store.put("config", 0.0, "config", b"1")
        for number in (1, 2):
            self.store.put(UPSTREAMS, 0.0, f"u{number}", b"here")
        self.store.put(UPSTREAMS, leaves_at, "u1", None)
        self.directory: Directory = make_directory()
        self._guard = threading.RLock()
        self._follower = StoreFollower(
            self.store,
            self.directory,
            ("config", UPSTREAMS),
            self._guard,
            lambda changes: None,
            lambda change: None,
            self.clock,
        )
        self._follower.set_active(True, is_shared=False)
        self._follower.start()

    def close(self) -> None:
        """Stop the follower's threads."""
        self._follower.close()
        self.clock.close()

    def serving_at(self, now: float) -> set[str]:
        """Return the upstreams that a request at that time can go to."""
        self.clock.run(now)
        with self._guard:
            self.directory.expire(now)
            return {entry.upstream for entry in self.directory.serving(SERVICE)}

    def last_served(self, until: float) -> float:
        """Return the last time at which a request could go to ``u1``."""
        last, step = 0.0, 0
        while step * STEP_SECONDS <= until:
            now = step * STEP_SECONDS
            if "u1" in self.serving_at(now):
                last = now
            step += 1
        return last


@pytest.fixture
def scenarios() -> Iterator[list[Scenario]]:
    made: list[Scenario] = []
    yield made
    for scenario in made:
        scenario.close()


def test_an_end_after_a_long_outage_is_not_taken_for_an_expired_entry(
    scenarios: list[Scenario],
) -> None:
    """The outage described above, with the end at various times after it."""
    refused = Outage(OutageKind.REFUSES_CALLS, 16.3, 17.0)
    silent = Outage(OutageKind.NO_RESPONSES, 17.0, 21.9)
    first = silent.ended + RECOVERY_SECONDS
    for number in range(80):
        leaves_at = first + 0.1 * number
        scenario = Scenario(leaves_at, refused, silent)
        scenarios.append(scenario)
        late = scenario.last_served(leaves_at + DRAIN_SECONDS + 3.0) - leaves_at
        assert late < DRAIN_SECONDS, f"left at {leaves_at:.1f}"
        assert scenario.serving_at(leaves_at + 10.0) == {"u2"}


def test_an_end_missed_on_a_dead_connection_is_seen_on_the_next_one(
    scenarios: list[Scenario],
) -> None:
    """A connection dies silently, without an outage of the store."""
    died = 15.0
    for number in range(40):
        leaves_at = died + 0.1 * number
        scenario = Scenario(
            leaves_at, Outage(OutageKind.DROPS_CONNECTIONS, died, died + 0.01)
        )
        scenarios.append(scenario)
        bound = max(leaves_at + DRAIN_SECONDS, died + RECOVERY_SECONDS) + 0.2
        last = scenario.last_served(bound + 3.0)
        assert last < bound, f"left at {leaves_at:.1f}"
        assert scenario.serving_at(leaves_at + 10.0) == {"u2"}


@pytest.mark.parametrize("seed", range(40))
def test_no_end_after_recovery_is_retained_beyond_the_drain_bound(
    scenarios: list[Scenario], seed: int
) -> None:
    rng = random.Random(seed)
    began = rng.uniform(5.0, 15.0)
    refuses = rng.choice((0.0, rng.uniform(0.0, 2.0)))
    lasts = rng.uniform(0.2, 8.0)
    outages = (
        Outage(OutageKind.REFUSES_CALLS, began, began + refuses),
        Outage(OutageKind.NO_RESPONSES, began + refuses, began + refuses + lasts),
    )
    recovered_at = outages[-1].ended + RECOVERY_SECONDS
    leaves_at = recovered_at + rng.uniform(0.0, MAX_DELAY_SECONDS)
    scenario = Scenario(leaves_at, *outages)
    scenarios.append(scenario)
    late = scenario.last_served(leaves_at + DRAIN_SECONDS + 3.0) - leaves_at
    assert late < DRAIN_SECONDS
    assert scenario.serving_at(leaves_at + 10.0) == {"u2"}


@pytest.mark.parametrize("back_after", [0.1, 0.8, 1.4])
@pytest.mark.parametrize("kind", [OutageKind.REFUSES_CALLS, OutageKind.NO_RESPONSES])
def test_entries_that_expire_in_an_outage_stay_until_they_must_be_back(
    scenarios: list[Scenario], kind: OutageKind, back_after: float
) -> None:
    """All entries expire during an outage of the store; the upstreams keep running."""
    outage = Outage(kind, 10.0, 16.0)
    scenario = Scenario(outage.began + 4.0, outage)
    scenarios.append(scenario)
    scenario.store.put(UPSTREAMS, outage.began + 4.0, "u2", None)
    for number in (1, 2):
        back = outage.ended + back_after
        scenario.store.put(UPSTREAMS, back, f"u{number}", b"here")
    step = 0
    while (now := outage.began + step * STEP_SECONDS) < outage.ended + 8.0:
        assert scenario.serving_at(now) == {"u1", "u2"}, f"at {now:.2f}"
        step += 1
