"""Runs a node's core: turns calls, messages and timers into events and carries the
actions out."""

from __future__ import annotations

import contextlib
import random
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import InvalidStateError
from functools import singledispatchmethod

from rudderpass._ids import AvailabilityZone, NodeId, RequestId, UpstreamId
from rudderpass.core import (
    Admitted,
    CoreAction,
    NodeCore,
    PeerMessage,
    Rejected,
    SendPeer,
    Submission,
)
from rudderpass.declarations import ConfigState
from rudderpass.gateway import Decision, Ticket
from rudderpass.logservice import HostList
from rudderpass.observe import log, log_action
from rudderpass.peers import KeySource, PeerLinks, PeerServer
from rudderpass.pools import Granted, Refused
from rudderpass.routing import Usage

TICK_SECONDS = 0.1


class NodeRuntime:
    """A node's core with its links to peers and its clock.

    :param address: this node's peer address, which is also its id.
    :param zone: this host's availability zone.
    :param keys: the deployment's secrets.

    .. versionadded:: 0.1
    """

    def __init__(self, address: str, zone: AvailabilityZone, keys: KeySource) -> None:
        incarnation = time.time_ns() // 1_000_000
        self._server = PeerServer(address, keys, self._receive, self._complain)
        node = self._server.node
        self._lock = threading.RLock()
        self._core = NodeCore(node, zone, incarnation % (1 << 38), random.Random())
        self._tickets: dict[RequestId, Ticket] = {}
        self._links = PeerLinks(
            node, incarnation, keys, self._server.datagram_socket, self._note_call
        )
        self._stopping = threading.Event()
        self._ticker = threading.Thread(target=self._tick, name="tick", daemon=True)
        self._hosts = HostList((), ())

    @property
    def core(self) -> NodeCore:
        """The node's decisions; read under :meth:`locked` when consistency counts."""
        return self._core

    @property
    def links(self) -> PeerLinks:
        """The links to peers."""
        return self._links

    def start(self) -> None:
        """Listen to peers and start the clock."""
        self._server.start()
        self._ticker.start()

    def close(self) -> None:
        """Stop the clock and the links."""
        self._stopping.set()
        self._links.close()
        self._server.close()

    def locked(self, read: Callable[[NodeCore], object]) -> object:
        """Return what ``read`` finds while nothing changes."""
        with self._lock:
            return read(self._core)

    def submit(self, submission: Submission) -> Ticket:
        """Ask for a slot; the ticket tells what was decided."""
        ticket = Ticket(submission.request_id)
        with self._lock:
            self._tickets[submission.request_id] = ticket
            self._carry_out(self._core.submit(submission, time.monotonic()))
        return ticket

    def finish(self, request_id: RequestId, usage: Usage) -> None:
        """Give back whatever a request holds."""
        with self._lock:
            self._tickets.pop(request_id, None)
            self._carry_out(self._core.finish(request_id, usage, time.monotonic()))

    def shed_lowest(self, reason: str) -> None:
        """Refuse this node's newest waiting request of the lowest tier."""
        with self._lock:
            self._carry_out(self._core.shed_lowest(reason, time.monotonic()))

    def take_config(self, state: ConfigState, source: str) -> None:
        """Put a configuration in force unless a newer one is."""
        with self._lock:
            self._carry_out(self._core.take_config(state, source, time.monotonic()))
            self._apply_leaving()

    def take_hosts(self, hosts: HostList) -> None:
        """Take the platform's host list."""
        with self._lock:
            self._hosts = hosts
            self._carry_out(self._core.take_hosts(hosts.nodes, time.monotonic()))
            self._apply_leaving()

    def leave(self) -> None:
        """Hand the pools over and tell the peers."""
        with self._lock:
            self._carry_out(self._core.leave(time.monotonic()))

    def _apply_leaving(self) -> None:
        addresses = set(self._hosts.leaving)
        leaving = [
            UpstreamId(name)
            for name, spec in self._core.catalog.upstreams.items()
            if spec.address in addresses
        ]
        now = time.monotonic()
        self._carry_out(self._core.take_leaving_upstreams(leaving, now))

    def _receive(self, sender: NodeId, messages: Sequence[PeerMessage]) -> None:
        with self._lock:
            now = time.monotonic()
            for message in messages:
                self._carry_out(self._core.receive(sender, message, now))

    def _note_call(self, peer: NodeId, succeeded: bool) -> None:
        with self._lock:
            now = time.monotonic()
            if succeeded:
                self._carry_out(self._core.note_reachable(peer, now))
            else:
                self._carry_out(self._core.note_unreachable(peer, now))

    def _complain(self, text: str) -> None:
        log("peer", f"{text}.", node=self._core.node)

    def _tick(self) -> None:
        while not self._stopping.wait(TICK_SECONDS):
            with self._lock:
                self._carry_out(self._core.tick(time.monotonic()))

    def _carry_out(self, actions: Sequence[CoreAction]) -> None:
        for action in actions:
            log_action(action, self._core.node)
            self._do(action)

    @singledispatchmethod
    def _do(self, action: CoreAction) -> None:
        """Carry out one action; those that are only logged need nothing more."""

    @_do.register
    def _(self, action: SendPeer) -> None:
        self._links.send(action.peer, action.message, action.reliable)

    @_do.register
    def _(self, action: Admitted) -> None:
        ticket = self._tickets.get(action.request_id)
        if ticket is not None:
            ticket.admitted = action

    @_do.register(Granted)
    @_do.register(Refused)
    @_do.register(Rejected)
    def _(self, action: Decision) -> None:
        ticket = self._tickets.pop(action.request_id, None)
        if ticket is None:
            return
        with contextlib.suppress(InvalidStateError):
            ticket.future.set_result(action)
