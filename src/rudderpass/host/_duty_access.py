"""What the duties of a host need of its platform, and how their log is read."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from rudderpass._ids import FencingToken
from rudderpass.directory import KeyedPage
from rudderpass.duties import (
    UNREADABLE_USAGE,
    CallResult,
    DutyHolder,
    DutyLog,
    ScalingGroup,
    SettledUsage,
    WindowUsage,
)
from rudderpass.errors import PeerError
from rudderpass.eventlog import log
from rudderpass.gossip import decode_duty_holder, decode_settled_usage

HOLDER_KEY = "holder"
USAGE_KEY = "usage"


class DutyStore(Protocol):
    """The platform's store as the duties use it."""

    def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key of a topic.

        :raises PlatformError: when the store does not answer.
        """

    def append_at(self, topic: str, end: int, key: str, value: bytes) -> bool:
        """Write a record if the topic still ends at ``end``; tell whether it was.

        :raises PlatformError: when nobody knows.
        """


class DutyPlatform(Protocol):
    """The calls to the platform that only the holder of the duties makes."""

    def report_usage(
        self, holder: str, token: FencingToken, usage: WindowUsage
    ) -> CallResult:
        """Report a window's usage."""

    def order_upstreams(
        self, holder: str, token: FencingToken, subject: ScalingGroup, count: int
    ) -> CallResult:
        """Order a number of upstreams."""


@dataclass(frozen=True)
class DutyAccess:
    """What an adapter brings for the duties.

    :param topic: of the log of the duties in the store.
    """

    store: DutyStore
    topic: str
    platform: DutyPlatform


def read_duty_log(page: KeyedPage) -> DutyLog:
    """Return what the records of the log of the duties say."""
    records: Mapping[str, tuple[int, bytes]] = {
        record.key: (record.offset, record.value)
        for record in page.records
        if record.value is not None
    }
    claim = records.get(HOLDER_KEY)
    settled = records.get(USAGE_KEY)
    return DutyLog(
        page.end,
        None if claim is None else _read_holder(claim[1]),
        FencingToken(0 if claim is None else claim[0] + 1),
        None if settled is None else _read_usage(settled[1]),
    )


def _read_holder(data: bytes) -> DutyHolder | None:
    """Return who claimed the duties; None, nobody alive, for an unreadable claim."""
    try:
        return decode_duty_holder(data)
    except PeerError as error:
        log("duty", f"a claim cannot be read, {error.show()}.", error=error.show())
        return None


def _read_usage(data: bytes) -> SettledUsage:
    try:
        return decode_settled_usage(data)
    except PeerError as error:
        log(
            "duty", f"settled usage cannot be read, {error.show()}.", error=error.show()
        )
        return UNREADABLE_USAGE
