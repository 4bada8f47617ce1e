"""Client of the platform's list of live and leaving hosts, which may be stale."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass

from rudderpass._ids import AvailabilityZone, NodeId
from rudderpass.errors import PlatformError
from rudderpass.membership import HostRecord, HostState


@dataclass(frozen=True)
class HostList:
    """A snapshot of the platform's host list.

    :param nodes: the router's own hosts.
    :param leaving: addresses (``ip:port``) of upstreams that are leaving.
    """

    nodes: tuple[HostRecord, ...]
    leaving: tuple[str, ...]


class HttpHostList:
    """The host list over its HTTP interface, ``GET /hosts``.

    :param address: ``ip:port`` of the service.
    :param timeout: of a call, in seconds.

    .. versionadded:: 0.1
    """

    def __init__(self, address: str, timeout: float = 2.0) -> None:
        self._address = address
        self._timeout = timeout

    def read(self) -> HostList:
        """Return the list.

        :raises PlatformError: when the service does not answer.
        """
        connection = http.client.HTTPConnection(self._address, timeout=self._timeout)
        try:
            connection.request("GET", "/hosts")
            value = json.loads(connection.getresponse().read())
            return _parse_hosts(value)
        except (OSError, http.client.HTTPException, ValueError, KeyError) as error:
            raise PlatformError(
                f"the host list did not answer: {error}",
                step="read",
                peer=self._address,
            ) from error
        finally:
            connection.close()


def _parse_hosts(value: dict[str, list[dict[str, str]]]) -> HostList:
    nodes = tuple(
        HostRecord(
            NodeId(item["address"]),
            AvailabilityZone(item["zone"]),
            HostState(item["state"]),
        )
        for item in value["nodes"]
    )
    leaving = tuple(
        item["address"]
        for item in value["upstreams"]
        if item["state"] == HostState.LEAVING.value
    )
    return HostList(nodes, leaving)
