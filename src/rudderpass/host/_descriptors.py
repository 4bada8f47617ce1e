"""How a host divides the file descriptors that its process may open."""

from __future__ import annotations

import resource
from dataclasses import dataclass

from rudderpass.eventlog import log
from rudderpass.tunnels import MAX_TUNNELS

RESERVED_DESCRIPTORS = 1100
"""For files, the store, peers, upstreams (one each for 256 requests, and idle ones) and
relayed connections (two each)."""

MAX_CALLER_CONNECTIONS = 3000
"""Bounds the memory of connections."""

MAX_USED_DESCRIPTORS = MAX_CALLER_CONNECTIONS + RESERVED_DESCRIPTORS

RELAYED_SHARE = 1 / 16
"""Relayed connections, two descriptors each, out of all descriptors."""


@dataclass(frozen=True)
class DescriptorBudget:
    """The numbers of connections that a process's descriptors allow.

    :param descriptors: the process's limit.
    :param callers: connections of callers.
    :param relayed: connections of other hosts to upstreams.
    """

    descriptors: int
    callers: int
    relayed: int


def divide_descriptors(descriptors: int) -> DescriptorBudget:
    """Return how many connections of each kind fit into a limit of descriptors.

    With few descriptors, half of them are for callers.
    """
    callers = max(descriptors // 2, descriptors - RESERVED_DESCRIPTORS)
    return DescriptorBudget(
        descriptors,
        min(MAX_CALLER_CONNECTIONS, callers),
        min(MAX_TUNNELS, max(1, int(descriptors * RELAYED_SHARE))),
    )


def claim_descriptors(allowed: int | None) -> DescriptorBudget:
    """Raise the process's soft limit to the hard one, and divide what it allows.

    :param allowed: the limit in the settings, if they name one.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        except (OSError, ValueError) as error:
            log("host", "the limit of descriptors stays low.", error=str(error))
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [allowed or MAX_USED_DESCRIPTORS]
    if soft != resource.RLIM_INFINITY:
        limits.append(soft)
    budget = divide_descriptors(min(limits))
    log(
        "host",
        f"may open {budget.descriptors} descriptors.",
        descriptors=budget.descriptors,
        caller_connections=budget.callers,
        relayed_connections=budget.relayed,
    )
    return budget
