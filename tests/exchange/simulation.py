"""Discrete-event simulation of hosts' decisions under load.

Simulates engines, heartbeats between hosts and callers in virtual time. Engines use
continuous batching: each step generates a token for every stream and prefills a chunk
of the waiting prompts, the more urgent first. They cache the prompt parts they have
prefilled. An engine with limited slots admits the more urgent requests first. When all
slots are taken, a new request preempts the newest of the least urgent streams if that
is less urgent; the preempted stream is prefilled again.
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

HEARTBEAT_SECONDS = 0.5
HEARTBEAT_DELAY_SECONDS = 0.005

MIN_FREE_SHARE = 0.25
"""Share of free slots from which an engine counts as having room."""

TEAMS = (
    ExchangeTeam(TeamId("team"), frozenset(["key"])),
    ExchangeTeam(TeamId("urgent"), frozenset(["urgent"]), 0),
    ExchangeTeam(TeamId("usual"), frozenset(["usual"]), 1),
)
"""The teams that send requests; the first has no tier."""


@dataclass(frozen=True)
class EngineKind:
    """Performance profile of an engine. Times are seconds.

    :param step: duration of a step without prefill.
    :param prefill_rate: prompt tokens per second.
    :param event_tokens: tokens in one event of a stream.
    :param step_per_stream: extra duration of a step per running stream.
    :param slots: maximum number of running streams; None for no limit.
    :param queue: maximum number of requests waiting for a slot; more are refused.
    """

    step: float = 0.0055
    prefill_rate: float = 42_000.0
    chunk: int = 2048
    event_tokens: int = 3
    step_per_stream: float = 0.0
    slots: int | None = None
    queue: int = 128


@dataclass(frozen=True)
class Workload:
    """Requests of one route.

    :param rate: requests per second over all hosts.
    :param own_tokens: mean size of the prompt's own part; sizes vary tenfold.
    :param shared_parts: number of different parts that prompts share.
    :param urgent_share: share of requests from the team with the more urgent tier.
    :param burst: factor of the rate between ``burst_at`` and ``burst_until``.
    """

    route: ExchangeRoute
    rate: float
    own_tokens: int
    events: int
    shared_tokens: int = 0
    shared_parts: int = 4
    burst: float = 1.0
    burst_at: float = 0.0
    burst_until: float = 0.0
    urgent_share: float = 0.0

    def rate_at(self, now: float) -> float:
        """Return the request rate at a time."""
        in_burst = self.burst_at <= now < self.burst_until
        return self.rate * (self.burst if in_burst else 1.0)


@dataclass
class CallerOutcomes:
    """Counts of what callers of one workload experienced.

    :param preempted: number of preemptions of running streams.
    :param outranked: preemptions while a stream of a less urgent route kept running.
    :param crowded: requests sent to an engine without a free slot while another one had
        a quarter of its slots free.
    """

    requests: int = 0
    in_time: int = 0
    late_start: int = 0
    late_by_pause: int = 0
    refused: int = 0
    preempted: int = 0
    outranked: int = 0
    crowded: int = 0

    @property
    def share_in_time(self) -> float:
        """The share of requests whose response was in time."""
        return self.in_time / max(1, self.requests)


@dataclass(eq=False)
class _Stream:
    core: ExchangeCore
    assigned: Assignment
    workload: Workload
    tier: int
    began: float
    number: int
    unread_tokens: int
    part_ids: tuple[PartId, ...]
    prompt_tokens: int = 0
    tokens: int = 0
    last_event: float | None = None
    pauses: list[float] = field(default_factory=list)
    first_token_after: float = math.inf

    @property
    def urgency(self) -> tuple[int, int]:
        """The order in which an engine admits requests; the last is preempted first."""
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
    def __init__(self, profile: EngineKind, clock: _Clock, slowness: float) -> None:
        self._profile = profile
        self._clock = clock
        self._slowness = slowness
        self._streams: list[_Stream] = []
        self._waiting: list[_Stream] = []
        self._busy = False
        self.cached_parts: set[PartId] = set()
        self.on_end: Callable[[_Stream], None]
        self.on_preempt: Callable[[_Stream, bool], None]

    @property
    def free_share(self) -> float:
        """The share of free slots."""
        slots = self._profile.slots
        return 1.0 if slots is None else 1.0 - len(self._streams) / slots

    @property
    def is_full(self) -> bool:
        return self.free_share <= 0.0

    def start(self, stream: _Stream) -> bool:
        """Accept a request; return whether there was room for it to run or wait."""
        if len(self._waiting) >= self._profile.queue:
            return False
        self._waiting.append(stream)
        self._admit_waiting()
        if not self._busy:
            self._busy = True
            self._begin_step()
        return True

    def _admit_waiting(self) -> None:
        """Admit the most urgent requests, preempting less urgent streams if needed."""
        slots = self._profile.slots or math.inf
        while self._waiting:
            first = min(self._waiting, key=lambda stream: stream.urgency)
            if len(self._streams) >= slots and not self._preempt(first):
                return
            self._waiting.remove(first)
            self._streams.append(first)

    def _preempt(self, urgent: _Stream) -> bool:
        """Preempt the newest of the least urgent streams if that is less urgent."""
        last = max(self._streams, key=lambda stream: stream.urgency)
        if last.tier <= urgent.tier:
            return False
        self._streams.remove(last)
        last.unread_tokens = last.prompt_tokens + last.tokens
        self._waiting.append(last)
        own = last.workload.route.tier
        self.on_preempt(last, any(s.workload.route.tier > own for s in self._streams))
        return True

    def _begin_step(self) -> None:
        room = self._profile.chunk
        for stream in sorted(self._streams, key=lambda stream: stream.tier):
            taken = min(room, stream.unread_tokens)
            stream.unread_tokens -= taken
            room -= taken
        prefilled = self._profile.chunk - room
        seconds = self._profile.step + prefilled / self._profile.prefill_rate
        seconds += self._profile.step_per_stream * len(self._streams)
        self._clock.after(seconds * self._slowness, self._end_step)

    def _end_step(self) -> None:
        for stream in [stream for stream in self._streams if not stream.unread_tokens]:
            self._generate_token(stream)
        self._admit_waiting()
        if self._streams:
            self._begin_step()
        else:
            self._busy = False

    def _generate_token(self, stream: _Stream) -> None:
        now = self._clock.now
        if not stream.tokens:
            stream.first_token_after = now - stream.began
            self.cached_parts.update(stream.part_ids)
            stream.core.record_response_start(stream.assigned, now)
        stream.tokens += 1
        if stream.tokens % self._profile.event_tokens:
            return
        if stream.last_event is not None:
            stream.pauses.append(now - stream.last_event)
        stream.last_event = now
        if stream.tokens >= stream.workload.events * self._profile.event_tokens:
            self._streams.remove(stream)
            self.on_end(stream)


class LoadSimulation:
    """Simulates workloads on several hosts that exchange heartbeats.

    :param slowness: factor for the step time of each engine; 1 is nominal.
    """

    def __init__(
        self,
        engine: EngineKind,
        workloads: tuple[Workload, ...],
        slowness: tuple[float, ...] = (1.0, 1.0, 1.3, 1.0, 1.0),
        hosts: int = 9,
        seed: int = 1,
    ) -> None:
        self._clock = _Clock()
        self._rng = random.Random(seed)
        self._engine = engine
        self._workloads = workloads
        self._ids = itertools.count()
        routes = [workload.route for workload in workloads]
        slots = engine.slots or 64
        self._cores = [
            make_core(*routes, upstreams=len(slowness), slots=slots, teams=TEAMS)
            for _ in range(hosts)
        ]
        self._engines = {
            UpstreamId(f"u{number}"): _Engine(engine, self._clock, factor)
            for number, factor in enumerate(slowness, start=1)
        }
        for simulated in self._engines.values():
            simulated.on_end = self._end
            simulated.on_preempt = self._record_preemption
        self.outcomes = {
            workload.route.name: CallerOutcomes() for workload in workloads
        }

    def run(self, seconds: float) -> dict[str, CallerOutcomes]:
        """Simulate ``seconds`` of load and let all requests end."""
        for index in range(len(self._cores)):
            self._clock.after(0.05 * index, partial(self._send_heartbeat, index))
        for workload in self._workloads:
            self._clock.after(0.0, partial(self._arrive, workload, seconds))
        self._clock.run(seconds + 30.0)
        return {str(name): outcomes for name, outcomes in self.outcomes.items()}

    def _send_heartbeat(self, index: int) -> None:
        now, core = self._clock.now, self._cores[index]
        report = (
            core.loads.own,
            core.caches.drain(),
            core.drain_streams(),
            core.loads.own_prefill_rates(now),
        )

        def deliver() -> None:
            loads, prompts, streams, prefill_rates = report
            for other in self._cores:
                if other is not core:
                    name = NodeId(f"h{index}")
                    receive_from_peer(
                        other,
                        name,
                        loads,
                        prompts,
                        self._clock.now,
                        streams,
                        prefill_rates,
                    )

        self._clock.after(HEARTBEAT_DELAY_SECONDS, deliver)
        core.tick(now)
        self._clock.after(HEARTBEAT_SECONDS, partial(self._send_heartbeat, index))

    def _arrive(self, workload: Workload, until: float) -> None:
        now = self._clock.now
        if now >= until:
            return
        self._send(workload)
        gap = self._rng.expovariate(workload.rate_at(now))
        self._clock.after(gap, partial(self._arrive, workload, until))

    def _send(self, workload: Workload) -> None:
        now, core = self._clock.now, self._rng.choice(self._cores)
        outcomes = self.outcomes[workload.route.name]
        outcomes.requests += 1
        number = next(self._ids)
        size = int(workload.own_tokens * self._rng.lognormvariate(-0.4, 0.9))
        prompt = [(f"{workload.route.name}-{number}", max(50, min(size, 40_000)))]
        if workload.shared_tokens:
            shared_part = self._rng.randrange(workload.shared_parts)
            prompt.insert(
                0, (f"{workload.route.name}-s{shared_part}", workload.shared_tokens)
            )
        request = make_request(
            request_id=RequestId(f"r{number}"),
            path=f"{workload.route.path_prefix}1",
            parts=parts(*prompt),
            output_tokens=2 * workload.events * self._engine.event_tokens,
            key=self._pick_key(workload),
        )
        accepted = accept(core, request, now)
        assigned = core.assign(request, accepted, (), now)
        if isinstance(assigned, Refused):
            outcomes.refused += 1
            return
        engine = self._engines[assigned.upstream]
        unread = sum(
            p.tokens for p in request.parts if p.part not in engine.cached_parts
        )
        names = tuple(part.part for part in request.parts)
        stream = _Stream(
            core, assigned, workload, accepted.tier, now, number, unread, names
        )
        stream.prompt_tokens = unread
        outcomes.crowded += engine.is_full and self._has_room()
        if not engine.start(stream):
            outcomes.refused += 1
            core.record_refusal(assigned, now)
            core.record_end(assigned, None, now)

    def _has_room(self) -> bool:
        return any(
            engine.free_share >= MIN_FREE_SHARE for engine in self._engines.values()
        )

    def _pick_key(self, workload: Workload) -> str:
        """Return the API key of the team that sends a request."""
        if not workload.urgent_share:
            return "key"
        return "urgent" if self._rng.random() < workload.urgent_share else "usual"

    def _record_preemption(self, stream: _Stream, outranked: bool) -> None:
        outcomes = self.outcomes[stream.workload.route.name]
        outcomes.preempted += 1
        outcomes.outranked += outranked

    def _end(self, stream: _Stream) -> None:
        now, workload = self._clock.now, stream.workload
        stream.core.record_end(stream.assigned, True, now)
        pace = sorted(stream.pauses)[len(stream.pauses) // 10]
        sample = StreamSample(stream.assigned.upstream, pace, max(stream.pauses))
        stream.core.record_stream(sample, now)
        outcomes = self.outcomes[workload.route.name]
        if stream.first_token_after > workload.route.target_latency:
            outcomes.late_start += 1
        elif max(stream.pauses) > (workload.route.gap_target or math.inf):
            outcomes.late_by_pause += 1
        else:
            outcomes.in_time += 1


def make_workload(name: str, **changes: object) -> Workload:
    """Return a workload with its own route: name, latency and gap target, and tier."""
    route = make_route(
        name=name,
        path_prefix=f"/{name}/",
        timeout=20.0,
        target_latency=changes.pop("target"),
        gap_target=changes.pop("gap"),
        tier=changes.pop("tier"),
    )
    return Workload(route, **changes)  # type: ignore[arg-type]
