"""Runs a node's core: passes calls, messages and timer ticks to it, and executes the
actions that it returns."""

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
from rudderpass.gateway import Decision, PendingRequest
from rudderpass.logservice import HostList
from rudderpass.observe import log, log_action
from rudderpass.peers import KeySource, PeerLinks, PeerServer
from rudderpass.pools import Granted, Refused
from rudderpass.routing import Usage

TICK_SECONDS = 0.1


class NodeRuntime:
    """A node's core with its links to peers and its timer.

    :param address: this node's peer address, which is also its id.
    :param zone: this host's availability zone.
    :param keys: keys that authenticate messages between peers.

    .. versionadded:: 0.1
    """

    def __init__(self, address: str, zone: AvailabilityZone, keys: KeySource) -> None:
        incarnation = time.time_ns() // 1_000_000
        self._server = PeerServer(address, keys, self._receive, self._log_peer_error)
        node = self._server.node
        self._lock = threading.RLock()
        self._core = NodeCore(node, zone, incarnation % (1 << 38), random.Random())
        self._pending: dict[RequestId, PendingRequest] = {}
        self._links = PeerLinks(
            node, incarnation, keys, self._server.datagram_socket, self._record_call
        )
        self._stopping = threading.Event()
        self._ticker = threading.Thread(target=self._tick, name="tick", daemon=True)
        self._hosts = HostList((), ())

    @property
    def core(self) -> NodeCore:
        """The core; use :meth:`locked` for a consistent read of several values."""
        return self._core

    @property
    def links(self) -> PeerLinks:
        """The links to peers."""
        return self._links

    def start(self) -> None:
        """Start to listen to peers, and start the timer."""
        self._server.start()
        self._ticker.start()

    def close(self) -> None:
        """Stop the timer and close the links."""
        self._stopping.set()
        self._links.close()
        self._server.close()

    def locked(self, read: Callable[[NodeCore], object]) -> object:
        """Return the result of ``read``, called with the core locked."""
        with self._lock:
            return read(self._core)

    def submit(self, submission: Submission) -> PendingRequest:
        """Request a slot; the returned object's future completes with the decision."""
        pending = PendingRequest(submission.request_id)
        with self._lock:
            self._pending[submission.request_id] = pending
            self._execute_all(self._core.submit(submission, time.monotonic()))
        return pending

    def finish(self, request_id: RequestId, usage: Usage) -> None:
        """Release all that a request holds and record its usage."""
        with self._lock:
            self._pending.pop(request_id, None)
            self._execute_all(self._core.finish(request_id, usage, time.monotonic()))

    def shed_lowest(self, reason: str) -> None:
        """Shed this node's newest waiting request of the lowest tier."""
        with self._lock:
            self._execute_all(self._core.shed_lowest(reason, time.monotonic()))

    def apply_config(self, state: ConfigState, source: str) -> None:
        """Apply a configuration, unless a newer one is in force."""
        with self._lock:
            self._execute_all(self._core.apply_config(state, source, time.monotonic()))
            self._apply_leaving_upstreams()

    def apply_hosts(self, hosts: HostList) -> None:
        """Apply the platform's host list."""
        with self._lock:
            self._hosts = hosts
            self._execute_all(self._core.set_hosts(hosts.nodes, time.monotonic()))
            self._apply_leaving_upstreams()

    def leave(self) -> None:
        """Hand over the pools and announce the departure to the peers."""
        with self._lock:
            self._execute_all(self._core.leave(time.monotonic()))

    def _apply_leaving_upstreams(self) -> None:
        addresses = set(self._hosts.leaving)
        leaving = [
            UpstreamId(name)
            for name, spec in self._core.catalog.upstreams.items()
            if spec.address in addresses
        ]
        now = time.monotonic()
        self._execute_all(self._core.set_leaving_upstreams(leaving, now))

    def _receive(self, sender: NodeId, messages: Sequence[PeerMessage]) -> None:
        with self._lock:
            now = time.monotonic()
            for message in messages:
                self._execute_all(self._core.receive(sender, message, now))

    def _record_call(self, peer: NodeId, succeeded: bool) -> None:
        with self._lock:
            now = time.monotonic()
            if succeeded:
                self._execute_all(self._core.record_reachable(peer, now))
            else:
                self._execute_all(self._core.record_unreachable(peer, now))

    def _log_peer_error(self, text: str) -> None:
        log("peer", f"{text}.", node=self._core.node)

    def _tick(self) -> None:
        while not self._stopping.wait(TICK_SECONDS):
            with self._lock:
                self._execute_all(self._core.tick(time.monotonic()))

    def _execute_all(self, actions: Sequence[CoreAction]) -> None:
        for action in actions:
            log_action(action, self._core.node)
            self._execute(action)

    @singledispatchmethod
    def _execute(self, action: CoreAction) -> None:
        """Execute one action; by default it is only logged."""

    @_execute.register
    def _(self, action: SendPeer) -> None:
        self._links.send(action.peer, action.message, action.reliable)

    @_execute.register
    def _(self, action: Admitted) -> None:
        pending = self._pending.get(action.request_id)
        if pending is not None:
            pending.admitted = action

    @_execute.register(Granted)
    @_execute.register(Refused)
    @_execute.register(Rejected)
    def _(self, action: Decision) -> None:
        pending = self._pending.pop(action.request_id, None)
        if pending is None:
            return
        with contextlib.suppress(InvalidStateError):
            pending.future.set_result(action)
