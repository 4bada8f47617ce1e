"""Interfaces to the platform used by the duties, and the reader of their log."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from rudderpass._ids import FencingToken
from rudderpass.directory import KeyedPage, LogPosition
from rudderpass.duties import (
    UNREADABLE_USAGE,
    CallResult,
    DutyClaim,
    DutyLog,
    ScalingGroup,
    SettledUsage,
    WindowUsage,
    make_token,
)
from rudderpass.errors import PeerError
from rudderpass.eventlog import log
from rudderpass.gossip import decode_duty_claim, decode_settled_usage

HOLDER_KEY = "holder"
USAGE_KEY = "usage"


class DutyStore(Protocol):
    """The operations of the platform's store that the duties use."""

    def read_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key of a topic.

        :raises PlatformError: when the store does not answer.
        """

    def compare_and_append(
        self, topic: str, end: LogPosition, key: str, value: bytes
    ) -> bool:
        """Append a record if the topic still ends at ``end``; return whether it did.

        :raises PlatformError: when it is unknown whether the record was written there.
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
    settled = records.get(USAGE_KEY)
    usage = None if settled is None else _read_usage(settled[1])
    if HOLDER_KEY not in records:
        return DutyLog(page.end, usage=usage, era=page.era)
    offset, value = records[HOLDER_KEY]
    claim = _read_claim(value)
    # An unreadable claim may be of this era; its holder is treated as not alive.
    token = make_token(page.era if claim is None else claim.era, offset)
    holder = None if claim is None else claim.holder
    return DutyLog(page.end, holder, token, usage, page.era)


def _read_claim(data: bytes) -> DutyClaim | None:
    try:
        return decode_duty_claim(data)
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
