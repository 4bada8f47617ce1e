"""The configuration log of the other router comes back from a copy."""

from __future__ import annotations

import threading
import time
from typing import Any

from rudderpass.declarations import ConfigState, build_change, dump_record
from rudderpass.logservice import CONFIG_STREAM, HttpHostList, HttpLogService
from rudderpass.node._follower import PlatformFollower
from rudderpass.standins import StandInHostList, StandInLog
from tests.builders import make_catalog

TIMEOUT = 10.0


def test_changes_after_the_log_lost_records_are_followed() -> None:
    log, hosts = StandInLog(), StandInHostList()
    log.start()
    hosts.start()
    states = [ConfigState()]
    follower = PlatformFollower(
        HttpLogService(log.address),
        HttpHostList(hosts.address),
        lambda: states[-1],
        lambda state, source: states.append(state),
        lambda listed: None,
    )
    follower.start()
    try:
        for author in ("ada", "ben", "cam"):
            change = build_change(
                states[-1], make_catalog(None, **declare(author)), author
            )
            assert change is not None
            log.append(CONFIG_STREAM, dump_record(change))
            wait_for_version(states, len(states))
        log.restore(CONFIG_STREAM, 1)
        change = build_change(states[1], make_catalog(None, **declare("dan")), "dan")
        assert change is not None
        log.append(CONFIG_STREAM, dump_record(change))
        until = time.monotonic() + TIMEOUT
        while "dan" not in str(states[-1].entries):
            assert time.monotonic() < until, "the new change is not followed"
            threading.Event().wait(0.05)
    finally:
        follower.close()
        log.close()
        hosts.close()


def declare(upstream: str) -> dict[str, dict[str, Any]]:
    return {upstream: {}}


def wait_for_version(states: list[ConfigState], version: int) -> None:
    until = time.monotonic() + TIMEOUT
    while states[-1].version < version:
        assert time.monotonic() < until, "not followed in time"
        time.sleep(0.01)
