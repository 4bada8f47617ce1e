"""Hosts' own decisions under load, in virtual time: engines, beats and callers.

Engines batch: each step makes a token for every stream and reads a chunk of the prompts
that wait, the more urgent first. They keep the parts of prompts that they have read.
One with a bound on its slots lets the more urgent in first; whoever comes to an engine
whose slots are all taken takes that of the newest of the least urgent streams, if that
is less urgent, and that one is read anew.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from rudderpass._ids import NodeId, RequestId, TeamId, UpstreamId
from rudderpass.directory import ExchangeRoute, ExchangeTeam
from rudderpass.exchange import Assignment, ExchangeCore, PartId, Refused
from rudderpass.learning import StreamSample
from tests.directory.builders import make_route
from tests.exchange.builders import (
    accept,
    make_core,
    make_request,
    parts,
    receive_from_peer,
)

BEAT_SECONDS = 0.5
BEAT_DELAY_SECONDS = 0.005

ROOMY_SHARE = 0.25
"""Share of an engine's slots that must be free for it to count as one with room."""

TEAMS = (
    ExchangeTeam(TeamId("team"), frozenset(["key"])),
    ExchangeTeam(TeamId("urgent"), frozenset(["urgent"]), 0),
    ExchangeTeam(TeamId("usual"), frozenset(["usual"]), 1),
)
"""Whose requests are played; the first has no tier."""


@dataclass(frozen=True)
class EngineKind:
    """How an engine works. Times are seconds.

    :param step: of a step that reads nothing.
    :param read_tokens: prompt tokens read in a second.
    :param event_tokens: tokens that an event of a stream holds.
    :param step_per_stream: by which each running stream makes a step longer.
    :param slots: on how many streams it works at once; None for no bound.
    :param queue: requests that may wait for a slot; it refuses more.
    """

    step: float = 0.0055
    read_tokens: float = 42_000.0
    chunk: int = 2048
    event_tokens: int = 3
    step_per_stream: float = 0.0
    slots: int | None = None
    queue: int = 128


@dataclass(frozen=True)
class Kind:
    """One kind of request.

    :param rate: requests a second, over all hosts.
    :param own_tokens: mean of the prompt's own part; sizes differ by ten times.
    :param urgent_share: share that comes from the team of the more urgent tier.
    :param burst: factor of the rate between ``burst_at`` and ``burst_until``.
    """

    route: ExchangeRoute
    rate: float
    own_tokens: int
    events: int
    shared_tokens: int = 0
    subjects: int = 4
    burst: float = 1.0
    burst_at: float = 0.0
    burst_until: float = 0.0
    urgent_share: float = 0.0

    def rate_at(self, now: float) -> float:
        """Return the rate at a moment."""
        in_burst = self.burst_at <= now < self.burst_until
        return self.rate * (self.burst if in_burst else 1.0)


@dataclass
class Tally:
    """What callers of one kind got.

    :param preempted: times that a running stream was preempted.
    :param outranked: those of them with a stream of a less urgent route left running.
    :param crowded: requests sent to an engine whose slots were all taken while another
        one had a quarter of its slots free.
    """

    asked: int = 0
    in_time: int = 0
    late_start: int = 0
    late_by_pause: int = 0
    refused: int = 0
    preempted: int = 0
    outranked: int = 0
    crowded: int = 0

    @property
    def share_in_time(self) -> float:
        """The share of requests whose answer was in time."""
        return self.in_time / max(1, self.asked)


@dataclass(eq=False)
class _Stream:
    core: ExchangeCore
    assigned: Assignment
    kind: Kind
    tier: int
    began: float
    number: int
    to_read: int
    read_parts: tuple[PartId, ...]
    prompt_tokens: int = 0
    tokens: int = 0
    last_event: float | None = None
    pauses: list[float] = field(default_factory=list)
    first: float = math.inf

    @property
    def urgency(self) -> tuple[int, int]:
        """The order in which an engine lets requests in; the last is put out first."""
        return self.tier, self.number


class _Clock:
    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + seconds, next(self._order), action))

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()


class _Engine:
    def __init__(self, kind: EngineKind, clock: _Clock, slowness: float) -> None:
        self._kind = kind
        self._clock = clock
        self._slowness = slowness
        self._streams: list[_Stream] = []
        self._waiting: list[_Stream] = []
        self._busy = False
        self.kept: set[PartId] = set()
        self.on_end: Callable[[_Stream], None]
        self.on_preempt: Callable[[_Stream, bool], None]

    @property
    def free_share(self) -> float:
        """The share of its slots that is free."""
        slots = self._kind.slots
        return 1.0 if slots is None else 1.0 - len(self._streams) / slots

    @property
    def is_full(self) -> bool:
        return self.free_share <= 0.0

    def start(self, stream: _Stream) -> bool:
        """Take a request; tell whether there was room for it to run or wait."""
        if len(self._waiting) >= self._kind.queue:
            return False
        self._waiting.append(stream)
        self._fill()
        if not self._busy:
            self._busy = True
            self._begin_step()
        return True

    def _fill(self) -> None:
        """Let the most urgent in, in place of less urgent ones where none is free."""
        slots = self._kind.slots or math.inf
        while self._waiting:
            first = min(self._waiting, key=lambda stream: stream.urgency)
            if len(self._streams) >= slots and not self._preempt(first):
                return
            self._waiting.remove(first)
            self._streams.append(first)

    def _preempt(self, urgent: _Stream) -> bool:
        """Put the newest of the least urgent streams back, if that is less urgent."""
        last = max(self._streams, key=lambda stream: stream.urgency)
        if last.tier <= urgent.tier:
            return False
        self._streams.remove(last)
        last.to_read = last.prompt_tokens + last.tokens
        self._waiting.append(last)
        own = last.kind.route.tier
        self.on_preempt(last, any(s.kind.route.tier > own for s in self._streams))
        return True

    def _begin_step(self) -> None:
        room = self._kind.chunk
        for stream in sorted(self._streams, key=lambda stream: stream.tier):
            taken = min(room, stream.to_read)
            stream.to_read -= taken
            room -= taken
        read = self._kind.chunk - room
        seconds = self._kind.step + read / self._kind.read_tokens
        seconds += self._kind.step_per_stream * len(self._streams)
        self._clock.after(seconds * self._slowness, self._end_step)

    def _end_step(self) -> None:
        for stream in [stream for stream in self._streams if not stream.to_read]:
            self._make_token(stream)
        self._fill()
        if self._streams:
            self._begin_step()
        else:
            self._busy = False

    def _make_token(self, stream: _Stream) -> None:
        now = self._clock.now
        if not stream.tokens:
            stream.first = now - stream.began
            self.kept.update(stream.read_parts)
            stream.core.record_response_start(stream.assigned, now)
        stream.tokens += 1
        if stream.tokens % self._kind.event_tokens:
            return
        if stream.last_event is not None:
            stream.pauses.append(now - stream.last_event)
        stream.last_event = now
        if stream.tokens >= stream.kind.events * self._kind.event_tokens:
            self._streams.remove(stream)
            self.on_end(stream)


class LoadPlay:
    """Plays kinds of requests through several hosts that tell one another in beats.

    :param slowness: of each engine; 1 is the usual speed.
    """

    def __init__(
        self,
        engine: EngineKind,
        kinds: tuple[Kind, ...],
        slowness: tuple[float, ...] = (1.0, 1.0, 1.3, 1.0, 1.0),
        hosts: int = 9,
        seed: int = 1,
    ) -> None:
        self._clock = _Clock()
        self._rng = random.Random(seed)
        self._engine = engine
        self._kinds = kinds
        self._ids = itertools.count()
        routes = [kind.route for kind in kinds]
        slots = engine.slots or 64
        self._cores = [
            make_core(*routes, upstreams=len(slowness), slots=slots, teams=TEAMS)
            for _ in range(hosts)
        ]
        self._engines = {
            UpstreamId(f"u{number}"): _Engine(engine, self._clock, factor)
            for number, factor in enumerate(slowness, start=1)
        }
        for one in self._engines.values():
            one.on_end = self._end
            one.on_preempt = self._preempted
        self.tallies = {kind.route.name: Tally() for kind in kinds}

    def run(self, seconds: float) -> dict[str, Tally]:
        """Play ``seconds`` of load and let all of it end."""
        for index in range(len(self._cores)):
            self._clock.after(0.05 * index, partial(self._beat, index))
        for kind in self._kinds:
            self._clock.after(0.0, partial(self._arrive, kind, seconds))
        self._clock.run(seconds + 30.0)
        return {str(name): tally for name, tally in self.tallies.items()}

    def _beat(self, index: int) -> None:
        now, core = self._clock.now, self._cores[index]
        told = (
            core.loads.own,
            core.caches.drain(),
            core.drain_streams(),
            core.loads.own_reading(now),
        )

        def deliver() -> None:
            loads, prompts, streams, reading = told
            for other in self._cores:
                if other is not core:
                    name = NodeId(f"h{index}")
                    receive_from_peer(
                        other, name, loads, prompts, self._clock.now, streams, reading
                    )

        self._clock.after(BEAT_DELAY_SECONDS, deliver)
        core.tick(now)
        self._clock.after(BEAT_SECONDS, partial(self._beat, index))

    def _arrive(self, kind: Kind, until: float) -> None:
        now = self._clock.now
        if now >= until:
            return
        self._send(kind)
        gap = self._rng.expovariate(kind.rate_at(now))
        self._clock.after(gap, partial(self._arrive, kind, until))

    def _send(self, kind: Kind) -> None:
        now, core = self._clock.now, self._rng.choice(self._cores)
        tally = self.tallies[kind.route.name]
        tally.asked += 1
        number = next(self._ids)
        size = int(kind.own_tokens * self._rng.lognormvariate(-0.4, 0.9))
        prompt = [(f"{kind.route.name}-{number}", max(50, min(size, 40_000)))]
        if kind.shared_tokens:
            subject = self._rng.randrange(kind.subjects)
            prompt.insert(0, (f"{kind.route.name}-s{subject}", kind.shared_tokens))
        request = make_request(
            request_id=RequestId(f"r{number}"),
            path=f"{kind.route.path_prefix}1",
            parts=parts(*prompt),
            output_tokens=2 * kind.events * self._engine.event_tokens,
            key=self._pick_key(kind),
        )
        accepted = accept(core, request, now)
        assigned = core.assign(request, accepted, (), now)
        if isinstance(assigned, Refused):
            tally.refused += 1
            return
        engine = self._engines[assigned.upstream]
        unread = sum(p.tokens for p in request.parts if p.part not in engine.kept)
        names = tuple(part.part for part in request.parts)
        stream = _Stream(
            core, assigned, kind, accepted.tier, now, number, unread, names
        )
        stream.prompt_tokens = unread
        tally.crowded += engine.is_full and self._has_room()
        if not engine.start(stream):
            tally.refused += 1
            core.record_refusal(assigned, now)
            core.record_end(assigned, None, now)

    def _has_room(self) -> bool:
        return any(
            engine.free_share >= ROOMY_SHARE for engine in self._engines.values()
        )

    def _pick_key(self, kind: Kind) -> str:
        """Return the key of the team that a request comes from."""
        if not kind.urgent_share:
            return "key"
        return "urgent" if self._rng.random() < kind.urgent_share else "usual"

    def _preempted(self, stream: _Stream, outranked: bool) -> None:
        tally = self.tallies[stream.kind.route.name]
        tally.preempted += 1
        tally.outranked += outranked

    def _end(self, stream: _Stream) -> None:
        now, kind = self._clock.now, stream.kind
        stream.core.record_end(stream.assigned, True, now)
        pace = sorted(stream.pauses)[len(stream.pauses) // 10]
        sample = StreamSample(stream.assigned.upstream, pace, max(stream.pauses))
        stream.core.record_stream(sample, now)
        tally = self.tallies[kind.route.name]
        if stream.first > kind.route.target_latency:
            tally.late_start += 1
        elif max(stream.pauses) > (kind.route.gap_target or math.inf):
            tally.late_by_pause += 1
        else:
            tally.in_time += 1


def make_kind(name: str, **changes: object) -> Kind:
    """Return a kind whose route has a name, a target and a limit of its own."""
    route = make_route(
        name=name,
        path_prefix=f"/{name}/",
        timeout=20.0,
        target_latency=changes.pop("target"),
        gap_target=changes.pop("gap"),
        tier=changes.pop("tier"),
    )
    return Kind(route, **changes)  # type: ignore[arg-type]
