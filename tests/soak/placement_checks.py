"""Checks of regions, evacuations and cold upstreams, from what upstreams received."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain

from tests.soak.callers import DEADLINE_MS, Attempt
from tests.soak.placement import (
    BOUND_REGIONS,
    COLD_OVERAGE,
    COLD_PER_S,
    COLD_SLACK,
    GUILD,
    GUILD_REGIONS,
    REGIONS,
    ColdPeriod,
    ColdSource,
    PlacementDeployment,
    Regions,
)
from tests.soak.placement_faults import PlacementFaults
from tests.soak.upstreams import Arrival

CONFIG_SECONDS = 3.0
"""From the acknowledgement of a configuration until hosts in touch must apply it."""

EVACUATION_SECONDS = 5.0
"""From the acknowledgement of an evacuation until rule EVAC holds."""

COLD_RECORD_SECONDS = 2.0
"""From a rewritten record until hosts in touch must know that an upstream is cold."""

COLD_HEADER_SECONDS = 0.5
"""From an upstream's response with a cold time until the host must apply it."""

MAX_COLD_PER_SECOND = COLD_PER_S * COLD_OVERAGE + COLD_SLACK


@dataclass(frozen=True)
class Send:
    """A request that reached an upstream, on the monotonic clock.

    :ivar sent: the earliest moment at which the host can have sent it: the remaining
        time that it told starts when it reads the request, after the caller's start.
    """

    attempt: Attempt
    arrival: Arrival
    sent: float

    @property
    def host(self) -> str:
        return self.attempt.host


class PlacementChecks:
    """Finds violations of HOME, EVAC and FAILBACK.

    :param attempts: all requests of callers.
    :ivar checked: by rule, how many requests or periods its time limit applied to.
    """

    def __init__(
        self,
        deployment: PlacementDeployment,
        faults: PlacementFaults,
        attempts: Iterable[Attempt],
    ) -> None:
        self._deployment = deployment
        self._faults = faults
        self._started = {host.name: host.started for host in deployment.hosts}
        self._upstream_by_address = {
            link.address: name for name, link in deployment.links.items()
        }
        attempt_by_id = {attempt.request_id: attempt for attempt in attempts}
        self._sends_by_upstream = {
            name: [
                make_send(attempt_by_id[arrival.request_id], arrival)
                for arrival in upstream.received
                if arrival.request_id in attempt_by_id
            ]
            for name, upstream in deployment.upstreams.items()
        }
        self.checked = {"HOME": 0, "EVAC": 0, "FAILBACK": 0}

    def find_violations(self) -> list[str]:
        """Return all violations."""
        sends = list(chain.from_iterable(self._sends_by_upstream.values()))
        return [
            *chain.from_iterable(map(self._check_home, sends)),
            *chain.from_iterable(map(self._check_evacuated, sends)),
            *chain.from_iterable(map(self._check_cold, self._deployment.cold_periods)),
        ]

    def _is_in_touch(self, send: Send) -> bool:
        return self._faults.is_in_touch(send.host, send.sent, send.arrival.at)

    def _upstreams_of(self, send: Send) -> list[str]:
        """Return the upstream of a send, and the one to copy a prompt's cache from."""
        source = self._upstream_by_address.get(send.arrival.copy_from or "")
        return [send.arrival.upstream, *([source] if source else [])]

    def _check_home(self, send: Send) -> Iterable[str]:
        allowed = self._find_allowed(send)
        self.checked["HOME"] += allowed is not None
        for name in self._upstreams_of(send):
            region = self._deployment.region_of(name)
            if allowed is not None and region not in allowed:
                yield (
                    f"HOME: {send.attempt.request_id} of {send.attempt.route} from "
                    f"{send.host} reached {name} in {region}, allowed {sorted(allowed)}"
                )

    def _find_allowed(self, send: Send) -> Regions:
        """Return the regions that any configuration in force at the send allowed."""
        allowed: Regions = None
        if send.attempt.route == "bound":
            allowed = BOUND_REGIONS
        if send.attempt.route == "vary":
            allowed = self._find_changed_regions(send)
        if send.attempt.team != GUILD:
            return allowed
        return GUILD_REGIONS if allowed is None else allowed & GUILD_REGIONS

    def _find_changed_regions(self, send: Send) -> Regions:
        """Return what the route ``vary`` allowed, on hosts in touch."""
        if not self._is_in_touch(send):
            return None
        changes = self._deployment.region_changes
        allowed: frozenset[str] = frozenset()
        for number, change in enumerate(changes):
            later = changes[number + 1 :]
            is_over = bool(later) and send.sent > later[0].acked + CONFIG_SECONDS
            if is_over or change.written > send.arrival.at:
                continue
            if not change.regions:
                return None
            allowed |= change.regions
        return allowed

    def _check_evacuated(self, send: Send) -> Iterable[str]:
        is_in_touch = self._is_in_touch(send)
        for evacuation in self._deployment.evacuations if is_in_touch else ():
            late = send.sent - evacuation.acked
            if late <= EVACUATION_SECONDS or send.arrival.at >= evacuation.ended:
                continue
            self.checked["EVAC"] += 1
            for name in self._upstreams_of(send):
                if self._deployment.zones[name] == evacuation.zone:
                    yield (
                        f"EVAC: {send.attempt.request_id} from {send.host} reached "
                        f"{name} {late:.2f} s after {evacuation.zone} was evacuated"
                    )

    def _check_cold(self, period: ColdPeriod) -> Iterable[str]:
        sends = [
            send
            for send in self._sends_by_upstream[period.upstream]
            if send.sent >= period.started
            and send.arrival.at <= period.ended
            and self._must_know(send, period)
        ]
        self.checked["FAILBACK"] += bool(sends)
        most = max_per_second([(send.sent, send.arrival.at) for send in sends])
        if most > MAX_COLD_PER_SECOND:
            yield (
                f"FAILBACK: {period.upstream} received {most} requests in a second "
                f"while cold since {period.started:.2f} ({period.source.name})"
            )

    def _must_know(self, send: Send, period: ColdPeriod) -> bool:
        """Return whether the host of a send must know that the upstream is cold."""
        has_restarted = any(
            period.started < started <= send.sent
            for started in self._started[send.host]
        )
        match period.source:
            case ColdSource.START:
                return period.is_in_record or not has_restarted
            case ColdSource.RECORD:
                return (
                    send.sent >= period.started + COLD_RECORD_SECONDS
                    and self._is_in_touch(send)
                )
            case ColdSource.HEADER:
                return not has_restarted and self._has_read_header(send, period)
            case ColdSource.RETURN:
                return not has_restarted and self._knew_evacuation(send, period)

    def _has_read_header(self, send: Send, period: ColdPeriod) -> bool:
        """Return whether the upstream's responses told the host of its cold time."""
        name, at = period.upstream, send.arrival.at
        if self._faults.was_disturbed(name, period.started, at) or any(
            self._faults.was_disturbed(region, period.started, at)
            for region in REGIONS.values()
        ):
            return False
        return any(
            earlier.host == send.host
            and period.started <= earlier.arrival.at < send.sent - COLD_HEADER_SECONDS
            for earlier in self._sends_by_upstream[name]
        )

    def _knew_evacuation(self, send: Send, period: ColdPeriod) -> bool:
        """Return whether the host was in touch before the evacuation ended."""
        return self._faults.is_in_touch(
            send.host, period.started - EVACUATION_SECONDS, period.started
        )


def make_send(attempt: Attempt, arrival: Arrival) -> Send:
    """Return a request with the earliest moment of its send."""
    used = (DEADLINE_MS - arrival.deadline_ms) / 1000
    return Send(attempt, arrival, attempt.started + max(0.0, used))


def max_per_second(spans: list[tuple[float, float]]) -> int:
    """Return the most requests that were sent and arrived within any one second.

    :param spans: when each request was sent, and when it arrived.
    """
    counts = [
        sum(since <= sent and at <= since + 1.0 for sent, at in spans)
        for since, _ in spans
    ]
    return max(counts, default=0)
