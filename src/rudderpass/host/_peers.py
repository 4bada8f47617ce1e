"""What a host tells its peers, takes from them, and whether it follows the store."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Iterable

from rudderpass import _clock
from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.directory import (
    STALE_AFTER_SECONDS,
    DirectoryChange,
    DirectoryState,
    StoreFollower,
)
from rudderpass.duties import ClusterView
from rudderpass.errors import PeerError
from rudderpass.eventlog import log
from rudderpass.exchange import ExchangeCore, SentPrompt
from rudderpass.gossip import (
    CANDIDATE_SECONDS,
    MIN_HOSTS_FOR_RELAYS,
    FollowRule,
    GossipTransport,
    Heartbeat,
    PeerTable,
)
from rudderpass.host._duties import HostDuties
from rudderpass.host._telling import Telling

BEAT_SECONDS = 0.5
"""Between beats. The shorter, the less hosts send the same prompt, or a whole burst, to
an upstream that looked idle; but each beat goes to each peer, and bytes between zones
have a price."""

RELAYED_BEAT_SECONDS = 0.25
"""The same where relays tell of all hosts: news pass two of them, and must not take
longer than where each host tells each."""

GATHERING_SECONDS = 0.02
"""From urgent news to the beat that tells it: all streams that a crash cuts end within
milliseconds, and one beat tells of them all."""

FETCH_SPREAD_SECONDS = 1.0
"""Within so long the hosts of a large deployment fetch news, each at a time of its own:
all together would hold up the beats of those that they ask. News must be in force
within 2 to 3 s."""


class PeerTalk:
    """One host's part in what hosts tell one another.

    :param address: ``ip:port`` at which peers reach this host.
    :param zone: the host's availability zone.
    :param link_mbps: what its link carries, Mbit/s.
    :param seeds: addresses of some peers; they may be stale.
    :param on_learned: told what changed by a peer's word.
    :param on_confirmed: told when a peer that hears the store knows no more than this
        host.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        address: str,
        zone: AvailabilityZone,
        link_mbps: int,
        seeds: Iterable[str],
        core: ExchangeCore,
        guard: threading.RLock,
        on_learned: Callable[[list[DirectoryChange]], None],
        on_confirmed: Callable[[float], None],
    ) -> None:
        self._duties: HostDuties | None = None
        self._core = core
        self._directory = core.directory
        self._guard = guard
        self._on_learned = on_learned
        self._on_confirmed = on_confirmed
        self._follower: StoreFollower | None = None
        self._is_large = False
        self._is_relayed = False
        self._next_beat = 0.0
        self._fetch_at: float | None = None
        self._wake = threading.Event()
        self._closing = threading.Event()
        self._transport = GossipTransport(
            address,
            self._take_beat,
            self._note_error,
            self._read_state,
            self._read_prompts,
        )
        own = self._transport.address
        self._rng = random.Random(own)
        self._mesh = PeerTable(own, self._rng)
        self._mesh.add(NodeId(seed) for seed in seeds)
        self._rule = FollowRule(own, self._mesh, _clock.now())
        self._telling = Telling(
            own,
            zone,
            link_mbps,
            core,
            self._mesh,
            lambda now: self._follower is not None and self._follower.is_current(now),
            lambda: None if self._duties is None else self._duties.news,
        )

    @property
    def address(self) -> NodeId:
        """Where peers reach this host."""
        return self._transport.address

    @property
    def mesh(self) -> PeerTable:
        """This host's view of its peers; to be read under the guard."""
        return self._mesh

    @property
    def is_relay(self) -> bool:
        """Whether this host tells others what all hosts do."""
        return self._telling.is_relay

    @property
    def transport(self) -> GossipTransport:
        """The sockets towards peers."""
        return self._transport

    def start(self, follower: StoreFollower, duties: HostDuties | None) -> None:
        """Begin to hear peers.

        :param follower: follows the store when too few of the others do.
        :param duties: this host's part in the duties, where there are any.
        """
        self._follower = follower
        self._duties = duties
        self._transport.start()
        self._greet_silent(_clock.now())

    def meet(self, peers: Iterable[NodeId]) -> None:
        """Greet peers that may exist, as the store lists them.

        :param peers: none where the store does not answer.
        """
        now = _clock.now()
        with self._guard:
            self._mesh.add(peers)
            self._rule.record_peers_listed()
        self._greet_silent(now)
        self._choose_followers(now)

    def close(self) -> None:
        """Stop hearing peers."""
        self._closing.set()
        self._wake.set()
        self._transport.close()

    def wait(self, seconds: float) -> None:
        """Wait until there is something to do, ``seconds`` at most."""
        if not self._wake.wait(seconds):
            return
        self._wake.clear()
        until_beat = self._next_beat - _clock.now()
        if 0.0 < until_beat <= GATHERING_SECONDS:
            self._closing.wait(until_beat)

    def tell_soon(self) -> None:
        """Let the next beat go out almost at once; what it tells cannot wait."""
        self._next_beat = min(self._next_beat, _clock.now() + GATHERING_SECONDS)
        self._wake.set()

    def survey(self, now: float) -> ClusterView:
        """Return what the duties' holder must know; to be called under the guard."""
        hears = self._follower is not None and self._follower.answered_within(
            now, CANDIDATE_SECONDS
        )
        is_candidate = hears and not self._core.is_stopping
        return ClusterView(
            (self.address, *self._mesh.live(now)),
            self._mesh.last_heard,
            self._rule.count_candidates_before(now) if is_candidate else None,
        )

    def do_due(self, now: float) -> None:
        """Tell peers, choose whether to follow the store, and fetch what is missed."""
        self._tell_usage(now)
        if now >= self._next_beat:
            # A little early, since waits end late.
            pause = RELAYED_BEAT_SECONDS if self._is_relayed else BEAT_SECONDS
            self._next_beat = now + pause * 3 / 4
            self.tell_peers(now)
            with self._guard:
                self._telling.forget_old(now)
        self._choose_followers(now)
        self._catch_up(now)

    def tell_peers(self, now: float, has_store_news: bool = False) -> None:
        """Send the beats that are due.

        :param has_store_news: whether all peers are to be told, not only relays.
        """
        with self._guard:
            was_relay = self.is_relay
            messages = self._telling.compose(now, self._is_relayed, has_store_news)
        if self.is_relay is not was_relay:
            word = "relays" if self.is_relay else "no longer relays"
            log("peer", f"{word} for its zone.", relay=self.is_relay)
        for message in messages:
            self._send_beat(message.beat, message.targets)

    def tell_store_news(self, is_first: bool, now: float) -> None:
        """Tell those who rely on this host at once what it heard from the store.

        :param is_first: whether this host knew nothing before; then others may not
            know anything either, as after an outage of the store.
        """
        if self._is_large or is_first:
            self.tell_peers(now, has_store_news=True)

    def greet_all(self, now: float) -> None:
        """Tell all peers that this host is there; those that missed it answer."""
        with self._guard:
            beat = self._telling.greet(now, self._is_relayed)
            targets = self._mesh.known
        self._send_beat(beat, targets)

    def _tell_usage(self, now: float) -> None:
        """Tell those who may report this host's usage what it has counted."""
        if self._duties is None:
            return
        with self._guard:
            usage = self._duties.find_telling(now)
            if usage is None:
                return
            beat = self._telling.tell_usage(usage, now)
            targets = self._mesh.usage_collectors(now)
        self._send_beat(beat, targets)

    @property
    def _is_following(self) -> bool:
        return self._follower is not None and self._follower.is_active

    @property
    def _hears_for_itself(self) -> bool:
        """Whether the store will soon tell this host what its peers know.

        A host that knows nothing may be waiting out a pause after failed calls.
        """
        return self._is_following and self._directory.is_complete

    def _choose_followers(self, now: float) -> None:
        """Follow the store, or rest while enough other hosts do."""
        with self._guard:
            holds_duties = self._duties is not None and self._duties.holds
            follows = self._rule.should_follow(now) or holds_duties
            self._is_large = self._rule.is_large(now)
            self._is_relayed = self._rule.count_hosts(now) >= MIN_HOSTS_FOR_RELAYS
        if self._follower is None:
            return
        if follows is not self._follower.is_active:
            word = "followed" if follows else "left to other hosts"
            log("store", f"is {word}.", following=follows)
        self._follower.set_active(follows, self._is_large)

    def _greet_silent(self, now: float) -> None:
        """Tell peers that have not been heard; a live one answers at once."""
        with self._guard:
            beat = self._telling.greet(now, self._is_relayed)
            targets = self._mesh.silent(now)
        self._send_beat(beat, targets)

    def _send_beat(self, beat: Heartbeat, targets: list[NodeId]) -> None:
        try:
            self._transport.send(beat, targets)
        except PeerError as error:
            self._note_error(error)

    def _catch_up(self, now: float) -> None:
        """Fetch a peer's state when this host has been behind it for a while."""
        if self._fetch_at is not None and now < self._fetch_at:
            return
        self._fetch_at = None
        with self._guard:
            offsets = self._directory.config_offset, self._directory.upstreams_end
            hears = self._hears_for_itself and not self._core.is_doubting
            peer = self._mesh.choose_peer_ahead(*offsets, hears, now)
        if peer is None:
            return
        try:
            state = self._transport.fetch(peer, *offsets)
        except PeerError as error:
            self._note_error(error)
            return
        with self._guard:
            source = f"peer {peer}"
            learned = self._directory.apply_state(state, source, _clock.now())
        self._on_learned(learned)

    def _take_beat(self, beat: Heartbeat) -> None:
        now = _clock.now()
        with self._guard:
            is_news = self._telling.take(beat, now)
            if self._duties is not None:
                self._duties.take(beat, now)
            greeting = self._telling.greet(now, self._is_relayed) if is_news else None
            if beat.following:
                heard = now - STALE_AFTER_SECONDS
                self._directory.record_list_confirmed(beat.upstreams_end, heard)
            is_behind = (
                beat.config_offset > self._directory.config_offset
                or beat.upstreams_end > self._directory.upstreams_end
            )
            is_urgent = not (self._directory.is_complete and self._is_large)
        if is_behind and (not self._hears_for_itself or self._core.is_doubting):
            self._plan_fetch(is_urgent or self._core.is_doubting, now)
        if beat.following and not is_behind:
            self._on_confirmed(now)
        if greeting is not None:
            # A starting host waits for this to learn whom it may ask.
            self._send_beat(greeting, [beat.sender])
            log("peer", f"{beat.sender} is heard.", peer=beat.sender)

    def _plan_fetch(self, is_urgent: bool, now: float) -> None:
        """Fetch what a peer knows: at once, or when this host's time comes."""
        if is_urgent:
            self._fetch_at = None
            self._wake.set()
        elif self._fetch_at is None:
            self._fetch_at = now + self._rng.uniform(0.0, FETCH_SPREAD_SECONDS)

    def _read_state(self, config_offset: int, upstreams_end: int) -> DirectoryState:
        with self._guard:
            now = _clock.now()
            return self._directory.state_since(config_offset, upstreams_end, now)

    def _read_prompts(self) -> tuple[SentPrompt, ...]:
        with self._guard:
            return self._core.caches.known()

    def _note_error(self, error: PeerError) -> None:
        log("peer", error.show(), peer=error.peer, step=error.step)
