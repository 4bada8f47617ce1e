"""Membership: live nodes, from the platform's host list and a node's own contacts."""

from rudderpass.membership._view import (
    PROBE_SECONDS as PROBE_SECONDS,
    HostRecord as HostRecord,
    HostState as HostState,
    MembershipView as MembershipView,
    Probe as Probe,
    Suspicion as Suspicion,
)
