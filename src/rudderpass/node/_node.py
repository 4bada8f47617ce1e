"""One node: all its parts, started and stopped in order."""

from __future__ import annotations

import resource
import threading
import time

from rudderpass._ids import AvailabilityZone, ClassName, RequestId
from rudderpass.claims import Claimer
from rudderpass.core import NodeCore, Submission
from rudderpass.declarations import Catalog
from rudderpass.gateway import CallerWatch, Gateway, Services, Ticket, answer_bad_http
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
_KIBIBYTE = 1024
_BALANCER_SECONDS = 1.0
"""How long a stopping node still answers new callers, so that the balancer sees
that it is not ready before its port closes."""


class RuntimeAdmission:
    """The gateway's view of the runtime."""

    def __init__(self, runtime: NodeRuntime) -> None:
        self._runtime = runtime

    @property
    def catalog(self) -> Catalog:
        """The declared objects in force."""
        return self._runtime.core.catalog

    def submit(self, submission: Submission) -> Ticket:
        """Ask for a slot."""
        return self._runtime.submit(submission)

    def finish(self, request_id: RequestId, usage: Usage) -> None:
        """Give back whatever a request holds."""
        self._runtime.finish(request_id, usage)

    def note_progress(self, request_id: RequestId, tokens: int) -> None:
        """Tell how many tokens a running request has brought so far."""
        self._runtime.core.record_progress(request_id, tokens)

    def shed_lowest(self, reason: str) -> None:
        """Refuse the newest waiting request of the lowest tier."""
        self._runtime.shed_lowest(reason)


class Node:
    """A whole node.

    :param settings: checked settings.

    .. versionadded:: 0.1
    """

    def __init__(self, settings: NodeSettings) -> None:
        settings.check()
        self._settings = settings
        zone = AvailabilityZone(settings.zone)
        self._runtime = NodeRuntime(settings.peer, zone, settings.keys)
        self._relay = Relay()
        log_service = HttpLogService(settings.log_service)
        self._watch = CallerWatch()
        self._metrics = NodeMetrics(self._gauges)
        self._claimer = Claimer(log_service, self._complain)
        budgets: dict[ClassName, RetryBudget] = {}
        services = Services(
            RuntimeAdmission(self._runtime),
            self._relay,
            self._watch,
            self._metrics,
            budgets,
            settings.upstream_timeout,
            self._claimer,
        )
        self._gateway = Gateway(services, settings.limits.threads)
        self._server = HttpServer(
            self._gateway, settings.listen, settings.limits, answer_bad_http
        )
        admin = AdminApp(self.status, self._metrics.expose)
        self._admin = make_admin_server(admin, settings.admin)
        self._follower = PlatformFollower(
            log_service,
            HttpHostList(settings.host_list),
            lambda: self._runtime.core.config,
            self._runtime.take_config,
            self._runtime.take_hosts,
        )
        self._snapshots = SnapshotWriter(
            log_service,
            settings.snapshot_seconds,
            lambda: self._runtime.core.config,
            lambda: self._follower.snapshot_seen_at,
            self._writes_snapshots,
        )
        self._cut = threading.Event()

    @property
    def address(self) -> str:
        """Where callers reach the node."""
        return self._server.address

    @property
    def admin_address(self) -> str:
        """Where operators reach the node."""
        return self._admin.address

    @property
    def runtime(self) -> NodeRuntime:
        """The node's decisions at work."""
        return self._runtime

    @property
    def metrics(self) -> NodeMetrics:
        """The node's counters."""
        return self._metrics

    def start(self) -> None:
        """Start all parts; callers are served once a configuration is in force."""
        self._relay.start()
        self._watch.start()
        self._runtime.start()
        self._admin.start()
        self._follower.start()
        self._claimer.start()
        self._snapshots.start()
        self._server.start()
        log("node", f"listening on {self.address}.", node=self._runtime.core.node)

    def wait_ready(self, timeout: float) -> bool:
        """Wait until the node may take callers; tell whether it may."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if self._runtime.core.is_ready:
                return True
            time.sleep(_DRAIN_POLL_SECONDS)
        return False

    def stop(self) -> int:
        """Stop in order; return how many requests were cut.

        Hands the pools over, refuses new requests, and waits for those in flight
        for at most the setting ``stop_seconds``.
        """
        self._runtime.leave()
        log("node", "stopping, not ready any more.", node=self._runtime.core.node)
        self._wait_drained(_BALANCER_SECONDS, until_empty=False)
        self._server.stop_accepting()
        self._wait_drained(self._settings.stop_seconds, until_empty=True)
        cut = self._gateway.active
        if cut:
            log("node", f"cut {cut} requests in flight.", node=self._runtime.core.node)
        self.kill()
        return cut

    def cut_short(self) -> int:
        """Make a running :meth:`stop` end now; return what that will cut."""
        active = self._gateway.active
        self._cut.set()
        return active

    def kill(self) -> None:
        """Close everything at once, as a crash would."""
        self._follower.close()
        self._claimer.close()
        self._snapshots.close()
        self._watch.close()
        self._runtime.close()
        self._server.close()
        self._admin.close()
        self._relay.close()

    def status(self) -> NodeStatus:
        """Return the node's status."""
        status = self._runtime.locked(self._read_status)
        assert isinstance(status, NodeStatus)
        return status

    def _writes_snapshots(self) -> bool:
        core = self._runtime.core
        return core.view.owner_of(SNAPSHOT_KEY) == core.node

    def _complain(self, text: str) -> None:
        log("claims", f"{text}.", node=self._runtime.core.node)

    def _wait_drained(self, seconds: float, until_empty: bool) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline and not self._cut.is_set():
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
            peak_memory_bytes=usage.ru_maxrss * _KIBIBYTE,
        )

    def _gauges(self) -> Gauges:
        status = self.status()
        return Gauges(
            status.waiting,
            status.running,
            status.streams,
            len(status.owned),
            len(status.live_nodes),
            status.config_version,
        )
