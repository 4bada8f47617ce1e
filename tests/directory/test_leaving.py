"""An upstream that has left gets no more work within the drain bound.

What users saw: a request reached an upstream 2.8 s after the platform had acknowledged
that it leaves, where 2.0 s are allowed. Nothing was wrong at that moment.

The order of events: the store refused all calls for 0.7 s and was then silent for 5 s.
When it answered again, a host that had just started heard it at once. Five others had
each sent a call that waits up to 10 s for news into the silence. It got no answer, they
made no other, and so heard the store only 7.5 s after others did. In that second an
upstream's entry ended. They took its end for one of those that lapse while the store is
away and are back within 2 s of its return, and the return for the moment at which they
themselves heard the store; so they sent work there for 2.2 s more.

The cause: spans of time that began when a host learned of something, where what they
stand for had begun when it happened; and no bound on the time between the two.

The evidence: the store counted no call of these hosts for 12 s; their logs tell the end
of the entry 0.63 s later than those of the hosts that heard the store, and keep the
upstream among the candidates until 2.2 s after "regained".
"""

from __future__ import annotations

import random
import threading
from collections.abc import Iterator

import pytest

from rudderpass.directory import Directory, StoreFollower
from tests.directory.builders import SERVICE, make_directory
from tests.directory.virtual import Silence, Spell, VirtualClock, VirtualStore

UPSTREAMS = "upstreams"
DRAIN_SECONDS = 2.0
"""For which an upstream that leaves may get new work."""

CONTACT_SECONDS = 3.0
"""After a disturbance, until a host must know again what the store knows."""

STEP_SECONDS = 0.05
THREADS = 2
LONGEST_AFTER_SECONDS = 16.0


class Play:
    """A host that follows a store in which upstream ``u1`` leaves at a moment."""

    def __init__(self, leaves_at: float, *spells: Spell) -> None:
        self.clock = VirtualClock(THREADS)
        self.store = VirtualStore(self.clock, spells)
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
            lambda learned: None,
            lambda change: None,
            self.clock,
        )
        self._follower.set_active(True, is_shared=False)
        self._follower.start()

    def close(self) -> None:
        """End the follower's threads."""
        self._follower.close()
        self.clock.close()

    def serving_at(self, now: float) -> set[str]:
        """Return the upstreams that a request of that moment can go to."""
        self.clock.run(now)
        with self._guard:
            self.directory.expire(now)
            return {entry.upstream for entry in self.directory.serving(SERVICE)}

    def last_served(self, until: float) -> float:
        """Return the last moment at which work could go to the one that leaves."""
        last, step = 0.0, 0
        while step * STEP_SECONDS <= until:
            now = step * STEP_SECONDS
            if "u1" in self.serving_at(now):
                last = now
            step += 1
        return last


@pytest.fixture
def plays() -> Iterator[list[Play]]:
    made: list[Play] = []
    yield made
    for play in made:
        play.close()


def test_an_end_after_a_long_silence_of_the_store_is_no_lapse(
    plays: list[Play],
) -> None:
    """The users' incident, with the end at any moment after it."""
    refused = Spell(Silence.REFUSES, 16.3, 17.0)
    silent = Spell(Silence.SILENT, 17.0, 21.9)
    first = silent.ended + CONTACT_SECONDS
    for number in range(80):
        leaves_at = first + 0.1 * number
        play = Play(leaves_at, refused, silent)
        plays.append(play)
        late = play.last_served(leaves_at + DRAIN_SECONDS + 3.0) - leaves_at
        assert late < DRAIN_SECONDS, f"left at {leaves_at:.1f}"
        assert play.serving_at(leaves_at + 10.0) == {"u2"}


def test_an_end_behind_a_dead_connection_is_known_when_the_next_one_is(
    plays: list[Play],
) -> None:
    """A connection dies without a word; the store has never been away."""
    died = 15.0
    for number in range(40):
        leaves_at = died + 0.1 * number
        play = Play(leaves_at, Spell(Silence.LOSES_CONNECTIONS, died, died + 0.01))
        plays.append(play)
        bound = max(leaves_at + DRAIN_SECONDS, died + CONTACT_SECONDS) + 0.2
        last = play.last_served(bound + 3.0)
        assert last < bound, f"left at {leaves_at:.1f}"
        assert play.serving_at(leaves_at + 10.0) == {"u2"}


@pytest.mark.parametrize("seed", range(40))
def test_no_end_in_calm_is_believed_beyond_the_drain_bound(
    plays: list[Play], seed: int
) -> None:
    rng = random.Random(seed)
    began = rng.uniform(5.0, 15.0)
    refuses = rng.choice((0.0, rng.uniform(0.0, 2.0)))
    lasts = rng.uniform(0.2, 8.0)
    spells = (
        Spell(Silence.REFUSES, began, began + refuses),
        Spell(Silence.SILENT, began + refuses, began + refuses + lasts),
    )
    calm = spells[-1].ended + CONTACT_SECONDS
    leaves_at = calm + rng.uniform(0.0, LONGEST_AFTER_SECONDS)
    play = Play(leaves_at, *spells)
    plays.append(play)
    late = play.last_served(leaves_at + DRAIN_SECONDS + 3.0) - leaves_at
    assert late < DRAIN_SECONDS
    assert play.serving_at(leaves_at + 10.0) == {"u2"}


@pytest.mark.parametrize("back_after", [0.1, 0.8, 1.4])
@pytest.mark.parametrize("how", [Silence.REFUSES, Silence.SILENT])
def test_entries_that_lapse_with_the_store_stay_until_they_must_be_back(
    plays: list[Play], how: Silence, back_after: float
) -> None:
    """All entries lapse in an outage of the store; their upstreams live on."""
    away = Spell(how, 10.0, 16.0)
    play = Play(away.began + 4.0, away)
    plays.append(play)
    play.store.put(UPSTREAMS, away.began + 4.0, "u2", None)
    for number in (1, 2):
        back = away.ended + back_after
        play.store.put(UPSTREAMS, back, f"u{number}", b"here")
    step = 0
    while (now := away.began + step * STEP_SECONDS) < away.ended + 8.0:
        assert play.serving_at(now) == {"u1", "u2"}, f"at {now:.2f}"
        step += 1
