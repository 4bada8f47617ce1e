"""Which hosts tell the others of what all do, where there are many.

Where each host tells each other one, what a host hears grows with their number: at 195
hosts, beats took most of a host's processor time, 0.049 cores where 24 hosts took
0.013, and each beat reached half of the peers only. So a few relays in each zone hear
the zone's hosts, sum up, and tell the relays of the other zones and the hosts of their
own. Nothing rests on a relay: without one a host goes by what it does itself.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.exchange import RESEND_SECONDS, SentPrompt
from rudderpass.gossip._hashing import hash_host
from rudderpass.gossip._mesh import Mesh
from rudderpass.learning import StreamSample

RELAY_FROM = 40
"""From so many hosts on relays tell of all. Fewer tell each other: 78 datagrams a
second and host, 0.4 % of a core at the 52 us that taking one was timed at. With relays
24 hosts earned 0.027, 0.044 and 0.017 less on three days, one play each."""

RELAYS = 2
"""Relays of each availability zone: one may be lost, freeze or be slow, and datagrams
get lost."""

PROVING_SECONDS = 1.5
"""After so long a relay that this host has not heard since it was chosen is passed over
for the next one. Relays are heard several times a second."""

MAX_WAITING_PROMPTS = 400
"""Prompts that wait to be told; beyond them the oldest are dropped. At 175 prompts a
second some 45 come between two digests."""

MAX_TOLD_PARTS = 1500
"""Parts of prompts told in one digest, 21 kB; the rest waits for the next one. When all
hosts start again, each tells what whole engines keep, and all of it together does not
fit into a datagram: then nobody heard any of it."""

MAX_WAITING_STREAMS = 16
"""Streams told in one digest. Five zones with two relays each then tell of 640 a
second, more than is needed to know 80 engines."""


@dataclass
class News:
    """What waits to be told on to one kind of audience."""

    prompts: deque[SentPrompt]
    streams: deque[StreamSample]

    @classmethod
    def make_empty(cls) -> News:
        """Return news in which the newest push out the oldest."""
        return cls(deque(maxlen=MAX_WAITING_PROMPTS), deque(maxlen=MAX_WAITING_STREAMS))

    def add(
        self, prompts: Iterable[SentPrompt], streams: Iterable[StreamSample]
    ) -> None:
        """Let these be told with the next digest."""
        self.prompts.extend(prompts)
        self.streams.extend(streams)

    def drain(self) -> tuple[tuple[SentPrompt, ...], tuple[StreamSample, ...]]:
        """Return what one digest may hold of all that waits, oldest first."""
        prompts: list[SentPrompt] = []
        room = MAX_TOLD_PARTS
        while self.prompts and (not prompts or len(self.prompts[0].parts) <= room):
            prompt = self.prompts.popleft()
            room -= len(prompt.parts)
            prompts.append(prompt)
        streams = tuple(self.streams)
        self.streams.clear()
        return tuple(prompts), streams


class Relaying:
    """This host's part in relaying.

    :param zone: the host's availability zone.
    :param link_mbps: what the host's link carries, Mbit/s.

    Not thread-safe: the host's lock guards it.

    .. versionadded:: 0.2
    """

    def __init__(
        self, own: NodeId, zone: AvailabilityZone, link_mbps: int, mesh: Mesh
    ) -> None:
        self._own = own
        self._link_mbps = link_mbps
        self._zone = zone
        self._mesh = mesh
        self._chosen: dict[NodeId, float] = {}
        self._told: dict[SentPrompt, float] = {}
        self.for_zone = News.make_empty()
        """For the hosts of the own zone."""
        self.for_relays = News.make_empty()
        """For the relays of other zones."""
        self.is_relay = False

    def choose(self, now: float) -> list[NodeId]:
        """Return the relays of the own zone, this host perhaps among them."""
        hosts = self._mesh.live_in(self._zone, now)
        relays = self._choose_of(self._zone, [*hosts, self._own], now)
        self.is_relay = self._own in relays
        return relays

    def choose_others(self, now: float) -> list[NodeId]:
        """Return the relays of all other zones."""
        relays: list[NodeId] = []
        for zone in self._mesh.zones(now):
            if zone != self._zone:
                hosts = self._mesh.live_in(zone, now)
                relays += self._choose_of(zone, hosts, now)
        return relays

    def take(
        self,
        is_own_zone: bool,
        prompts: Iterable[SentPrompt],
        streams: Iterable[StreamSample],
        now: float,
    ) -> None:
        """Take news that are to be told on, each prompt once in a while.

        :param is_own_zone: whether they come from a host of the own zone, so that the
            other zones have not heard them.
        """
        news = [prompt for prompt in prompts if self._is_news(prompt, now)]
        samples = list(streams)
        self.for_zone.add(news, samples)
        if is_own_zone:
            self.for_relays.add(news, samples)

    def forget_old(self, now: float) -> None:
        """Forget what may be told again, and hosts that are gone."""
        live = set(self._mesh.live(now))
        self._chosen = {h: at for h, at in self._chosen.items() if h in live}
        self._told = {
            prompt: at for prompt, at in self._told.items() if now - at < RESEND_SECONDS
        }

    def _is_news(self, prompt: SentPrompt, now: float) -> bool:
        if now - self._told.get(prompt, float("-inf")) < RESEND_SECONDS:
            return False
        self._told[prompt] = now
        return True

    def _choose_of(
        self, zone: AvailabilityZone, hosts: list[NodeId], now: float
    ) -> list[NodeId]:
        """Return a zone's first hosts, in the order that all have, that prove alive."""
        relays: list[NodeId] = []
        for host in sorted(hosts, key=self._rank):
            if len(relays) == RELAYS:
                self._chosen.pop(host, None)
            elif self._proves(zone, host, now):
                relays.append(host)
        return relays

    def _proves(self, zone: AvailabilityZone, host: NodeId, now: float) -> bool:
        if host == self._own:
            return True
        if zone != self._zone and not self.is_relay:
            return True  # Only the relays of the own zone are to be heard.
        since = self._chosen.setdefault(host, now)
        heard = self._mesh.heard_directly(host)
        return now - max(since, heard) <= PROVING_SECONDS

    def _rank(self, host: NodeId) -> float:
        """Return a host's place in the order in which hosts become relays.

        All hosts find the same order; a link twice as fast is four times as likely to
        come first. A relay sends half of its zone a digest four times a second, and the
        slowest links of the users carry 600 kB a second.
        """
        link = self._link_mbps if host == self._own else self._mesh.link_mbps(host)
        point = (hash_host("relay", host) + 1) / 2**64
        return -math.log(point) / max(1, link) ** 2


def choose_server(host: NodeId, relays: Sequence[NodeId]) -> NodeId:
    """Return which of its zone's relays tells a host of all."""
    return max(relays, key=lambda relay: hash_host(relay, host))
