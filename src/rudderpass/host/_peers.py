"""Gossip of a host over sockets, and the decision whether it follows the store."""

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
    ViewPosition,
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
    OriginMessage,
    PeerTable,
)
from rudderpass.host._duties import HostDuties
from rudderpass.host._gossip_protocol import GossipProtocol

HEARTBEAT_SECONDS = 0.5
"""Interval between heartbeats. A shorter one makes it rarer that several hosts send the
same prompt, or a whole burst, to an upstream that looked idle. But each heartbeat goes
to each peer, and traffic between zones is charged."""

RELAYED_HEARTBEAT_SECONDS = 0.25
"""Interval with relays. A report passes through two relays, and must not take longer
than where each host sends to each."""

URGENT_BATCH_SECONDS = 0.02
"""Delay from an urgent event to its heartbeat. All streams cut by one crash end within
milliseconds, so that one heartbeat reports them all."""

FETCH_SPREAD_SECONDS = 1.0
"""Period over which the hosts of a large deployment spread their fetches of an update.
Fetching all at once would delay the heartbeats of the queried hosts. Updates must take
effect within 2 to 3 s."""


class PeerGossip:
    """Exchanges heartbeats and state with a host's peers.

    :param address: ``ip:port`` at which peers reach this host.
    :param zone: the host's availability zone.
    :param link_mbps: bandwidth of its link, Mbit/s.
    :param seeds: addresses of some peers; they may be stale.
    :param on_learned: called with the changes fetched from a peer.
    :param on_confirmed: called when a peer that follows the store has no newer state
        than this host.
    :param on_origins: called with each message about streams, and its sender.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        address: str,
        zone: AvailabilityZone,
        link_mbps: int,
        seeds: Iterable[str],
        core: ExchangeCore,
        lock: threading.RLock,
        on_learned: Callable[[list[DirectoryChange]], None],
        on_confirmed: Callable[[float], None],
        on_origins: Callable[
            [OriginMessage, NodeId], None
        ] = lambda message, peer: None,
    ) -> None:
        self._duties: HostDuties | None = None
        self._core = core
        self._directory = core.directory
        self._lock = lock
        self._on_learned = on_learned
        self._on_confirmed = on_confirmed
        self._follower: StoreFollower | None = None
        self._is_large = False
        self._announced_zones: frozenset[AvailabilityZone] = frozenset()
        self._is_relayed = False
        self._next_heartbeat_at = 0.0
        self._fetch_at: float | None = None
        self._wake = threading.Event()
        self._closing = threading.Event()
        self._transport = GossipTransport(
            address,
            self._receive_heartbeat,
            self._record_error,
            self._read_state,
            self._read_prompts,
            on_origins,
        )
        own = self._transport.address
        self._rng = random.Random(own)
        self._peer_table = PeerTable(own, self._rng)
        self._peer_table.add(NodeId(seed) for seed in seeds)
        self._follow_rule = FollowRule(own, self._peer_table, _clock.now())
        self._protocol = GossipProtocol(
            own,
            zone,
            link_mbps,
            core,
            self._peer_table,
            lambda now: self._follower is not None and self._follower.is_current(now),
            lambda: None if self._duties is None else self._duties.status,
        )

    @property
    def address(self) -> NodeId:
        """Address at which peers reach this host."""
        return self._transport.address

    @property
    def peer_table(self) -> PeerTable:
        """This host's view of its peers; read it with the lock held."""
        return self._peer_table

    @property
    def is_relay(self) -> bool:
        """Whether this host is a relay for others."""
        return self._protocol.is_relay

    @property
    def transport(self) -> GossipTransport:
        """The sockets for peers."""
        return self._transport

    def start(self, follower: StoreFollower, duties: HostDuties | None) -> None:
        """Start to receive from peers.

        :param follower: follows the store when too few other hosts do.
        :param duties: None if there are no duties.
        """
        self._follower = follower
        self._duties = duties
        self._transport.start()
        self._greet_silent(_clock.now())

    def add_peers(self, peers: Iterable[NodeId] | None) -> None:
        """Add the peers listed in the store, and greet those not heard from yet.

        :param peers: None if the store does not answer.
        """
        now = _clock.now()
        with self._lock:
            if peers is not None:
                self._peer_table.apply_list(peers, now)
            self._follow_rule.record_peers_listed()
        self._greet_silent(now)
        self._update_following(now)

    def close(self) -> None:
        """Stop receiving from peers."""
        self._closing.set()
        self._wake.set()
        self._transport.close()

    def wait(self, seconds: float) -> None:
        """Wait until something is due, for ``seconds`` at most."""
        if not self._wake.wait(seconds):
            return
        self._wake.clear()
        until_heartbeat = self._next_heartbeat_at - _clock.now()
        if 0.0 < until_heartbeat <= URGENT_BATCH_SECONDS:
            self._closing.wait(until_heartbeat)

    def send_soon(self) -> None:
        """Send the next heartbeat almost at once, since its content is urgent."""
        self._next_heartbeat_at = min(
            self._next_heartbeat_at, _clock.now() + URGENT_BATCH_SECONDS
        )
        self._wake.set()

    def read_view(self, now: float) -> ClusterView:
        """Return the host's view for the duties; call with the lock held."""
        has_store_contact = (
            self._follower is not None
            and self._follower.answered_within(now, CANDIDATE_SECONDS)
        )
        is_candidate = has_store_contact and not self._core.is_stopping
        return ClusterView(
            (self.address, *self._peer_table.live(now)),
            self._peer_table.last_heard,
            self._follow_rule.count_candidates_before(now) if is_candidate else None,
        )

    def run_due(self, now: float) -> None:
        """Send due heartbeats, update following, and fetch missing state."""
        self._send_usage(now)
        if now >= self._next_heartbeat_at:
            # Scheduled early, since waits overrun.
            pause = RELAYED_HEARTBEAT_SECONDS if self._is_relayed else HEARTBEAT_SECONDS
            self._next_heartbeat_at = now + pause * 3 / 4
            self.send_heartbeats(now)
            with self._lock:
                self._protocol.remove_expired(now)
        self._update_following(now)
        self._catch_up(now)

    def send_heartbeats(self, now: float, has_store_update: bool = False) -> None:
        """Send the heartbeats that are due.

        :param has_store_update: whether to send to all peers, not only to relays.
        """
        with self._lock:
            was_relay = self.is_relay
            messages = self._protocol.compose(now, self._is_relayed, has_store_update)
        if self.is_relay is not was_relay:
            word = "relays" if self.is_relay else "no longer relays"
            log("peer", f"{word} for its zone.", relay=self.is_relay)
        for message in messages:
            self._send_heartbeat(message.heartbeat, message.targets)

    def send_store_update(self, is_first: bool, now: float) -> None:
        """Announce an update from the store at once to the hosts that depend on it.

        :param is_first: whether this host had no state before; then others may have
            none either, as after an outage of the store.
        """
        if self._is_large or is_first:
            self._announced_zones = self._directory.evacuations.zones
            self.send_heartbeats(now, has_store_update=True)
        else:
            self._announce_evacuations()

    def _announce_evacuations(self) -> None:
        """Send the next heartbeat at once after zones were evacuated or reopened.

        Relays pass it on, and hosts that are cut off from the store learn of it.
        """
        zones = self._directory.evacuations.zones
        if zones != self._announced_zones:
            self._announced_zones = zones
            self.send_soon()

    def greet_all(self, now: float) -> None:
        """Greet all peers; those that do not count this host as live answer."""
        with self._lock:
            heartbeat = self._protocol.make_greeting(now, self._is_relayed)
            targets = self._peer_table.known
        self._send_heartbeat(heartbeat, targets)

    def _send_usage(self, now: float) -> None:
        """Send the usage counts, if due, to the hosts that may report them."""
        if self._duties is None:
            return
        with self._lock:
            usage = self._duties.find_due_usage(now)
            if usage is None:
                return
            heartbeat = self._protocol.make_usage_heartbeat(usage, now)
            targets = self._peer_table.usage_collectors(now)
        self._send_heartbeat(heartbeat, targets)

    @property
    def _is_following(self) -> bool:
        return self._follower is not None and self._follower.is_active

    @property
    def _receives_store_updates(self) -> bool:
        """Whether the store will soon send this host the state of its peers.

        A host without complete state does not count, since it may be in a backoff
        after failed calls.
        """
        return self._is_following and self._directory.is_complete

    def _update_following(self, now: float) -> None:
        """Follow the store unless enough other hosts do."""
        with self._lock:
            holds_duties = self._duties is not None and self._duties.holds
            follows = self._follow_rule.should_follow(now) or holds_duties
            self._is_large = self._follow_rule.is_large(now)
            self._is_relayed = (
                self._follow_rule.count_hosts(now) >= MIN_HOSTS_FOR_RELAYS
            )
        if self._follower is None:
            return
        if follows is not self._follower.is_active:
            word = "followed" if follows else "left to other hosts"
            log("store", f"is {word}.", following=follows)
        self._follower.set_active(follows, self._is_large)

    def _greet_silent(self, now: float) -> None:
        """Greet peers that are not live; one that is up answers at once."""
        with self._lock:
            heartbeat = self._protocol.make_greeting(now, self._is_relayed)
            targets = self._peer_table.silent(now)
        self._send_heartbeat(heartbeat, targets)

    def _send_heartbeat(self, heartbeat: Heartbeat, targets: list[NodeId]) -> None:
        try:
            self._transport.send(heartbeat, targets)
        except PeerError as error:
            self._record_error(error)

    def _catch_up(self, now: float) -> None:
        """Fetch the state of a peer that has been ahead of this host for a while."""
        if self._fetch_at is not None and now < self._fetch_at:
            return
        self._fetch_at = None
        with self._lock:
            position = self._directory.view_position
            follows = self._receives_store_updates and not self._core.is_stale
            peer = self._peer_table.choose_peer_ahead(
                self._directory.is_behind, follows, now
            )
        if peer is None:
            return
        try:
            state = self._transport.fetch(peer, position)
        except PeerError as error:
            self._record_error(error)
            return
        with self._lock:
            source = f"peer {peer}"
            learned = self._directory.apply_state(state, source, _clock.now())
        self._on_learned(learned)

    def _receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = _clock.now()
        with self._lock:
            is_new = self._protocol.receive(heartbeat, now)
            learned = self._directory.pop_evacuation_changes()
            if self._duties is not None:
                self._duties.receive(heartbeat, now)
            greeting = (
                self._protocol.make_greeting(now, self._is_relayed) if is_new else None
            )
            position = heartbeat.position
            if heartbeat.following:
                as_of = now - STALE_AFTER_SECONDS
                self._directory.record_list_confirmed(position, as_of)
            is_behind = self._directory.is_behind(position)
            is_confirmed = (
                heartbeat.following
                and self._core.is_stale
                and self._directory.is_confirmed_by(position)
            )
            is_urgent = not (self._directory.is_complete and self._is_large)
        if learned:
            self._on_learned(learned)
            self._announce_evacuations()
        if is_behind and (not self._receives_store_updates or self._core.is_stale):
            self._schedule_fetch(is_urgent or self._core.is_stale, now)
        if is_confirmed:
            self._on_confirmed(now)
        if greeting is not None:
            # A starting host waits for this greeting to learn which peers it can query.
            self._send_heartbeat(greeting, [heartbeat.sender])
            log("peer", f"{heartbeat.sender} is now live.", peer=heartbeat.sender)

    def _schedule_fetch(self, is_urgent: bool, now: float) -> None:
        """Schedule a fetch: at once if urgent, else at a random time."""
        if is_urgent:
            self._fetch_at = None
            self._wake.set()
        elif self._fetch_at is None:
            self._fetch_at = now + self._rng.uniform(0.0, FETCH_SPREAD_SECONDS)

    def _read_state(self, peer: ViewPosition) -> DirectoryState:
        with self._lock:
            return self._directory.state_since(peer, _clock.now())

    def _read_prompts(self) -> tuple[SentPrompt, ...]:
        with self._lock:
            return self._core.caches.known()

    def _record_error(self, error: PeerError) -> None:
        log("peer", error.show(), peer=error.peer, step=error.step)
