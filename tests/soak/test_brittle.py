"""Hosts send no more to brittle upstreams than have room there."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import Any

import pytest

from tests.soak.callers import Callers
from tests.soak.deployment import SoakDeployment, make_route
from tests.soak.upstreams import SLOT_COUNT

DESK_COUNT = 3
MAX_REJECTIONS = 6
MAX_FALLS = 2 + DESK_COUNT // 10
CONTACT_SECONDS = 3.0
"""Time after the first report within which hosts must keep to it."""

LOAD_SECONDS = 6.0
DESK_CALLERS = 24
"""Callers of desks at each host; the desks of all hosts have a third of that."""

MIN_SERVED_SHARE = 0.5


class BrittleDeployment(SoakDeployment):
    """A deployment with both routes that callers of desks use."""

    def make_config(self) -> dict[str, Any]:
        config = super().make_config()
        config["routes"].append(make_route("vary", "idempotent", "desk"))
        return config


@pytest.mark.parametrize("is_restarted", [False, True], ids=["all live", "restart"])
def test_brittle_upstreams_do_not_fall_over_under_overload(
    tmp_path: Path, is_restarted: bool
) -> None:
    deployment = BrittleDeployment(1, tmp_path, engines=1, desks=DESK_COUNT)
    callers = Callers(deployment, 1, routes=("look",), desk_callers=DESK_CALLERS)
    try:
        deployment.start()
        desks = [u for name, u in deployment.upstreams.items() if "-desk-" in name]
        callers.start()
        time.sleep(1.0)
        for desk in desks:
            desk.brittle = MAX_REJECTIONS
        since = time.monotonic() + CONTACT_SECONDS
        time.sleep(CONTACT_SECONDS + LOAD_SECONDS / 2)
        if is_restarted:
            deployment.hosts[0].send_signal(signal.SIGKILL)
            deployment.hosts[0].wait(5.0)
            deployment.hosts[0].start()
        time.sleep(LOAD_SECONDS / 2)
        callers.stop()
        callers.check()
    finally:
        callers.stopping.set()
        deployment.close()
    falls = sum(at >= since for desk in desks for at in desk.falls)
    assert falls <= MAX_FALLS
    assert callers.violations == []
    attempts = [a for a in callers.attempts if a.started >= since]
    served = sum(a.status == 200 and a.is_complete for a in attempts)
    capacity = DESK_COUNT * SLOT_COUNT
    assert capacity < len(deployment.hosts) * DESK_CALLERS
    assert served >= MIN_SERVED_SHARE * len(attempts)
