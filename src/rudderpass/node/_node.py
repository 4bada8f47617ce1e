"""One node: creates its components, and starts and stops them in order."""

from __future__ import annotations

import resource
import threading
import time

from rudderpass._ids import AvailabilityZone, ClassName, RequestId
from rudderpass.claims import Claimer
from rudderpass.core import NodeCore, Submission
from rudderpass.declarations import Catalog
from rudderpass.gateway import (
    DisconnectWatcher,
    Gateway,
    PendingRequest,
    Services,
    reply_to_bad_request,
)
from rudderpass.logservice import HttpHostList, HttpLogService
from rudderpass.node._admin import AdminApp, NodeStatus, PoolStatus, make_admin_server
from rudderpass.node._follower import PlatformFollower
from rudderpass.node._runtime import NodeRuntime
from rudderpass.node._settings import NodeSettings
from rudderpass.node._snapshots import SNAPSHOT_KEY, SnapshotWriter
from rudderpass.observe import Gauges, NodeMetrics, log
from rudderpass.routing import Usage
from rudderpass.streams import Relay, RetryBudget
from rudderpass.webserver import HttpServer

_DRAIN_POLL_SECONDS = 0.05
_BYTES_PER_KIBIBYTE = 1024
_UNREADY_GRACE_SECONDS = 1.0
"""How long a stopping node still accepts new requests, so that the load balancer
sees it as not ready before its port closes."""


class RuntimeAdmission:
    """Implements the gateway's admission interface on the runtime."""

    def __init__(self, runtime: NodeRuntime) -> None:
        self._runtime = runtime

    @property
    def catalog(self) -> Catalog:
        """The catalog of the configuration in force."""
        return self._runtime.core.catalog

    def submit(self, submission: Submission) -> PendingRequest:
        """Request a slot."""
        return self._runtime.submit(submission)

    def finish(self, request_id: RequestId, usage: Usage) -> None:
        """Release all that a request holds and record its usage."""
        self._runtime.finish(request_id, usage)

    def record_progress(self, request_id: RequestId, tokens: int) -> None:
        """Report the tokens that a running request has produced so far."""
        self._runtime.core.record_progress(request_id, tokens)

    def shed_lowest(self, reason: str) -> None:
        """Shed the newest waiting request of the lowest tier."""
        self._runtime.shed_lowest(reason)


class Node:
    """A node with all its components.

    :param settings: settings, which are validated here.

    .. versionadded:: 0.1
    """

    def __init__(self, settings: NodeSettings) -> None:
        settings.check()
        self._settings = settings
        zone = AvailabilityZone(settings.zone)
        self._runtime = NodeRuntime(settings.peer, zone, settings.keys)
        self._relay = Relay()
        log_service = HttpLogService(settings.log_service)
        self._disconnects = DisconnectWatcher()
        self._metrics = NodeMetrics(self._read_gauges)
        self._claimer = Claimer(log_service, self._log_claim_error)
        budgets: dict[ClassName, RetryBudget] = {}
        services = Services(
            RuntimeAdmission(self._runtime),
            self._relay,
            self._disconnects,
            self._metrics,
            budgets,
            settings.upstream_timeout,
            self._claimer,
        )
        self._gateway = Gateway(services, settings.limits.threads)
        self._server = HttpServer(
            self._gateway, settings.listen, settings.limits, reply_to_bad_request
        )
        admin = AdminApp(self.status, self._metrics.expose)
        self._admin = make_admin_server(admin, settings.admin)
        self._follower = PlatformFollower(
            log_service,
            HttpHostList(settings.host_list),
            lambda: self._runtime.core.config,
            self._runtime.apply_config,
            self._runtime.apply_hosts,
        )
        self._snapshots = SnapshotWriter(
            log_service,
            settings.snapshot_seconds,
            lambda: self._runtime.core.config,
            lambda: self._follower.snapshot_read_at,
            self._is_snapshot_writer,
        )
        self._abort = threading.Event()

    @property
    def address(self) -> str:
        """The address on which callers reach the node."""
        return self._server.address

    @property
    def admin_address(self) -> str:
        """The address on which operators reach the node."""
        return self._admin.address

    @property
    def runtime(self) -> NodeRuntime:
        """The runtime of the node's core."""
        return self._runtime

    @property
    def metrics(self) -> NodeMetrics:
        """The node's metrics."""
        return self._metrics

    def start(self) -> None:
        """Start all components; callers are served once a configuration is in force."""
        self._relay.start()
        self._disconnects.start()
        self._runtime.start()
        self._admin.start()
        self._follower.start()
        self._claimer.start()
        self._snapshots.start()
        self._server.start()
        log("node", f"listening on {self.address}.", node=self._runtime.core.node)

    def wait_ready(self, timeout: float) -> bool:
        """Wait until the node is ready to serve callers; return whether it is."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if self._runtime.core.is_ready:
                return True
            time.sleep(_DRAIN_POLL_SECONDS)
        return False

    def stop(self) -> int:
        """Drain and stop the node; return the number of requests aborted.

        Hands over the pools, refuses new requests, and waits up to the setting
        ``stop_seconds`` for requests in flight.
        """
        self._runtime.leave()
        log("node", "stopping, reports not ready.", node=self._runtime.core.node)
        self._wait_drained(_UNREADY_GRACE_SECONDS, until_empty=False)
        self._server.stop_accepting()
        self._wait_drained(self._settings.stop_seconds, until_empty=True)
        aborted = self._gateway.active
        if aborted:
            log(
                "node",
                f"aborted {aborted} requests in flight.",
                node=self._runtime.core.node,
            )
        self.kill()
        return aborted

    def abort_drain(self) -> int:
        """End a running :meth:`stop` now; return how many requests that aborts."""
        active = self._gateway.active
        self._abort.set()
        return active

    def kill(self) -> None:
        """Close everything immediately, without draining, as a crash would."""
        self._follower.close()
        self._claimer.close()
        self._snapshots.close()
        self._disconnects.close()
        self._runtime.close()
        self._server.close()
        self._admin.close()
        self._relay.close()

    def status(self) -> NodeStatus:
        """Return the node's status."""
        status = self._runtime.locked(self._read_status)
        assert isinstance(status, NodeStatus)
        return status

    def _is_snapshot_writer(self) -> bool:
        core = self._runtime.core
        return core.view.owner_of(SNAPSHOT_KEY) == core.node

    def _log_claim_error(self, text: str) -> None:
        log("claims", f"{text}.", node=self._runtime.core.node)

    def _wait_drained(self, seconds: float, until_empty: bool) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline and not self._abort.is_set():
            if until_empty and self._gateway.active == 0:
                return
            time.sleep(_DRAIN_POLL_SECONDS)

    def _read_status(self, core: NodeCore) -> NodeStatus:
        counters = self._runtime.links.counters
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return NodeStatus(
            node=core.node,
            zone=self._settings.zone,
            ready=core.is_ready,
            leaving=core.view.leaving,
            config_version=core.config.version,
            waiting=core.entry.waiting,
            running=core.entry.running,
            streams=self._relay.active,
            live_nodes=list(core.view.live()),
            suspects=sorted(core.view.suspects),
            owned=[
                PoolStatus(pool, owner.waiting, owner.running)
                for pool, owner in sorted(core.owned.items())
            ],
            peer_calls=counters.calls,
            peer_messages=counters.messages,
            peer_bytes=counters.payload_bytes,
            peer_failures=counters.failures,
            cpu_seconds=time.process_time(),
            peak_memory_bytes=usage.ru_maxrss * _BYTES_PER_KIBIBYTE,
        )

    def _read_gauges(self) -> Gauges:
        status = self.status()
        return Gauges(
            status.waiting,
            status.running,
            status.streams,
            len(status.owned),
            len(status.live_nodes),
            status.config_version,
        )
