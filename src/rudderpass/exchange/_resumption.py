"""Resumed streams: which software version may go on with them."""

from __future__ import annotations

import threading
from typing import Protocol

from rudderpass import _clock
from rudderpass._ids import PoolId, SoftwareVersion
from rudderpass.exchange._acceptance import OTHER_HOST_RETRY_SECONDS
from rudderpass.exchange._assignment import Accepted, RefusalReason, Refused
from rudderpass.exchange._core import ExchangeCore
from rudderpass.exchange._request import ExchangeRequest
from rudderpass.origins import StreamKey, StreamOrigin, make_stream_key

RETURN_MARGIN_SECONDS = 2.0
"""Added to a caller's time limit: its last attempt may arrive that much later."""

UNLIMITED_TIMEOUTS = 2.0
"""Route timeouts for which a caller that states no time limit may resume a stream."""


class OriginSource(Protocol):
    """Where the origins of streams are kept besides this host."""

    def may_lack_versions(self, service: PoolId, deadline: float) -> bool:
        """Return whether a service may have versions that this host has not heard of.

        May wait until a starting host has heard from its peers.
        """

    def find(self, key: StreamKey, deadline: float) -> StreamOrigin | None:
        """Return the origin of a stream that this host does not know; may wait."""

    def tell(self, origin: StreamOrigin) -> None:
        """Tell an origin to the hosts that keep it."""


class NoOtherHosts:
    """The source of a host without peers."""

    def may_lack_versions(self, service: PoolId, deadline: float) -> bool:
        """Return False: nobody else begins streams."""
        return False

    def find(self, key: StreamKey, deadline: float) -> StreamOrigin | None:
        """Return None."""
        return None

    def tell(self, origin: StreamOrigin) -> None:
        """Tell nobody."""


def find_stream_version(
    request: ExchangeRequest,
    accepted: Accepted,
    core: ExchangeCore,
    lock: threading.RLock,
    source: OriginSource,
) -> SoftwareVersion | Refused | None:
    """Return the version that must serve a request.

    :returns: None if any version may; a refusal if that is not known.
    """
    if not accepted.route.resumable or not request.is_resumption:
        return None
    key = _find_key(request, accepted)
    with lock:
        now = _clock.now()
        known = None if key is None else core.origins.find(key, now)
        has_several = core.origins.has_several_versions(accepted.service, now)
    if known is not None:
        return known.version
    if not has_several and not source.may_lack_versions(
        accepted.service, accepted.deadline
    ):
        return None
    found = None if key is None else source.find(key, accepted.deadline)
    if found is None:
        return Refused(RefusalReason.UNKNOWN_STREAM, OTHER_HOST_RETRY_SECONDS)
    with lock:
        core.origins.merge([found], _clock.now())
    return found.version


def record_stream_begun(
    request: ExchangeRequest,
    accepted: Accepted,
    version: SoftwareVersion,
    core: ExchangeCore,
    lock: threading.RLock,
    source: OriginSource,
) -> None:
    """Record which version a stream's events come from, before any is passed on."""
    if not accepted.route.resumable:
        return
    key = _find_key(request, accepted)
    if key is None:
        key = make_stream_key(accepted.service, accepted.team, request.request_id)
    limit = request.time_limit
    if limit is None:
        limit = UNLIMITED_TIMEOUTS * accepted.route.timeout
    with lock:
        now = _clock.now()
        left = limit + RETURN_MARGIN_SECONDS
        service = accepted.service
        origin = core.origins.record_begun(service, key, version, left, now)
        has_several = core.origins.has_several_versions(service, now)
    if has_several:
        source.tell(origin)


def _find_key(request: ExchangeRequest, accepted: Accepted) -> StreamKey | None:
    """Return the key of the stream that a request resumes, if the caller names it."""
    if request.resumes is None:
        return None
    return make_stream_key(accepted.service, accepted.team, request.resumes)
