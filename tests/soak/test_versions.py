"""A short soak with engines of several software versions, and tests of its checks."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak.version_soak import (
    VersionFaults,
    find_lost,
    find_mixed,
    run_version_seed,
)
from tests.soak.versions import (
    EVENTS,
    ResumingCallers,
    Resumption,
    StreamLog,
    VersionDeployment,
)

CI_SEED = 1
CI_SECONDS = 6.0


def test_streams_hold_one_version_under_faults(tmp_path: Path) -> None:
    result = run_version_seed(CI_SEED, tmp_path, CI_SECONDS)
    assert result.violations == (), result.history
    assert result.statuses[200] > 20


@pytest.fixture
def parts(tmp_path: Path) -> tuple[ResumingCallers, VersionFaults]:
    deployment = VersionDeployment(1, tmp_path)
    deployment.close()
    return ResumingCallers(deployment, 1), VersionFaults(deployment, 1)


def make_attempt(number: int, events: int, at: float = 10.0) -> Resumption:
    return Resumption("host-1", number, at, at + 0.1, 200 if events else 503, events)


def test_streams_of_two_versions_are_found(
    parts: tuple[ResumingCallers, VersionFaults],
) -> None:
    callers, _ = parts
    callers.streams.append(StreamLog("s1", ["v1"], EVENTS))
    assert find_mixed(callers) == []
    callers.streams.append(StreamLog("s2", ["v1", "v2"], EVENTS))
    callers.streams.append(StreamLog("s3", ["v1"], 9, errors=["event 9 after 7"]))
    assert len(find_mixed(callers)) == 2


def test_resumed_streams_that_are_refused_are_found(
    parts: tuple[ResumingCallers, VersionFaults],
) -> None:
    callers, faults = parts
    for number in range(12):
        stream = StreamLog(f"s{number}", ["v1"])
        went_on = 3 if number < 6 else 0
        stream.attempts = [make_attempt(1, 3), make_attempt(2, went_on, 11.0)]
        callers.streams.append(stream)
    assert find_lost(callers, faults) == []
    callers.streams[0].attempts[1].events = 0
    assert len(find_lost(callers, faults)) == 1
    faults._start_disturbance("host-1", "kill").started = 9.5
    assert find_lost(callers, faults) == []
