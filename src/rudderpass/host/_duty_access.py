"""Interfaces to the platform used by the duties, and the reader of their log."""

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
    """The operations of the platform's store that the duties use."""

    def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key of a topic.

        :raises PlatformError: when the store does not answer.
        """

    def compare_and_append(self, topic: str, end: int, key: str, value: bytes) -> bool:
        """Append a record if the topic still ends at ``end``; return whether it did.

        :raises PlatformError: when it is unknown whether the record was written.
        """


class DutyPlatform(Protocol):
    """Platform calls that only the holder of the duties makes."""

    def report_usage(
        self, holder: str, token: FencingToken, usage: WindowUsage
    ) -> CallResult:
        """Report the usage of one window."""

    def set_desired_count(
        self, holder: str, token: FencingToken, group: ScalingGroup, count: int
    ) -> CallResult:
        """Order ``count`` upstreams."""


@dataclass(frozen=True)
class DutyAccess:
    """The platform adapter's parts for the duties.

    :param topic: topic of the duties' log in the store.
    """

    store: DutyStore
    topic: str
    platform: DutyPlatform


def read_duty_log(page: KeyedPage) -> DutyLog:
    """Decode the records of the duties' log."""
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
    """Return the claimant; None, treated as not alive, for an unreadable claim."""
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
