"""Run one seed with regions, evacuations, cold upstreams and allowed regions."""

from __future__ import annotations

from pathlib import Path

from tests.soak.callers import ROUTES, Callers
from tests.soak.deployment import TEAM
from tests.soak.placement import GUILD, PlacementDeployment
from tests.soak.placement_checks import PlacementChecks
from tests.soak.placement_faults import PlacementFaults
from tests.soak.soak import SoakResult, await_recovery, summarize

PLACEMENT_SECONDS = 18.0
"""Duration of the faults: two evacuations, each long enough for its time limit."""

DESK_CALLERS = 3
"""Per host; without them, no desk receives more than a cold one may."""

TEAMS = (TEAM, TEAM, TEAM, GUILD)
PLACEMENT_ROUTES = (*ROUTES, "bound", "vary")


def run_placement_seed(
    seed: int, folder: Path, fault_seconds: float = PLACEMENT_SECONDS
) -> SoakResult:
    """Run one seed; settings and logs of the hosts are left in ``folder``.

    The last line of the history says how much each rule was applied to.
    """
    deployment = PlacementDeployment(seed, folder)
    faults = PlacementFaults(deployment, seed)
    callers = Callers(
        deployment,
        seed,
        routes=PLACEMENT_ROUTES,
        teams=TEAMS,
        desk_callers=DESK_CALLERS,
    )
    try:
        deployment.start()
        callers.start()
        faults.run(fault_seconds)
        deployment.clear_faults()
        await_recovery(deployment, callers, f"probe-{deployment.version}")
        await_recovery(deployment, callers, "bound")
        callers.stop()
        callers.check()
    finally:
        callers.stopping.set()
        deployment.close()
    checks = PlacementChecks(deployment, faults, callers.attempts + callers.probes)
    violations = checks.find_violations()
    faults.history.append(f"checked {checks.checked}")
    return summarize(seed, deployment, faults, callers, violations)
